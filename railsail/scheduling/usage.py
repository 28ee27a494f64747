"""What each workspace requested and was served during the last seconds.

A workspace that stayed below its share for a while is owed the difference when it sends requests
again: if it started level with those that were served in the meantime, they would get more than it
over any window. Its credit is the mean service, per weight, of the workspaces that were served in
the window.

While not all can be served, a workspace that has had its max-min share of the window gives way to
the others.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

# The level of shares is computed again after this many seconds. It changes by a few hundredths of
# the window in that time; computing it for each ticket takes 30 microseconds with 30 workspaces.
LEVEL_INTERVAL_SECONDS = 0.05
# The window is kept in two halves; the older one is dropped when the newer one is full.
HALVES = 2


@dataclass
class HalfWindow:
    """One half of the window: its start, and cost units by workspace."""

    since: float = 0.0
    requested: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)


class Share(msgspec.Struct, frozen=True):
    """What a workspace requested and was served in the window, in cost units."""

    workspace: str
    asked: float
    served: float


class RecentUsage:
    """The service of the last ``window`` seconds, in cost units; a window of 0 records nothing."""

    def __init__(self, window: float, weight_of: Callable[[str], float]) -> None:
        self._window = window
        self._weight_of = weight_of
        self._current = HalfWindow()
        self._previous = HalfWindow()
        self._level = math.inf
        self._level_until = -math.inf

    @property
    def is_enabled(self) -> bool:
        """Return True if there is a window, and with it a share for each workspace."""
        return self._window > 0

    def charge(self, workspace: str, cost: float, now: float) -> None:
        """Record ``cost`` charged to ``workspace``, negative where an estimate was too high."""
        if self._window:
            self._rotate(now)
            self._current.served[workspace] += cost

    def record_request(self, workspace: str, cost: float, now: float) -> None:
        """Record that ``workspace`` requested service of ``cost``."""
        if self._window:
            self._rotate(now)
            self._current.requested[workspace] += cost

    def over_share(self, workspace: str, now: float) -> bool:
        """Return True if ``workspace`` was served its max-min share of the window or more.

        The capacity that is shared is what was served in the window.
        """
        if not self._window:
            return False
        return self._served(workspace) >= self.level(now) * self._weight_of(workspace)

    def level(self, now: float) -> float:
        """Return what each workspace may be served in the window, in cost units per weight."""
        if now >= self._level_until:
            self._rotate(now)
            self._level_until = now + LEVEL_INTERVAL_SECONDS
            shares = self._shares()
            demands = [(share.asked, self._weight_of(share.workspace)) for share in shares]
            self._level = max_min_level(demands, sum(share.served for share in shares))
        return self._level

    def largest(self, count: int, now: float) -> list[Share]:
        """Return the shares of the ``count`` workspaces with the largest demands, sorted."""
        self._rotate(now)
        return sorted(self._shares(), key=lambda share: share.asked, reverse=True)[:count]

    def _shares(self) -> list[Share]:
        names = self._current.requested.keys() | self._previous.requested.keys()
        return [Share(name, self._requested(name), self._served(name)) for name in sorted(names)]

    def _requested(self, workspace: str) -> float:
        return self._current.requested[workspace] + self._previous.requested[workspace]

    def _served(self, workspace: str) -> float:
        return self._current.served[workspace] + self._previous.served[workspace]

    def credit(self, now: float) -> float:
        """Return how far a workspace without service in the window may be ahead of the others."""
        if not self._window:
            return 0.0
        self._rotate(now)
        served = (self._current.served + self._previous.served).items()
        levels = [cost / self._weight_of(name) for name, cost in served if cost > 0]
        return sum(levels) / len(levels) if levels else 0.0

    def _rotate(self, now: float) -> None:
        elapsed = now - self._current.since
        if elapsed < self._window / HALVES:
            return
        # After a pause of a whole window, nothing is recent.
        self._previous = self._current if elapsed < self._window else HalfWindow(now)
        self._current = HalfWindow(now)


def max_min_level(weighted_demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the level per weight up to which demands are met when ``capacity`` is shared max-min.

    Each of ``weighted_demands`` is a demand and its weight. The level is infinite if all can be
    met.
    """
    demands = sorted(weighted_demands, key=lambda demand: demand[0] / demand[1])
    remaining = capacity
    weights = sum(weight for _, weight in demands)
    for cost, weight in demands:
        level = remaining / weights
        if cost > level * weight:
            return level
        remaining -= cost
        weights -= weight
    return math.inf
