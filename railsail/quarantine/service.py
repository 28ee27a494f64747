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
from railsail.quarantine.table import EndKey, QuarantineTable, ReplicaEnd, SuspectRequest

# Minimum time between two messages with all crashes to a node whose digest differs. Updates about
# single crashes may still be on their way to it, and a message with all of them can have 75 KB.
TELL_AGAIN_SECONDS = 2.0


class Quarantine:
    """Decide which requests may not run because they crash replicas.

    ``flood`` sends an update to all neighbours but the given one.
    """

    def __init__(
        self, flood: Callable[[QuarantineNews, str], None], hub: PeerHub, kernel: Kernel
    ) -> None:
        self.table = QuarantineTable()
        # The crashes that this node observed itself, as opposed to those received from peers.
        self.seen_here: set[EndKey] = set()
        self._flood = flood
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        # When each node was last sent all crashes because its digest differed.
        self._told_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        hub.handle(QuarantineNews, self._received)
        hub.on_up(self._link_up)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after this node recorded a crash or a clearing that it observed."""
        self._listeners.append(listener)

    def refusal(self, request: int) -> NotRun | None:
        """Return the outcome of ``request`` if it is quarantined now, and ``None`` otherwise."""
        if not self.table.known(request):
            return None
        standing = self.table.standing(request)
        left = standing.held_until - self._clock.monotonic()
        if left <= 0:
            return None
        detail = f"{len(standing.ends)} replicas ended while they ran this request"
        return NotRun(Reason.QUARANTINED, detail, retry_after=left, come_back=left)

    def suspected(self, request: int) -> bool:
        """Return True if a replica crashed under ``request``, which was not served here since."""
        return self.table.suspected(request)

    def tell_refused(self, request_id: str, workspace: str, request: int) -> None:
        """Log that a request was refused because it is quarantined."""
        standing = self.table.standing(request)
        left = standing.held_until - self._clock.monotonic()
        self._metrics.quarantined.inc({"workspace": workspace})
        self._events.emit(
            Kind.QUARANTINED,
            "replicas ended while they ran this request",
            request_id,
            workspace,
            fingerprint=fingerprint_name(request),
            replicas=" ".join(standing.replicas),
            held_ms=max(0, round(left * 1000)),
        )

    def ended(self, end: ReplicaEnd) -> None:
        """Record a crash that this node observed, and broadcast it."""
        new = self.table.ended(end, self._clock.monotonic())
        if new is None:
            return
        self._metrics.replica_ends.inc({})
        self._events.emit(
            Kind.REPLICA_ENDED, replica=end.replica, born_ms=end.life, requests=len(new.requests)
        )
        self._tell_held(new)
        self._tell_seen([new])

    def served(self, request: int) -> None:
        """Record that ``request`` was served to its end, which clears it of earlier crashes."""
        ends = self.table.served(request, self._clock.monotonic())
        if ends:
            self._cleared(request, ends, "it was served")

    def lift(self, request: int) -> bool:
        """Clear ``request`` for an operator; return True if any crash counted against it."""
        ends = self.table.clear(request, self._clock.monotonic())
        if ends:
            self._cleared(request, ends, "an operator lifted it")
        return bool(ends)

    def _cleared(self, request: int, ends: list[ReplicaEnd], detail: str) -> None:
        self._events.emit(
            Kind.QUARANTINE, detail, fingerprint=fingerprint_name(request), state="cleared"
        )
        self._tell_seen(ends)

    def _tell_seen(self, ends: list[ReplicaEnd]) -> None:
        """Broadcast crashes or clearings that this node observed, and notify the listeners."""
        kept = {end.key for end in self.table.ends()}
        self.seen_here = (self.seen_here & kept) | {end.key for end in ends}
        self._flood(self._news(ends), "")
        for listener in self._listeners:
            listener()

    def merge(self, ends: Iterable[ReplicaEnd], source: str) -> None:
        """Merge crashes received from the node ``source``, or from the store if that is empty."""
        now = self._clock.monotonic()
        merged = [self.table.merge(end, now) for end in ends]
        new = [end for end in merged if end is not None]
        if not new:
            return
        for end in new:
            self._tell_held(end)
        self._flood(self._news(new), source)

    def _tell_held(self, end: ReplicaEnd) -> None:
        """Log which of the requests of ``end`` are quarantined now."""
        now = self._clock.monotonic()
        standings = [self.table.standing(request) for request in end.requests]
        for standing in standings:
            if standing.held_until > now:
                self._events.emit(
                    Kind.QUARANTINE,
                    fingerprint=fingerprint_name(standing.request),
                    state="held",
                    replicas=" ".join(standing.replicas),
                    held_ms=round((standing.held_until - now) * 1000),
                )

    def standings(self, least: int = 1) -> list[SuspectRequest]:
        """Return the requests with at least ``least`` crashes, those with the most first."""
        return self.table.standings(least)

    def compare(self, node: str, heartbeat: Heartbeat) -> None:
        """Send all crashes to ``node`` if the digest in its heartbeat differs from this node's."""
        now = self._clock.monotonic()
        lately = now - self._told_at.get(node, -math.inf) < TELL_AGAIN_SECONDS
        if heartbeat.quarantine == self.table.digest or lately:
            return
        self._told_at[node] = now
        self._tell_all(node)

    def _link_up(self, peer: Identity) -> None:
        self._tell_all(peer.node)

    def _tell_all(self, node: str) -> None:
        ends = self.table.ends()
        if ends:
            self._hub.send(node, self._news(ends))

    def _news(self, ends: list[ReplicaEnd]) -> QuarantineNews:
        now = self._clock.monotonic()
        return QuarantineNews([_to_record(end, now) for end in ends])

    def _received(self, node: str, news: QuarantineNews) -> None:
        now = self._clock.monotonic()
        self.merge([_from_record(record, now) for record in news.ends], node)


def _to_record(end: ReplicaEnd, now: float) -> ReplicaEndRecord:
    age_ms = max(0, round((now - end.at) * 1000))
    requests, cleared = sorted(end.requests), sorted(end.cleared)
    return ReplicaEndRecord(end.replica, end.life, age_ms, requests, cleared)


def _from_record(record: ReplicaEndRecord, now: float) -> ReplicaEnd:
    at = now - record.age / 1000
    requests, cleared = frozenset(record.requests), frozenset(record.cleared)
    return ReplicaEnd(record.replica, record.life, at, requests, cleared)
