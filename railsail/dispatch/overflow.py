"""Pass tickets between the regions of a pool, so that a region's flood is carried by the others.

Each cell knows one cell of every other region. The messages are those of ``CellExchange``.
"""

from railsail.core.clock import Clock
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.regions import WAY_SECONDS
from railsail.dispatch.service import DispatcherService
from railsail.peers.hub import PeerHub
from railsail.peers.messages import CellHint
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.overflow import Overflow


class RegionOverflow:
    """Exchange hints and tickets with other regions for the cells of this node."""

    def __init__(
        self, cells: CellMap, dispatchers: DispatcherService, hub: PeerHub, clock: Clock
    ) -> None:
        self._cells = cells
        self._dispatchers = dispatchers
        self._hub = hub
        self._clock = clock
        self._overflows: dict[Cell, Overflow] = {}

    def look(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Tell other regions, ask them or pass tickets on, if ``cell`` gives cause to."""
        overflow = self._of(cell)
        now = self._clock.monotonic()
        spare = dispatcher.spare(now)
        for ticket, other in overflow.passed_on(dispatcher.queue, spare, WAY_SECONDS, now):
            self._dispatchers.pass_on(ticket, other, self._cells.dispatcher(other))
        waiting = len(dispatcher.queue)
        news = overflow.news(waiting, spare, now)
        if news is not None:
            for other in self._partners(cell):
                self._tell(cell, other, news, 0)
        wanted = overflow.wanted(waiting, spare, now)
        if wanted is not None:
            self._tell(cell, wanted[0], waiting, wanted[1])

    def hint(self, cell: Cell, other: Cell, hint: CellHint) -> None:
        """Take in a hint for ``cell`` from ``other``, which is in another region."""
        overflow = self._of(cell)
        now = self._clock.monotonic()
        if hint.wanted:
            overflow.offered(other, hint.wanted, now)
        else:
            overflow.told(other, hint.waiting, now)
        if hint.waiting or cell in self._dispatchers.dispatchers():
            self.look(*self._dispatchers.dispatcher(hint.pool, hint.to_cell))

    def _of(self, cell: Cell) -> Overflow:
        return self._overflows.setdefault(cell, Overflow())

    def _partners(self, cell: Cell) -> list[Cell]:
        """Return one cell of each other region, another one for each cell of this one."""
        regions: dict[str, list[Cell]] = {}
        for other in self._cells.cells(cell.pool):
            regions.setdefault(other.region, []).append(other)
        own = regions.pop(cell.region, [])
        place = own.index(cell) if cell in own else 0
        return [others[place % len(others)] for others in regions.values()]

    def _tell(self, cell: Cell, other: Cell, waiting: int, wanted: int) -> None:
        hint = CellHint(cell.pool, other.number, cell.number, waiting, wanted)
        self._hub.send(self._cells.dispatcher(other), hint)
