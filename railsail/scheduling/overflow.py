"""When a region's cell moves tickets to other regions, and when it requests theirs.

A cell is overloaded while it cannot start what waits, or while it refuses tickets of workspaces
that have had their share. It reports this to the cells of other regions. One of them with spare
replicas requests a few tickets. What is left of that number is an offer that stands for a moment:
later tickets are moved at once, because each message takes time between regions. A ticket is not
moved if it would not be served there in time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from railsail.scheduling.cells import Cell
from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.tickets import Ticket

# Round trip to another region, which a ticket needs if it is decided there. The links between the
# regions of a fleet take 5 to 25 ms one way.
WAY_SECONDS = 0.04
# A cell counts as overloaded for this many seconds after the last sign of it.
OVERLOAD_LINGER_SECONDS = 0.5
# An overload is reported again at this interval while it lasts. A report is discarded after two
# intervals, because the node that sent it may be gone.
REPORT_INTERVAL_SECONDS = 1.0
# Minimum interval between two requests for tickets by a cell with spare replicas.
REQUEST_INTERVAL_SECONDS = 0.03
# The largest number of tickets in one request.
MAX_REQUESTED_TICKETS = 32
# Time for which an offer is valid; the cell that made it requests tickets again by then.
OFFER_LIFETIME_SECONDS = 0.3
# A ticket that has waited for less than this is mostly served sooner where it is than elsewhere.
MIN_WAITED_SECONDS = 0.01


@dataclass
class _Offer:
    """How many more tickets another cell accepts, and until when."""

    remaining: int
    until: float


class Overflow:
    """What one cell has reported to cells of other regions, and what they have reported.

    Every method takes ``now`` in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._has_reported = False
        self._reported_at = -math.inf
        self._overloaded_at = -math.inf
        self._requested_at = -math.inf
        # How many waiting tickets each other cell has reported, and when the report was received.
        self._waiting: dict[Cell, int] = {}
        self._received_at: dict[Cell, float] = {}
        self._offers: dict[Cell, _Offer] = {}

    def record_overload(self, now: float) -> None:
        """Record that the cell has more tickets than it can start."""
        self._overloaded_at = now

    def news(self, waiting: int, now: float) -> int | None:
        """Return the number of waiting tickets to report to other regions, ``None`` for no report.

        It is at least 1 while the cell is overloaded; 0 reports once that the overload has ended.
        """
        if now - self._overloaded_at > OVERLOAD_LINGER_SECONDS:
            was_reported, self._has_reported = self._has_reported, False
            return 0 if was_reported else None
        if self._has_reported and now - self._reported_at <= REPORT_INTERVAL_SECONDS:
            return None
        self._has_reported = True
        self._reported_at = now
        return max(1, waiting)

    def tickets_to_request(
        self, waiting: int, spare_slots: int, now: float
    ) -> tuple[Cell, int] | None:
        """Return which cell to request how many tickets from, ``None`` for no request.

        ``spare_slots`` is how many calls the cell's replicas could start at once.
        """
        overloaded = self._overloaded_cells(now)
        number = min(spare_slots - waiting, MAX_REQUESTED_TICKETS)
        if number < 1 or not overloaded:
            return None
        self._requested_at = now
        return max(overloaded, key=lambda cell: (overloaded[cell], cell)), number

    def can_request(self, now: float) -> bool:
        """Return True if another cell is overloaded and a request may be sent now.

        No request is sent shortly after the previous one, or while this cell is overloaded itself.
        """
        since = now - max(self._requested_at, self._overloaded_at)
        return since >= REQUEST_INTERVAL_SECONDS and bool(self._overloaded_cells(now))

    def _overloaded_cells(self, now: float) -> dict[Cell, int]:
        return {
            cell: count
            for cell, count in self._waiting.items()
            if count and now - self._received_at[cell] <= 2 * REPORT_INTERVAL_SECONDS
        }

    def told(self, other: Cell, waiting: int, now: float) -> None:
        """Record that ``waiting`` tickets wait in ``other``; its offer ends if there are any."""
        if waiting:
            self._offers.pop(other, None)
        self._waiting[other] = waiting
        self._received_at[other] = now

    def offered(self, other: Cell, number: int, now: float) -> None:
        """Record that ``other`` accepts ``number`` tickets."""
        self._offers[other] = _Offer(number, now + OFFER_LIFETIME_SECONDS)

    def use_offer(self, ticket: Ticket, now: float) -> Cell | None:
        """Return a cell that can serve ``ticket`` in time, and use up one ticket of its offer."""
        waited = now - ticket.enqueued_at
        if ticket.patience and waited + WAY_SECONDS >= ticket.patience:
            return None
        for cell, offer in self._offers.items():
            if offer.remaining and now <= offer.until and ticket.can_run_in(cell.region):
                offer.remaining -= 1
                return cell
        return None

    def pop_moved(self, queue: FairQueue, now: float) -> Iterable[tuple[Ticket, Cell]]:
        """Remove the tickets from ``queue`` that move to other cells now, and yield them."""
        if not any(offer.remaining and now <= offer.until for offer in self._offers.values()):
            return
        # The workspaces that are served last here wait longest, and lose least by the move.
        for workspace in reversed(queue.workspaces()):
            for ticket in queue.tickets(workspace):
                stays = now - ticket.enqueued_at < MIN_WAITED_SECONDS
                cell = None if stays else self.use_offer(ticket, now)
                if cell is not None:
                    queue.remove(ticket.key)
                    yield ticket, cell
