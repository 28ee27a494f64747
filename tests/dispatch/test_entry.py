"""The entry's side of a ticket, with answers that cross the end of its wait."""

import asyncio
import random
import unittest
from dataclasses import replace

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.core.outcomes import NotRun, Reason
from railsail.dispatch.acquire import MOST_GRANTS, ReplicaAcquirer
from railsail.dispatch.bookings import Booking, PoolRequest, to_place
from railsail.dispatch.entry import TicketClient
from railsail.dispatch.gate import COME_BACK_SPREAD_SECONDS, SendGate
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.peers.link import Identity
from railsail.peers.messages import (
    Cancel,
    Granted,
    Moved,
    Place,
    Refused,
    Release,
    Resync,
    UpstreamNews,
)
from railsail.quarantine.service import Quarantine
from railsail.scheduling.cells import Cell
from railsail.scheduling.health import CallResult
from railsail.scheduling.overflow import WAY_SECONDS
from railsail.store.base import WatchEvent
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.rests import TRIAL_SECONDS, ReplicaBackoffs
from railsail.upstreams.signs import Source

OWN, OTHER, FAR = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
WANT = PoolRequest("r-1", "model", "one", 0.0, 10.0, False)
RECORD = {"pool": "model", "endpoint": "127.0.0.1:9", "failure_domain": "a", "state": "live"}


class PlaceTests(unittest.TestCase):
    def test_request_whose_time_is_over_is_a_message_that_peers_read(self):
        late = replace(WANT, returns_within=-0.3)
        place = to_place(late, 1, 1, Cell("model", 0, 1), 0.2)
        frame = join_frame(0, [encode_message(place)])
        self.assertEqual(decode_frame(frame)[1], [place])
        self.assertEqual(place.returns_within, 0)


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
    # Whether the home asked for last may be anywhere in the fleet.
    anywhere: bool | None = None

    def home(self, pool: str, prefix: int, regions: tuple[str, ...], anywhere: bool) -> Cell:
        self.anywhere = anywhere
        return self.homes(pool, regions)[0]

    def homes(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        return [Cell("model", number, self.count) for number in range(self.count)]

    def others(self, cell: Cell, regions: tuple[str, ...]) -> list[Cell]:
        return [other for other in self.homes(cell.pool, regions) if other != cell]

    def cell(self, pool: str, number: int) -> Cell:
        return Cell(pool, number, self.count)

    def far_dispatchers(self, pool: str) -> set[str]:
        return set()

    def way_seconds(self, entry: str, dispatcher: str) -> float:
        return 0.0

    def dispatcher(self, cell: Cell) -> str:
        return OTHER


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.hub = Hub()
        clock = Clock()
        kernel = Kernel(clock, random.Random(1), EventLog(OWN, clock), Metrics())
        self.cells = Cells()
        self.directory = UpstreamDirectory(lambda *told: None, kernel.events)
        for number in (1, 2, 3):
            self.directory.seen(WatchEvent("upstream", f"i-{number}", number, RECORD))
        self.rests = ReplicaBackoffs()
        gate = SendGate(self.directory, self.rests, {"a": "north"}, self.hub, kernel)
        quarantine = Quarantine(lambda *told: None, self.hub, kernel)
        self.tickets = TicketClient(self.cells, self.hub, kernel)
        self.acquirer = ReplicaAcquirer(self.tickets, gate, quarantine, kernel)
        self.clock = clock


class PromptHomeTests(EntryTestCase):
    def asked_anywhere(self, shared_tokens: int, patience: float) -> bool:
        want = replace(WANT, prefix=7, shared_tokens=shared_tokens, patience=patience)
        self.tickets.place(want, self.clock.monotonic())
        return self.cells.anywhere

    async def test_long_beginning_is_asked_for_in_the_whole_fleet(self):
        self.assertTrue(self.asked_anywhere(5000, 0.2))

    async def test_short_beginning_stays_in_the_region(self):
        self.assertFalse(self.asked_anywhere(500, 0.2))

    async def test_request_that_cannot_afford_the_way_stays_in_the_region(self):
        self.assertFalse(self.asked_anywhere(5000, 0.1))


class PassedTests(EntryTestCase):
    """A ticket that its dispatcher passed on to a cell that this entry never asked."""

    async def passed(self) -> Booking:
        self.cells.count = 2
        booking = self.tickets.place(WANT, self.clock.monotonic())
        self.hub.deliver(Moved(booking.number, 1, 1, FAR))
        return booking

    def told(self) -> list[Resync]:
        """Return what was told of the other cell."""
        return [m for m in self.hub.sent if isinstance(m, Resync) and m.cell == 1]

    async def test_its_grant_comes_from_there(self):
        booking = await self.passed()
        self.hub.deliver(Granted(booking.number, 1, "i-1", 0))
        self.assertEqual(await booking.granted, "i-1")

    async def test_dispatcher_there_is_told_so_that_a_lost_grant_keeps_no_slot(self):
        """A grant is lost where there is no link yet, and the entry may have given up since."""
        booking = await self.passed()
        self.tickets.withdraw(booking)
        self.tickets.tick()
        (resync,) = self.told()
        self.assertEqual((resync.waiting, resync.flights), ([], []))
        self.tickets.tick()
        self.assertEqual(len(self.told()), 1)

    async def test_what_still_waits_is_told_with_it(self):
        booking = await self.passed()
        self.tickets.tick()
        (resync,) = self.told()
        self.assertEqual([place.number for place in resync.waiting], [booking.number])

    async def test_dispatcher_there_is_told_where_its_grant_was_heard_first(self):
        self.cells.count = 2
        booking = self.tickets.place(WANT, self.clock.monotonic())
        self.hub.handlers[Granted](FAR, Granted(booking.number, 1, "i-1", 0))
        self.hub.deliver(Moved(booking.number, 1, 1, FAR))
        self.tickets.tick()
        (resync,) = self.told()
        self.assertEqual([flight.number for flight in resync.flights], [booking.number])

    async def test_dispatcher_of_another_region_is_told_what_ended_while_it_was_cut_off(self):
        booking = await self.passed()
        self.hub.handlers[Granted](FAR, Granted(booking.number, 1, "i-1", 0))
        self.tickets.tick()
        self.cells.way_seconds = lambda entry, dispatcher: WAY_SECONDS * (dispatcher == FAR)
        self.tickets._link_down(FAR)
        # No link carries this.
        self.tickets.release(booking, 1.0, CallResult.GOOD)
        self.tickets._link_up(Identity(FAR, 1))
        self.hub.sent.clear()
        self.tickets.tick()
        self.assertEqual([type(message) for message in self.hub.sent], [Resync])
        self.assertEqual(self.hub.sent[0].flights, [])


class CrossingTests(EntryTestCase):
    async def answer_at_the_end_of_the_wait(self, message) -> NotRun:
        """Let ``message`` come after the wait has ended and before its task runs again."""
        task = asyncio.ensure_future(self.acquirer.acquire(WANT, 30.0))
        await asyncio.sleep(0)
        self.tickets.waiting()[0].granted.cancel()
        self.hub.deliver(message)
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_grant_is_handed_back_and_the_ticket_forgotten(self):
        await self.answer_at_the_end_of_the_wait(Granted(1, 1, "i-1", 0))
        self.assertEqual(len(self.tickets), 0)
        released = [message for message in self.hub.sent if isinstance(message, Release)]
        self.assertEqual([(r.number, r.attempt, r.cost) for r in released], [(1, 1, 0)])

    async def test_refusal_changes_nothing_and_the_ticket_is_withdrawn(self):
        await self.answer_at_the_end_of_the_wait(Refused(1, 1, Reason.NO_ROOM))
        self.assertEqual(len(self.tickets), 0)
        cancelled = [message for message in self.hub.sent if isinstance(message, Cancel)]
        self.assertEqual([message.number for message in cancelled], [1])

    async def test_dispatcher_says_when_to_come_back(self):
        task = asyncio.ensure_future(self.acquirer.acquire(WANT, 30.0))
        await asyncio.sleep(0)
        self.hub.deliver(Refused(1, 1, Reason.OVER_SHARE, 1250))
        outcome = await task
        self.assertEqual((outcome.reason, outcome.come_back), (Reason.OVER_SHARE, 1.25))

    async def test_only_who_found_no_room_asks_another_cell(self):
        self.cells.count = 2
        for reason, placed in ((Reason.EXPIRED, 1), (Reason.NO_ROOM, 2)):
            with self.subTest(reason=reason):
                self.hub.sent.clear()
                task = asyncio.ensure_future(self.acquirer.acquire(WANT, 30.0))
                await asyncio.sleep(0)
                number = self.tickets.waiting()[0].number
                self.hub.deliver(Refused(number, 1, reason))
                asked = [m for m in self.hub.sent if isinstance(m, Place | Resync)]
                self.assertEqual(len(asked), placed)
                task.cancel()

    async def test_grant_in_time_is_kept(self):
        task = asyncio.ensure_future(self.acquirer.acquire(WANT, 30.0))
        await asyncio.sleep(0)
        self.hub.deliver(Granted(1, 1, "i-1", 0))
        booking = await task
        self.assertEqual((booking.replica, len(self.tickets)), ("i-1", 1))


class ClosedReplicaTests(EntryTestCase):
    """A dispatcher grants a replica that this node may not send to."""

    def ask(self, want: PoolRequest = WANT) -> asyncio.Task:
        return asyncio.ensure_future(self.acquirer.acquire(want, 30.0))

    async def grant(self, replica: str) -> None:
        """Answer the ticket that waits."""
        await asyncio.sleep(0)
        booking = self.tickets.waiting()[0]
        self.hub.deliver(Granted(booking.number, booking.attempt, replica, 0))
        for _ in range(5):
            await asyncio.sleep(0)

    def rest(self, replica: str, seconds: float = 30.0) -> None:
        self.rests.extend(replica, seconds, self.clock.monotonic())

    def placed(self) -> list[Place]:
        """Return the tickets that were placed, with a first message or by themselves."""
        told = []
        for message in self.hub.sent:
            told += message.waiting if isinstance(message, Resync) else []
            told += [message] if isinstance(message, Place) else []
        return told

    def released(self) -> list[Release]:
        return [message for message in self.hub.sent if isinstance(message, Release)]

    async def test_replica_that_rests_is_given_back_uncharged_and_another_one_asked_for(self):
        task = self.ask()
        await asyncio.sleep(0)
        self.rest("i-1")
        await self.grant("i-1")
        await self.grant("i-2")
        self.assertEqual((await task).replica, "i-2")
        self.assertEqual([(r.number, r.cost, r.result) for r in self.released()], [(1, 0, 0)])
        self.assertEqual([list(place.excluded) for place in self.placed()], [[], ["i-1"]])

    async def test_dispatcher_that_grants_a_leaving_replica_is_told(self):
        self.directory.sign_leaving("i-1", Source.ANSWER, 0.0)
        task = self.ask()
        await self.grant("i-1")
        news = [message for message in self.hub.sent if isinstance(message, UpstreamNews)]
        told = [(r.name, r.sign_leaving) for message in news for r in message.upstreams]
        self.assertEqual(told, [("i-1", True)])
        await self.grant("i-2")
        self.assertEqual((await task).replica, "i-2")

    async def test_dispatcher_that_grants_it_again_and_again_does_not_make_a_loop(self):
        self.rest("i-1")
        task = self.ask()
        for _ in range(MOST_GRANTS):
            await self.grant("i-1")
        outcome = await task
        self.assertEqual((outcome.reason, len(self.tickets)), (Reason.NO_ROOM, 0))
        self.assertEqual(len(self.released()), MOST_GRANTS)

    async def test_new_ticket_has_waited_as_long_as_the_request(self):
        task = self.ask()
        await asyncio.sleep(0.05)
        self.rest("i-1")
        await self.grant("i-1")
        self.assertGreaterEqual(self.placed()[-1].waited, 50)
        task.cancel()

    async def test_where_all_rest_nothing_is_placed_and_the_first_end_is_told(self):
        for replica, seconds in (("i-1", 9.0), ("i-2", 4.0), ("i-3", 30.0)):
            self.rest(replica, seconds)
        outcome = await self.acquirer.acquire(WANT, 30.0)
        self.assertEqual((outcome.reason, self.placed()), (Reason.NO_ROOM, []))
        self.assertTrue(3.5 <= outcome.come_back <= 4.0 + COME_BACK_SPREAD_SECONDS)

    async def test_replicas_of_other_regions_are_no_help(self):
        for replica in ("i-1", "i-2"):
            self.rest(replica)
        away = {**RECORD, "failure_domain": "z"}
        self.directory.seen(WatchEvent("upstream", "i-3", 9, away))
        task = self.ask()
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        task.cancel()
        outcome = await self.acquirer.acquire(replace(WANT, regions=("north",)), 30.0)
        self.assertEqual(outcome.reason, Reason.NO_ROOM)

    async def test_one_request_tries_a_replica_whose_rest_has_passed(self):
        self.rest("i-1", 0.0)
        await asyncio.sleep(0.01)
        first, second = self.ask(), self.ask()
        await self.grant("i-1")
        self.assertEqual((await first).replica, "i-1")
        await self.grant("i-1")
        self.assertFalse(second.done())
        now = self.clock.monotonic()
        self.assertLessEqual(self.rests.seconds_left("i-1", now), TRIAL_SECONDS)
        await self.grant("i-2")
        self.assertEqual((await second).replica, "i-2")
