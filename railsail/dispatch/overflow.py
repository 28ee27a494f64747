"""Exchange tickets between the regions of a pool, so that other regions absorb an overload.

Each cell communicates with one cell of every other region, using the messages of ``CellExchange``.
"""

from railsail.core.clock import Clock
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.service import DispatcherService
from railsail.peers.hub import PeerHub
from railsail.peers.messages import CellHint
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher


class RegionOverflow:
    """Exchanges queue lengths and ticket requests with other regions, for the cells of this node.

    The decisions are made in ``railsail.scheduling.overflow``.
    """

    def __init__(
        self, cells: CellMap, dispatchers: DispatcherService, hub: PeerHub, clock: Clock
    ) -> None:
        self._cells = cells
        self._dispatchers = dispatchers
        self._hub = hub
        self._clock = clock

    def look(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Report the queue length of ``cell`` to other regions, and request tickets, as needed."""
        if dispatcher.overflow is None:
            return
        now = self._clock.monotonic()
        waiting = len(dispatcher.queue)
        news = dispatcher.overflow.news(waiting, now)
        if news is not None:
            for other in self._partners(cell):
                self._tell(cell, other, news, 0)
        wanted = dispatcher.wanted(now)
        if wanted is not None:
            self._tell(cell, wanted[0], waiting, wanted[1])

    def hint(self, cell: Cell, other: Cell, hint: CellHint) -> None:
        """Handle a hint that the cell ``other`` of another region sent to ``cell``."""
        if not hint.waiting and not hint.wanted and cell not in self._dispatchers.dispatchers():
            return
        cell, dispatcher = self._dispatchers.dispatcher(hint.pool, hint.to_cell)
        if dispatcher.overflow is None:
            return
        now = self._clock.monotonic()
        if hint.wanted:
            dispatcher.overflow.offered(other, hint.wanted, now)
        else:
            dispatcher.overflow.told(other, hint.waiting, now)
        self.look(cell, dispatcher)

    def _partners(self, cell: Cell) -> list[Cell]:
        """Return one cell of each other region, different ones for the cells of this region."""
        regions: dict[str, list[Cell]] = {}
        for other in self._cells.cells(cell.pool):
            regions.setdefault(other.region, []).append(other)
        own = regions.pop(cell.region, [])
        place = own.index(cell) if cell in own else 0
        return [others[place % len(others)] for others in regions.values()]

    def _tell(self, cell: Cell, other: Cell, waiting: int, wanted: int) -> None:
        hint = CellHint(cell.pool, other.number, cell.number, waiting, wanted)
        self._hub.send(self._cells.dispatcher(other), hint)
