"""Streams are resumed after all daemons were lost at once, each at the version that began it."""

import asyncio

from railsail.node import Node
from tests.platform.streams import versions_of
from tests.platform.test_streams import STREAMS, ResumedStreamTestCase

DAEMONS = 3
# What was begun so long before the loss can be continued after it.
RECORDED_SECONDS = 2.0


class LostFleetTestCase(ResumedStreamTestCase):
    """Daemons that all end without a word and come back; the replicas and the store stay."""

    async def serve_fleet(self) -> list[Node]:
        """Start the replicas and the daemons, and wait until all know each other."""
        node = await self.serve_versions()
        return [node, *[await self.add_peer(node) for _ in range(DAEMONS - 1)]]

    async def lose_all_daemons(self) -> list[Node]:
        """End all daemons at once, and return those that come back."""
        for node in self.nodes:
            await node.abort()
        self.nodes.clear()
        restarted = [await self.add_node(first_start="false") for _ in range(DAEMONS)]
        for node in restarted:
            self.hold_lag(node)
            await self.until(lambda node=node: not node.not_ready())
            await self.until(lambda node=node: len(node.directory.all()) == len(self.replicas))
        return restarted

    async def count_resumed(self, node: Node, begun: dict[str, bytes]) -> int:
        """Resume streams at ``node``, and return how many went on, each at its version."""
        count = 0
        for name, data in begun.items():
            answer = await self.resume_stream(node, name, data)
            if answer.status == 200:
                self.assert_one_version(data + answer.body)
                count += 1
        return count


class OneVersionTests(LostFleetTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.versions = self.versions[:1]

    async def test_streams_go_on_where_one_version_has_served(self):
        nodes = await self.serve_fleet()
        begun = await self.begin(nodes[0], STREAMS)
        await asyncio.sleep(RECORDED_SECONDS)
        restarted = await self.lose_all_daemons()
        self.assertEqual(await self.count_resumed(restarted[0], begun), STREAMS)


class TwoVersionsTests(LostFleetTestCase):
    async def test_streams_go_on_at_the_version_that_began_each(self):
        nodes = await self.serve_fleet()
        begun = {}
        for number, node in enumerate(nodes):
            begun |= await self.begin(node, STREAMS // 2, f"s-{number}")
        self.assertEqual(len({versions_of(data).pop() for data in begun.values()}), 2)
        await asyncio.sleep(RECORDED_SECONDS)
        restarted = await self.lose_all_daemons()
        self.assertEqual(await self.count_resumed(restarted[1], begun), len(begun))
