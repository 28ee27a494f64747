"""When a region's cell has tickets carried out elsewhere, and when it asks others for theirs.

A cell is pressed while tickets wait and none of its replicas could begin one. It tells the cells of
other regions so. One of them with replicas to spare asks for a few tickets, and what is left of
that number stands for a moment: later tickets are passed on at once, since each message takes its
time between regions. Nothing is passed on that would not be served there in time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from railsail.scheduling.cells import Cell
from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.tickets import Ticket

# For so many seconds after it was pressed last, a cell is told to be. It says so again after so
# many, and is forgotten after twice as many: the node that said it may be gone.
PRESSED_SECONDS = 0.5
REPEAT_SECONDS = 1.0
# A cell with replicas to spare asks again after so many seconds, for so many tickets at most and
# for one of so many that it could begin: its own callers are served by the rest.
ASK_PAUSE_SECONDS = 0.1
MOST_ASKED = 16
SPARE_PER_ASKED = 2
# What was asked for may be passed on within so many seconds; by then it is asked for anew.
OFFER_SECONDS = 0.3
# A ticket that waits less long than this is mostly served where it is before it would be elsewhere.
LEAST_WAITED_SECONDS = 0.01


@dataclass
class _Offer:
    """How many tickets another cell takes, until a time."""

    left: int
    until: float


class Overflow:
    """What one cell has told cells of other regions, and knows of them.

    Every method takes ``now`` in seconds of a monotonic clock; ``spare`` is how many calls the
    cell's replicas could begin at once.
    """

    def __init__(self) -> None:
        self._told = 0
        self._told_at = -math.inf
        self._pressed_at = -math.inf
        self._asked_at = -math.inf
        self._waiting: dict[Cell, int] = {}
        self._heard_at: dict[Cell, float] = {}
        self._offers: dict[Cell, _Offer] = {}

    def news(self, waiting: int, spare: int, now: float) -> int | None:
        """Return how many tickets other regions are to be told to wait, ``None`` if they know."""
        if waiting and not spare:
            self._pressed_at = now
            if not self._told or now - self._told_at > REPEAT_SECONDS:
                self._told = waiting
                self._told_at = now
                return waiting
        elif self._told and now - self._pressed_at > PRESSED_SECONDS:
            self._told = 0
            return 0
        return None

    def wanted(self, waiting: int, spare: int, now: float) -> tuple[Cell, int] | None:
        """Return which cell to ask for how many tickets, ``None`` for nothing."""
        pressed = {
            cell: number
            for cell, number in self._waiting.items()
            if number and now - self._heard_at[cell] <= 2 * REPEAT_SECONDS
        }
        number = min((spare - waiting) // SPARE_PER_ASKED, MOST_ASKED)
        if not pressed or number < 1 or now - self._asked_at < ASK_PAUSE_SECONDS:
            return None
        self._asked_at = now
        return max(pressed, key=lambda cell: (pressed[cell], cell)), number

    def told(self, other: Cell, waiting: int, now: float) -> None:
        """Take note that so many tickets wait in ``other``."""
        self._waiting[other] = waiting
        self._heard_at[other] = now

    def offered(self, other: Cell, number: int, now: float) -> None:
        """Take note that ``other`` takes ``number`` tickets."""
        self._offers[other] = _Offer(number, now + OFFER_SECONDS)

    def passed_on(
        self, queue: FairQueue, spare: int, way_seconds: float, now: float
    ) -> list[tuple[Ticket, Cell]]:
        """Take the tickets out of ``queue`` that go to other cells now, and return them.

        ``way_seconds`` is how long a ticket and its grant are on their way.
        """
        if spare:
            return []
        return [
            (ticket, cell)
            for cell, offer in self._offers.items()
            if now <= offer.until
            for ticket in self._taken(queue, cell, offer, way_seconds, now)
        ]

    def _taken(
        self, queue: FairQueue, cell: Cell, offer: _Offer, way_seconds: float, now: float
    ) -> Iterable[Ticket]:
        # Whoever is served last here waits longest, and loses least by the way.
        for workspace in reversed(queue.workspaces()):
            for ticket in queue.tickets(workspace):
                if not offer.left:
                    return
                if _may_go(ticket, cell, way_seconds, now):
                    offer.left -= 1
                    queue.remove(ticket.key)
                    yield ticket


def _may_go(ticket: Ticket, cell: Cell, way_seconds: float, now: float) -> bool:
    waited = now - ticket.enqueued_at
    if waited < LEAST_WAITED_SECONDS or not ticket.may_run_in(cell.region):
        return False
    return not ticket.patience or waited + way_seconds < ticket.patience
