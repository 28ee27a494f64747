"""What engines say of themselves in answers holds on the model interface as on routes.

An engine that said in all its answers that it leaves, and neither in its record nor in its load
report, got 95 of 114 requests later than two seconds after a node had passed such an answer on.
Engines that turned 4 of 10 requests away, asking for three seconds of rest, got up to 11 of one
node in that time. Neither header was read (see ``tests/platform/test_signs.py``).
"""

import asyncio
import unittest

from railsail.standins.batching import Faults
from tests.fleet.base import LONGEST_SECONDS, FleetTestCase

CALLS = 12


class SaysLeavingTests(FleetTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.leaving = self.fleet.engines["model-0"]
        self.leaving.faults = Faults(says_leaving=True)
        self.node, self.other, _ = self.fleet.nodes

    async def call_until_reached(self) -> None:
        async with asyncio.timeout(LONGEST_SECONDS):
            while not self.leaving.log:
                await self.complete(self.node)

    async def assert_gets_nothing_more(self) -> None:
        before = len(self.leaving.log)
        for node in self.fleet.nodes:
            for _ in range(CALLS // 3):
                self.assertEqual((await self.complete(node)).code, 200)
        self.assertEqual(len(self.leaving.log), before)

    def all_know(self) -> bool:
        return all(node.directory.get("model-0").leaving for node in self.fleet.nodes)

    async def test_engine_that_says_so_in_a_stream_gets_nothing_more_from_any_node(self):
        await self.call_until_reached()
        await self.until(self.all_know)
        await self.assert_gets_nothing_more()

    async def test_load_reports_that_do_not_say_so_do_not_bring_it_back(self):
        await self.call_until_reached()
        await self.until(self.all_know)
        for node in self.fleet.nodes:
            for cell, dispatcher in node.dispatchers.dispatchers().items():
                node.loads._polled_at.clear()
                node.loads.poll(cell, dispatcher)
                await node.loads._tasks.wait(5.0)
        await self.assert_gets_nothing_more()

    async def test_answer_to_a_load_question_says_it_too(self):
        self.leaving.faults = Faults(load_says_leaving=True)
        await self.complete(self.node)
        for node in self.fleet.nodes:
            for cell, dispatcher in node.dispatchers.dispatchers().items():
                node.loads._polled_at.clear()
                node.loads.poll(cell, dispatcher)
        await self.until(self.all_know)


class AsksForRestTests(FleetTestCase):
    engines = 4

    async def test_engines_that_were_asked_for_rest_get_nothing_more_from_that_node(self):
        node = self.fleet.nodes[0]
        resting = [self.fleet.engines[name] for name in ("model-0", "model-1")]
        for engine in resting:
            engine.faults = Faults(rest="30")
        codes = [(await self.complete(node)).code for _ in range(2 * CALLS)]
        self.assertEqual(set(codes), {200})
        self.assertLessEqual(max(engine.refused for engine in resting), 1)

    async def test_where_all_want_rest_the_caller_hears_when_to_come_back(self):
        node = self.fleet.nodes[0]
        for engine in self.fleet.engines.values():
            engine.faults = Faults(rest="30")
        answers = [await self.complete(node) for _ in range(4)]
        self.assertGreaterEqual(int(answers[-1].headers["Retry-After"]), 28)
        self.assertLessEqual(max(e.refused for e in self.fleet.engines.values()), 1)


if __name__ == "__main__":
    unittest.main()
