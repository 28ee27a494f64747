"""The quarantine of this node, and its exchange of crashes with other nodes.

A crash is broadcast to the neighbours at once, and they forward it. A node sends all its crashes
over each new link, and to a neighbour whose heartbeat shows another digest. Nodes that cannot reach
their peers read the crashes in the store (see ``railsail.quarantine.ledger``).
"""

import math
from collections.abc import Callable, Iterable

from railsail.core.events import Kind
from railsail.core.fingerprints import fingerprint_name
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason
from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import Heartbeat, QuarantineNews
from railsail.peers.records import ReplicaEndRecord
from railsail.quarantine.table import CrashKey, QuarantineTable, ReplicaCrash, SuspectRequest

# Minimum time between two messages with all crashes to a node whose digest differs. Updates about
# single crashes may still be on their way to it, and a message with all of them can have 75 KB.
FULL_UPDATE_INTERVAL_SECONDS = 2.0


class Quarantine:
    """Decide which requests may not run because they crash replicas.

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
        hub.handle(QuarantineNews, self._received)
        hub.on_up(self._link_up)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after this node recorded a crash or a clearing that it observed."""
        self._listeners.append(listener)

    def refusal(self, request: int) -> NotRun | None:
        """Return the outcome of ``request`` if it is quarantined now, and ``None`` otherwise."""
        if not self.table.has_crashes(request):
            return None
        suspect = self.table.status(request)
        remaining_seconds = suspect.held_until - self._clock.monotonic()
        if remaining_seconds <= 0:
            return None
        detail = f"{len(suspect.ends)} replicas ended while they ran this request"
        return NotRun(
            Reason.QUARANTINED, detail, retry_after=remaining_seconds, come_back=remaining_seconds
        )

    def is_suspect(self, request: int) -> bool:
        """Return True if a replica crashed under ``request``, which was not served here since."""
        return self.table.is_suspect(request)

    def tell_refused(self, request_id: str, workspace: str, request: int) -> None:
        """Log that a request was refused because it is quarantined."""
        suspect = self.table.status(request)
        remaining_seconds = suspect.held_until - self._clock.monotonic()
        self._metrics.quarantined.inc({"workspace": workspace})
        self._events.emit(
            Kind.QUARANTINED,
            "replicas ended while they ran this request",
            request_id,
            workspace,
            fingerprint=fingerprint_name(request),
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
            requests=len(new.requests),
            simultaneous=len(self.table.simultaneous(new)),
        )
        self._log_quarantined(new)
        self._publish([new])

    def record_served(self, request: int) -> None:
        """Record that ``request`` was served to its end, which clears it of earlier crashes."""
        crashes = self.table.record_served(request, self._clock.monotonic())
        if crashes:
            self._publish_cleared(request, crashes, "it was served")

    def lift(self, request: int) -> bool:
        """Clear ``request`` for an operator; return True if any crash counted against it."""
        crashes = self.table.clear(request, self._clock.monotonic())
        if crashes:
            self._publish_cleared(request, crashes, "an operator lifted it")
        return bool(crashes)

    def _publish_cleared(self, request: int, crashes: list[ReplicaCrash], detail: str) -> None:
        self._events.emit(
            Kind.QUARANTINE, detail, fingerprint=fingerprint_name(request), state="cleared"
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
        for crash in new:
            self._log_quarantined(crash)
        self._broadcast(self._to_update(new), source)

    def _log_quarantined(self, crash: ReplicaCrash) -> None:
        """Log which of the requests of ``crash`` are quarantined now."""
        now = self._clock.monotonic()
        suspects = [self.table.status(request) for request in crash.requests]
        for suspect in suspects:
            if suspect.held_until > now:
                self._events.emit(
                    Kind.QUARANTINE,
                    fingerprint=fingerprint_name(suspect.request),
                    state="held",
                    replicas=" ".join(suspect.replicas),
                    held_ms=round((suspect.held_until - now) * 1000),
                )

    def standings(self, min_crashes: int = 1) -> list[SuspectRequest]:
        """Return the requests with at least ``min_crashes`` crashes, those with the most first."""
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


def _to_record(crash: ReplicaCrash, now: float) -> ReplicaEndRecord:
    age_ms = max(0, round((now - crash.at) * 1000))
    requests, cleared = sorted(crash.requests), sorted(crash.cleared)
    return ReplicaEndRecord(crash.replica, crash.start_id, age_ms, requests, cleared)


def _from_record(record: ReplicaEndRecord, now: float) -> ReplicaCrash:
    at = now - record.age / 1000
    requests, cleared = frozenset(record.requests), frozenset(record.cleared)
    return ReplicaCrash(record.replica, record.life, at, requests, cleared)
