"""Dispatchers that are lost, paused or doubled; planned stops."""

import asyncio

from railsail.core.lifecycle import State
from railsail.peers.messages import Cancel, Granted, Place, Release
from railsail.scheduling.cells import Cell
from railsail.scheduling.decisions import Flight
from railsail.standins.batching import EngineSettings
from tests.fleet.base import FleetTestCase, whole

CELL = Cell("model", 0, 1)


class DispatchTestCase(FleetTestCase):
    engines = 1
    engine = EngineSettings(slots=2, decode_rate=100.0, load_lag=0.05)

    def dispatcher(self):
        """Return the node that dispatches the pool ``model``, by everybody's word."""
        names = self.named()
        self.assertEqual(len(names), 1)
        return next(n for n in self.fleet.nodes if n.settings.node_id in names)

    def named(self) -> set[str]:
        return {node.cells.dispatcher(CELL) for node in self.fleet.nodes}

    async def follower(self, lost):
        """Return the dispatcher that all name once ``lost`` is not named any more."""
        lost_id = lost.settings.node_id
        await self.until(lambda: lost_id not in self.named() and len(self.named()) == 1)
        return self.dispatcher()

    def others(self) -> list:
        lost = self.dispatcher()
        return [node for node in self.fleet.nodes if node is not lost]

    def ask(self, nodes: list, count: int, tokens: int = 30) -> list[asyncio.Task]:
        return [
            asyncio.ensure_future(self.complete(nodes[number % len(nodes)], tokens))
            for number in range(count)
        ]

    def waiting(self) -> int:
        return sum(len(node.tickets.waiting()) for node in self.fleet.nodes)


class FreedRoomTests(DispatchTestCase):
    async def test_cell_with_nothing_waiting_is_looked_at_when_a_call_ends(self):
        # It may have room then for what waits with its neighbours.
        dispatcher, entry = self.dispatcher(), self.others()[0]
        name = entry.settings.node_id
        service = dispatcher.dispatchers
        service._handle_place(name, Place(78, 1, 0, "model", "one", 0, 10, 0))
        looked_at = []
        service.on_pumped(lambda cell, found: looked_at.append(cell))
        service._handle_release(name, Release(78, 1, 0, 0))
        self.assertEqual(looked_at, [CELL])


class UnheardReleaseTests(DispatchTestCase):
    async def test_grant_that_crossed_a_cancel_and_is_handed_back_takes_no_room(self):
        dispatcher, entry = self.dispatcher(), self.others()[0]
        name = entry.settings.node_id
        service = dispatcher.dispatchers
        service._handle_place(name, Place(77, 1, 0, "model", "one", 0, 10, 0))
        flights = service.dispatchers()[CELL].flights
        self.assertIn((name, 77), flights)
        # The entry gave up before the grant came, and hands it back when it does.
        service._handle_cancel(name, Cancel(77))
        service._handle_release(name, Release(77, 1, 0, 0))
        self.assertNotIn((name, 77), flights)

    async def test_call_whose_release_was_lost_with_its_link_takes_no_room_for_long(self):
        dispatcher, entry = self.dispatcher(), self.others()[0]
        name = entry.settings.node_id
        await self.complete(entry)
        cell = dispatcher.dispatchers.dispatchers()[CELL]
        await self.until(lambda: not cell.flights)
        # The entry has no booking, and the dispatcher still has a call that ended long ago.
        cell.resume_flight((name, 999), Flight(1, "one", "model-0", 1.0, 0.0))
        entry.hub.drop(dispatcher.settings.node_id)
        await self.until(lambda: not entry.hub.connected(dispatcher.settings.node_id))
        await self.until(lambda: entry.hub.dial(dispatcher.settings.node_id))
        await self.complete(entry)
        self.assertNotIn((name, 999), cell.flights)


class LossTests(DispatchTestCase):
    async def test_lost_dispatcher_loses_no_request(self):
        others = self.others()
        calls = self.ask(others, 8)
        await self.until(lambda: self.waiting() >= 3)
        await self.fleet.kill(self.dispatcher())
        responses = await asyncio.gather(*calls)
        self.assertTrue(all(whole(response) for response in responses))
        self.assertEqual(len(self.fleet.engines["model-0"].log), 8)

    async def test_new_dispatcher_knows_calls_in_flight_and_counters(self):
        others = self.others()
        calls = self.ask(others, 6, tokens=60)
        await self.until(lambda: self.waiting() >= 1)
        lost = self.dispatcher()
        await self.fleet.kill(lost)
        follower = await self.follower(lost)
        await self.until(lambda: CELL in follower.dispatchers.dispatchers())
        cell = follower.dispatchers.dispatchers()[CELL]
        await self.until(lambda: len(cell.flights) + len(cell.queue) == 6)
        self.assertGreater(cell.queue.counter("one"), 0.0)
        await asyncio.gather(*calls)
        await self.until(lambda: not cell.flights)

    async def test_entry_that_starts_anew_is_not_taken_for_its_past_self(self):
        entry = self.others()[0]
        calls = self.ask([entry], 3, tokens=5000)
        await self.until(lambda: len(self.fleet.engines["model-0"].log) >= 2)
        await self.fleet.kill(entry)
        await asyncio.gather(*calls, return_exceptions=True)
        for run in self.fleet.engines["model-0"].log:
            run.cancelled = True
        again = await self.fleet.restart(entry)
        await self.settle()
        responses = await asyncio.gather(*self.ask([again], 3))
        self.assertTrue(all(whole(response) for response in responses))

    async def test_stale_grant_is_handed_back(self):
        node = self.others()[0]
        call = self.ask([node], 1, tokens=5)
        await asyncio.gather(*call)
        node.hub._deliver(self.dispatcher().settings.node_id, Granted(1, 1, "model-0", 0))
        self.assertEqual(node.metrics.returned.get({}), 1)
        self.assertEqual(len(self.fleet.engines["model-0"].log), 1)

    async def test_two_dispatchers_at_once_serve_everything_once(self):
        first, second = self.others()
        # Each entry believes in a dispatcher of its own, as while a partition heals.
        first.cells.dispatcher = lambda cell: first.settings.node_id
        second.cells.dispatcher = lambda cell: second.settings.node_id
        responses = await asyncio.gather(*self.ask([first, second], 12))
        self.assertTrue(all(whole(response) for response in responses))
        self.assertEqual(len(self.fleet.engines["model-0"].log), 12)


class UnheardTests(DispatchTestCase):
    async def test_node_that_nobody_hears_serves_its_own_callers(self):
        node = self.others()[0]
        send = node.hub.send

        def lose(target: str, message: object) -> bool:
            """Lose what goes to others, as a network that is cut in one direction does."""
            return send(target, message) if target == node.settings.node_id else True

        node.hub.send = lose
        call = self.ask([node], 1)[0]
        await self.until(lambda: node.membership.doubted)
        node.cells.forget()
        self.assertEqual(node.cells.dispatcher(CELL), node.settings.node_id)
        response = await call
        self.assertTrue(whole(response))
        grants = [event for event in node.events if event.kind == "granted"]
        self.assertEqual(grants[-1].facts["dispatcher"], node.settings.node_id)


class SilentTests(DispatchTestCase):
    def freeze(self, frozen) -> None:
        """Let ``frozen`` neither say nor hear anything.

        Nobody misses its heartbeats here, however long the test takes; nor does it miss those of
        others, since a frozen process ends no links.
        """
        frozen.hub.send = lambda node, message: True
        frozen.hub._received = lambda node, message: None
        for node in self.fleet.nodes:
            node.membership._is_silent = lambda node, seconds: False

    async def test_frozen_dispatcher_is_left_before_heartbeats_are_missed(self):
        frozen, entry = self.dispatcher(), self.others()[0]
        name = frozen.settings.node_id
        self.freeze(frozen)
        response = await self.ask([entry], 1)[0]
        self.assertTrue(whole(response))
        self.assertIn(name, entry.tickets.unreachable)

    async def test_dispatcher_that_wakes_up_is_asked_again(self):
        frozen, entry = self.dispatcher(), self.others()[0]
        name = frozen.settings.node_id
        received = frozen.hub._received
        self.freeze(frozen)
        self.assertTrue(whole(await self.ask([entry], 1)[0]))
        frozen.hub._received = received
        del frozen.hub.send
        await self.until(lambda: name not in entry.tickets.unreachable)
        self.assertTrue(whole(await self.ask([entry], 1)[0]))

    async def test_dispatcher_with_nothing_to_grant_is_not_left(self):
        entry = self.others()[0]
        # A few calls take the slots for a second, one is queued at the engine, and the others
        # wait without a word meanwhile.
        calls = self.ask([entry], 6, tokens=100)
        await self.until(lambda: self.waiting() >= 1)
        await asyncio.gather(*calls)
        self.assertEqual(entry.tickets.unreachable, set())
        told = [event.detail for event in entry.events if "silent" in event.detail]
        self.assertEqual(told, [])


class DrainTests(DispatchTestCase):
    async def test_planned_stop_cuts_nothing(self):
        leaving = self.dispatcher()
        calls = self.ask(self.fleet.nodes, 9)
        await self.until(lambda: self.waiting() >= 4)
        await leaving.drain()
        self.assertIs(leaving.lifecycle.state, State.DRAINING)
        self.assertEqual(leaving.admission.total, 0)
        await self.fleet.kill(leaving)
        responses = await asyncio.gather(*calls)
        self.assertTrue(all(whole(response) for response in responses))

    async def test_stopping_node_is_not_ready_and_gives_its_cells_away(self):
        leaving = self.dispatcher()
        drain = asyncio.ensure_future(leaving.drain())
        await self.until(leaving.not_ready)
        others = [node for node in self.fleet.nodes if node is not leaving]
        await self.until(
            lambda: all(n.cells.dispatcher(CELL) != leaving.settings.node_id for n in others)
        )
        await drain

    def next_counter(self, node) -> float:
        """Return the counter with which the next ticket of ``one`` would wait at ``node``.

        The counter itself is dropped at some moment once it is below what all are lifted to.
        """
        queue = node.dispatchers.dispatchers()[CELL].queue
        queue.raise_counter("one")
        return queue.counter("one")

    async def test_counters_are_handed_over(self):
        leaving = self.dispatcher()
        await asyncio.gather(*self.ask([leaving], 3))
        before = self.next_counter(leaving)
        await leaving.drain()
        follower = next(
            n for n in self.fleet.nodes if n.settings.node_id == leaving.cells.dispatcher(CELL)
        )
        await self.until(lambda: CELL in follower.dispatchers.dispatchers())
        self.assertAlmostEqual(self.next_counter(follower), before, delta=1.0)

    async def test_workspace_whose_counter_was_forgotten_is_not_behind_after_a_hand_over(self):
        leaving = self.dispatcher()
        await asyncio.gather(*self.ask([leaving], 3))
        queue = leaving.dispatchers.dispatchers()[CELL].queue
        await self.until(lambda: not leaving.dispatchers.dispatchers()[CELL].flights)
        before = self.next_counter(leaving)
        self.assertGreater(before, 0.0)
        queue.forget_idle(set())
        await leaving.drain()
        follower = next(
            n for n in self.fleet.nodes if n.settings.node_id == leaving.cells.dispatcher(CELL)
        )
        await self.until(lambda: CELL in follower.dispatchers.dispatchers())
        self.assertAlmostEqual(self.next_counter(follower), before, delta=1.0)
