"""Choose the node that a request is handed on to; no input or output."""

import random
from collections import Counter
from collections.abc import Callable, Sequence

from railsail.membership.speed import UNKNOWN_LEVEL
from railsail.membership.table import Member

# The nodes to choose from are looked up anew after so many seconds: to look at each member for each
# request would cost more than to hand it on, and a node that left is told within a second.
LOOK_UP_SECONDS = 0.5
# A node that could not be connected to is left out for so many seconds; by then its neighbours know
# whether it is gone.
FAILED_SECONDS = 2.0


class ForwardTargets:
    """Know the nodes that take requests of callers from this one, and what each was given.

    ``members`` gives the nodes that can be reached and may be given work, ``dispatchers`` those
    that dispatch; ``own`` is this node.
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
        # The nodes to choose from, and those that are taken only where none of these is left.
        self._found: list[Member] = []
        self._last_resort: list[Member] = []
        self._look_up_at = 0.0
        self._running: Counter[str] = Counter()
        self._failed_until: dict[str, float] = {}

    def may_be_sent(self, regions: tuple[str, ...]) -> bool:
        """Say whether the nodes, all of one region, may be sent what runs in ``regions`` alone.

        Its caller may have come from another region, whose nodes are all gone.
        """
        return not regions or self._own().region in regions

    def choose(self, now: float) -> Member | None:
        """Return the node with the least running for its speed, or ``None`` if there is none."""
        if now >= self._look_up_at:
            self._look_up(now)
        able = self._able(self._found, now) or self._able(self._last_resort, now)
        return min(able, key=self._load, default=None)

    def _able(self, members: list[Member], now: float) -> list[Member]:
        return [m for m in members if now >= self._failed_until.get(m.node, 0.0)]

    def _load(self, member: Member) -> float:
        # A level of speed is a factor of two.
        return (self._running[member.node] + 1) / 2**member.speed

    def _look_up(self, now: float) -> None:
        self._look_up_at = now + LOOK_UP_SECONDS
        self._failed_until = {n: until for n, until in self._failed_until.items() if until > now}
        own = self._own()
        others = [m for m in self._members() if m.node != own.node and m.forward_port]
        others = [m for m in others if m.region == own.region]
        # A node that is late for its own callers tells no speed, nor does one that just started.
        in_time = [m for m in others if m.speed != UNKNOWN_LEVEL]
        # Answers take the way back: traffic between failure domains costs more.
        near = [m for m in in_time if m.failure_domain == own.failure_domain]
        chosen = near or in_time or others
        # Other full nodes choose among the same ones, and should not all begin with the first.
        self._rng.shuffle(chosen)
        # What takes a dispatcher's time makes the whole pool wait: with dispatchers among the
        # targets 0.75 of the requests with the shortest objective were in time beside a flood,
        # without 0.88 (one played day of 85 nodes each).
        dispatchers = self._dispatchers()
        self._found = [m for m in chosen if m.node not in dispatchers]
        # Whoever else there is, where none of these can be connected to: a refusal is no better.
        self._last_resort = [m for m in others if m not in self._found]

    def began(self, node: str) -> None:
        """Take note that ``node`` was handed a request."""
        self._running[node] += 1

    def ended(self, node: str) -> None:
        """Take note that a request at ``node`` has ended."""
        self._running[node] -= 1
        if not self._running[node]:
            del self._running[node]

    def failed(self, node: str, now: float) -> None:
        """Take note that ``node`` could not be connected to."""
        self._failed_until[node] = now + FAILED_SECONDS
