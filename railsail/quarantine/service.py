"""The quarantine of this node, and its exchange of crashes with other nodes.

A crash is broadcast to the neighbours at once, and they forward it. A node sends all its crashes
over each new link, and to a neighbour whose heartbeat shows another digest. Nodes that cannot reach
their peers read the crashes in the store (see ``railsail.quarantine.ledger``).
"""

import math
from collections.abc import Callable, Iterable

from railsail.core.events import Kind
from railsail.core.fingerprints import PART, fingerprint_kind, fingerprint_name, is_part
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason
from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import Heartbeat, QuarantineNews
from railsail.peers.records import ReplicaEndRecord
from railsail.quarantine.blame import (
    MAX_MOMENTS_TO_TRY_TOGETHER,
    separate_moments,
    simultaneous,
)
from railsail.quarantine.crashes import CrashKey, ReplicaCrash
from railsail.quarantine.table import QuarantineTable, Suspect

# Minimum time between two messages with all crashes to a node whose digest differs. Updates about
# single crashes may still be on their way to it, and a message with all of them can have 150 KB.
FULL_UPDATE_INTERVAL_SECONDS = 2.0


class Quarantine:
    """Decide which requests may not run because they, or parts of their prompts, crash replicas.

    ``broadcast`` sends an update to all neighbours but the given one.
    """

    def __init__(
        self, broadcast: Callable[[QuarantineNews, str], None], hub: PeerHub, kernel: Kernel
    ) -> None:
        self.table = QuarantineTable()
        # The crashes that this node observed itself, as opposed to those received from peers.
        self.observed_here: set[CrashKey] = set()
        self._broadcast = broadcast
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        # When each node was last sent all crashes because its digest differed.
        self._full_update_sent_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._verdict_listeners: list[Callable[[], None]] = []
        # By fingerprint, the number of crashes with which its quarantine was logged last.
        self._logged: dict[int, int] = {}
        hub.handle(QuarantineNews, self._received)
        hub.on_up(self._link_up)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after this node recorded a crash or a clearing that it observed."""
        self._listeners.append(listener)

    def on_verdict(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a request or a part was quarantined."""
        self._verdict_listeners.append(listener)

    def held_by(self, fingerprints: Iterable[int]) -> Suspect | None:
        """Return what keeps a request with ``fingerprints`` from running now, ``None`` if it may.

        ``fingerprints`` are those of the request and of the shared parts of its prompt. The request
        may run on trial if all that is quarantined of it are parts in doubt.
        """
        now = self._clock.monotonic()
        held = [suspect for suspect in self._suspects(fingerprints) if suspect.held_until > now]
        if not held or self._can_be_tried(held, now):
            return None
        return max(held, key=lambda suspect: suspect.held_until)

    def _can_be_tried(self, held: list[Suspect], now: float) -> bool:
        """Return True if a request that has all of ``held`` may run on trial."""
        if not all(is_part(s.fingerprint) and self.table.is_doubtful(s, now) for s in held):
            return False
        moments = max(separate_moments(suspect.ends) for suspect in held)
        return len(held) == 1 or moments < MAX_MOMENTS_TO_TRY_TOGETHER

    def _suspects(self, fingerprints: Iterable[int]) -> list[Suspect]:
        return [self.table.status(fp) for fp in fingerprints if self.table.has_crashes(fp)]

    def refusal(self, fingerprints: Iterable[int]) -> NotRun | None:
        """Return the outcome of a request that is quarantined now, and ``None`` for any other.

        ``fingerprints`` are those of the request and of the shared parts of its prompt.
        """
        suspect = self.held_by(fingerprints)
        if suspect is None:
            return None
        remaining_seconds = suspect.held_until - self._clock.monotonic()
        detail = f"{len(suspect.ends)} replicas ended while they ran {_ran(suspect)}"
        return NotRun(
            Reason.QUARANTINED, detail, retry_after=remaining_seconds, come_back=remaining_seconds
        )

    def was_part_served(self, part: int) -> bool:
        """Return True if ``part`` was served here, as far as is remembered."""
        return self.table.was_part_served(part)

    def on_trial(self, fingerprints: Iterable[int]) -> set[int]:
        """Return what must not run beside a request with ``fingerprints``, which is on trial.

        Empty if the request is not on trial. Beside a suspect request that is the request itself.
        Beside one with a quarantined part these are all quarantined parts: if two of them run on
        the same replica, its crash does not show which one is to blame.
        """
        now = self._clock.monotonic()
        beside: set[int] = set()
        for suspect in self._suspects(fingerprints):
            if is_part(suspect.fingerprint):
                if suspect.held_until > now:
                    beside |= {held.fingerprint for held in self.table.quarantined(now)}
            elif self.table.is_suspect(suspect.fingerprint):
                beside.add(suspect.fingerprint)
        return beside

    def tell_refused(self, request_id: str, workspace: str, fingerprints: Iterable[int]) -> None:
        """Log that a request was refused because it is quarantined."""
        suspect = self.held_by(fingerprints)
        if suspect is None:
            return
        remaining_seconds = suspect.held_until - self._clock.monotonic()
        subject = fingerprint_kind(suspect.fingerprint)
        self._metrics.quarantined.inc({"workspace": workspace, "kind": subject})
        self._events.emit(
            Kind.QUARANTINED,
            f"replicas ended while they ran {_ran(suspect)}",
            request_id,
            workspace,
            fingerprint=fingerprint_name(suspect.fingerprint),
            subject=subject,
            replicas=" ".join(suspect.replicas),
            held_ms=max(0, round(remaining_seconds * 1000)),
        )

    def record_crash(self, crash: ReplicaCrash) -> None:
        """Record a crash that this node observed, and broadcast it."""
        new = self.table.record_crash(crash, self._clock.monotonic())
        if new is None:
            return
        self._metrics.replica_ends.inc({})
        self._events.emit(
            Kind.REPLICA_ENDED,
            replica=crash.replica,
            born_ms=crash.start_id,
            requests=sum(not is_part(fingerprint) for fingerprint in new.fingerprints),
            parts=sum(is_part(fingerprint) for fingerprint in new.fingerprints),
            simultaneous=len(simultaneous(new, self.table.crashes())),
        )
        self._report_quarantined([new])
        self._publish([new])

    def record_served(self, fingerprint: int) -> None:
        """Record that a request, or one with a part, was served, which clears it of its crashes."""
        crashes = self.table.record_served(fingerprint, self._clock.monotonic())
        if crashes:
            self._publish_cleared(fingerprint, crashes, "it was served")

    def lift(self, fingerprint: int) -> bool:
        """Clear a request or a part for an operator; return True if a crash counted against it."""
        crashes = self.table.clear(fingerprint, self._clock.monotonic())
        if crashes:
            self._publish_cleared(fingerprint, crashes, "an operator lifted it")
        return bool(crashes)

    def _publish_cleared(self, fingerprint: int, crashes: list[ReplicaCrash], detail: str) -> None:
        self._logged.pop(fingerprint, None)
        self._events.emit(
            Kind.QUARANTINE,
            detail,
            fingerprint=fingerprint_name(fingerprint),
            subject=fingerprint_kind(fingerprint),
            state="cleared",
        )
        self._publish(crashes)

    def _publish(self, crashes: list[ReplicaCrash]) -> None:
        """Broadcast crashes or clearings that this node observed, and notify the listeners."""
        kept = {crash.key for crash in self.table.crashes()}
        self.observed_here = (self.observed_here & kept) | {crash.key for crash in crashes}
        self._broadcast(self._to_update(crashes), "")
        for listener in self._listeners:
            listener()

    def merge(self, crashes: Iterable[ReplicaCrash], source: str) -> None:
        """Merge crashes received from the node ``source``, or from the store if that is empty."""
        now = self._clock.monotonic()
        merged = [self.table.merge(crash, now) for crash in crashes]
        new = [crash for crash in merged if crash is not None]
        if not new:
            return
        self._report_quarantined(new)
        self._broadcast(self._to_update(new), source)

    def _report_quarantined(self, crashes: list[ReplicaCrash]) -> None:
        """Log what of ``crashes`` is quarantined since, or for longer, and notify the listeners."""
        now = self._clock.monotonic()
        self._logged = {fp: ends for fp, ends in self._logged.items() if self.table.has_crashes(fp)}
        fingerprints = set().union(*(crash.suspects for crash in crashes))
        held = self.table.quarantined(now, fingerprints)
        changed = [s for s in held if self._logged.get(s.fingerprint) != len(s.ends)]
        for suspect in changed:
            self._log_quarantined(suspect, suspect.held_until - now)
        if changed:
            for listener in self._verdict_listeners:
                listener()

    def _log_quarantined(self, suspect: Suspect, remaining_seconds: float) -> None:
        subject = fingerprint_kind(suspect.fingerprint)
        doubtful = self.table.is_doubtful(suspect, self._clock.monotonic())
        if suspect.fingerprint not in self._logged:
            self._metrics.quarantine_verdicts.inc({"kind": subject})
        self._logged[suspect.fingerprint] = len(suspect.ends)
        self._events.emit(
            Kind.QUARANTINE,
            fingerprint=fingerprint_name(suspect.fingerprint),
            subject=subject,
            state="on-trial" if doubtful and subject == PART else "held",
            replicas=" ".join(suspect.replicas),
            held_ms=round(remaining_seconds * 1000),
        )

    def standings(self, min_crashes: int = 1) -> list[Suspect]:
        """Return what has at least ``min_crashes`` crashes, that with the most first."""
        return self.table.suspects(min_crashes)

    def compare(self, node: str, heartbeat: Heartbeat) -> None:
        """Send all crashes to ``node`` if the digest in its heartbeat differs from this node's."""
        now = self._clock.monotonic()
        sent_recently = (
            now - self._full_update_sent_at.get(node, -math.inf) < FULL_UPDATE_INTERVAL_SECONDS
        )
        if heartbeat.quarantine == self.table.digest or sent_recently:
            return
        self._full_update_sent_at[node] = now
        self._send_all(node)

    def _link_up(self, peer: Identity) -> None:
        self._send_all(peer.node)

    def _send_all(self, node: str) -> None:
        crashes = self.table.crashes()
        if crashes:
            self._hub.send(node, self._to_update(crashes))

    def _to_update(self, crashes: list[ReplicaCrash]) -> QuarantineNews:
        now = self._clock.monotonic()
        return QuarantineNews([_to_record(crash, now) for crash in crashes])

    def _received(self, node: str, update: QuarantineNews) -> None:
        now = self._clock.monotonic()
        self.merge([_from_record(record, now) for record in update.ends], node)


def _ran(suspect: Suspect) -> str:
    return "a part of this prompt" if is_part(suspect.fingerprint) else "this request"


def _to_record(crash: ReplicaCrash, now: float) -> ReplicaEndRecord:
    age_ms = max(0, round((now - crash.at) * 1000))
    fingerprints, cleared = sorted(crash.fingerprints), sorted(crash.cleared)
    return ReplicaEndRecord(crash.replica, crash.start_id, age_ms, fingerprints, cleared)


def _from_record(record: ReplicaEndRecord, now: float) -> ReplicaCrash:
    at = now - record.age / 1000
    fingerprints, cleared = frozenset(record.requests), frozenset(record.cleared)
    return ReplicaCrash(record.replica, record.life, at, fingerprints, cleared)
