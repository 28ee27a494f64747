"""Which cells there are, and which member dispatches each; computed alike by all."""

from collections.abc import Callable

from railsail.membership.placement import choose, rank
from railsail.scheduling.cells import Cell, cut, spread
from railsail.upstreams.directory import UpstreamDirectory

# An entry sends the tickets of a pool that share no beginning with others to this many cells at
# most, so that its links stay bounded.
HOME_CELLS = 4
# Prompt beginnings whose replica is remembered, so that it is not computed for each request: 72
# microseconds for 78 replicas (best of five runs of 200, one core).
MOST_REMEMBERED = 4096


class CellMap:
    """Cut pools into cells, and name the dispatcher of each.

    ``usable`` gives the nodes that this node may choose. ``local`` makes every node dispatch for
    itself, which is the baseline of the measurements.
    """

    def __init__(
        self,
        own: str,
        directory: UpstreamDirectory,
        usable: Callable[[], list[str]],
        limit: int,
        local: bool,
    ) -> None:
        self._own = own
        self._directory = directory
        self._usable = usable
        self._limit = limit
        self._local = local
        self._cells: dict[str, dict[Cell, list[str]]] = {}
        self._dispatchers: dict[Cell, str] = {}
        self._holders: dict[tuple[str, int], str] = {}
        directory.on_change(self._replicas_changed)

    def _replicas_changed(self) -> None:
        self._holders.clear()
        self.forget()

    def forget(self) -> None:
        """Compute everything anew when it is asked for next."""
        self._cells.clear()
        self._dispatchers.clear()

    def cells(self, pool: str) -> dict[Cell, list[str]]:
        """Return the replicas of each cell of ``pool``."""
        if pool not in self._cells:
            upstreams = self._directory.of_pool(pool)
            names = [each.name for each in upstreams if self._directory.settled(each)]
            cells = cut(pool, names or [each.name for each in upstreams], self._limit)
            # A cell needs replicas of each version of a rollout: its tickets run on one of them.
            self._cells[pool] = spread(cells, [each.name for each in upstreams])
        return self._cells[pool]

    def cell(self, pool: str, number: int) -> Cell:
        """Return the cell of ``pool`` with ``number``, or its last one if there are fewer."""
        cells = list(self.cells(pool))
        return cells[min(number, len(cells) - 1)]

    def dispatcher(self, cell: Cell) -> str:
        """Return the node that dispatches ``cell``; this node itself if it knows no other."""
        if self._local:
            return self._own
        if cell not in self._dispatchers:
            ranked = rank(f"cell {cell}", self._usable())
            self._dispatchers[cell] = ranked[0] if ranked else self._own
        return self._dispatchers[cell]

    def home(self, pool: str, prefix: int) -> Cell:
        """Return the cell of the replica that should have the beginning ``prefix`` in memory.

        Every entry names the same one, however the pool is cut: where each entry chose among cells
        of its own, every cell came to read every beginning.
        """
        holder = self._holder(pool, prefix)
        cells = self.cells(pool)
        return next((cell for cell, names in cells.items() if holder in names), next(iter(cells)))

    def _holder(self, pool: str, prefix: int) -> str | None:
        key = (pool, prefix)
        if key not in self._holders:
            if len(self._holders) >= MOST_REMEMBERED:
                self._holders.clear()
            upstreams = self._directory.of_pool(pool)
            staying = [u.name for u in upstreams if self._directory.keeps_prefixes(u)]
            names = staying or [upstream.name for upstream in upstreams]
            self._holders[key] = choose(str(prefix), names)
        return self._holders[key]

    def homes(self, pool: str) -> list[Cell]:
        """Return the few cells of ``pool`` to which this node sends its tickets."""
        cells = {str(cell): cell for cell in self.cells(pool)}
        ranked = rank(f"homes of {self._own}", cells)
        return [cells[name] for name in ranked[:HOME_CELLS]]
