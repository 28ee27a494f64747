"""How fast this node computes, so that the fleet's decisions are made where they are made quickly.

A dispatcher on a node that was slowed down, or is too small, answers after its tickets have
expired: nothing is served while replicas are idle. So each node times a small piece of work, and
tells the others its level; dispatchers are chosen among the nodes of the highest level. With those
of the level below as well, a cell of 300 tickets a second was dispatched by a node with half a core
beside six with two.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from statistics import median

from railsail.membership.table import Member

# The piece of work that is timed: about 50 microseconds of a core of 2026.
WORK_ROUNDS = 1_000
REFERENCE_SECONDS = 50e-6
# The median of so many samples counts: what else runs on the machine makes single ones slower, a
# coarse clock makes single ones faster.
SAMPLES = 5
# Seconds between samples: a node that was slowed down is found out within three of them.
SAMPLE_SECONDS = 0.15
# A level is a factor of two; one is left only when the speed is this many levels away from it, so
# that a speed between two levels does not make them change by turns.
HYSTERESIS = 0.75
# A node that was slow is taken for fast again only after so many seconds: each change of
# dispatchers loses some of what they had learnt, and whoever was slow once may be so again.
RISE_SECONDS = 10.0
# Level of the slowest nodes that are told apart; levels are told as numbers from 0.
SLOWEST = -8
FASTEST = 8
# The level of a node that has not measured itself yet: it would be taken for a fast one else, and
# every node that starts would dispatch for its first second.
UNKNOWN_LEVEL = 0


def work() -> int:
    """Do the piece of work that is timed, and return something of it."""
    total = 0
    for number in range(WORK_ROUNDS):
        total += number * number % 7
    return total


class SpeedMeter:
    """Follow the speed of this node by timing ``do`` with ``clock``, which tells seconds."""

    def __init__(self, clock: Callable[[], float], do: Callable[[], object] = work) -> None:
        self._clock = clock
        self._do = do
        self._taken: deque[float] = deque(maxlen=SAMPLES)
        self._level: int | None = None
        self._rises_since: float | None = None

    @property
    def level(self) -> int:
        """Return the level of this node, 0 for the slowest and while it is not known."""
        return UNKNOWN_LEVEL if self._level is None else self._level - SLOWEST

    def sample(self) -> bool:
        """Time the work once, and say whether the level has changed."""
        begun = self._clock()
        self._do()
        self._taken.append(max(self._clock() - begun, 1e-9))
        if len(self._taken) < SAMPLES:
            return False
        speed = math.log2(REFERENCE_SECONDS / median(self._taken))
        speed = min(max(speed, SLOWEST), FASTEST)
        if not self._leaves(speed, begun):
            return False
        before = self.level
        self._level = round(speed)
        return self.level != before

    def _leaves(self, speed: float, now: float) -> bool:
        """Say whether the level is to be left at ``now`` for that of ``speed``."""
        if self._level is None or speed <= self._level - HYSTERESIS:
            self._rises_since = None
            return True
        if speed < self._level + HYSTERESIS:
            self._rises_since = None
            return False
        if self._rises_since is None:
            self._rises_since = now
        return now - self._rises_since >= RISE_SECONDS


def fast_enough(members: Iterable[Member]) -> list[Member]:
    """Return those of ``members`` that may dispatch."""
    members = list(members)
    highest = max((member.speed for member in members), default=0)
    return [member for member in members if member.speed == highest]
