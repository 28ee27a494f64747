"""Choose the node to which a request is forwarded; does no input or output."""

import random
from collections import Counter
from collections.abc import Callable, Sequence

from railsail.membership.speed import UNKNOWN_LEVEL
from railsail.membership.table import Member

# Seconds between updates of the candidates. Checking every member for each request would cost more
# than forwarding it, and the fleet learns within a second that a node has left.
REFRESH_SECONDS = 0.5
# A node that could not be connected to is skipped for this long; by then its neighbours know
# whether it is gone.
CONNECT_BACKOFF_SECONDS = 2.0


class ForwardTargets:
    """The nodes to which this one forwards callers' requests, and how many run at each.

    ``members`` returns the nodes that can be reached and may be given work, ``dispatchers`` the
    nodes that dispatch, ``own`` this node.
    """

    def __init__(
        self,
        members: Callable[[], Sequence[Member]],
        dispatchers: Callable[[], set[str]],
        own: Callable[[], Member],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._dispatchers = dispatchers
        self._own = own
        self._rng = rng
        # The candidates, and the nodes that are used only if none of the candidates is left.
        self._candidates: list[Member] = []
        self._fallback: list[Member] = []
        self._refresh_at = 0.0
        self._running: Counter[str] = Counter()
        self._failed_until: dict[str, float] = {}

    def can_serve(self, regions: tuple[str, ...]) -> bool:
        """Return True if a request that may run only in ``regions`` may be forwarded.

        All candidates are in the region of this node. The caller may have come from another region,
        whose nodes are all gone.
        """
        return not regions or self._own().region in regions

    def choose(self, now: float) -> Member | None:
        """Return the node with the fewest forwarded requests for its speed, or ``None``."""
        if now >= self._refresh_at:
            self._refresh(now)
        connectable = self._connectable(self._candidates, now) or self._connectable(
            self._fallback, now
        )
        return min(connectable, key=self._load, default=None)

    def _connectable(self, members: list[Member], now: float) -> list[Member]:
        return [m for m in members if now >= self._failed_until.get(m.node, 0.0)]

    def _load(self, member: Member) -> float:
        # One level of speed is a factor of two.
        return (self._running[member.node] + 1) / 2**member.speed

    def _refresh(self, now: float) -> None:
        self._refresh_at = now + REFRESH_SECONDS
        self._failed_until = {n: until for n, until in self._failed_until.items() if until > now}
        own = self._own()
        others = [m for m in self._members() if m.node != own.node and m.forward_port]
        others = [m for m in others if m.region == own.region]
        # A node that is late for its own callers, or has just started, reports no speed.
        in_time = [m for m in others if m.speed != UNKNOWN_LEVEL]
        # Answers come back through this node, and traffic between failure domains costs more.
        near = [m for m in in_time if m.failure_domain == own.failure_domain]
        chosen = near or in_time or others
        # Other full nodes choose among the same candidates, and should not all start with the
        # first.
        self._rng.shuffle(chosen)
        # Load on a dispatcher delays its whole pool: with dispatchers among the candidates, 0.75 of
        # the requests with the shortest objective were answered in time beside a flood, without
        # them 0.88 (one simulated day of 85 nodes each).
        dispatchers = self._dispatchers()
        self._candidates = [m for m in chosen if m.node not in dispatchers]
        # All others, for when no candidate accepts a connection: a refusal would be no better.
        self._fallback = [m for m in others if m not in self._candidates]

    def request_started(self, node: str) -> None:
        """Record that a request was forwarded to ``node``."""
        self._running[node] += 1

    def request_ended(self, node: str) -> None:
        """Record that a request forwarded to ``node`` has ended."""
        self._running[node] -= 1
        if not self._running[node]:
            del self._running[node]

    def connect_failed(self, node: str, now: float) -> None:
        """Record that a connection to ``node`` failed."""
        self._failed_until[node] = now + CONNECT_BACKOFF_SECONDS
