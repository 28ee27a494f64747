"""How long a software version that appears in a pool beside another one receives no calls.

An operator's order may reach a node later than the records of the replicas that were started for
it. Without this hold, the node would send them ordinary traffic. Where replicas are replaced
without an order the hold costs little, because a replica that has just started is cold.
"""

import math
from collections.abc import Mapping

# An order reaches all connected nodes within this many seconds of the first replica of its version.
HOLD_SECONDS = 1.0
# Replicas that have run for longer do not belong to an order that is still on its way.
RECENT_SECONDS = 10.0
# Versions that are remembered of each pool; the oldest are dropped when there are more.
MAX_VERSIONS = 1000


class NewVersions:
    """The versions that each pool has; times are in seconds of a monotonic clock."""

    def __init__(self) -> None:
        # The time until which each version ever seen in a pool is held, and the versions of its
        # current replicas.
        self._held_until: dict[str, dict[str, float]] = {}
        self._current: dict[str, frozenset[str]] = {}

    def observe(self, pool: str, ages: Mapping[str, float], now: float) -> None:
        """Record the versions that run in ``pool``, and the age of each in seconds.

        Versions that the first call for a pool names are not held, because a starting process
        learns of the orders before it dispatches. Neither is a version whose replicas have run for
        a while.
        """
        known = self._held_until.setdefault(pool, {})
        is_first = not known
        for version, age in ages.items():
            hold = not is_first and age < RECENT_SECONDS
            known.setdefault(version, now + HOLD_SECONDS if hold else -math.inf)
        while len(known) > MAX_VERSIONS:
            del known[next(iter(known))]
        self._current[pool] = frozenset(ages)

    def held(self, pool: str) -> Mapping[str, float]:
        """Return the time until which each version of ``pool`` receives no calls.

        No version is held while there is only one.
        """
        several = len(self._current.get(pool, ())) > 1
        return self._held_until[pool] if several else {}
