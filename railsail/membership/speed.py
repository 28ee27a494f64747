"""The speed level of this node, so that only fast nodes dispatch.

A dispatcher on a node that is too small or was slowed down answers after its tickets have expired,
so that nothing is served although replicas are idle. Therefore each node times a small piece of
work and sends its level to the others, and dispatchers are chosen among the nodes of the highest
level. The level below is not fast enough: with it, a node with half a core dispatched a cell of 300
tickets a second, although there were six nodes with two cores.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from statistics import median

from railsail.membership.table import Member

# The piece of work that is timed takes about 50 microseconds on a core of 2026.
WORK_ROUNDS = 1_000
REFERENCE_SECONDS = 50e-6
# The level follows the median of this many samples: other processes make single samples slower, and
# a coarse clock makes single samples faster.
SAMPLES = 5
# Time between samples. A node that was slowed down is detected within three of them.
SAMPLE_SECONDS = 0.15
# A level is a factor of two. It changes only when the speed is this many levels away from it, so
# that a speed between two levels does not alternate between them.
HYSTERESIS = 0.75
# The level of a node rises only after its speed has been higher for this long: each change of
# dispatchers loses part of what they had learnt, and a node that was slow may become slow again.
RISE_SECONDS = 10.0
# Levels of the slowest and the fastest nodes that are distinguished. Messages hold levels as
# numbers from 0.
SLOWEST = -8
FASTEST = 8
# The level of a node that has not measured its speed yet. With a higher one, every node that starts
# would dispatch during its first second.
UNKNOWN_LEVEL = 0


def work() -> int:
    """Do the piece of work that is timed, and return its result."""
    total = 0
    for number in range(WORK_ROUNDS):
        total += number * number % 7
    return total


class SpeedMeter:
    """Measure the speed of this node by timing ``do`` with ``clock``, which returns seconds."""

    def __init__(self, clock: Callable[[], float], do: Callable[[], object] = work) -> None:
        self._clock = clock
        self._do = do
        self._taken: deque[float] = deque(maxlen=SAMPLES)
        self._level: int | None = None
        self._rises_since: float | None = None

    @property
    def level(self) -> int:
        """Return the level of this node, 0 for the slowest and until it is known."""
        return UNKNOWN_LEVEL if self._level is None else self._level - SLOWEST

    def sample(self) -> bool:
        """Time the work once, and return True if the level has changed."""
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
        """Return True if the level changes at ``now`` to that of ``speed``."""
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
    """Return the members that may dispatch: those of the highest level."""
    members = list(members)
    highest = max((member.speed for member in members), default=0)
    return [member for member in members if member.speed == highest]
