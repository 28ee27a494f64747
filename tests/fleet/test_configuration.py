"""An accepted configuration is in force everywhere, and never reverts."""

import asyncio
import json

from railsail.objects.kinds import PriorityClass
from railsail.standins.fleet import ADMIN_SECRET
from railsail.standins.store import Faults
from tests.fleet.base import FleetTestCase


class ConfigurationTestCase(FleetTestCase):
    async def change(self, node, operations: list, **more) -> tuple[int, dict]:
        """Ask ``node`` for a change, and return status and body."""
        from railsail.cli.client import AdminClient

        client = AdminClient(f"127.0.0.1:{node.settings.admin_port}", ADMIN_SECRET)
        body = {"id": "c1", "author": "test", "operations": operations, **more}
        reply = await client.call("POST", "/v1/changes", body)
        return reply.status, reply.body

    def versions(self) -> set[int]:
        return {node.carrier.catalog.version for node in self.fleet.nodes}

    def weight(self, node) -> float:
        return node.carrier.catalog.resources[("priorityclass", "gold")].weight


def gold(weight: float) -> dict:
    return {"kind": "priorityclass", "name": "gold", "weight": weight}


class ChangeTests(ConfigurationTestCase):
    async def test_change_is_in_force_everywhere(self):
        status, body = await self.change(self.fleet.nodes[0], [gold(3.0)])
        self.assertEqual((status, body["version"]), (200, 2))
        await self.until(lambda: self.versions() == {2})
        self.assertEqual({self.weight(node) for node in self.fleet.nodes}, {3.0})

    async def test_news_spreads_without_the_store(self):
        nodes = self.fleet.nodes
        committed = await nodes[0].repository.read(nodes[0].carrier.catalog)
        self.assertEqual(committed.catalog.version, 1)
        status, _ = await self.change(nodes[0], [gold(2.0)])
        self.assertEqual(status, 200)
        self.fleet.store.faults = Faults(down=True)
        await self.until(lambda: self.versions() == {2})

    async def test_racing_operators_get_a_clear_conflict(self):
        asks = [
            self.change(node, [gold(float(number + 2))], id=f"c{number}", base=1)
            for number, node in enumerate(self.fleet.nodes)
        ]
        replies = await asyncio.gather(*asks)
        statuses = sorted(status for status, _ in replies)
        self.assertEqual(statuses, [200, 409, 409])
        lost = next(body for status, body in replies if status == 409)
        self.assertIn("priorityclass/gold", lost["error"])
        self.assertEqual(lost["other"]["operations"][0]["name"], "gold")

    async def test_lost_reply_is_resolved_by_the_change_id(self):
        self.fleet.store.faults = Faults(lose_replies=0.5)
        status, body = await self.change(self.fleet.nodes[0], [gold(5.0)])
        self.fleet.store.faults = Faults()
        if status == 503:
            status, body = await self.change(self.fleet.nodes[1], [gold(5.0)])
        self.assertEqual((status, body["version"]), (200, 2))
        stored = self.fleet.store.objects[("configuration", "head")]["value"]
        self.assertEqual([change["id"] for change in stored["changes"]], ["first", "c1"])

    async def test_all_findings_come_together_and_nothing_changes(self):
        bad = [
            gold(-1.0),
            {"kind": "policy", "name": "p", "rank": "1 +"},
            {"kind": "workspace", "name": "w", "priority_class": "none", "policy": "plain"},
        ]
        status, body = await self.change(self.fleet.nodes[0], bad)
        self.assertEqual(status, 422)
        places = [finding["place"] for finding in body["findings"]]
        self.assertEqual(places, ["priorityclass/gold.weight", "workspace/w.key_hashes"])
        self.assertEqual(self.versions(), {1})

    async def test_versions_never_go_back(self):
        node = self.fleet.nodes[0]
        stale = self.fleet.store.objects[("configuration", "head")]
        await self.change(node, [gold(4.0)])
        await self.until(lambda: self.versions() == {2})
        from railsail.store.base import WatchEvent

        node.carrier.seen(WatchEvent("configuration", "head", stale["version"], stale["value"]))
        node.carrier.received("x", self.stale_news())
        await asyncio.sleep(0)
        self.assertEqual(self.weight(node), 4.0)

    def stale_news(self):
        from railsail.peers.messages import ConfigurationNews

        body = json.dumps({"version": 1, "objects": [gold(9.0)]}).encode()
        return ConfigurationNews(0, 1, body)

    async def test_many_changes_leave_a_snapshot_and_a_short_head(self):
        node = self.fleet.nodes[0]
        for number in range(70):
            status, _ = await self.change(node, [gold(1.0 + number)], id=f"c{number}")
            self.assertEqual(status, 200)
        head = self.fleet.store.objects[("configuration", "head")]["value"]
        self.assertLess(len(head["changes"]), 64)
        await self.until(lambda: self.versions() == {71})
        late = await self.fleet.add_node("late")
        await self.until(lambda: late.carrier.catalog.version == 71)
        self.assertEqual(self.weight(late), 70.0)


class OutageTests(ConfigurationTestCase):
    async def test_empty_node_in_an_outage_takes_the_newest_from_its_peers(self):
        await self.change(self.fleet.nodes[0], [gold(7.0)])
        await self.until(lambda: self.versions() == {2})
        self.fleet.store.faults = Faults(down=True)
        seeds = ",".join(node.settings.node_id for node in self.fleet.nodes)
        late = await self.fleet.add_node("late", seeds=seeds)
        await self.until(lambda: not late.not_ready())
        self.assertEqual(late.carrier.catalog.resources[("priorityclass", "gold")], _gold(7.0))
        response = await self.complete(late)
        self.assertEqual(response.code, 200)

    async def test_node_without_store_and_peers_is_not_ready(self):
        self.fleet.store.faults = Faults(down=True)
        alone = await self.fleet.add_node("alone")
        reasons = alone.not_ready()
        self.assertEqual(len(reasons), 2)
        self.fleet.store.faults = Faults()
        await self.until(lambda: not alone.not_ready())

    async def test_slow_store_does_not_hold_up_requests(self):
        self.fleet.store.faults = Faults(delay=5.0)
        response = await self.complete(self.fleet.nodes[0])
        self.assertEqual(response.code, 200)
        self.fleet.store.faults = Faults()


def _gold(weight: float) -> PriorityClass:
    return PriorityClass(name="gold", weight=weight)
