"""When a region's cell has tickets carried out elsewhere, and when it asks others for theirs.

A cell is pressed while it cannot begin what waits, or refuses tickets of workspaces that had their
share. It tells the cells of other regions so. One of them with replicas to spare asks for a few
tickets, and what is left of that number stands for a moment: later tickets are passed on at once,
since each message takes its time between regions. Nothing is passed on that would not be served
there in time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from railsail.scheduling.cells import Cell
from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.tickets import Ticket

# A ticket that is decided in another region than its entry's takes about so many seconds there and
# back: links between the regions of one fleet take 5 to 25 ms one way.
WAY_SECONDS = 0.04
# For so many seconds after it was pressed last, a cell is told to be. It says so again after so
# many, and is forgotten after twice as many: the node that said it may be gone.
PRESSED_SECONDS = 0.5
REPEAT_SECONDS = 1.0
# A cell with replicas to spare asks again after so many seconds, for so many tickets at most.
ASK_PAUSE_SECONDS = 0.03
MOST_ASKED = 32
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

    Every method takes ``now`` in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._told = False
        self._told_at = -math.inf
        self._pressed_at = -math.inf
        self._asked_at = -math.inf
        self._waiting: dict[Cell, int] = {}
        self._heard_at: dict[Cell, float] = {}
        self._offers: dict[Cell, _Offer] = {}

    def pressed(self, now: float) -> None:
        """Take note that the cell has more than it can begin."""
        self._pressed_at = now

    def news(self, waiting: int, now: float) -> int | None:
        """Return how many tickets other regions are to be told to wait, ``None`` if they know."""
        if now - self._pressed_at > PRESSED_SECONDS:
            ended, self._told = self._told, False
            return 0 if ended else None
        if self._told and now - self._told_at <= REPEAT_SECONDS:
            return None
        self._told = True
        self._told_at = now
        return max(1, waiting)

    def wanted(self, waiting: int, spare: int, now: float) -> tuple[Cell, int] | None:
        """Return which cell to ask for how many tickets, ``None`` for nothing.

        ``spare`` is how many calls the cell's replicas could begin at once.
        """
        pressed = self._pressed(now)
        number = min(spare - waiting, MOST_ASKED)
        if number < 1 or not pressed:
            return None
        self._asked_at = now
        return max(pressed, key=lambda cell: (pressed[cell], cell)), number

    def may_ask(self, now: float) -> bool:
        """Say whether there is another cell to ask, and it was not asked just now."""
        since = now - max(self._asked_at, self._pressed_at)
        return since >= ASK_PAUSE_SECONDS and bool(self._pressed(now))

    def _pressed(self, now: float) -> dict[Cell, int]:
        return {
            cell: told
            for cell, told in self._waiting.items()
            if told and now - self._heard_at[cell] <= 2 * REPEAT_SECONDS
        }

    def told(self, other: Cell, waiting: int, now: float) -> None:
        """Take note that so many tickets wait in ``other``, which takes no more if some do."""
        if waiting:
            self._offers.pop(other, None)
        self._waiting[other] = waiting
        self._heard_at[other] = now

    def offered(self, other: Cell, number: int, now: float) -> None:
        """Take note that ``other`` takes ``number`` tickets."""
        self._offers[other] = _Offer(number, now + OFFER_SECONDS)

    def taker(self, ticket: Ticket, now: float) -> Cell | None:
        """Return the cell that takes a ``ticket`` in time, and count it there."""
        waited = now - ticket.enqueued_at
        if ticket.patience and waited + WAY_SECONDS >= ticket.patience:
            return None
        for cell, offer in self._offers.items():
            if offer.left and now <= offer.until and ticket.may_run_in(cell.region):
                offer.left -= 1
                return cell
        return None

    def passed_on(self, queue: FairQueue, now: float) -> Iterable[tuple[Ticket, Cell]]:
        """Take the tickets out of ``queue`` that go to other cells now, and give them."""
        if not any(offer.left and now <= offer.until for offer in self._offers.values()):
            return
        # Whoever is served last here waits longest, and loses least by the way.
        for workspace in reversed(queue.workspaces()):
            for ticket in queue.tickets(workspace):
                stays = now - ticket.enqueued_at < LEAST_WAITED_SECONDS
                cell = None if stays else self.taker(ticket, now)
                if cell is not None:
                    queue.remove(ticket.key)
                    yield ticket, cell
