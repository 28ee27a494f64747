"""Where streams may have begun recently: the pools of each host, and their software versions.

A stream whose origin has no record can be continued only if no stream can have begun anywhere else.
This takes a complete view of the recent past. A node that started a moment ago, or that could not
read the store for a while, may have missed a version that is gone again. It needs what other nodes
have stored about the time before.
"""

import math
from collections.abc import Collection, Mapping
from typing import Generic, TypeVar

from railsail.streams.origins import StreamOrigin
from railsail.streams.stored import HostPool, Place, PoolVersion

T = TypeVar("T")


class _RecentItems(Generic[T]):
    """The items of a set that changes, and those that left it recently."""

    def __init__(self) -> None:
        self._current: frozenset[T] = frozenset()
        self._left_at: dict[T, float] = {}

    def update(self, items: Collection[T], now: float) -> bool:
        """Replace the current items, and return True if that changes them."""
        current = frozenset(items)
        if current == self._current:
            return False
        for item in self._current - current:
            self._left_at[item] = now
        self._current = current
        return True

    def add_former(self, item: T, now: float) -> None:
        """Add an item that was in the set until now, if it is not in it any more."""
        self._left_at[item] = now

    @property
    def oldest_left_at(self) -> float:
        """Return when the first one of the former items left, infinite if there is none."""
        return min(self._left_at.values(), default=math.inf)

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
        # The hosts and pools whose places before this process, or before an interruption, are known
        # from the store.
        self._restored_hosts: frozenset[str] = frozenset()
        self._restored_pools: frozenset[str] = frozenset()
        # Set by the first configuration; before it, nothing is known of callers.
        self.window = math.inf
        # Derived from the items, until they change or the first one can be forgotten.
        self._places: frozenset[Place] | None = None
        self._ambiguous_pools: frozenset[str] | None = None
        self._forget_at = math.inf

    def observe_pools(self, pools_of_hosts: Mapping[str, Collection[str]], now: float) -> bool:
        """Record the pools to which streams of each host are routed; return True if any changed."""
        return self._observe(self._pools, pools_of_hosts, now)

    def observe_versions(
        self, versions_of_pools: Mapping[str, Collection[str]], now: float
    ) -> bool:
        """Record the software versions of the replicas of each pool; return True if any changed."""
        return self._observe(self._versions, versions_of_pools, now)

    def _observe(
        self,
        recent: dict[str, _RecentItems[str]],
        current: Mapping[str, Collection[str]],
        now: float,
    ) -> bool:
        changed = False
        for name in {*recent, *current}:
            changed |= recent.setdefault(name, _RecentItems()).update(current.get(name, ()), now)
        if changed:
            self._forget_derived(now)
        return changed

    def _forget_derived(self, now: float) -> None:
        """Forget what was derived from the items, and find out when the next one is forgotten."""
        self._places = self._ambiguous_pools = None
        recent = (*self._pools.values(), *self._versions.values())
        since = now - self.window
        for items in recent:
            items.since(since)
        oldest = min((items.oldest_left_at for items in recent), default=math.inf)
        self._forget_at = oldest + self.window

    def interrupt(self, now: float) -> None:
        """Record that changes may have been missed until ``now``."""
        self._complete_since = now
        self._restored_hosts = self._restored_pools = frozenset()

    def restore(self, places: Collection[Place], now: float) -> None:
        """Add all places of streams that other nodes know of the time before ``now``."""
        for place in places:
            if isinstance(place, HostPool):
                self._pools.setdefault(place.host, _RecentItems()).add_former(place.pool, now)
            else:
                recent = self._versions.setdefault(place.pool, _RecentItems())
                recent.add_former(place.software_version, now)
        self._forget_derived(now)
        self._restored_hosts = frozenset(p.host for p in places if isinstance(p, HostPool))
        self._restored_pools = frozenset(p.pool for p in places if isinstance(p, PoolVersion))

    def add_versions(self, versions: Collection[PoolVersion], now: float) -> bool:
        """Add versions that replicas had at some time until ``now``; return True if any is new."""
        since = now - self.window
        is_new = False
        for place in versions:
            recent = self._versions.setdefault(place.pool, _RecentItems())
            is_new |= place.software_version not in recent.since(since)
            recent.add_former(place.software_version, now)
        if versions:
            self._forget_derived(now)
        return is_new

    def observed_whole_window(self, now: float) -> bool:
        """Return True if this node itself has seen all changes in the window."""
        return now - self._complete_since >= self.window

    def is_trusted(self, now: float) -> bool:
        """Return True if all places in the window are known, from the store or by this node."""
        is_restored = bool(self._restored_hosts or self._restored_pools)
        return is_restored or self.observed_whole_window(now)

    def is_complete(self, host: str, now: float) -> bool:
        """Return True if no origin that streams of ``host`` had in the window can be missing."""
        if self.observed_whole_window(now):
            return True
        if math.isinf(self.window) or host not in self._restored_hosts:
            return False
        return self._pools[host].since(now - self.window) <= self._restored_pools

    def places(self, now: float) -> frozenset[Place]:
        """Return all places that streams may have begun in within the window."""
        if now > self._forget_at:
            self._forget_derived(now)
        if self._places is None:
            self._places = self._find_places(now - self.window)
        return self._places

    def _find_places(self, since: float) -> frozenset[Place]:
        hosts = {
            HostPool(h, pool) for h, found in self._pools.items() for pool in found.since(since)
        }
        versions = {
            PoolVersion(pool, version)
            for pool in {place.pool for place in hosts}
            if pool in self._versions
            for version in self._versions[pool].since(since)
        }
        return frozenset((*hosts, *versions))

    def ambiguous_pools(self, now: float) -> frozenset[str]:
        """Return the pools of hosts whose streams may have begun in more than one place."""
        if now > self._forget_at:
            self._forget_derived(now)
        if self._ambiguous_pools is None:
            found = (self.origins(host, now) for host in self._pools)
            self._ambiguous_pools = frozenset(
                origin.pool for origins in found if len(origins) > 1 for origin in origins
            )
        return self._ambiguous_pools

    def origins(self, host: str, now: float, others: Collection[Place] = ()) -> set[StreamOrigin]:
        """Return where streams of ``host`` may have begun in the window, as far as known here.

        ``others`` are further places that may have been in use in the window.
        """
        since = now - self.window
        pools = self._pools[host].since(since) if host in self._pools else set()
        pools |= {p.pool for p in others if isinstance(p, HostPool) and p.host == host}
        origins = {
            StreamOrigin(place.pool, place.software_version)
            for place in others
            if isinstance(place, PoolVersion) and place.pool in pools
        }
        return origins | {
            StreamOrigin(pool, version)
            for pool in pools
            if pool in self._versions
            for version in self._versions[pool].since(since)
        }
