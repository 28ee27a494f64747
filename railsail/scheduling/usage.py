"""What each workspace asked for and was served lately, over a window of time.

Who stayed below its share for a while is owed the difference when it comes again: to start it level
with those that were served all along would give the steady ones more over any window. The credit is
the mean service, per weight, of the workspaces that were served in the window.

While there is not enough for all, whoever had its max-min share of the window stands back.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

# The level of shares is computed anew after so many seconds: it changes by a few hundredths of the
# window in that time, and to compute it for each ticket takes 30 microseconds of 30 workspaces.
LEVEL_SECONDS = 0.05
# The window is followed in two halves: the older one is dropped when the newer one is full.
HALVES = 2


@dataclass
class Half:
    """One half of the window: when it began, and cost units by workspace."""

    since: float = 0.0
    asked: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)


class Share(msgspec.Struct, frozen=True):
    """What a workspace asked for in the window, and what it was served, in cost units."""

    workspace: str
    asked: float
    served: float


class RecentUsage:
    """Follow the service of the last ``window`` seconds, in cost units; 0 follows nothing."""

    def __init__(self, window: float, weight_of: Callable[[str], float]) -> None:
        self._window = window
        self._weight_of = weight_of
        self._now = Half()
        self._before = Half()
        self._level = math.inf
        self._level_until = -math.inf

    @property
    def follows(self) -> bool:
        """Say whether there is a window, and so a share of it."""
        return self._window > 0

    def charge(self, workspace: str, cost: float, now: float) -> None:
        """Take in ``cost`` charged to ``workspace``; it is negative where an estimate was high."""
        if self._window:
            self._turn(now)
            self._now.served[workspace] += cost

    def asked(self, workspace: str, cost: float, now: float) -> None:
        """Take note that ``workspace`` asked for service of ``cost``."""
        if self._window:
            self._turn(now)
            self._now.asked[workspace] += cost

    def over_share(self, workspace: str, now: float) -> bool:
        """Say whether ``workspace`` was served its max-min share of the window or more.

        What was served in the window is what there is to share.
        """
        if not self._window:
            return False
        return self._served(workspace) >= self.level(now) * self._weight_of(workspace)

    def level(self, now: float) -> float:
        """Return what each workspace may be served in the window, in cost units per weight."""
        if now >= self._level_until:
            self._turn(now)
            self._level_until = now + LEVEL_SECONDS
            shares = self._shares()
            wanted = [(share.asked, self._weight_of(share.workspace)) for share in shares]
            self._level = max_min_level(wanted, sum(share.served for share in shares))
        return self._level

    def largest(self, most: int, now: float) -> list[Share]:
        """Return the shares of the ``most`` workspaces that asked for most, in that order."""
        self._turn(now)
        return sorted(self._shares(), key=lambda share: share.asked, reverse=True)[:most]

    def _shares(self) -> list[Share]:
        names = self._now.asked.keys() | self._before.asked.keys()
        return [Share(name, self._asked(name), self._served(name)) for name in sorted(names)]

    def _asked(self, workspace: str) -> float:
        return self._now.asked[workspace] + self._before.asked[workspace]

    def _served(self, workspace: str) -> float:
        return self._now.served[workspace] + self._before.served[workspace]

    def credit(self, now: float) -> float:
        """Return what a workspace that was not served in the window may be behind the others."""
        if not self._window:
            return 0.0
        self._turn(now)
        served = (self._now.served + self._before.served).items()
        levels = [cost / self._weight_of(name) for name, cost in served if cost > 0]
        return sum(levels) / len(levels) if levels else 0.0

    def _turn(self, now: float) -> None:
        passed = now - self._now.since
        if passed < self._window / HALVES:
            return
        # After a pause of a whole window nothing of it is recent.
        self._before = self._now if passed < self._window else Half(now)
        self._now = Half(now)


def max_min_level(wanted: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the level per weight to which demands are met when ``capacity`` is shared max-min.

    ``wanted`` are demands with their weights. The level is infinite where all can be met.
    """
    demands = sorted(wanted, key=lambda demand: demand[0] / demand[1])
    left = capacity
    weights = sum(weight for _, weight in demands)
    for cost, weight in demands:
        level = left / weights
        if cost > level * weight:
            return level
        left -= cost
        weights -= weight
    return math.inf
