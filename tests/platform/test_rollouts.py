"""Rollouts on a daemon: the operator's order, its status in the store, and bad orders."""

import json
import unittest

from railsail.rollouts.orders import State
from tests.platform.base import PlatformTestCase
from tests.platform.standins import answering

ORDER = {"service": "desk", "target_version": "v2", "duration_s": 20}
RUNNING = {"state": "running", "target_version": "v2"}


class RolloutTests(PlatformTestCase):
    def status(self) -> dict | None:
        return self.store.objects[("rollouts", "desk")].get("status")

    def book(self, node):
        return node.parts["rollouts"].book

    def refused(self, node) -> int:
        try:
            return node.metrics.rollouts_refused.get({"service": "desk"})
        except KeyError:
            return 0

    async def test_order_is_coordinated_and_known_to_peers(self):
        node = await self.serve(answering(), expose_share="0.1", expose_slack="50")
        other = await self.add_node(expose_share="0.1", expose_slack="50", seeds=node.hub.own.node)
        await self.until(lambda: node.hub.connected(other.hub.own.node))
        self.store.put("rollouts", "desk", ORDER)
        await self.until(lambda: self.status() == RUNNING)
        ledger = self.store.objects[("railsail-rollouts", "desk")]["spec"]
        self.assertEqual((ledger["target_version"], ledger["duration"]), ("v2", 20_000))
        await self.until(lambda: self.book(other).running("desk") is not None)
        await self.until(lambda: self.book(node).all() == self.book(other).all())

    async def test_order_of_before_the_start(self):
        self.store.put("rollouts", "desk", ORDER | {"target_version": 12})
        await self.serve(answering(), expose_share="0.1")
        await self.until(lambda: self.status() == {"state": "running", "target_version": 12})

    async def test_without_bounds_rollouts_are_left_alone(self):
        self.store.put("rollouts", "desk", ORDER)
        node = await self.serve(answering())
        self.assertEqual(self.book(node).all(), [])
        self.assertFalse([call for call in self.store.calls if "rollouts" in call])

    async def test_bad_orders_are_refused_and_others_go_on(self):
        bad = (
            None,
            [],
            {},
            ORDER | {"duration_s": -1},
            ORDER | {"duration_s": "soon"},
            ORDER | {"duration_s": 1e300},
            ORDER | {"target_version": 1.5},
            ORDER | {"target_version": ""},
            ORDER | {"service": "other"},
        )
        self.store.put("rollouts", "desk", ORDER)
        node = await self.serve(answering(), expose_share="0.1")
        await self.until(lambda: self.book(node).running("desk") is not None)
        for count, spec in enumerate(bad, 1):
            self.store.put("rollouts", "desk", spec)
            await self.until(lambda count=count: self.refused(node) >= count)
            self.assertEqual(self.book(node).running("desk").target_version, "v2")
        self.store.put("rollouts", "desk", ORDER | {"target_version": "v3"})
        await self.until(lambda: self.book(node).running("desk").target_version == "v3")

    async def test_order_that_is_taken_away_and_end_in_the_store(self):
        self.store.put("rollouts", "desk", ORDER)
        node = await self.serve(answering(), expose_share="0.1")
        await self.until(lambda: self.status() == RUNNING)
        self.store.put_status("rollouts", "desk", RUNNING | {"state": "rolled_back"})
        book = self.book(node)
        await self.until(lambda: book.get("desk").order_state is State.ROLLED_BACK)
        self.assertFalse(book.takes_work("desk", "v2"))
        self.store.remove("rollouts", "desk")
        await self.until(lambda: book.get("desk").withdrawn)

    async def test_store_that_comes_back_from_a_copy(self):
        self.store.put("rollouts", "desk", ORDER)
        node = await self.serve(answering(), expose_share="0.1")
        book = self.book(node)
        await self.until(lambda: self.status() == RUNNING)
        copy = self.store.copy()
        ended = RUNNING | {"state": "rolled_back"}
        self.store.put_status("rollouts", "desk", ended)
        await self.until(lambda: book.get("desk").order_state is State.ROLLED_BACK)
        self.store.restore(copy)
        self.assertEqual(self.status(), RUNNING)
        await self.until(lambda: self.status() == ended)
        self.assertIs(book.get("desk").order_state, State.ROLLED_BACK)

    async def test_ledger_that_a_copy_lacks_is_written_again(self):
        copy = self.store.copy()
        node = await self.serve(answering(), expose_share="0.1")
        self.store.put("rollouts", "desk", ORDER)
        await self.until(lambda: self.status() == RUNNING)
        ledger = ("railsail-rollouts", "desk")
        ends = self.store.objects[ledger]["spec"]["ends"]
        self.store.restore(copy)
        # The operator writes the order again; it is the same one.
        self.store.put("rollouts", "desk", ORDER)
        await self.until(lambda: ledger in self.store.objects and self.status() == RUNNING)
        self.assertEqual(self.store.objects[ledger]["spec"]["ends"], ends)
        self.assertIsNotNone(self.book(node).running("desk"))

    async def test_text_that_is_no_utf8(self):
        node = await self.serve(answering(), expose_share="0.1")
        self.store.put("rollouts", "desk", ORDER)
        await self.until(lambda: self.book(node).running("desk") is not None)
        # A lone surrogate, as JSON text.
        self.store.put("rollouts", "desk", ORDER | {"target_version": json.loads('"\\ud800"')})
        self.store.put("rollouts", "other", ORDER | {"service": "other"})
        await self.until(lambda: self.book(node).running("other") is not None)
        self.assertEqual(self.book(node).running("desk").target_version, "v2")


if __name__ == "__main__":
    unittest.main()
