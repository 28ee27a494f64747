"""The platform's store comes back from an older copy, and its revisions go back.

A store went from revision 132 back to 14. A replica that then said in the list that it leaves was
not known to leave by any of four daemons for eight seconds, where two are allowed: the revision of
its record was lower than the one known, and an older record loses against a newer one.
"""

import asyncio
import unittest

from railsail.node import Node
from railsail.peers.levels import ERAS
from tests.peers.test_levels import older_build
from tests.platform.base import PlatformTestCase, configuration
from tests.platform.standins import LOOPBACK, answering

# Writes that the copy lacks, so that revisions go back by more than the test writes afterwards.
LOST = 40
# A replica writes its entry again within about so many seconds of the store's return.
WRITTEN_AGAIN_SECONDS = 1.0


class RestoredStoreTests(PlatformTestCase):
    def received(self) -> list[int]:
        return [len(replica.received) for replica in self.replicas]

    async def call_often(self, node: Node, calls: int = 12) -> set[int]:
        answers = [
            await self.call(node, "/again/", Request_Id=f"q-{number}") for number in range(calls)
        ]
        return {answer.status for answer in answers}

    async def advance(self, node: Node, first: int = 0) -> None:
        """Write what the copy will lack, and wait until ``node`` has seen it."""
        states = {u.name: "draining" if u.leaving else "ready" for u in node.directory.all()}
        for slots in range(10, 10 + LOST):
            for replica in self.replicas[first:]:
                self.list_replica(replica, states[replica.name], slots)
        last = self.replicas[-1].name
        await self.until(lambda: node.directory.get(last).slots == 9 + LOST)

    async def test_replica_that_leaves_afterwards_is_known_to(self):
        node = await self.serve(answering(), answering())
        copy = self.store.copy()
        await self.advance(node)
        self.store.restore(copy)
        self.list_replica(self.replicas[0], "draining")
        await self.until(lambda: node.directory.get("i-0").leaving)

    async def test_replica_that_starts_afterwards_is_known(self):
        node = await self.serve(answering())
        copy = self.store.copy()
        await self.advance(node)
        self.store.restore(copy)
        await self.add_replica(answering())
        await self.until(lambda: node.directory.get("i-1") is not None)

    async def test_changes_are_not_missed_where_revisions_have_passed_those_before(self):
        node = await self.serve(answering(), answering())
        copy = self.store.copy()
        await self.advance(node)
        self.store.down = True
        await self.until(lambda: not node.watcher.reachable)
        self.store.restore(copy)
        self.list_replica(self.replicas[0], "draining")
        for slots in range(100, 100 + 2 * LOST):
            self.list_replica(self.replicas[1], "ready", slots)
        self.store.down = False
        await self.until(lambda: node.directory.get("i-0").leaving)
        await self.until(lambda: node.directory.get("i-1").slots == 99 + 2 * LOST)

    async def test_replica_known_to_leave_that_the_copy_calls_ready_gets_nothing(self):
        node = await self.serve(answering(), answering())
        copy = self.store.copy()
        self.list_replica(self.replicas[0], "draining")
        await self.until(lambda: node.directory.get("i-0").leaving)
        await self.advance(node)
        self.store.restore(copy)
        await self.add_replica(answering())
        await self.until(lambda: node.directory.get("i-2") is not None)
        await self.call_often(node)
        self.assertEqual(self.received()[0], 0)

    async def test_replica_that_the_copy_lacks_serves_on_until_it_is_written_again(self):
        node = await self.serve()
        copy = self.store.copy()
        await self.add_replica(answering())
        await self.until(lambda: node.directory.get("i-0") is not None)
        await self.advance(node)
        self.store.restore(copy)
        asked = len(self.store.calls)
        await self.until(lambda: any("servers" in call for call in self.store.calls[asked:]))
        statuses = await self.call_often(node)
        await asyncio.sleep(WRITTEN_AGAIN_SECONDS)
        self.list_replica(self.replicas[0], "ready", slots=7)
        await self.until(lambda: node.directory.get("i-0").slots == 7)
        self.assertEqual(statuses | await self.call_often(node), {200})

    async def test_replica_that_is_not_written_again_is_gone(self):
        node = await self.serve(answering())
        copy = self.store.copy()
        await self.add_replica(answering())
        await self.until(lambda: node.directory.get("i-1") is not None)
        await self.advance(node)
        self.store.restore(copy)
        await self.until(lambda: node.directory.get("i-1").leaving)
        before = self.received()[1]
        await self.call_often(node)
        self.assertEqual(self.received()[1], before)

    async def test_domain_whose_evacuation_the_copy_lacks_gets_nothing(self):
        node = await self.serve(answering(), answering())
        spec = {"service": "desk", "addr": f"{LOOPBACK}:{self.replicas[0].port}", "zone": "b"}
        self.store.put("servers", "i-0", spec | {"slots": 4, "state": "ready", "seq": 1})
        await self.until(lambda: node.directory.get("i-0").failure_domain == "b")
        copy = self.store.copy()
        self.store.put("evacuations", "b", {})
        await self.until(lambda: node.directory.evacuations.active("b"))
        await self.advance(node, first=1)
        before = self.received()[0]
        self.store.restore(copy)
        asked = len(self.store.calls)
        await self.until(lambda: any("evacuations" in call for call in self.store.calls[asked:]))
        await self.call_often(node)
        await asyncio.sleep(WRITTEN_AGAIN_SECONDS)
        self.store.put("evacuations", "b", {})
        await self.call_often(node)
        self.assertEqual(self.received()[0], before)

    async def test_node_beside_a_build_that_knows_no_eras_watches_for_it(self):
        await self.serve(answering())
        self.store.restore(self.store.copy())
        with older_build():
            older = await self.add_node()
        node = await self.add_node(seeds=f"{LOOPBACK}:{older.settings.peer_port}")
        await self.until(lambda: not node.not_ready() and node.watcher.era)
        node.view.watches_store = lambda: False
        await self.until(lambda: node.hub.has_peers_below(ERAS))
        self.assertTrue(node._watches_store())
        self.store.era = 0
        node.watcher._outages.clear()
        self.assertFalse(node._watches_store())

    async def test_configuration_does_not_go_back(self):
        node = await self.serve(answering())
        copy = self.store.copy()
        self.store.put("config", "main", configuration(5))
        await self.until(lambda: node.carrier.catalog.version == 5)
        await self.advance(node)
        self.store.restore(copy)
        self.store.put("config", "main", configuration(5))
        self.store.put("config", "main", configuration(8))
        await self.until(lambda: node.carrier.catalog.version == 8)


if __name__ == "__main__":
    unittest.main()
