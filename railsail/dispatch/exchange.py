"""Exchange tickets between neighbouring cells of a pool, so that no slot is idle while work waits.

Each cell has at most eight neighbours, chosen as in the members' overlay. A cell with waiting
tickets sends its queue length to its neighbours. A cell with free capacity, or with a much shorter
queue, requests tickets from the neighbour with the longest queue. Neighbours are in the same
region; ``RegionOverflow`` exchanges tickets between regions.
"""

from dataclasses import dataclass

from railsail.core.clock import Clock
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.overflow import RegionOverflow
from railsail.dispatch.service import DispatcherService
from railsail.membership import overlay
from railsail.peers.hub import PeerHub
from railsail.peers.messages import CellHint, Passed
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher

# A cell reports at once that tickets wait, or that none wait any more. Otherwise it reports changes
# of its queue length by more than half, and at most once in this many seconds.
REPORT_INTERVAL_SECONDS = 2.0
MAX_REQUESTED_TICKETS = 8
# A cell requests tickets from a neighbour whose queue exceeds twice its own by more than this.
MIN_QUEUE_DIFFERENCE = 4
REQUEST_INTERVAL_SECONDS = 0.5


@dataclass
class _CellState:
    """The last report of a cell of this node to its neighbours, and the time of its last request.

    ``reported`` is the queue length. Times are in seconds of the monotonic clock.
    """

    reported: int = 0
    reported_at: float = 0.0
    requested_at: float = -1e9

    def is_report_due(self, waiting: int, now: float) -> bool:
        if (waiting and not self.reported) or (self.reported and not waiting):
            return True
        changed = abs(waiting - self.reported) > self.reported / 2
        return bool(waiting) and changed and now - self.reported_at > REPORT_INTERVAL_SECONDS


class CellExchange:
    """Exchanges queue lengths and tickets with neighbours, for the cells of this node."""

    def __init__(
        self, cells: CellMap, dispatchers: DispatcherService, hub: PeerHub, clock: Clock
    ) -> None:
        self._cells = cells
        self._dispatchers = dispatchers
        self._hub = hub
        self._clock = clock
        self._overflow = RegionOverflow(cells, dispatchers, hub, clock)
        self._states: dict[Cell, _CellState] = {}
        self._neighbour_queues: dict[Cell, dict[Cell, int]] = {}
        hub.handle(CellHint, self._handle_hint)
        hub.handle(Passed, self._handle_passed)
        dispatchers.on_pumped(self.rebalance)

    def rebalance(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Report the queue length of ``cell`` to its neighbours, and request tickets, as needed."""
        if cell.count == 1:
            return
        if cell.region:
            self._overflow.rebalance(cell, dispatcher)
        now = self._clock.monotonic()
        state = self._states.setdefault(cell, _CellState())
        waiting = dispatcher.queue.movable
        if state.is_report_due(waiting, now):
            state.reported, state.reported_at = waiting, now
            for neighbour in self._neighbours(cell):
                self._send_hint(cell, neighbour, waiting, 0)
        self._request_tickets(cell, dispatcher, state, now)

    def _request_tickets(
        self, cell: Cell, dispatcher: CellDispatcher, state: _CellState, now: float
    ) -> None:
        queues = self._neighbour_queues.get(cell, {})
        if not queues or now - state.requested_at < REQUEST_INTERVAL_SECONDS:
            return
        longest = max(queues, key=lambda other: (queues[other], other))
        count = self._tickets_to_request(
            len(dispatcher.queue), queues[longest], dispatcher.room(now)
        )
        if count > 0:
            state.requested_at = now
            self._send_hint(cell, longest, len(dispatcher.queue), count)

    def _tickets_to_request(self, own: int, other: int, free_slots: int) -> int:
        if not other:
            return 0
        if not own and free_slots:
            return min(free_slots + 1, MAX_REQUESTED_TICKETS)
        if other > 2 * own + MIN_QUEUE_DIFFERENCE:
            return min((other - own) // 4, MAX_REQUESTED_TICKETS)
        return 0

    def _neighbours(self, cell: Cell) -> list[Cell]:
        ring = [c for c in self._cells.cells(cell.pool) if c.region == cell.region]
        return overlay.neighbours(ring, cell) if cell in ring else []

    def _send_hint(self, cell: Cell, neighbour: Cell, waiting: int, requested: int) -> None:
        hint = CellHint(cell.pool, neighbour.number, cell.number, waiting, requested)
        self._hub.send(self._cells.dispatcher(neighbour), hint)

    def _handle_hint(self, node: str, hint: CellHint) -> None:
        cell = self._cells.cell(hint.pool, hint.to_cell)
        sender = self._cells.cell(hint.pool, hint.from_cell)
        if sender.region != cell.region:
            self._overflow.handle_hint(cell, sender, hint)
            return
        self._neighbour_queues.setdefault(cell, {})[sender] = hint.waiting
        dispatcher = self._dispatchers.dispatchers().get(cell)
        if hint.wanted:
            self._forward_tickets(cell, dispatcher, sender, node, hint.wanted)
        elif dispatcher is not None or hint.waiting:
            self.rebalance(*self._dispatchers.dispatcher(hint.pool, hint.to_cell))

    def _forward_tickets(
        self,
        cell: Cell,
        dispatcher: CellDispatcher | None,
        requester: Cell,
        node: str,
        count: int,
    ) -> None:
        forwarded = 0
        # Tickets that continue streams stay: the other cell may lack replicas of their version.
        while dispatcher is not None and dispatcher.queue.movable and forwarded < count:
            self._forward_first(dispatcher, requester, node)
            forwarded += 1
        waiting = dispatcher.queue.movable if dispatcher is not None else 0
        self._send_hint(cell, requester, waiting, 0)

    def _forward_first(self, dispatcher: CellDispatcher, requester: Cell, node: str) -> None:
        ticket = dispatcher.queue.head(dispatcher.queue.first_workspace())
        dispatcher.queue.remove(ticket.key)
        self._dispatchers.forward_ticket(ticket, requester, node)

    def _handle_passed(self, node: str, message: Passed) -> None:
        cell, dispatcher = self._dispatchers.dispatcher(message.ticket.pool, message.cell)
        self._states.setdefault(cell, _CellState()).requested_at = -1e9
        self._dispatchers.accept_ticket(cell, dispatcher, message.entry, message.ticket)
