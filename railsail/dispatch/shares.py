"""The log of how an overload was shared."""

import math
from collections import defaultdict

from railsail.core.events import EventLog, Kind
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher

# While not all can be served, a line each so many seconds tells how the largest so many demands
# were met: most workspaces are small, and served whole.
SHARES_SECONDS = 1.0
SHARES_TOLD = 5


class SharesLog:
    """Tell each second of an overload how it was shared, a line a cell."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._told_at: defaultdict[Cell, float] = defaultdict(lambda: -math.inf)

    def tell(self, cell: Cell, dispatcher: CellDispatcher, now: float) -> None:
        """Tell how ``cell`` is shared, if not all can be served and a line is due."""
        if not dispatcher.overloaded(now) or now - self._told_at[cell] < SHARES_SECONDS:
            return
        self._told_at[cell] = now
        largest = dispatcher.largest_shares(SHARES_TOLD, now)
        told = (f"{s.workspace} {s.served:.0f} of {s.asked:.0f}" for s in largest)
        level = dispatcher.level(now)
        self._events.emit(
            Kind.SHARES,
            ", ".join(told),
            cell=str(cell),
            share=round(level) if level < math.inf else "all",
            waiting=len(dispatcher.queue),
        )

    def forget(self, cell: Cell) -> None:
        """Forget a cell that is not dispatched here any more."""
        self._told_at.pop(cell, None)
