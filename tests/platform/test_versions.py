"""A service moves to a new software version by canary calls, or not at all where that is bad."""

import asyncio
import unittest

from railsail.core.events import Kind
from railsail.node import Node
from railsail.rollouts.orders import State
from tests.platform.base import LONG_MS, LONGEST_SECONDS, PlatformTestCase, configuration
from tests.platform.standins import LOOPBACK, ReplicaStandin
from tests.platform.versions import Fault, SoftwareVersion

# Each failed call may be made again: a single daemon that has just started, with few calls, would
# else have spent its budget of repeats.
SETTINGS = {
    "expose_share": "0.1",
    "expose_slack": "50",
    "rollback_ms": "5000",
    "retry_ratio": "1",
}
REPLICAS = 3
SLOTS = 16
# Calls that are made at once, and the pause between two such rounds.
AT_ONCE = 4
PAUSE_SECONDS = 0.03


class VersionsTestCase(PlatformTestCase):
    duration = 5.0

    async def start(self, fault: Fault = Fault.NONE, **settings: str) -> Node:
        """Start a daemon and the old version, and make what the new one will be."""
        self.old = SoftwareVersion("v1", seconds=0.02)
        self.new = SoftwareVersion("v2", fault, seconds=0.02)
        await self.list_version(self.old)
        changes = {"again": {"timeout_ms": LONG_MS, "slo_ms": LONG_MS}}
        self.store.put("config", "main", configuration(3, **changes))
        node = await self.add_node(**settings)
        await self.until(lambda: not node.not_ready())
        self.hold_lag(node)
        return node

    async def list_version(self, version: SoftwareVersion) -> None:
        for _ in range(REPLICAS):
            replica = ReplicaStandin(f"i-{len(self.replicas)}", version.script)
            await replica.start()
            self.addCleanup(replica.stop)
            self.replicas.append(replica)
            spec = {"service": "desk", "addr": f"{LOOPBACK}:{replica.port}", "zone": "a"}
            spec |= {"slots": SLOTS, "state": "ready", "seq": 1, "version": version.name}
            self.store.put("servers", replica.name, spec)

    async def order(self) -> None:
        spec = {"service": "desk", "target_version": "v2", "duration_s": self.duration}
        self.store.put("rollouts", "desk", spec)
        await self.list_version(self.new)

    def state(self) -> str:
        status = self.store.objects[("rollouts", "desk")].get("status")
        return status["state"] if status else ""

    async def call_until(self, node: Node, condition) -> list[int]:
        """Make calls all the time until ``condition`` holds, and return their statuses."""
        statuses = []
        async with asyncio.timeout(4 * LONGEST_SECONDS):
            while not condition():
                calls = [
                    self.call(node, "/again/x", Request_Id=f"r-{len(statuses) + n}")
                    for n in range(AT_ONCE)
                ]
                statuses += [answer.status for answer in await asyncio.gather(*calls)]
                await asyncio.sleep(PAUSE_SECONDS)
        return statuses


class BadVersionTests(VersionsTestCase):
    async def test_callers_are_served_and_the_version_gets_nothing_after_the_rollback(self):
        node = await self.start(Fault.FAILS, **SETTINGS)
        await self.order()
        statuses = await self.call_until(node, lambda: self.state() == "rolled_back")
        # What failed on the new version ran again on the old one.
        self.assertGreater(len(self.new.bad_answers), 0)
        self.assertEqual(set(statuses), {200})
        all_arrivals = len(self.new.arrivals) + len(self.old.arrivals)
        self.assertLessEqual(len(self.new.arrivals), 0.1 * all_arrivals + 50)
        before = len(self.new.arrivals)
        rounds = iter(range(50))
        statuses = await self.call_until(node, lambda: next(rounds, None) is None)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(len(self.new.arrivals), before)

    async def test_failures_of_the_version_close_no_replica(self):
        node = await self.start(Fault.FAILS, **SETTINGS)
        await self.order()
        await self.call_until(node, lambda: self.state() == "rolled_back")
        (dispatcher,) = node.dispatchers.dispatchers().values()
        self.assertFalse(any(room.health.tripped for room in dispatcher.replicas.values()))

    async def test_story_of_a_canary_call_names_version_and_stage(self):
        node = await self.start(Fault.FAILS, **SETTINGS)
        await self.order()
        await self.call_until(node, lambda: len(self.new.arrivals) > 0)
        granted = [event for event in node.events if event.kind is Kind.GRANTED]
        told = next(event for event in granted if event.facts.get("stage") == "CANARY")
        entry = [e for e in granted if e.request and e.facts["ticket"] == told.facts["ticket"]]
        self.assertEqual(entry[0].facts["software_version"], "v2")
        self.assertEqual(entry[0].facts["replica"], told.facts["replica"])


class GoodVersionTests(VersionsTestCase):
    async def test_all_calls_move_before_the_rollout_succeeds(self):
        node = await self.start(**SETTINGS)
        await self.order()
        statuses = await self.call_until(node, lambda: self.state() == "succeeded")
        self.assertEqual(set(statuses), {200})
        book = node.parts["rollouts"].book
        await self.until(lambda: book.get("desk").order_state is State.SUCCEEDED)
        before = len(self.old.arrivals)
        rounds = iter(range(20))
        await self.call_until(node, lambda: next(rounds, None) is None)
        self.assertEqual(len(self.old.arrivals), before)


class NoOrderTests(VersionsTestCase):
    async def test_daemon_without_bounds_serves_a_new_version_as_it_comes(self):
        node = await self.start()
        await self.list_version(self.new)
        await self.call_until(node, lambda: len(self.new.arrivals) > 20)

    async def test_replaced_replicas_serve_without_an_order(self):
        node = await self.start(**SETTINGS)
        await self.list_version(self.new)
        statuses = await self.call_until(node, lambda: len(self.new.arrivals) > 20)
        self.assertEqual(set(statuses), {200})


if __name__ == "__main__":
    unittest.main()
