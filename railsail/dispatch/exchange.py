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

# A cell reports its queue length at once when its queue fills or empties. Otherwise it reports a
# change by more than half, at most once in this many seconds.
REPEAT_SECONDS = 2.0
MOST_ASKED = 8
# A cell requests tickets from a neighbour whose queue exceeds twice its own by more than this.
UNEVEN_BY = 4
ASK_PAUSE_SECONDS = 0.5


@dataclass
class _Side:
    """What a cell of this node last reported to its neighbours, and when it last made a request."""

    told: int = 0
    told_at: float = 0.0
    asked_at: float = -1e9

    def due(self, waiting: int, now: float) -> bool:
        if (waiting and not self.told) or (self.told and not waiting):
            return True
        changed = abs(waiting - self.told) > self.told / 2
        return bool(waiting) and changed and now - self.told_at > REPEAT_SECONDS


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
        self._sides: dict[Cell, _Side] = {}
        self._known: dict[Cell, dict[Cell, int]] = {}
        hub.handle(CellHint, self._hint)
        hub.handle(Passed, self._passed)
        dispatchers.on_pumped(self.look)

    def look(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Report the queue length of ``cell`` to its neighbours, and request tickets, as needed."""
        if cell.count == 1:
            return
        if cell.region:
            self._overflow.look(cell, dispatcher)
        now = self._clock.monotonic()
        side = self._sides.setdefault(cell, _Side())
        waiting = len(dispatcher.queue)
        if side.due(waiting, now):
            side.told, side.told_at = waiting, now
            for neighbour in self._neighbours(cell):
                self._tell(cell, neighbour, waiting, 0)
        self._ask(cell, dispatcher, side, now)

    def _ask(self, cell: Cell, dispatcher: CellDispatcher, side: _Side, now: float) -> None:
        known = self._known.get(cell, {})
        if not known or now - side.asked_at < ASK_PAUSE_SECONDS:
            return
        longest = max(known, key=lambda other: (known[other], other))
        wanted = self._wanted(len(dispatcher.queue), known[longest], dispatcher.room(now))
        if wanted > 0:
            side.asked_at = now
            self._tell(cell, longest, len(dispatcher.queue), wanted)

    def _wanted(self, own: int, other: int, room: int) -> int:
        if not other:
            return 0
        if not own and room:
            return min(room + 1, MOST_ASKED)
        if other > 2 * own + UNEVEN_BY:
            return min((other - own) // 4, MOST_ASKED)
        return 0

    def _neighbours(self, cell: Cell) -> list[Cell]:
        ring = [c for c in self._cells.cells(cell.pool) if c.region == cell.region]
        return overlay.neighbours(ring, cell) if cell in ring else []

    def _tell(self, cell: Cell, neighbour: Cell, waiting: int, wanted: int) -> None:
        hint = CellHint(cell.pool, neighbour.number, cell.number, waiting, wanted)
        self._hub.send(self._cells.dispatcher(neighbour), hint)

    def _hint(self, node: str, hint: CellHint) -> None:
        cell = self._cells.cell(hint.pool, hint.to_cell)
        asking = self._cells.cell(hint.pool, hint.from_cell)
        if asking.region != cell.region:
            self._overflow.hint(cell, asking, hint)
            return
        self._known.setdefault(cell, {})[asking] = hint.waiting
        dispatcher = self._dispatchers.dispatchers().get(cell)
        if hint.wanted:
            self._pass(cell, dispatcher, asking, node, hint.wanted)
        elif dispatcher is not None or hint.waiting:
            self.look(*self._dispatchers.dispatcher(hint.pool, hint.to_cell))

    def _pass(
        self,
        cell: Cell,
        dispatcher: CellDispatcher | None,
        asking: Cell,
        node: str,
        wanted: int,
    ) -> None:
        passed = 0
        while dispatcher is not None and len(dispatcher.queue) and passed < wanted:
            self._pass_one(dispatcher, asking, node)
            passed += 1
        waiting = len(dispatcher.queue) if dispatcher is not None else 0
        self._tell(cell, asking, waiting, 0)

    def _pass_one(self, dispatcher: CellDispatcher, asking: Cell, node: str) -> None:
        head = dispatcher.queue.head(dispatcher.queue.first_workspace())
        dispatcher.queue.remove(head.key)
        self._dispatchers.pass_on(head, asking, node)

    def _passed(self, node: str, message: Passed) -> None:
        cell, dispatcher = self._dispatchers.dispatcher(message.ticket.pool, message.cell)
        self._sides.setdefault(cell, _Side()).asked_at = -1e9
        self._dispatchers.offer(cell, dispatcher, message.entry, message.ticket)
