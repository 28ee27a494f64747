"""The cells of each pool, and the member that dispatches each cell.

All nodes that know the same replicas and members compute the same result. In a fleet of several
regions, each cell belongs to one region and is dispatched by a node there, and an entry prefers the
cells of its own region. ``docs/design/regions.md`` has the reasons.
"""

from collections.abc import Callable

from railsail.dispatch.regions import FleetRegions
from railsail.membership.placement import choose, rank
from railsail.scheduling.cells import Cell, cut_by_region, spread
from railsail.upstreams.directory import UpstreamDirectory

# An entry sends tickets without a shared prompt prefix to at most this many cells of a pool, which
# bounds the number of its links.
MAX_PREFERRED_CELLS = 4
# Bounds the cache of prefix owners. Computing an owner takes 72 microseconds for 78 replicas, too
# long to do it for each request.
MAX_CACHED_OWNERS = 4096


class CellMap:
    """Divides pools into cells, and assigns a dispatcher to each cell.

    ``usable`` returns the nodes that this node can use as dispatchers: those of a region if it is
    given one, else all. ``limit`` is the maximum number of replicas in a cell. With ``local`` every
    node dispatches for itself, which is the baseline that benchmarks compare with.
    """

    def __init__(
        self,
        own: str,
        directory: UpstreamDirectory,
        usable: Callable[..., list[str]],
        limit: int,
        local: bool,
        regions: FleetRegions | None = None,
    ) -> None:
        self._own = own
        self._directory = directory
        self._usable = usable
        self._limit = limit
        self._local = local
        self._regions = regions or FleetRegions()
        self._cells: dict[str, dict[Cell, list[str]]] = {}
        self._dispatchers: dict[Cell, str] = {}
        self._nodes_of_region: dict[str, list[str]] = {}
        self._usable_cells: dict[tuple[str, tuple[str, ...]], list[Cell]] = {}
        self._reachable_cells: dict[tuple[str, tuple[str, ...]], list[Cell]] = {}
        # Keyed by pool, prompt prefix, and the numbers of the candidate cells.
        self._prefix_owners: dict[tuple[str, int, tuple[int, ...]], str | None] = {}
        directory.on_change(self._replicas_changed)

    def _replicas_changed(self) -> None:
        self._prefix_owners.clear()
        self.forget()

    def forget(self) -> None:
        """Drop all cached results but the prefix owners; they are recomputed on demand."""
        self._cells.clear()
        self._dispatchers.clear()
        self._nodes_of_region.clear()
        self._usable_cells.clear()
        self._reachable_cells.clear()

    def cells(self, pool: str) -> dict[Cell, list[str]]:
        """Return the replicas of each cell of ``pool``."""
        if pool not in self._cells:
            upstreams = self._directory.of_pool(pool)
            by_domain = self._regions.by_domain
            regions = {each.name: by_domain.get(each.failure_domain, "") for each in upstreams}
            settled = {u.name: regions[u.name] for u in upstreams if self._directory.settled(u)}
            cells = cut_by_region(pool, settled or regions, self._limit, self._regions.names)
            # Replicas that a rollout is trying, or has stopped, do not change how a pool is cut.
            # They are added to its cells evenly, since a cell needs replicas of both versions.
            self._cells[pool] = spread(cells, regions)
        return self._cells[pool]

    def cell(self, pool: str, number: int) -> Cell:
        """Return the cell of ``pool`` with ``number``, or another cell if there is none."""
        cells = list(self.cells(pool))
        matching = (cell for cell in cells if cell.number == number)
        return next(matching, cells[min(number, len(cells) - 1)])

    def dispatcher(self, cell: Cell) -> str:
        """Return the node that dispatches ``cell``, or this node if no node is usable."""
        if self._local:
            return self._own
        if cell not in self._dispatchers:
            ranked = rank(f"cell {cell}", self._nodes(cell.region))
            self._dispatchers[cell] = ranked[0] if ranked else self._own
        return self._dispatchers[cell]

    def _nodes(self, region: str) -> list[str]:
        """Return the usable nodes of ``region``, or all usable nodes if it has none."""
        if region not in self._nodes_of_region:
            in_region = self._usable(region) if region else self._usable()
            self._nodes_of_region[region] = in_region or (self._nodes("") if region else [])
        return self._nodes_of_region[region]

    def remote_dispatchers(self, pool: str) -> set[str]:
        """Return the nodes that dispatch the cells of ``pool`` in other regions than this one."""
        cells = [c for c in self.cells(pool) if c.region and c.region != self._regions.own]
        return {self.dispatcher(cell) for cell in cells}

    def round_trip_seconds(self, entry: str, dispatcher: str) -> float:
        """Return the seconds of a round trip between two nodes in different regions, else 0."""
        return self._regions.round_trip_seconds(entry, dispatcher)

    def owner_cell(
        self, pool: str, prefix: int, regions: tuple[str, ...] = (), anywhere: bool = False
    ) -> Cell:
        """Return the cell of the replica that owns ``prefix``, and should have it in its cache.

        All entries of a region compute the same owner, however the pool is cut, so that one cell
        prefills the prefix and not each of them. With ``anywhere`` the owner is the same for the
        entries of all regions, and can be in any region.
        """
        cells_for = self.reachable_cells if anywhere else self.usable_cells
        cells = cells_for(pool, regions)
        owner = self._prefix_owner(pool, prefix, cells)
        return next((cell for cell in cells if owner in self.cells(pool)[cell]), cells[0])

    def continuation_cell(
        self, pool: str, version: str, prefix: int, regions: tuple[str, ...] = ()
    ) -> Cell:
        """Return the cell where a stream that ``version`` began is continued.

        It has a replica of that version, if any cell has one. Cells of this region are preferred,
        and among these the one whose replica of the version owns ``prefix``.
        """
        allowed = self._allowed(pool, regions)
        cells = [cell for cell in allowed if self.has_version(cell, version)] or allowed
        cells = [cell for cell in cells if cell.region == self._regions.own] or cells
        if not prefix or len(cells) == 1:
            return self._ranked(cells)[0]
        replicas = {name: cell for cell in cells for name in self._of_version(cell, version)}
        owner = choose(str(prefix), replicas)
        return replicas[owner] if owner is not None else cells[0]

    def has_version(self, cell: Cell, version: str) -> bool:
        """Return True if ``cell`` has a replica of ``version`` that accepts new work."""
        return bool(self._of_version(cell, version))

    def _of_version(self, cell: Cell, version: str) -> list[str]:
        found = (self._directory.get(name) for name in self.cells(cell.pool).get(cell, ()))
        return [
            upstream.name
            for upstream in found
            if upstream is not None
            and upstream.software_version == version
            and self._directory.takes_work(upstream)
        ]

    def _prefix_owner(self, pool: str, prefix: int, cells: list[Cell]) -> str | None:
        key = (pool, prefix, tuple(cell.number for cell in cells))
        if key not in self._prefix_owners:
            if len(self._prefix_owners) >= MAX_CACHED_OWNERS:
                self._prefix_owners.clear()
            replicas = self.cells(pool)
            names = [name for cell in cells for name in replicas[cell]]
            owners = [name for name in names if self._can_own_prefixes(name)]
            self._prefix_owners[key] = choose(str(prefix), owners or names)
        return self._prefix_owners[key]

    def _can_own_prefixes(self, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and self._directory.keeps_prefixes(upstream)

    def _replica_takes_work(self, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and self._directory.takes_work(upstream)

    def preferred_cells(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the cells of ``pool`` to which this node sends its tickets, best first.

        There are at most ``MAX_PREFERRED_CELLS``. They are in one of ``regions``, if any are named.
        """
        return self._ranked(self.usable_cells(pool, regions))[:MAX_PREFERRED_CELLS]

    def fallback_cells(self, cell: Cell, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the cells to try after ``cell``, those that this node usually uses first.

        In a fleet of several regions, all other allowed cells follow.
        """
        preferred = self.preferred_cells(cell.pool, regions)
        allowed = [other for other in self._allowed(cell.pool, regions) if other.region]
        further = [other for other in self._ranked(allowed) if other not in preferred]
        return [other for other in preferred + further if other != cell]

    def _ranked(self, cells: list[Cell]) -> list[Cell]:
        named = {str(cell): cell for cell in cells}
        return [named[name] for name in rank(f"homes of {self._own}", named)]

    def usable_cells(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the cells that this node can use: those of its own region, if any accept work."""
        key = (pool, regions)
        if key not in self._usable_cells:
            cells = self._allowed(pool, regions)
            in_own_region = [cell for cell in cells if cell.region == self._regions.own]
            self._usable_cells[key] = in_own_region or cells
        return self._usable_cells[key]

    def reachable_cells(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the usable cells, and those of other regions that have a usable node.

        A region without a usable node may be partitioned from this one, with its replicas.
        """
        key = (pool, regions)
        if key not in self._reachable_cells:
            usable = self.usable_cells(pool, regions)
            allowed = self._allowed(pool, regions)
            self._reachable_cells[key] = [
                c for c in allowed if c in usable or self._usable(c.region)
            ]
        return self._reachable_cells[key]

    def _allowed(self, pool: str, regions: tuple[str, ...]) -> list[Cell]:
        """Return the cells in one of ``regions``, restricted to those that accept work.

        If no cell accepts work, return all cells of ``regions``; if there are none, all cells.
        """
        cells = list(self.cells(pool))
        bound = regions and any(cell.region for cell in cells)
        allowed = [cell for cell in cells if not bound or cell.region in regions]
        return [cell for cell in allowed if self.takes_work(cell)] or allowed or cells

    def takes_work(self, cell: Cell) -> bool:
        """Return True if a replica of ``cell`` accepts new work.

        In a fleet of one region this is always true.
        """
        if not cell.region:
            return True
        return any(self._replica_takes_work(name) for name in self.cells(cell.pool).get(cell, ()))
