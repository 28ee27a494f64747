"""Conversion of the platform's objects to railsail's own."""

import json
import unittest

from railsail.configuration.changes import Snapshot, restore_steps
from railsail.core.slices import run_at_once
from railsail.objects.catalog import hash_key
from railsail.objects.checks import check_catalog
from railsail.objects.kinds import Route
from railsail.platform.objects import configuration_steps, replica_value
from railsail.store.decoding import UndecodableObject


def configuration_value(spec: bytes) -> dict[str, object]:
    return run_at_once(configuration_steps(spec))


SPEC = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 15000,
            "slo_ms": 400,
            "gap_slo_ms": 200,
            "priority": 1,
            "backends": [{"service": "lm", "weight": 90}, {"service": "lm-2", "weight": 10}],
            "max_attempts": 2,
            "anonymous": False,
            "sticky": True,
            "resumable": True,
            "new": "field",
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path_prefix": "/y/",
            "kind": "idempotent",
            "timeout_ms": 1500,
            "slo_ms": 300,
            "priority": 2,
            "service": "api",
            "max_attempts": 1,
            "anonymous": True,
        },
    ],
    "services": [
        {"name": "lm", "max_conns": 300, "engine": {"slots": 48, "kv_capacity": 9000}},
        {"name": "lm-2", "max_conns": 300, "engine": {"slots": 48, "kv_capacity": 9000}},
        {"name": "api", "max_conns": 100},
    ],
    "limits": {"tokens_per_s": 300000},
    "tenants": [
        {"name": "t1", "api_keys": ["k1", "k2"], "priority": 0},
        {"name": "t2", "api_keys": []},
    ],
}


class ConfigurationTests(unittest.TestCase):
    def setUp(self):
        value = configuration_value(json.dumps(SPEC).encode())
        self.assertEqual(value["version"], 7)
        self.catalog = run_at_once(restore_steps(Snapshot(7, tuple(value["objects"]))))

    def test_converted_configuration_passes_all_checks(self):
        self.assertEqual(check_catalog(self.catalog), [])

    def test_routes_are_converted(self):
        first = self.catalog.resources[("route", "r-1")]
        self.assertEqual([(s.pool, s.weight) for s in first.pools], [("lm", 90), ("lm-2", 10)])
        self.assertEqual((first.timeout, first.objective, first.pause), (15.0, 0.4, 0.2))
        flags = (first.streaming, first.resumable, first.repeatable, first.affinity, first.public)
        self.assertEqual(flags, (True, True, False, True, False))
        self.assertTrue(first.may_repeat)
        second = self.catalog.resources[("route", "r-2")]
        self.assertEqual((second.repeatable, second.public), (True, True))
        self.assertEqual([share.pool for share in second.pools], ["api"])

    def test_services_become_pools(self):
        engine, plain = self.catalog.pool("lm"), self.catalog.pool("api")
        self.assertEqual((engine.slots, plain.slots), (48, 0))
        self.assertEqual((engine.cost_unit, plain.cost_unit), ("tokens", "calls"))

    def test_cold_start_becomes_that_of_the_pool(self):
        service = {"name": "lm", "cold_start_s": 3.0, "warmup_per_s": 18.0}
        value = configuration_value(json.dumps({"version": 1, "services": [service]}).encode())
        (pool,) = [item for item in value["objects"] if item["kind"] == "pool"]
        self.assertEqual((pool["cold_seconds"], pool["warmup_rate"]), (3.0, 18.0))

    def test_tenants_become_workspaces(self):
        first, second = self.catalog.workspace("t1"), self.catalog.workspace("t2")
        self.assertEqual(first.key_hashes, (hash_key("k1"), hash_key("k2")))
        self.assertEqual((first.priority, second.priority), (0, None))
        self.assertEqual(second.key_hashes, ())

    def test_routes_of_one_name_and_tenants_of_one_name_do_not_hide_each_other(self):
        like = SPEC["routes"][1]
        routes = [like | {"path_prefix": f"/{number}/"} for number in range(2000)]
        routes.append(like | {"name": "r-2#2", "path_prefix": "/x/"})
        tenants = [{"name": "t", "api_keys": ["k1"]}, {"name": "t", "api_keys": ["k2"]}]
        spec = {"version": 1, "routes": routes, "tenants": tenants}
        objects = configuration_value(json.dumps(spec).encode())["objects"]
        catalog = run_at_once(restore_steps(Snapshot(1, tuple(objects))))
        prefixes = {route.prefix for route in catalog.of_kind(Route)}
        self.assertEqual(prefixes, {route["path_prefix"] for route in routes})
        self.assertEqual(catalog.workspace("t").key_hashes, (hash_key("k1"), hash_key("k2")))

    def test_invalid_configuration_raises(self):
        unreadable = [b"{", b"[]", b'{"routes": []}', b'{"version": "x"}']
        # Not to be taken for a configuration without the list, in which no key is needed.
        lists = (b"null", b"{}", b'""', b"0", b"false")
        unreadable += [b'{"version": 1, "tenants": %s}' % tenants for tenants in lists]
        for spec in unreadable:
            with self.subTest(spec=spec), self.assertRaises(UndecodableObject):
                configuration_value(spec)

    def test_routes_need_a_key_wherever_there_is_a_list_of_tenants(self):
        for more, public in (({"tenants": []}, {False, True}), ({}, {True})):
            with self.subTest(more=more):
                spec = {"version": 1, "routes": SPEC["routes"]} | more
                objects = configuration_value(json.dumps(spec).encode())["objects"]
                routes = [item for item in objects if item["kind"] == Route.KIND]
                self.assertEqual({route["public"] for route in routes}, public)


SERVER = {"service": "lm", "addr": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"}


class ReplicaTests(unittest.TestCase):
    def test_only_ready_replicas_are_live(self):
        for state, means in [("ready", "live"), ("draining", "leaving"), ("other", "leaving")]:
            value = replica_value(json.dumps(SERVER | {"state": state}).encode())
            self.assertEqual(value["state"], means)
            self.assertEqual((value["pool"], value["endpoint"]), ("lm", "10.0.0.1:80"))

    def test_entry_without_a_field_or_with_another_type_is_invalid(self):
        lacking = [{k: v for k, v in SERVER.items() if k != name} for name in SERVER]
        wrong = [SERVER | {"slots": value} for value in ("4", 4.5, -1, None, True)]
        wrong += [SERVER | {"born": value} for value in ("1", 1.5, -1, None)]
        wrong += [SERVER | {"addr": 7}, SERVER | {"zone": None}, SERVER | {"service": ""}]
        wrong += [SERVER | {"cold_left_ms": "soon"}]
        for spec in [*lacking, *wrong, 7, "text", [], None]:
            with self.subTest(spec=spec), self.assertRaises(UndecodableObject):
                replica_value(json.dumps(spec).encode())
        with self.assertRaises(UndecodableObject):
            replica_value(b'{"service": "\xff\xfe"}')

    def test_start_and_cold_time_are_converted(self):
        spec = SERVER | {"born": 1768042062045, "cold_left_ms": 2986}
        value = replica_value(json.dumps(spec).encode())
        self.assertEqual((value["born"], value["cold"]), (1768042062045, 2986))


if __name__ == "__main__":
    unittest.main()
