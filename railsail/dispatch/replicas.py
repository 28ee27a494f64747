"""Configure cell dispatchers with the replicas of their cells, and the state of each replica."""

from collections.abc import Callable, Mapping

import msgspec

from railsail.core.clock import Clock
from railsail.dispatch.cellmap import CellMap
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.newversions import NewVersions
from railsail.scheduling.warmup import WarmupBound
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.records import Upstream


class FleetBounds(msgspec.Struct, frozen=True):
    """Limits and facts that apply to the whole fleet, not to single replicas.

    In any second, all nodes together can send a cold replica ``cold_over`` times as many calls as
    it sustains, plus ``cold_slack`` calls. ``share`` returns the part of the fleet that this node
    can reach, from 0 to 1. ``domain_regions`` maps failure domains to regions.
    """

    cold_over: float = 1.0
    cold_slack: float = 0.0
    share: Callable[[], float] = lambda: 1.0
    domain_regions: Mapping[str, str] = msgspec.field(default_factory=dict)

    def warmup_bound(self, pool: Pool) -> WarmupBound:
        """Return the bound on the calls that a cold replica of ``pool`` is sent."""
        return WarmupBound(pool.warmup_rate, pool.cold_seconds, self.cold_over, self.cold_slack)


class CellReplicas:
    """Applies the directory's and the configuration's data on replicas to cell dispatchers."""

    def __init__(
        self,
        cells: CellMap,
        directory: UpstreamDirectory,
        catalog: Callable[[], Catalog],
        bounds: FleetBounds,
        clock: Clock,
    ) -> None:
        self._cells = cells
        self._directory = directory
        self._catalog = catalog
        self._bounds = bounds
        self._clock = clock
        self._new_versions = NewVersions()
        directory.on_change(self._observe_versions)

    def _observe_versions(self) -> None:
        """Record the software versions of each pool that accept work, and their ages in seconds."""
        if not self._directory.follows_rollouts:
            return
        now = self._clock.monotonic()
        wall = self._clock.wall()
        pools: dict[str, dict[str, float]] = {}
        for upstream in self._directory.all():
            if self._directory.takes_work(upstream):
                ages = pools.setdefault(upstream.pool, {})
                version = upstream.software_version
                age = wall - upstream.born / 1000 if upstream.born else 0.0
                ages[version] = max(ages.get(version, age), age)
        for pool, ages in pools.items():
            self._new_versions.observe(pool, ages, now)

    def update(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Set the replicas of ``cell``, with their slots, start times, regions and versions."""
        pool = self._catalog().pool(cell.pool)
        default_slots = pool.slots if pool else 0
        names = self._cells.cells(cell.pool).get(cell, [])
        found = {name: self._directory.get(name) for name in names}
        known = {name: upstream for name, upstream in found.items() if upstream is not None}
        leaving = [name for name in names if self._is_leaving(known.get(name))]
        start_times = {name: upstream.born for name, upstream in known.items()}
        reported_slots = {name: upstream.slots for name, upstream in known.items()}
        slots = {name: reported_slots.get(name, 0) or default_slots for name in names}
        dispatcher.set_replicas(slots, leaving, start_times)
        regions = self._bounds.domain_regions
        dispatcher.set_regions({n: regions.get(u.failure_domain, "") for n, u in known.items()})
        self._set_versions(cell, dispatcher, known)
        self.set_cold(cell, dispatcher)

    def _set_versions(
        self, cell: Cell, dispatcher: CellDispatcher, known: Mapping[str, Upstream]
    ) -> None:
        dispatcher.set_order(self._directory.rollout(cell.pool), round(self._clock.wall() * 1000))
        versions = {name: upstream.software_version for name, upstream in known.items()}
        dispatcher.set_versions(versions, self._new_versions.held(cell.pool))

    def _is_leaving(self, upstream: Upstream | None) -> bool:
        return upstream is None or not self._directory.takes_work(upstream)

    def set_cold(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Set which replicas are cold, and this node's share of the calls that they can be sent."""
        pool = self._catalog().pool(cell.pool)
        if pool is None or not pool.warmup_rate:
            return
        bound = self._bounds.warmup_bound(pool)
        dispatcher.set_bound(bound, self._bounds.share())
        now = self._clock.monotonic()
        for name in dispatcher.replicas:
            seconds = self._directory.cold_seconds(name, bound.seconds)
            if seconds > 0:
                dispatcher.set_cold(name, seconds, now)
