"""Which cells there are, and which member dispatches each; computed alike by all.

Where the fleet has several regions, a cell lies in one of them and is dispatched by a node there,
and an entry asks the cells of its own region first. ``docs/design/regions.md`` has the reasons.
"""

from collections.abc import Callable

from railsail.dispatch.regions import FleetRegions
from railsail.membership.placement import choose, rank
from railsail.scheduling.cells import Cell, cut_by_region, spread
from railsail.upstreams.directory import UpstreamDirectory

# An entry sends the tickets of a pool that share no beginning with others to this many cells at
# most, so that its links stay bounded.
HOME_CELLS = 4
# Prompt beginnings whose replica is remembered, so that it is not computed for each request: 72
# microseconds for 78 replicas (best of five runs of 200, one core).
MOST_REMEMBERED = 4096


class CellMap:
    """Cut pools into cells, and name the dispatcher of each.

    ``usable`` gives the nodes that this node may choose, all of them or those of a region.
    ``local`` makes every node dispatch for itself, which is the baseline of the measurements.
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
        self._nodes_of: dict[str, list[str]] = {}
        self._open: dict[tuple[str, tuple[str, ...]], list[Cell]] = {}
        self._reached: dict[tuple[str, tuple[str, ...]], list[Cell]] = {}
        # By pool, beginning, and the numbers of the cells that were chosen among.
        self._holders: dict[tuple[str, int, tuple[int, ...]], str | None] = {}
        directory.on_change(self._replicas_changed)

    def _replicas_changed(self) -> None:
        self._holders.clear()
        self.forget()

    def forget(self) -> None:
        """Compute everything anew when it is asked for next."""
        self._cells.clear()
        self._dispatchers.clear()
        self._nodes_of.clear()
        self._open.clear()
        self._reached.clear()

    def cells(self, pool: str) -> dict[Cell, list[str]]:
        """Return the replicas of each cell of ``pool``."""
        if pool not in self._cells:
            upstreams = self._directory.of_pool(pool)
            of_domains = self._regions.of_domains
            regions = {each.name: of_domains.get(each.failure_domain, "") for each in upstreams}
            settled = {u.name: regions[u.name] for u in upstreams if self._directory.settled(u)}
            cells = cut_by_region(pool, settled or regions, self._limit, self._regions.named)
            # A cell needs replicas of each version of a rollout: its tickets run on one of them.
            self._cells[pool] = spread(cells, regions)
        return self._cells[pool]

    def cell(self, pool: str, number: int) -> Cell:
        """Return the cell of ``pool`` with ``number``, or another one if there is none."""
        cells = list(self.cells(pool))
        named = (cell for cell in cells if cell.number == number)
        return next(named, cells[min(number, len(cells) - 1)])

    def dispatcher(self, cell: Cell) -> str:
        """Return the node that dispatches ``cell``; this node itself if it knows no other."""
        if self._local:
            return self._own
        if cell not in self._dispatchers:
            ranked = rank(f"cell {cell}", self._nodes(cell.region))
            self._dispatchers[cell] = ranked[0] if ranked else self._own
        return self._dispatchers[cell]

    def _nodes(self, region: str) -> list[str]:
        """Return the nodes that may dispatch in ``region``; any, where none is there."""
        if region not in self._nodes_of:
            near = self._usable(region) if region else self._usable()
            self._nodes_of[region] = near or (self._nodes("") if region else [])
        return self._nodes_of[region]

    def far_dispatchers(self, pool: str) -> set[str]:
        """Return the nodes that dispatch cells of ``pool`` in other regions than this node's."""
        cells = [c for c in self.cells(pool) if c.region and c.region != self._regions.own]
        return {self.dispatcher(cell) for cell in cells}

    def way_seconds(self, entry: str, dispatcher: str) -> float:
        """Return how long a ticket of ``entry`` and its grant are on their way between regions."""
        return self._regions.way_seconds(entry, dispatcher)

    def home(
        self, pool: str, prefix: int, regions: tuple[str, ...] = (), anywhere: bool = False
    ) -> Cell:
        """Return the cell of the replica that should have the beginning ``prefix`` in memory.

        Every entry of a region names the same one, however the pool is cut, so that one cell reads
        a beginning and not each. ``anywhere`` names the one home in the fleet, in whichever region.
        """
        choice = self.reached_cells if anywhere else self.open_cells
        cells = choice(pool, regions)
        holder = self._holder(pool, prefix, cells)
        return next((cell for cell in cells if holder in self.cells(pool)[cell]), cells[0])

    def _holder(self, pool: str, prefix: int, cells: list[Cell]) -> str | None:
        key = (pool, prefix, tuple(cell.number for cell in cells))
        if key not in self._holders:
            if len(self._holders) >= MOST_REMEMBERED:
                self._holders.clear()
            held = self.cells(pool)
            names = [name for cell in cells for name in held[cell]]
            staying = [name for name in names if self._keeps_prefixes(name)]
            self._holders[key] = choose(str(prefix), staying or names)
        return self._holders[key]

    def _keeps_prefixes(self, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and self._directory.keeps_prefixes(upstream)

    def _takes_work(self, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and self._directory.takes_work(upstream)

    def homes(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the few cells of ``pool`` to which this node sends its tickets.

        They are in one of ``regions``, where some are named.
        """
        return self._ranked(self.open_cells(pool, regions))[:HOME_CELLS]

    def others(self, cell: Cell, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the cells to try after ``cell``, those of this node's region first."""
        homes = self.homes(cell.pool, regions)
        rest = [other for other in self._allowed(cell.pool, regions) if other.region]
        far = [other for other in self._ranked(rest) if other not in homes]
        return [other for other in homes + far if other != cell]

    def _ranked(self, cells: list[Cell]) -> list[Cell]:
        named = {str(cell): cell for cell in cells}
        return [named[name] for name in rank(f"homes of {self._own}", named)]

    def open_cells(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the cells that this node may ask: those of its own region, if they take work."""
        key = (pool, regions)
        if key not in self._open:
            cells = self._allowed(pool, regions)
            near = [cell for cell in cells if cell.region == self._regions.own]
            self._open[key] = near or cells
        return self._open[key]

    def reached_cells(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        """Return the open cells, and those of other regions in which a node can be used.

        A region without one may be cut off, its replicas too.
        """
        key = (pool, regions)
        if key not in self._reached:
            near = self.open_cells(pool, regions)
            allowed = self._allowed(pool, regions)
            self._reached[key] = [c for c in allowed if c in near or self._usable(c.region)]
        return self._reached[key]

    def _allowed(self, pool: str, regions: tuple[str, ...]) -> list[Cell]:
        """Return the cells in one of ``regions``, those that take work if there are any."""
        cells = list(self.cells(pool))
        bound = regions and any(cell.region for cell in cells)
        allowed = [cell for cell in cells if not bound or cell.region in regions]
        return [cell for cell in allowed if self.takes_work(cell)] or allowed or cells

    def takes_work(self, cell: Cell) -> bool:
        """Say whether a replica of ``cell`` may be given new work; always with one region only."""
        if not cell.region:
            return True
        return any(self._takes_work(name) for name in self.cells(cell.pool).get(cell, ()))
