"""The entry's side of a ticket: forwarded tickets, late decisions and unusable grants."""

import asyncio
import random
import time
import unittest
from dataclasses import replace
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.core.outcomes import NotRun, Reason
from railsail.dispatch import acquire
from railsail.dispatch.acquire import MAX_GRANTS, ReplicaAcquirer
from railsail.dispatch.bookings import Booking, PoolRequest, to_place
from railsail.dispatch.entry import TicketClient
from railsail.dispatch.gate import RETRY_JITTER_SECONDS, SendGate
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
REQUEST = PoolRequest("r-1", "model", "one", 0.0, 10.0, False)
SHORT_WAIT_SECONDS = 0.02
LONG_WAIT_SECONDS = 60.0
LONG_TURN_SECONDS = 0.2
RECORD = {"pool": "model", "endpoint": "127.0.0.1:9", "failure_domain": "a", "state": "live"}


class PlaceTests(unittest.TestCase):
    def test_overdue_request_is_encoded_so_that_peers_can_decode_it(self):
        late = replace(REQUEST, returns_within=-0.3)
        place = to_place(late, 1, 1, Cell("model", 0, 1), 0.2)
        frame = join_frame(0, [encode_message(place)])
        self.assertEqual(decode_frame(frame)[1], [place])
        self.assertEqual(place.returns_within, 0)


class Hub:
    """Records the messages sent, and delivers messages of tests to the handlers."""

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
    """A cell map of ``count`` cells, all dispatched by another node."""

    count = 1
    # Whether the prefix owner requested last could be in any region.
    anywhere: bool | None = None

    def owner_cell(self, pool: str, prefix: int, regions: tuple[str, ...], anywhere: bool) -> Cell:
        self.anywhere = anywhere
        return self.preferred_cells(pool, regions)[0]

    def preferred_cells(self, pool: str, regions: tuple[str, ...] = ()) -> list[Cell]:
        return [Cell("model", number, self.count) for number in range(self.count)]

    def fallback_cells(self, cell: Cell, regions: tuple[str, ...]) -> list[Cell]:
        return [other for other in self.preferred_cells(cell.pool, regions) if other != cell]

    def cell(self, pool: str, number: int) -> Cell:
        return Cell(pool, number, self.count)

    def remote_dispatchers(self, pool: str) -> set[str]:
        return set()

    def round_trip_seconds(self, entry: str, dispatcher: str) -> float:
        return 0.0

    def dispatcher(self, cell: Cell) -> str:
        return OTHER


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.hub = Hub()
        clock = Clock()
        kernel = Kernel(clock, random.Random(1), EventLog(OWN, clock), Metrics())
        self.cells = Cells()
        self.directory = UpstreamDirectory(lambda *args: None, kernel.events)
        for number in (1, 2, 3):
            self.directory.seen(WatchEvent("upstream", f"i-{number}", number, RECORD))
        self.backoffs = ReplicaBackoffs()
        gate = SendGate(self.directory, self.backoffs, {"a": "north"}, self.hub, kernel)
        quarantine = Quarantine(lambda *args: None, self.hub, kernel)
        self.tickets = TicketClient(self.cells, self.hub, kernel)
        self.acquirer = ReplicaAcquirer(self.tickets, gate, quarantine, kernel)
        self.clock = clock


class PromptOwnerTests(EntryTestCase):
    def owner_is_fleet_wide(self, shared_tokens: int, patience: float) -> bool:
        request = replace(REQUEST, prefix=7, shared_tokens=shared_tokens, patience=patience)
        self.tickets.place(request, self.clock.monotonic())
        return self.cells.anywhere

    async def test_long_prefix_has_one_owner_in_the_whole_fleet(self):
        self.assertTrue(self.owner_is_fleet_wide(5000, 0.2))

    async def test_short_prefix_has_an_owner_in_the_region(self):
        self.assertFalse(self.owner_is_fleet_wide(500, 0.2))

    async def test_request_with_a_short_wait_stays_in_the_region(self):
        self.assertFalse(self.owner_is_fleet_wide(5000, 0.1))


class LateLoopTests(EntryTestCase):
    """A decision that arrived during a long turn of the event loop still counts."""

    def deliver_after_turn(self, message: Granted | Refused) -> None:
        """Deliver ``message`` as if it arrived in this turn, which takes longer than the wait."""
        loop = asyncio.get_running_loop()
        # It is read in the next turn, and handled in the one after.
        loop.call_soon(loop.call_soon, self.hub.deliver, message)
        time.sleep(LONG_TURN_SECONDS)

    async def acquire(self, message: Granted | Refused) -> Booking | NotRun:
        acquiring = asyncio.ensure_future(self.acquirer.acquire(REQUEST, SHORT_WAIT_SECONDS))
        await asyncio.sleep(0)
        self.deliver_after_turn(message)
        return await acquiring

    async def test_grant_that_arrived_in_time_is_used(self):
        call = await self.acquire(Granted(1, 1, "i-1", 0))
        self.assertIsInstance(call, Booking)
        self.assertEqual(call.replica, "i-1")

    async def test_refusal_that_arrived_in_time_says_when_to_retry(self):
        refusal = await self.acquire(Refused(1, 1, Reason.OVER_SHARE, 1500))
        self.assertEqual((refusal.reason, refusal.come_back), (Reason.OVER_SHARE, 1.5))

    async def test_request_without_a_decision_is_refused_in_time(self):
        refusal = await self.acquirer.acquire(REQUEST, SHORT_WAIT_SECONDS)
        self.assertEqual(refusal.reason, Reason.EXPIRED)
        self.assertIsInstance(self.hub.sent[-1], Cancel)

    async def test_request_whose_caller_leaves_is_withdrawn(self):
        acquiring = asyncio.ensure_future(self.acquirer.acquire(REQUEST, LONG_WAIT_SECONDS))
        await asyncio.sleep(0)
        acquiring.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await acquiring
        self.assertIsInstance(self.hub.sent[-1], Cancel)


class FailedWaitTests(EntryTestCase):
    async def test_error_during_the_wait_leaves_no_ticket_behind(self):
        failing = mock.patch.object(acquire, "_is_granted", side_effect=RuntimeError)
        with failing, self.assertRaises(RuntimeError):
            await self.acquirer.acquire(REQUEST, LONG_WAIT_SECONDS)
        self.assertIsInstance(self.hub.sent[-1], Cancel)
        self.assertEqual(len(self.tickets), 0)


class ForwardedTicketTests(EntryTestCase):
    """A ticket that its dispatcher forwarded to a cell that this entry never used."""

    async def forwarded_call(self) -> Booking:
        self.cells.count = 2
        call = self.tickets.place(REQUEST, self.clock.monotonic())
        self.hub.deliver(Moved(call.number, 1, 1, FAR))
        return call

    def resyncs(self) -> list[Resync]:
        """Return the resyncs of the other cell."""
        return [m for m in self.hub.sent if isinstance(m, Resync) and m.cell == 1]

    async def test_grant_of_the_other_cell_is_accepted(self):
        call = await self.forwarded_call()
        self.hub.deliver(Granted(call.number, 1, "i-1", 0))
        self.assertEqual(await call.granted, "i-1")

    async def test_other_dispatcher_is_resynced_so_that_a_lost_grant_holds_no_slot(self):
        """A grant is lost if there is no link yet, and the ticket may be withdrawn by then."""
        call = await self.forwarded_call()
        self.tickets.withdraw(call)
        self.tickets.tick()
        (resync,) = self.resyncs()
        self.assertEqual((resync.waiting, resync.flights), ([], []))
        self.tickets.tick()
        self.assertEqual(len(self.resyncs()), 1)

    async def test_resync_includes_the_ticket_while_it_waits(self):
        call = await self.forwarded_call()
        self.tickets.tick()
        (resync,) = self.resyncs()
        self.assertEqual([place.number for place in resync.waiting], [call.number])

    async def test_other_dispatcher_is_resynced_if_its_grant_arrives_before_the_move(self):
        self.cells.count = 2
        call = self.tickets.place(REQUEST, self.clock.monotonic())
        self.hub.handlers[Granted](FAR, Granted(call.number, 1, "i-1", 0))
        self.hub.deliver(Moved(call.number, 1, 1, FAR))
        self.tickets.tick()
        (resync,) = self.resyncs()
        self.assertEqual([flight.number for flight in resync.flights], [call.number])

    async def test_dispatcher_of_another_region_learns_of_calls_that_ended_in_a_partition(self):
        call = await self.forwarded_call()
        self.hub.handlers[Granted](FAR, Granted(call.number, 1, "i-1", 0))
        self.tickets.tick()
        self.cells.round_trip_seconds = lambda entry, dispatcher: WAY_SECONDS * (dispatcher == FAR)
        self.tickets._link_down(FAR)
        # The link is down, so this release does not arrive.
        self.tickets.release(call, 1.0, CallResult.GOOD)
        self.tickets._link_up(Identity(FAR, 1))
        self.hub.sent.clear()
        self.tickets.tick()
        self.assertEqual([type(message) for message in self.hub.sent], [Resync])
        self.assertEqual(self.hub.sent[0].flights, [])


class LateDecisionTests(EntryTestCase):
    async def answer_at_the_end_of_the_wait(self, message) -> NotRun:
        """Deliver ``message`` after the wait has ended and before its task runs again."""
        task = asyncio.ensure_future(self.acquirer.acquire(REQUEST, 30.0))
        await asyncio.sleep(0)
        self.tickets.waiting()[0].granted.cancel()
        self.hub.deliver(message)
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_grant_is_returned_and_the_ticket_dropped(self):
        await self.answer_at_the_end_of_the_wait(Granted(1, 1, "i-1", 0))
        self.assertEqual(len(self.tickets), 0)
        released = [message for message in self.hub.sent if isinstance(message, Release)]
        self.assertEqual([(r.number, r.attempt, r.cost) for r in released], [(1, 1, 0)])

    async def test_refusal_is_ignored_and_the_ticket_withdrawn(self):
        await self.answer_at_the_end_of_the_wait(Refused(1, 1, Reason.NO_ROOM))
        self.assertEqual(len(self.tickets), 0)
        cancelled = [message for message in self.hub.sent if isinstance(message, Cancel)]
        self.assertEqual([message.number for message in cancelled], [1])

    async def test_refusal_has_the_retry_time_of_the_dispatcher(self):
        task = asyncio.ensure_future(self.acquirer.acquire(REQUEST, 30.0))
        await asyncio.sleep(0)
        self.hub.deliver(Refused(1, 1, Reason.OVER_SHARE, 1250))
        outcome = await task
        self.assertEqual((outcome.reason, outcome.come_back), (Reason.OVER_SHARE, 1.25))

    async def test_another_cell_is_tried_only_if_the_first_has_no_capacity(self):
        self.cells.count = 2
        for reason, placed in ((Reason.EXPIRED, 1), (Reason.NO_ROOM, 2)):
            with self.subTest(reason=reason):
                self.hub.sent.clear()
                task = asyncio.ensure_future(self.acquirer.acquire(REQUEST, 30.0))
                await asyncio.sleep(0)
                number = self.tickets.waiting()[0].number
                self.hub.deliver(Refused(number, 1, reason))
                placements = [m for m in self.hub.sent if isinstance(m, Place | Resync)]
                self.assertEqual(len(placements), placed)
                task.cancel()

    async def test_grant_in_time_is_accepted(self):
        task = asyncio.ensure_future(self.acquirer.acquire(REQUEST, 30.0))
        await asyncio.sleep(0)
        self.hub.deliver(Granted(1, 1, "i-1", 0))
        call = await task
        self.assertEqual((call.replica, len(self.tickets)), ("i-1", 1))


class UnusableGrantTests(EntryTestCase):
    """A dispatcher grants a replica that this node cannot send to."""

    def acquire(self, request: PoolRequest = REQUEST) -> asyncio.Task:
        return asyncio.ensure_future(self.acquirer.acquire(request, 30.0))

    async def grant(self, replica: str) -> None:
        """Grant ``replica`` to the ticket that waits."""
        await asyncio.sleep(0)
        call = self.tickets.waiting()[0]
        self.hub.deliver(Granted(call.number, call.attempt, replica, 0))
        for _ in range(5):
            await asyncio.sleep(0)

    def back_off(self, replica: str, seconds: float = 30.0) -> None:
        self.backoffs.extend(replica, seconds, self.clock.monotonic())

    def placed(self) -> list[Place]:
        """Return the tickets that were placed, in a resync or in a message of their own."""
        tickets = []
        for message in self.hub.sent:
            tickets += message.waiting if isinstance(message, Resync) else []
            tickets += [message] if isinstance(message, Place) else []
        return tickets

    def released(self) -> list[Release]:
        return [message for message in self.hub.sent if isinstance(message, Release)]

    async def test_grant_of_a_replica_in_backoff_is_returned_uncharged_and_excluded(self):
        task = self.acquire()
        await asyncio.sleep(0)
        self.back_off("i-1")
        await self.grant("i-1")
        await self.grant("i-2")
        self.assertEqual((await task).replica, "i-2")
        self.assertEqual([(r.number, r.cost, r.result) for r in self.released()], [(1, 0, 0)])
        self.assertEqual([list(place.excluded) for place in self.placed()], [[], ["i-1"]])

    async def test_dispatcher_that_grants_a_leaving_replica_is_sent_its_record(self):
        self.directory.sign_leaving("i-1", Source.ANSWER, 0.0)
        task = self.acquire()
        await self.grant("i-1")
        updates = [message for message in self.hub.sent if isinstance(message, UpstreamNews)]
        records = [(r.name, r.sign_leaving) for message in updates for r in message.upstreams]
        self.assertEqual(records, [("i-1", True)])
        await self.grant("i-2")
        self.assertEqual((await task).replica, "i-2")

    async def test_repeated_grants_of_an_unusable_replica_end_in_a_refusal(self):
        self.back_off("i-1")
        task = self.acquire()
        for _ in range(MAX_GRANTS):
            await self.grant("i-1")
        outcome = await task
        self.assertEqual((outcome.reason, len(self.tickets)), (Reason.NO_ROOM, 0))
        self.assertEqual(len(self.released()), MAX_GRANTS)

    async def test_waiting_time_of_a_new_ticket_counts_from_the_request(self):
        task = self.acquire()
        await asyncio.sleep(0.05)
        self.back_off("i-1")
        await self.grant("i-1")
        self.assertGreaterEqual(self.placed()[-1].waited, 50)
        task.cancel()

    async def test_if_all_replicas_are_in_backoff_the_retry_time_is_the_first_end(self):
        for replica, seconds in (("i-1", 9.0), ("i-2", 4.0), ("i-3", 30.0)):
            self.back_off(replica, seconds)
        outcome = await self.acquirer.acquire(REQUEST, 30.0)
        self.assertEqual((outcome.reason, self.placed()), (Reason.NO_ROOM, []))
        self.assertTrue(3.5 <= outcome.come_back <= 4.0 + RETRY_JITTER_SECONDS)

    async def test_replicas_of_other_regions_do_not_count_for_a_bound_request(self):
        for replica in ("i-1", "i-2"):
            self.back_off(replica)
        away = {**RECORD, "failure_domain": "z"}
        self.directory.seen(WatchEvent("upstream", "i-3", 9, away))
        task = self.acquire()
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        task.cancel()
        outcome = await self.acquirer.acquire(replace(REQUEST, regions=("north",)), 30.0)
        self.assertEqual(outcome.reason, Reason.NO_ROOM)

    async def test_only_one_request_tries_a_replica_whose_backoff_has_ended(self):
        self.back_off("i-1", 0.0)
        await asyncio.sleep(0.01)
        first, second = self.acquire(), self.acquire()
        await self.grant("i-1")
        self.assertEqual((await first).replica, "i-1")
        await self.grant("i-1")
        self.assertFalse(second.done())
        now = self.clock.monotonic()
        self.assertLessEqual(self.backoffs.seconds_left("i-1", now), TRIAL_SECONDS)
        await self.grant("i-2")
        self.assertEqual((await second).replica, "i-2")
