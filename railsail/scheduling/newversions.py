"""How long a software version that appears in a pool beside another one is sent nothing.

An operator's order may reach a node later than the entries of the replicas that were started for
it. A replica that has just started is cold, so that a moment's hold costs little where replicas are
replaced without an order.
"""

import math
from collections.abc import Mapping

# An order has reached the nodes in touch this many seconds after the first replica of its version.
HOLD_SECONDS = 1.0
# Replicas that have run for longer are not those of an order that is still on its way.
RECENT_SECONDS = 10.0
# Versions that are remembered of each pool.
MOST_VERSIONS = 1000


class NewVersions:
    """Follow which versions a pool has; times are in seconds of a monotonic clock."""

    def __init__(self) -> None:
        # Until when each version that was seen in a pool is held, and those that work there now.
        self._until: dict[str, dict[str, float]] = {}
        self._working: dict[str, frozenset[str]] = {}

    def observe(self, pool: str, ages: Mapping[str, float], now: float) -> None:
        """Take note of the versions that work in ``pool``, and of how old each is, in seconds.

        Versions that are seen first together are not held, since a process that starts learns of
        orders before it dispatches, and neither is one whose replicas have run for a while.
        """
        known = self._until.setdefault(pool, {})
        first = not known
        for version, age in ages.items():
            held = not first and age < RECENT_SECONDS
            known.setdefault(version, now + HOLD_SECONDS if held else -math.inf)
        while len(known) > MOST_VERSIONS:
            del known[next(iter(known))]
        self._working[pool] = frozenset(ages)

    def held(self, pool: str) -> Mapping[str, float]:
        """Return until when each version of ``pool`` is sent nothing.

        One that alone works there now is not held.
        """
        several = len(self._working.get(pool, ())) > 1
        return self._until[pool] if several else {}
