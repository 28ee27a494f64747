"""Who coordinates a rollout, and what survives a crash, a lost answer or a restored store."""

import asyncio
import unittest
from dataclasses import replace

from railsail.core.clock import ManualClock
from railsail.rollouts.book import KIND as ROLLOUT
from railsail.rollouts.coordinator import Coordinator
from railsail.rollouts.coordinator_term import LEASE_SECONDS
from railsail.rollouts.ledger import KIND as LEDGER
from railsail.rollouts.orders import State
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Verdict
from tests.rollouts.base import (
    BOUNDS,
    NAMES,
    RATE,
    SERVICE,
    START,
    STEP,
    CoordinationCase,
    FakeNode,
    FakeStore,
    new_kernel,
)


class CoordinationTests(CoordinationCase):
    async def test_one_node_leads_and_writes_the_running_status(self):
        leader = await self.start_rollout()
        self.assertEqual(self.store.ledger()["holder"], leader.name)
        self.assertEqual(self.store.status(), {"state": "running", "target_version": "v2"})
        self.assertEqual(leader.allowed.stage, Stage.CANARY)

    async def test_no_call_is_allowed_before_it_is_reserved(self):
        for _ in range(100):
            await self.pass_time(STEP)
            self.assertLessEqual(self.used, self.store.ledger()["reserved"])
        self.assertGreater(self.used, 0)
        self.assertLessEqual(self.store.ledger()["reserved"], BOUNDS.canary_calls(1000))

    async def test_canary_names_three_replicas_of_the_target(self):
        leader = await self.start_rollout()
        self.assertEqual(len(leader.allowed.replicas), 3)
        self.assertTrue(all(name.startswith("new-") for name in leader.allowed.replicas))

    async def test_bad_version_is_held_at_once_and_rolled_back(self):
        leader = await self.start_rollout()
        self.judge(Verdict.BAD)
        leader.coordination.tick()
        self.assertEqual((leader.allowed.stage, leader.allowed.calls), (Stage.HOLD, 0))
        await self.pass_time(STEP, [leader])
        self.assertEqual(self.store.status()["state"], "rolled_back")
        self.assertEqual(self.store.ledger()["state"], State.ROLLED_BACK)
        self.assertFalse(leader.book.takes_work(SERVICE, "v2"))

    async def test_good_version_succeeds_by_the_deadline(self):
        await self.start_rollout()
        self.judge(Verdict.GOOD)
        await self.pass_time(19.0)
        self.assertEqual(self.store.status()["state"], "succeeded")
        self.assertLessEqual(self.used, 0.1 * RATE * 20 + 50)

    async def test_undecided_order_gets_more_canary_calls_after_its_deadline(self):
        await self.start_rollout()
        await self.pass_time(19.0)
        before = self.store.ledger()["reserved"]
        self.assertLessEqual(before, BOUNDS.canary_calls(2000, RATE))
        await self.pass_time(2.0)
        self.assertGreater(self.store.ledger()["reserved"], 2 * before)
        self.assertEqual(self.leader().allowed.stage, Stage.CANARY)

    async def test_calls_on_other_versions_are_waited_for(self):
        leader = await self.start_rollout()
        self.judge(Verdict.GOOD)
        self.running = 3
        await self.pass_time(22.0)
        self.assertEqual(self.store.status()["state"], "running")
        self.assertEqual(leader.allowed.stage, Stage.DRAIN)
        self.running = 0
        await self.pass_time(0.5)
        self.assertEqual(self.store.status()["state"], "succeeded")

    async def test_version_that_turns_bad_in_the_shift_stays_within_the_bounds(self):
        leader = await self.start_rollout()
        self.judge(Verdict.GOOD)
        while leader.coordination.coordinator_term.stage < Stage.SHIFT:
            await self.pass_time(STEP)
        self.judge(Verdict.BAD)
        await self.pass_time(0.5)
        self.assertEqual(self.store.status()["state"], "rolled_back")
        self.assertLessEqual(self.used, 0.1 * self.arrivals + 50)

    async def test_successor_of_a_crashed_coordinator_keeps_its_reserved_calls(self):
        crashed = await self.start_rollout()
        reserved = self.store.ledger()["reserved"]
        left = [node for node in self.nodes if node is not crashed]
        await self.pass_time(LEASE_SECONDS + 1.0, left)
        (leader,) = [node for node in left if node.leads]
        self.assertEqual(self.store.ledger()["term"], 2)
        self.assertGreaterEqual(self.store.ledger()["reserved"], reserved)
        await self.pass_time(5.0, left)
        self.assertEqual(leader.allowed.stage, Stage.CANARY)
        self.assertLessEqual(self.used, BOUNDS.canary_calls(int(self.arrivals)))
        self.assertLessEqual(self.used, self.store.ledger()["reserved"])

    async def test_paused_coordinator_allows_no_calls_and_steps_down(self):
        paused = await self.start_rollout()
        left = [node for node in self.nodes if node is not paused]
        await self.pass_time(4.0, left)
        count = len(paused.fleet.sent)
        paused.coordination.tick()
        self.assertEqual(len(paused.fleet.sent), count)
        await paused.step()
        await paused.step()
        self.assertIsNone(paused.coordination.coordinator_term)
        self.assertNotEqual(self.store.ledger()["holder"], paused.name)

    async def test_coordinator_refused_by_the_store_is_replaced(self):
        refused = await self.start_rollout()
        self.store.refused_nodes.add(refused.name)
        await self.pass_time(4.0)
        leader = self.leader()
        self.assertIsNot(leader, refused)
        self.store.refused_nodes.clear()
        await self.pass_time(1.0)
        self.assertIs(self.leader(), leader)
        self.assertIsNone(refused.coordination.coordinator_term)

    async def test_coordinator_that_is_about_to_stop_is_replaced(self):
        stopping = await self.start_rollout()
        stopping.fleet.nodes = []
        await self.pass_time(4.0)
        self.assertIsNot(self.leader(), stopping)

    async def test_allowances_expire_before_another_node_may_lead(self):
        self.assertLess(BOUNDS.valid_seconds, LEASE_SECONDS)

    async def test_decision_whose_write_got_no_answer_takes_effect(self):
        leader = await self.start_rollout()
        self.judge(Verdict.BAD)
        leader.coordination.tick()
        self.store.loses_answer = True
        self.assertIsNone(await leader.step())
        # Later evidence does not change the decision.
        self.judge(Verdict.GOOD)
        await self.pass_time(1.0)
        self.assertEqual(self.store.status()["state"], "rolled_back")

    async def test_decision_whose_write_was_delayed_is_not_changed(self):
        leader = await self.start_rollout()
        self.judge(Verdict.BAD)
        leader.coordination.tick()
        self.store.holds_back = True
        self.assertIsNone(await leader.step())
        self.judge(Verdict.GOOD)
        self.store.release()
        await self.pass_time(1.0)
        self.assertEqual(self.store.ledger()["state"], State.ROLLED_BACK)
        self.assertEqual(self.store.status()["state"], "rolled_back")

    async def test_successor_applies_a_decision(self):
        crashed = await self.start_rollout()
        self.judge(Verdict.BAD)
        crashed.coordination.tick()
        entry = crashed.coordination.coordinator_term.next_entry()
        await crashed.coordination._ledger.write(entry)
        left = [node for node in self.nodes if node is not crashed]
        for node in left:
            node.verdict = Verdict.GOOD
            node.read()
            self.assertIsNotNone(await node.step())
            self.assertIsNone(node.book.running(SERVICE))
            self.assertEqual(len(node.book.ended_without_status()), 1)
        self.assertEqual(self.store.status()["state"], "running")
        await _write_missing_ends(left[0])
        self.assertEqual(self.store.status()["state"], "rolled_back")

    async def test_restarted_fleet_keeps_the_reserved_calls_and_the_deadline(self):
        await self.start_rollout()
        await self.pass_time(5.0)
        before = self.store.ledger()
        self.nodes = [FakeNode(name, NAMES, self.store, self.clock) for name in NAMES]
        self.start = 2
        await self.pass_time(4.0)
        after = self.store.ledger()
        self.assertGreater(after["term"], before["term"])
        self.assertEqual(after["ends"], before["ends"])
        self.assertGreaterEqual(after["reserved"], before["reserved"])
        self.assertLessEqual(self.used, BOUNDS.canary_calls(int(self.arrivals)))

    async def test_restarted_fleet_applies_a_decision(self):
        crashed = await self.start_rollout()
        self.judge(Verdict.BAD)
        crashed.coordination.tick()
        await crashed.coordination._ledger.write(crashed.coordination.coordinator_term.next_entry())
        fresh = FakeNode("a", NAMES, self.store, self.clock)
        await fresh.step()
        self.assertIsNone(fresh.book.running(SERVICE))
        self.assertEqual(fresh.book.ended_without_status()[0].order_state, State.ROLLED_BACK)

    async def test_ledger_restored_to_an_earlier_entry_is_written_again(self):
        leader = await self.start_rollout()
        old = self.store.ledger()
        await self.pass_time(3.0)
        reserved = self.store.ledger()["reserved"]
        self.store.set(LEDGER, SERVICE, old)
        await self.pass_time(1.0)
        self.assertIs(self.leader(), leader)
        self.assertGreaterEqual(self.store.ledger()["reserved"], reserved)

    async def test_missing_ledger_is_written_again(self):
        leader = await self.start_rollout()
        reserved = self.store.ledger()["reserved"]
        del self.store.objects[(LEDGER, SERVICE)]
        await self.pass_time(1.0, [leader])
        self.assertGreaterEqual(self.store.ledger()["reserved"], reserved)

    async def test_ledger_that_another_program_wrote_is_written_again_by_its_holder(self):
        leader = await self.start_rollout()
        await self.pass_time(3.0)
        before = self.store.ledger()
        standby = [node for node in self.nodes if node is not leader]
        self.store.set(LEDGER, SERVICE, {"holder": ["odd"], "reserved": "none"})
        # A node that starts now has read no ledger before.
        fresh = FakeNode(standby[0].name, NAMES, self.store, self.clock)
        self.nodes = [fresh, standby[1], leader]
        await self.pass_time(1.0)
        self.assertIs(self.leader(), leader)
        after = self.store.ledger()
        self.assertEqual((after["holder"], after["term"]), (leader.name, before["term"]))
        self.assertGreaterEqual(after["reserved"], before["reserved"])

    async def test_ledger_that_another_program_wrote_does_not_free_reserved_calls(self):
        crashed = await self.start_rollout()
        await self.pass_time(3.0)
        before = self.store.ledger()
        self.store.set(LEDGER, SERVICE, {})
        left = [node for node in self.nodes if node is not crashed]
        await self.pass_time(LEASE_SECONDS + 2.0, left)
        after = self.store.ledger()
        self.assertGreaterEqual(after["reserved"], before["reserved"])
        self.assertEqual(after["ends"], before["ends"])
        self.assertLessEqual(self.used, BOUNDS.canary_calls(int(self.arrivals)))

    async def test_lost_status_of_an_ended_order_is_written_again(self):
        leader = await self.start_rollout()
        self.judge(Verdict.BAD)
        await self.pass_time(0.5)
        value = self.store.objects[(ROLLOUT, SERVICE)].value
        self.store.set(ROLLOUT, SERVICE, value | {"status": {}})
        leader.read()
        await _write_missing_ends(leader)
        self.assertEqual(self.store.status()["state"], "rolled_back")

    async def test_changed_order_starts_a_new_rollout(self):
        await self.start_rollout()
        await self.pass_time(5.0)
        self.store.order("v3")
        for node in self.nodes:
            node.read()
            self.assertFalse(node.coordination._is_still_ordered())
            self.assertFalse(node.book.takes_work(SERVICE, "v2"))
            node.start_coordination()
        await self.pass_time(1.0)
        ledger = self.store.ledger()
        self.assertEqual((ledger["target_version"], ledger["term"]), ("v3", 2))
        self.assertEqual(ledger["ends"] - ledger["seen"], 20_000)
        self.assertEqual(self.store.status(), {"state": "running", "target_version": "v3"})

    async def test_order_given_again_after_its_withdrawal_starts_a_new_rollout(self):
        await self.start_rollout()
        ends = self.store.ledger()["ends"]
        del self.store.objects[(ROLLOUT, SERVICE)]
        for node in self.nodes:
            node.read()
        self.clock.advance(100.0)
        self.store.order()
        for node in self.nodes:
            node.read()
            node.start_coordination()
        await self.pass_time(1.0)
        self.assertGreater(self.store.ledger()["ends"], ends + 90_000)
        self.assertEqual(self.leader().allowed.stage, Stage.CANARY)

    async def test_nothing_is_written_or_allowed_after_the_order_was_withdrawn(self):
        leader = await self.start_rollout()
        del self.store.objects[(ROLLOUT, SERVICE)]
        self.judge(Verdict.BAD)
        leader.read()
        writes = self.store.writes
        count = len(leader.fleet.sent)
        await self.pass_time(1.0)
        self.assertEqual((len(leader.fleet.sent), self.store.writes), (count, writes))

    async def test_status_of_another_order_is_not_overwritten(self):
        leader = await self.start_rollout()
        self.store.order("v3")
        self.judge(Verdict.BAD)
        await self.pass_time(0.5, [leader])
        self.assertNotEqual(self.store.status().get("state"), "rolled_back")

    async def test_end_is_written_without_another_read(self):
        leader = await self.start_rollout()
        self.judge(Verdict.BAD)
        leader.coordination.tick()
        reads = self.store.reads
        await leader.step()
        self.assertEqual(self.store.status()["state"], "rolled_back")
        self.assertEqual(self.store.reads, reads)

    async def test_end_is_written_after_the_operator_changed_the_object(self):
        leader = await self.start_rollout()
        self.judge(Verdict.BAD)
        leader.coordination.tick()
        value = self.store.objects[(ROLLOUT, SERVICE)].value
        self.store.set(ROLLOUT, SERVICE, value | {"note": "looked at"})
        await leader.step()
        self.assertEqual(self.store.status()["state"], "rolled_back")

    async def test_status_has_the_target_version_in_the_type_of_the_order(self):
        self.store.order(7)
        node = FakeNode("a", ["a"], self.store, self.clock)
        await node.step()
        await node.step()
        self.assertEqual(self.store.status(), {"state": "running", "target_version": 7})

    async def test_version_without_replicas_receives_no_calls_and_keeps_running(self):
        for node in self.nodes:
            node.fleet.all = [r for r in node.fleet.all if r.software_version == "v1"]
        self.judge(Verdict.GOOD)
        await self.pass_time(30.0)
        self.assertEqual(self.leader().allowed.stage, Stage.HOLD)
        self.assertEqual((self.used, self.store.status()["state"]), (0, "running"))

    async def test_restarted_dispatcher_gets_a_quota_of_its_own(self):
        leader = await self.start_rollout()
        await self.pass_time(2.0)
        before = self.used
        self.assertGreater(before, 0)
        for node in self.nodes:
            node.fleet.dispatcher_start_id = 2
        self.clock.advance(0.3)
        leader.coordination.tick()
        # The new process may send no calls until it has sent evidence.
        self.assertEqual(leader.allowed.calls, 0)
        self.start, self.exposed, self.arrivals = 2, {}, 0.0
        for _ in range(30):
            await self.pass_time(STEP)
            self.assertLessEqual(before + self.used, self.store.ledger()["reserved"])

    async def test_lower_version_of_the_order_does_not_repeat_a_quota(self):
        leader = await self.start_rollout()
        await self.pass_time(2.0)
        coordinator_term = leader.coordination.coordinator_term
        self.assertGreater(leader.allowed.calls, 0)
        coordinator_term.order = replace(coordinator_term.order, version=0)
        self.clock.advance(0.3)
        coordinator_term.tick()
        self.assertEqual((leader.allowed.version, leader.allowed.calls), (0, 0))


async def _write_missing_ends(node: FakeNode) -> None:
    """Run the coordinator of ``node`` until the store has the status of all ended rollouts."""
    kernel = new_kernel(node.clock)
    coordinator = Coordinator(node.book, node.store, node.fleet, BOUNDS, kernel)
    running = asyncio.ensure_future(coordinator.run())
    async with asyncio.timeout(5.0):
        while node.book.ended_without_status():
            await asyncio.sleep(0.05)
    running.cancel()
    coordinator.stop()


class CoordinatorTests(unittest.IsolatedAsyncioTestCase):
    async def test_rollouts_of_several_services_run_at_once(self):
        clock = ManualClock(START)
        store = FakeStore()
        store.order()
        store.order("v9", 30.0, "app")
        node = FakeNode("a", ["a"], store, clock)
        coordinator = Coordinator(node.book, store, node.fleet, BOUNDS, new_kernel(clock))
        running = asyncio.ensure_future(coordinator.run())
        async with asyncio.timeout(5.0):
            while not all(store.status(service) for service in (SERVICE, "app")):
                await asyncio.sleep(0.02)
        running.cancel()
        coordinator.stop()
        self.assertEqual(store.ledger("app")["target_version"], "v9")
        self.assertEqual(store.ledger()["target_version"], "v2")

    async def test_nothing_is_coordinated_after_stop(self):
        clock = ManualClock(START)
        store = FakeStore()
        store.order()
        node = FakeNode("a", ["a"], store, clock)
        coordinator = Coordinator(node.book, store, node.fleet, BOUNDS, new_kernel(clock))

        async def part() -> None:
            await asyncio.gather(coordinator.run())

        running = asyncio.ensure_future(part())
        async with asyncio.timeout(5.0):
            while not store.status(SERVICE):
                await asyncio.sleep(0.02)
        # As when a daemon stops: the tasks of its parts are cancelled, and its parts are stopped.
        running.cancel()
        coordinator.stop()
        await asyncio.sleep(0.1)
        self.assertTrue(running.cancelled())
        self.assertIsNone(coordinator.coordination(SERVICE))
        writes = store.writes
        await asyncio.sleep(1.0)
        self.assertEqual(store.writes, writes)


if __name__ == "__main__":
    unittest.main()
