"""Replicas that are evacuated, cold, or started again under their name, as a daemon treats them."""

import asyncio
import time
import unittest

from tests.platform.base import PlatformTestCase, configuration
from tests.platform.standins import LOOPBACK, ReplicaStandin, answering, hanging

WARMUP_PER_SECOND = 6.0


class LivesTestCase(PlatformTestCase):
    def list_in(self, replica: ReplicaStandin, domain: str, **more) -> None:
        spec = {"service": "desk", "addr": f"{LOOPBACK}:{replica.port}", "zone": domain}
        self.store.put(
            "servers", replica.name, spec | {"slots": 4, "state": "ready", "seq": 1} | more
        )

    def received(self) -> list[int]:
        return [len(replica.received) for replica in self.replicas]


class EvacuatedDomainTests(LivesTestCase):
    async def serve_two_domains(self):
        node = await self.serve(answering(), answering())
        self.list_in(self.replicas[0], "b")
        await self.until(lambda: node.directory.get("i-0").failure_domain == "b")
        return node

    async def test_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        node = await self.serve_two_domains()
        self.store.put("evacuations", "b", {})
        await self.until(lambda: node.directory.evacuations.active("b"))
        for _ in range(6):
            self.assertEqual((await self.call(node, "/once/")).status, 200)
        self.assertEqual(self.received(), [0, 6])
        self.store.remove("evacuations", "b")
        await self.until(lambda: not node.directory.evacuations.active("b"))
        await asyncio.gather(*(self.call(node, "/once/") for _ in range(8)))
        self.assertGreater(self.received()[0], 0)

    async def test_it_holds_while_the_store_is_away(self):
        node = await self.serve_two_domains()
        self.store.put("evacuations", "b", {})
        await self.until(lambda: node.directory.evacuations.active("b"))
        self.store.down = True
        await self.until(lambda: not node.watcher.reachable)
        for _ in range(4):
            await self.call(node, "/once/")
        self.assertEqual(self.received(), [0, 4])

    async def test_node_that_starts_while_the_store_is_away_hears_of_it_from_its_peers(self):
        node = await self.serve_two_domains()
        self.store.put("evacuations", "b", {})
        await self.until(lambda: node.directory.evacuations.active("b"))
        self.store.down = True
        seed = f"{LOOPBACK}:{node.settings.peer_port}"
        late = await self.add_node(seeds=seed)
        await self.until(lambda: late.directory.evacuations.active("b"))

    async def test_what_runs_there_ends_in_peace(self):
        node = await self.serve(answering(seconds=0.4))
        call = asyncio.ensure_future(self.call(node, "/once/"))
        await self.until(lambda: self.replicas[0].received)
        self.store.put("evacuations", "a", {})
        await self.until(lambda: node.directory.evacuations.active("a"))
        self.assertEqual((await call).status, 200)


class ColdReplicaTests(LivesTestCase):
    async def test_cold_replica_gets_no_more_than_it_bears(self):
        node = await self.serve(answering())
        cold = configuration(4)
        cold["services"][0] |= {"cold_start_s": 2.0, "warmup_per_s": WARMUP_PER_SECOND}
        self.store.put("config", "main", cold)
        await self.until(lambda: node.carrier.catalog.version == 4)
        self.list_in(self.replicas[0], "a", cold_left_ms=2000)
        await self.until(lambda: node.directory.get("i-0").cold_ms)
        begun = time.monotonic()
        while time.monotonic() - begun < 1.0:
            await asyncio.gather(*(self.call(node, "/once/") for _ in range(4)))
        self.assertLessEqual(self.received()[0], WARMUP_PER_SECOND)


class NewLifeTests(LivesTestCase):
    async def test_call_of_the_life_before_ends_when_the_new_one_is_heard_of(self):
        node = await self.serve(hanging(), answering())
        self.list_in(self.replicas[0], "a", born=1000)
        await self.until(lambda: node.directory.get("i-0").born == 1000)
        calls = [asyncio.ensure_future(self.call(node, "/once/")) for _ in range(2)]
        await self.until(lambda: self.replicas[0].received)
        self.list_in(self.replicas[0], "a", born=2000)
        answers = await asyncio.gather(*calls)
        # What may run once is not sent again: nobody knows how far the life before came with it.
        self.assertEqual({answer.status for answer in answers}, {200, 502})
        self.assertEqual(sum(self.received()), 2)


class ForeignEntryTests(LivesTestCase):
    async def test_entries_that_cannot_be_read_name_no_replica_and_hide_no_other(self):
        node = await self.serve(answering(), answering())
        self.store.put("servers", "x-1", {"service": "desk"})
        self.store.put("servers", "x-2", 7)
        self.store.put("servers", "i-0", {"service": "desk", "addr": 7})
        await self.until(lambda: node.directory.get("i-0").leaving)
        for _ in range(4):
            self.assertEqual((await self.call(node, "/once/")).status, 200)
        self.assertEqual(self.received(), [0, 4])
        self.list_in(self.replicas[0], "a")
        await self.until(lambda: not node.directory.get("i-0").leaving)


class RegionTests(LivesTestCase):
    async def test_routes_and_workspaces_keep_to_their_regions(self):
        node = await self.serve(answering(), answering(), domain_regions="a=north,b=south")
        self.list_in(self.replicas[1], "b")
        await self.until(lambda: node.directory.get("i-1").failure_domain == "b")
        limited = configuration(4, once={"allowed_regions": ["south"]})
        self.store.put("config", "main", limited)
        await self.until(lambda: node.carrier.catalog.version == 4)
        for _ in range(5):
            self.assertEqual((await self.call(node, "/once/")).status, 200)
        self.assertEqual(self.received(), [0, 5])
        limited = configuration(5, again={"allowed_regions": ["south"]})
        limited["tenants"][0]["allowed_regions"] = ["north"]
        self.store.put("config", "main", limited)
        await self.until(lambda: node.carrier.catalog.version == 5)
        self.assertEqual((await self.call(node, "/once/")).status, 200)
        self.assertEqual((await self.call(node, "/again/")).status, 503)
        self.assertEqual(self.received(), [1, 5])


if __name__ == "__main__":
    unittest.main()
