"""What each workspace was served lately, over a window of time.

Who stayed below its share for a while is owed the difference when it comes again: to start it level
with those that were served all along would give the steady ones more over any window. The credit is
the mean service of the workspaces that were served in the window.
"""

import math
from collections import Counter
from collections.abc import Iterable

# The window is followed in two halves: the older one is dropped when the newer one is full.
HALVES = 2


class RecentUsage:
    """Follow the service of the last ``window`` seconds, in cost units; 0 follows nothing."""

    def __init__(self, window: float) -> None:
        self._window = window
        self._now: Counter[str] = Counter()
        self._before: Counter[str] = Counter()
        self._asked_now: Counter[str] = Counter()
        self._asked_before: Counter[str] = Counter()
        self._since = 0.0

    def charge(self, workspace: str, cost: float, now: float) -> None:
        """Take in ``cost`` charged to ``workspace``; it is negative where an estimate was high."""
        if not self._window:
            return
        self._turn(now)
        self._now[workspace] += cost

    def asked(self, workspace: str, cost: float, now: float) -> None:
        """Take note that ``workspace`` asked for service of ``cost``."""
        if not self._window:
            return
        self._turn(now)
        self._asked_now[workspace] += cost

    def over_share(self, workspace: str, now: float) -> bool:
        """Say whether ``workspace`` was served its max-min share of the window or more.

        All that was served in the window is what there is to share; nobody's share exceeds what it
        asked for.
        """
        if not self._window:
            return False
        self._turn(now)
        served = self._now + self._before
        asked = self._asked_now + self._asked_before
        return served[workspace] >= max_min_level(asked.values(), served.total())

    def credit(self, now: float) -> float:
        """Return what a workspace that was not served in the window may be behind the others."""
        if not self._window:
            return 0.0
        self._turn(now)
        served = [cost for cost in (self._now + self._before).values() if cost > 0]
        return sum(served) / len(served) if served else 0.0

    def _turn(self, now: float) -> None:
        passed = now - self._since
        if passed < self._window / HALVES:
            return
        recent = passed < self._window
        self._before = self._now if recent else Counter()
        self._now = Counter()
        self._asked_before = self._asked_now if recent else Counter()
        self._asked_now = Counter()
        self._since = now


def max_min_level(asked: Iterable[float], capacity: float) -> float:
    """Return the level to which each of ``asked`` is met when ``capacity`` is shared max-min.

    It is infinite where all can be met.
    """
    left = capacity
    wanting = sorted(asked)
    for index, cost in enumerate(wanting):
        level = left / (len(wanting) - index)
        if cost > level:
            return level
        left -= cost
    return math.inf
