"""What this node knows of requests that end replicas, and how nodes tell each other.

Each end is told at once to the neighbours, which pass it on; whoever has a new link, or hears by a
heartbeat that the other side knows something else, tells all it has. Nodes that cannot reach their
peers read the same in the store (see ``railsail.quarantine.ledger``).
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

# A node whose heartbeats say that it knows something else is told all so often at most: news of
# single ends are on their way meanwhile, and all of it may be 75 KB.
TELL_AGAIN_SECONDS = 2.0


class Quarantine:
    """Keep requests that end replicas away from them; ``flood`` tells all neighbours but one."""

    def __init__(
        self, flood: Callable[[QuarantineNews, str], None], hub: PeerHub, kernel: Kernel
    ) -> None:
        self.table = QuarantineTable()
        # What this node has seen itself, and did not hear of from others.
        self.seen_here: set[EndKey] = set()
        self._flood = flood
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        # When each node was told all because its heartbeat said something else.
        self._told_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        hub.handle(QuarantineNews, self._received)
        hub.on_up(self._link_up)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when something is new that this node has seen itself."""
        self._listeners.append(listener)

    def refusal(self, request: int) -> NotRun | None:
        """Return why ``request`` is not run now, or ``None`` if it may be."""
        if not self.table.known(request):
            return None
        standing = self.table.standing(request)
        left = standing.held_until - self._clock.monotonic()
        if left <= 0:
            return None
        detail = f"{len(standing.ends)} replicas ended while they ran this request"
        return NotRun(Reason.QUARANTINED, detail, retry_after=left, come_back=left)

    def suspected(self, request: int) -> bool:
        """Say whether a replica ended while it ran ``request``, which has not been served since."""
        return self.table.suspected(request)

    def tell_refused(self, request_id: str, workspace: str, request: int) -> None:
        """Put on the time line why a request was not run."""
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
        """Take in that a replica has ended, as this node has seen."""
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
        """Take note that ``request`` was served whole, so that it ends no replicas."""
        ends = self.table.served(request, self._clock.monotonic())
        if ends:
            self._cleared(request, ends, "it was served")

    def lift(self, request: int) -> bool:
        """Let an operator clear ``request``; say whether anything counted against it."""
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
        """Tell all of what this node has seen itself."""
        kept = {end.key for end in self.table.ends()}
        self.seen_here = (self.seen_here & kept) | {end.key for end in ends}
        self._flood(self._news(ends), "")
        for listener in self._listeners:
            listener()

    def merge(self, ends: Iterable[ReplicaEnd], source: str) -> None:
        """Take in what the node ``source`` or, if that is empty, the store says."""
        now = self._clock.monotonic()
        merged = [self.table.merge(end, now) for end in ends]
        new = [end for end in merged if end is not None]
        if not new:
            return
        for end in new:
            self._tell_held(end)
        self._flood(self._news(new), source)

    def _tell_held(self, end: ReplicaEnd) -> None:
        """Put on the time line which requests are held from now on, since ``end`` is known."""
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
        """Return the requests under which ``least`` replicas ended, those with most ends first."""
        return self.table.standings(least)

    def compare(self, node: str, heartbeat: Heartbeat) -> None:
        """Tell ``node`` all that is known here, if its heartbeat says that it knows otherwise."""
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
