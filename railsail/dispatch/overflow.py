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

    def rebalance(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Report the queue length of ``cell`` to other regions, and request tickets, as needed."""
        if dispatcher.overflow is None:
            return
        now = self._clock.monotonic()
        waiting = dispatcher.queue.movable
        report = dispatcher.overflow.news(waiting, now)
        if report is not None:
            for other in self._partners(cell):
                self._send_hint(cell, other, report, 0)
        request = dispatcher.wanted(now)
        if request is not None:
            self._send_hint(cell, request[0], waiting, request[1])

    def handle_hint(self, cell: Cell, other: Cell, hint: CellHint) -> None:
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
        self.rebalance(cell, dispatcher)

    def _partners(self, cell: Cell) -> list[Cell]:
        """Return one cell of each other region, different ones for the cells of this region."""
        by_region: dict[str, list[Cell]] = {}
        for other in self._cells.cells(cell.pool):
            by_region.setdefault(other.region, []).append(other)
        own = by_region.pop(cell.region, [])
        index = own.index(cell) if cell in own else 0
        return [others[index % len(others)] for others in by_region.values()]

    def _send_hint(self, cell: Cell, other: Cell, waiting: int, requested: int) -> None:
        hint = CellHint(cell.pool, other.number, cell.number, waiting, requested)
        self._hub.send(self._cells.dispatcher(other), hint)
