"""A node that hears of a rollout's replicas before its order bounds their calls all the same."""

import asyncio
from unittest import mock

from railsail.node import Node
from railsail.rollouts.book import KIND
from railsail.store.base import WatchResult
from tests.platform.test_versions import AT_ONCE, PAUSE_SECONDS, SETTINGS, VersionsTestCase

CALLS = 400


class LateOrderTests(VersionsTestCase):
    def hold_orders_back(self, node: Node) -> None:
        """Let the store be silent to watches of orders alone, as one connection may be."""
        watch = node.store.watch

        async def silent(kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
            if KIND in kinds:
                await asyncio.Event().wait()
            return await watch(kinds, since, seconds)

        self.hold(mock.patch.object(node.store, "watch", silent))

    async def test_version_is_not_exposed_before_its_order_is_known(self):
        node = await self.start(**SETTINGS)
        self.hold_orders_back(node)
        # The watch that waits now ends with another service's order.
        self.store.put("rollouts", "other", {"service": "other", "target_version": "v9"})
        await asyncio.sleep(0.3)
        await self.order()
        count = 0
        while count < CALLS:
            await asyncio.gather(
                *(self.call(node, "/again/x", Request_Id=f"r-{count + n}") for n in range(AT_ONCE))
            )
            count += AT_ONCE
            await asyncio.sleep(PAUSE_SECONDS)
        self.assertIsNone(node.parts["rollouts"].book.get("desk"))
        self.assertLessEqual(len(self.new.arrivals), 0.1 * count + 50)
