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
REFERENCE_WORK_SECONDS = 50e-6
# The level follows the median of this many samples: other processes make single samples slower, and
# a coarse clock makes single samples faster.
SAMPLES = 5
# Time between samples. A node that was slowed down is detected within three of them.
SAMPLE_SECONDS = 0.15
# A level is a factor of two. It changes only when the speed is this many levels away from it, so
# that a speed between two levels does not alternate between them.
HYSTERESIS_LEVELS = 0.75
# The level of a node rises only after its speed has been higher for this long: each change of
# dispatchers loses part of what they had learnt, and a node that was slow may become slow again.
RISE_SECONDS = 10.0
# Levels of the slowest and the fastest nodes that are distinguished. Messages hold levels as
# numbers from 0.
MIN_LEVEL = -8
MAX_LEVEL = 8
# The level of a node that has not measured its speed yet. With a higher one, every node that starts
# would dispatch during its first second.
UNKNOWN_LEVEL = 0


def reference_work() -> int:
    """Do the piece of work that is timed, and return its result."""
    total = 0
    for number in range(WORK_ROUNDS):
        total += number * number % 7
    return total


class SpeedMeter:
    """Measure the speed of this node by timing ``work`` with ``clock``, which returns seconds."""

    def __init__(
        self, clock: Callable[[], float], work: Callable[[], object] = reference_work
    ) -> None:
        self._clock = clock
        self._work = work
        self._durations: deque[float] = deque(maxlen=SAMPLES)
        self._level: int | None = None
        self._faster_since: float | None = None

    @property
    def level(self) -> int:
        """Return the level of this node, 0 for the slowest and until it is known."""
        return UNKNOWN_LEVEL if self._level is None else self._level - MIN_LEVEL

    def sample(self) -> bool:
        """Time the work once, and return True if the level has changed."""
        started_at = self._clock()
        self._work()
        self._durations.append(max(self._clock() - started_at, 1e-9))
        if len(self._durations) < SAMPLES:
            return False
        speed = math.log2(REFERENCE_WORK_SECONDS / median(self._durations))
        speed = min(max(speed, MIN_LEVEL), MAX_LEVEL)
        if not self._changes_level(speed, started_at):
            return False
        previous = self.level
        self._level = round(speed)
        return self.level != previous

    def _changes_level(self, speed: float, now: float) -> bool:
        """Return True if the level changes at ``now`` to that of ``speed``."""
        if self._level is None or speed <= self._level - HYSTERESIS_LEVELS:
            self._faster_since = None
            return True
        if speed < self._level + HYSTERESIS_LEVELS:
            self._faster_since = None
            return False
        if self._faster_since is None:
            self._faster_since = now
        return now - self._faster_since >= RISE_SECONDS


def fast_enough(members: Iterable[Member]) -> list[Member]:
    """Return the members that may dispatch: those of the highest level."""
    members = list(members)
    highest = max((member.speed for member in members), default=0)
    return [member for member in members if member.speed == highest]
