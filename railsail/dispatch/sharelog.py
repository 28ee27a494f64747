"""Log how the capacity of a cell is shared in an overload."""

import math
from collections import defaultdict

import msgspec

from railsail.core.events import EventLog, Kind
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher

# During an overload, one line per cell is logged in this many seconds. It lists only the workspaces
# with the largest demands: most workspaces are small, and get all that they request.
LOG_INTERVAL_SECONDS = 1.0
MAX_LOGGED_SHARES = 5


class ShareLog:
    """Logs how each overloaded cell is shared among workspaces, at most one line a second."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._logged_at: defaultdict[Cell, float] = defaultdict(lambda: -math.inf)

    def log(self, cell: Cell, dispatcher: CellDispatcher, now: float) -> None:
        """Log how ``cell`` is shared, if it is overloaded and a line is due."""
        if not dispatcher.overloaded(now) or now - self._logged_at[cell] < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[cell] = now
        largest = dispatcher.largest_shares(MAX_LOGGED_SHARES, now)
        shares = (f"{s.workspace} {s.served:.0f} of {s.asked:.0f}" for s in largest)
        level = dispatcher.level(now)
        self._events.emit(
            Kind.SHARES,
            ", ".join(shares),
            notable=True,
            cell=str(cell),
            share=round(level) if level < math.inf else "all",
            **msgspec.structs.asdict(dispatcher.backlog(now)),
        )

    def forget(self, cell: Cell) -> None:
        """Drop the state of a cell that is no longer dispatched here."""
        self._logged_at.pop(cell, None)
