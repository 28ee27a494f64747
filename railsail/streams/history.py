"""Where streams may have begun recently: the pools of each host, and their software versions.

A stream whose origin has no record can be continued only if no stream can have begun anywhere else.
This takes a complete view of the recent past. A node that started a moment ago, or that could not
read the store for a while, may have missed a version that is gone again.
"""

import math
from collections.abc import Collection, Mapping
from typing import Generic, TypeVar

from railsail.streams.origins import StreamOrigin

T = TypeVar("T")


class _RecentItems(Generic[T]):
    """The items of a set that changes, and those that left it recently."""

    def __init__(self) -> None:
        self._current: frozenset[T] = frozenset()
        self._left_at: dict[T, float] = {}

    def update(self, items: Collection[T], now: float) -> None:
        """Replace the current items."""
        current = frozenset(items)
        for item in self._current - current:
            self._left_at[item] = now
        self._current = current

    def since(self, since: float) -> set[T]:
        """Return the items that were in the set at any time after ``since``."""
        self._left_at = {item: at for item, at in self._left_at.items() if at >= since}
        return {*self._current, *self._left_at}


class OriginHistory:
    """The origins that streams may have had in the last ``window`` seconds.

    Times are in seconds of a monotonic clock. ``first_start`` is True if the fleet has not run
    before this process, so that there is nothing from before that it could have missed.
    """

    def __init__(self, first_start: bool, now: float) -> None:
        self._complete_since = -math.inf if first_start else now
        self._pools: dict[str, _RecentItems[str]] = {}
        self._versions: dict[str, _RecentItems[str]] = {}
        # Set by the first configuration; before it, nothing is known of callers.
        self.window = math.inf

    def observe_pools(self, pools_of_hosts: Mapping[str, Collection[str]], now: float) -> None:
        """Record the pools whose streams can be requested at each host."""
        _update_all(self._pools, pools_of_hosts, now)

    def observe_versions(
        self, versions_of_pools: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Record the software versions of the replicas of each pool."""
        _update_all(self._versions, versions_of_pools, now)

    def interrupt(self, now: float) -> None:
        """Record that changes may have been missed until ``now``."""
        self._complete_since = now

    def is_complete(self, now: float) -> bool:
        """Return True if no change in the window can have been missed."""
        return now - self._complete_since >= self.window

    def origins(self, host: str, now: float) -> set[StreamOrigin]:
        """Return where streams of ``host`` may have begun in the window, as far as known here."""
        since = now - self.window
        pools = self._pools[host].since(since) if host in self._pools else set()
        return {
            StreamOrigin(pool, version)
            for pool in pools
            if pool in self._versions
            for version in self._versions[pool].since(since)
        }


def _update_all(
    recent: dict[str, _RecentItems[str]], current: Mapping[str, Collection[str]], now: float
) -> None:
    for name in {*recent, *current}:
        recent.setdefault(name, _RecentItems()).update(current.get(name, ()), now)
