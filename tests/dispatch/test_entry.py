"""The entry's side of a ticket, with answers that cross the end of its wait."""

import asyncio
import random
import unittest

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.core.outcomes import NotRun, Reason
from railsail.dispatch.bookings import Want
from railsail.dispatch.entry import TicketDesk
from railsail.peers.link import Identity
from railsail.peers.messages import Cancel, Granted, Place, Refused, Release, Resync
from railsail.quarantine.service import Quarantine
from railsail.scheduling.cells import Cell

OWN, OTHER = "127.0.0.1:1", "127.0.0.1:2"
WANT = Want("r-1", "model", "one", 0.0, 10.0, False)


class Hub:
    """Record what is sent, and let tests call the handlers."""

    def __init__(self) -> None:
        self.own = Identity(OWN, 1)
        self.handlers = {}
        self.sent = []

    def handle(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def on_up(self, listener) -> None:
        pass

    def on_down(self, listener) -> None:
        pass

    def last_heard(self, node: str) -> float:
        return 0.0

    def connected(self, node: str) -> bool:
        return True

    def dial(self, node: str) -> bool:
        return True

    def send(self, node: str, message) -> bool:
        self.sent.append(message)
        return True

    def deliver(self, message) -> None:
        self.handlers[type(message)](OTHER, message)


class Cells:
    """One cell, or ``count`` of them, dispatched elsewhere."""

    count = 1

    def homes(self, pool: str) -> list[Cell]:
        return [Cell("model", number, self.count) for number in range(self.count)]

    def dispatcher(self, cell: Cell) -> str:
        return OTHER


class CrossingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.hub = Hub()
        clock = Clock()
        kernel = Kernel(clock, random.Random(1), EventLog(OWN, clock), Metrics())
        self.cells = Cells()
        self.desk = TicketDesk(
            self.cells, self.hub, Quarantine(lambda *told: None, self.hub, kernel), kernel
        )

    async def answer_at_the_end_of_the_wait(self, message) -> NotRun:
        """Let ``message`` come after the wait has ended and before its task runs again."""
        task = asyncio.ensure_future(self.desk.obtain(WANT, 30.0))
        await asyncio.sleep(0)
        self.desk.waiting()[0].granted.cancel()
        self.hub.deliver(message)
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_grant_is_handed_back_and_the_ticket_forgotten(self):
        await self.answer_at_the_end_of_the_wait(Granted(1, 1, "i-1", 0))
        self.assertEqual(len(self.desk), 0)
        released = [message for message in self.hub.sent if isinstance(message, Release)]
        self.assertEqual([(r.number, r.attempt, r.cost) for r in released], [(1, 1, 0)])

    async def test_refusal_changes_nothing_and_the_ticket_is_withdrawn(self):
        await self.answer_at_the_end_of_the_wait(Refused(1, 1, Reason.NO_ROOM))
        self.assertEqual(len(self.desk), 0)
        cancelled = [message for message in self.hub.sent if isinstance(message, Cancel)]
        self.assertEqual([message.number for message in cancelled], [1])

    async def test_dispatcher_says_when_to_come_back(self):
        task = asyncio.ensure_future(self.desk.obtain(WANT, 30.0))
        await asyncio.sleep(0)
        self.hub.deliver(Refused(1, 1, Reason.OVER_SHARE, 1250))
        outcome = await task
        self.assertEqual((outcome.reason, outcome.come_back), (Reason.OVER_SHARE, 1.25))

    async def test_only_who_found_no_room_asks_another_cell(self):
        self.cells.count = 2
        for reason, placed in ((Reason.EXPIRED, 1), (Reason.NO_ROOM, 2)):
            with self.subTest(reason=reason):
                self.hub.sent.clear()
                task = asyncio.ensure_future(self.desk.obtain(WANT, 30.0))
                await asyncio.sleep(0)
                number = self.desk.waiting()[0].number
                self.hub.deliver(Refused(number, 1, reason))
                asked = [m for m in self.hub.sent if isinstance(m, Place | Resync)]
                self.assertEqual(len(asked), placed)
                task.cancel()

    async def test_grant_in_time_is_kept(self):
        task = asyncio.ensure_future(self.desk.obtain(WANT, 30.0))
        await asyncio.sleep(0)
        self.hub.deliver(Granted(1, 1, "i-1", 0))
        booking = await task
        self.assertEqual((booking.replica, len(self.desk)), ("i-1", 1))
