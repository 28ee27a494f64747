"""An entry that another program wrote in the store hides no other entry, whatever is in it."""

import json
import unittest
from unittest.mock import Mock, patch

from railsail.node import Node
from railsail.store import unreadable
from railsail.upstreams import invalidrecords
from tests.platform.base import PlatformTestCase
from tests.platform.standins import LOOPBACK, TurnedAway, answering

DEEP = 2_000
DEEPEST = 100_000
NAME = "m-odd"
SPEC = {"service": "desk", "addr": f"{LOOPBACK}:1", "zone": "b", "slots": 4, "state": "draining"}


def nested(depth: int) -> str:
    return '{"a":[' * (depth // 2) + "]}" * (depth // 2)


def entry(spec: str, metadata: str = "", beside: str = "") -> str:
    """Return an entry with the fields of ``spec``, and more in its metadata and beside its spec."""
    return f'{{"metadata":{{"name":"{NAME}","revision":%d{metadata}}}{beside},"spec":{spec}}}'


def with_field(name: str, text: str) -> str:
    """Return an entry in which the field ``name`` of a replica is ``text``."""
    fields = {each: json.dumps(value) for each, value in SPEC.items()} | {name: text}
    return entry("{" + ",".join(f'"{each}":{value}' for each, value in fields.items()) + "}")


ODD_ENTRIES = {
    "unknown field nested deeply": with_field("odd", nested(DEEP)),
    "unknown field nested very deeply": with_field("odd", nested(DEEPEST)),
    "version nested deeply": with_field("version", nested(DEEP)),
    "address nested deeply": with_field("addr", nested(DEEP)),
    "spec nested deeply": entry(nested(DEEP)),
    "status nested deeply": entry("{}", beside=f',"status":{nested(DEEP)}'),
    "field beside the spec nested deeply": entry("{}", beside=f',"odd":{nested(DEEP)}'),
    "metadata nested deeply": entry("{}", metadata=f',"odd":{nested(DEEP)}'),
    "objects within a field nested deeply": with_field(
        "odd", f'[{{"metadata":{{"name":"i-0","revision":1}},"spec":null}},{nested(DEEP)}]'
    ),
    "number of 30 digits": with_field("born", "9" * 30),
    "number of 6,000 digits": with_field("slots", "9" * 6_000),
    "number above 62 bits": with_field("born", str(1 << 63)),
    "number of any size": with_field("cold_left_ms", "1e308"),
    "port out of range": with_field("addr", f'"{LOOPBACK}:99999"'),
    "port of 5,000 digits": with_field("addr", f'"{LOOPBACK}:{"9" * 5_000}"'),
    "single surrogate": with_field("zone", '"\\ud800"'),
    "text of any length": with_field("version", f'"{"v" * 100_000}"'),
    "no object": "[]",
}


class OddEntryTests(PlatformTestCase):
    async def test_replicas_that_are_listed_after_an_odd_entry_are_used(self):
        node = await self.serve(answering())
        for number, (what, text) in enumerate(ODD_ENTRIES.items()):
            with self.subTest(what):
                self.store.put_raw("servers", NAME, text)
                replica = await self.add_replica(answering())
                await self.until(lambda replica=replica: self.is_used(node, replica.name))
                self.store.remove("servers", replica.name)
                await self.until(lambda replica=replica: not self.is_used(node, replica.name))
                answer = await self.call(node, "/again/", Request_Id=f"r-{number}")
                self.assertEqual(answer.status, 200)

    async def test_node_that_starts_beside_an_odd_entry_knows_the_replicas(self):
        await self.serve(answering())
        for what, text in ODD_ENTRIES.items():
            with self.subTest(what):
                self.store.put_raw("servers", NAME, text)
                node = await self.add_node()
                await self.until(lambda node=node: self.is_used(node, "i-0"))
                await node.stop()
                self.nodes.remove(node)

    async def test_entry_that_is_the_last_of_a_page_does_not_hide_the_next_page(self):
        self.store.page = 1
        await self.serve(answering())
        for name in (NAME, 'a"odd', "\u00e9"):
            with self.subTest(name=name):
                quoted = json.dumps(name)
                self.store.put_raw(
                    "servers", name, f'{{"metadata":{{"name":{quoted},"revision":%d}},"spec":{{{{'
                )
                self.store.put("servers", "\u00ff", SPEC | {"addr": f"{LOOPBACK}:2"})
                node = await self.add_node()
                await self.until(lambda node=node: node.directory.get("i-0") is not None)
                await self.until(lambda node=node: node.directory.get("\u00ff") is not None)
                self.store.remove("servers", name)

    async def test_replica_with_an_odd_field_that_says_nothing_to_railsail_serves(self):
        node = await self.serve(answering())
        replica = await self.add_replica(answering())
        spec = {**SPEC, "addr": f"{LOOPBACK}:{replica.port}", "state": "ready"}
        fields = ",".join(f'"{name}":{json.dumps(value)}' for name, value in spec.items())
        text = entry(f'{{{fields},"odd":{nested(DEEP)}}}')
        self.store.put_raw("servers", NAME, text)
        await self.until(lambda: self.is_used(node, NAME))

    def is_used(self, node: Node, name: str) -> bool:
        upstream = node.directory.get(name)
        return upstream is not None and not upstream.leaving


class OddEntryOfAnyKindTests(PlatformTestCase):
    """The kinds that a daemon follows, beside replicas."""

    async def test_configuration_with_an_unknown_field_nested_deeply_comes_into_force(self):
        node = await self.serve(answering())
        config = json.loads(json.dumps(self.store.objects[("config", "main")]["spec"]))
        fields = ",".join(f'"{n}":{json.dumps(v)}' for n, v in (config | {"version": 4}).items())
        metadata = '{"name":"main","revision":%d}'
        text = f'{{"metadata":{metadata},"spec":{{{fields},"odd":{nested(DEEP)}}}}}'
        self.store.put_raw("config", "main", text)
        await self.until(lambda: node.carrier.catalog.version == 4)

    async def test_evacuation_beside_an_odd_one_is_obeyed(self):
        node = await self.serve(answering())
        for kind in (nested(DEEP), nested(DEEPEST)):
            with self.subTest(length=len(kind)):
                self.store.put_raw("evacuations", NAME, entry(kind))
                self.store.put("evacuations", "b", {})
                await self.until(lambda: node.directory.evacuations.active("b"))
                self.store.remove("evacuations", "b")
                await self.until(lambda: not node.directory.evacuations.active("b"))

    async def test_rollout_beside_an_odd_one_is_followed(self):
        node = await self.serve(answering(), expose_share="0.1")
        self.store.put_raw("rollouts", NAME, entry(nested(DEEP)))
        order = {"service": "desk", "target_version": "v2", "duration_s": 60}
        self.store.put("rollouts", "desk", order)
        await self.until(lambda: node.directory.rollout("desk") is not None)

    async def test_odd_objects_of_railsails_own_kinds_do_not_stop_a_node_that_starts(self):
        node = await self.serve(answering())
        for kind in ("railsail-rollouts", "railsail-quarantine", "railsail-streams"):
            self.store.put_raw(kind, NAME, entry(nested(DEEP)))
        for kind, name in list(self.store.objects):
            if kind.startswith("railsail-") and name != NAME:
                text = f'{{"metadata":{{"name":"{name}","revision":%d}},"spec":{nested(DEEP)}}}'
                self.store.put_raw(kind, name, text)
        restarted = await self.add_node(first_start="false")
        await self.until(lambda: not restarted.not_ready())
        await self.until(lambda: restarted.origins.recovery.is_over)
        for each in (node, restarted):
            answer = await self.call(each, "/again/", Request_Id=f"r-{id(each)}")
            self.assertEqual(answer.status, 200)


class OddEntryAtPeersTests(PlatformTestCase):
    async def test_node_that_joins_without_the_store_learns_what_is_beside_odd_entries(self):
        long_name = "z" * 300
        order = {"service": "desk", "target_version": "v2", "duration_s": 60}
        self.store.put("evacuations", long_name, {})
        self.store.put("evacuations", "b", {})
        self.store.put("rollouts", long_name, order | {"service": long_name})
        self.store.put("rollouts", "desk", order)
        node = await self.serve(answering(), expose_share="0.1")
        await self.until(lambda: node.directory.rollout("desk") is not None)
        silent = self.store.add_access()
        silent.turned_away = TurnedAway.SILENT
        joined = await self.add_node(
            seeds=node.hub.own.node, store=f"{LOOPBACK}:{silent.port}", expose_share="0.1"
        )
        await self.until(lambda: joined.directory.get("i-0") is not None)
        await self.until(lambda: joined.directory.evacuations.active("b"))
        await self.until(lambda: joined.directory.rollout("desk") is not None)
        self.assertEqual(joined.directory.digest, node.directory.digest)
        self.assertEqual(joined.metrics.peer_messages_refused.get_all(), [])


class SightTests(PlatformTestCase):
    async def test_entry_that_cannot_be_read_is_reported_once(self):
        node = await self.serve(answering())
        odd = (
            ("text that ends early", entry('{"service":"desk","ad')),
            ("spec of another type", entry("[]")),
            ("address that is none", with_field("addr", '"nowhere"')),
        )
        logger = Mock()
        self.hold(patch.object(unreadable, "get_logger", lambda: logger))
        self.hold(patch.object(invalidrecords, "get_logger", lambda: logger))
        for what, text in odd:
            with self.subTest(what):
                before = self.reported(node)
                logger.reset_mock()
                for _ in range(5):
                    self.store.put_raw("servers", NAME, text)
                    replica = await self.add_replica(answering())
                    await self.until(lambda replica=replica: node.directory.get(replica.name))
                self.assertEqual(self.reported(node), before + 1, logger.mock_calls)
                calls = logger.warning.call_args_list
                named = [call.kwargs for call in calls if call.kwargs.get("name") == NAME]
                self.assertEqual(len(named), 1, calls)
                self.assertTrue(named[0]["reason"])
                self.assertLessEqual(len(calls), 2)

    def reported(self, node: Node) -> float:
        counts = node.metrics.unreadable_objects.get_all()
        return sum(count for labels, count in counts if labels == {"kind": "upstream"})


if __name__ == "__main__":
    unittest.main()
