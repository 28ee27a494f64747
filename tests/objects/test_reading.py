"""Objects out of the bounds of writing are read, and one that cannot be used hides no other."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from railsail.configuration.changes import Snapshot, restore_steps, snapshot
from railsail.core.slices import run_at_once
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool, Route, Workspace
from railsail.objects.parse import parse_resource, to_plain
from railsail.objects.reading import (
    MAX_NAME_LENGTH,
    UNREADABLE,
    UnusableObject,
    read_resource,
)

WORKSPACE = {"kind": "workspace", "name": "w", "priority_class": "gold", "policy": "p"}
POOL = {"kind": "pool", "name": "lm", "upstream_kind": "service", "cost_unit": "calls"}
ROUTE = {"kind": "route", "name": "r", "host": "a.example", "prefix": "/a/"}
ROUTE |= {"pools": [{"pool": "lm"}]}
NAMES = st.text(
    st.characters(codec="utf-8", exclude_categories=("C", "Z")),
    min_size=1,
    max_size=MAX_NAME_LENGTH,
)
DIGESTS = st.integers(0, 200).map(lambda count: [f"{number:064x}" for number in range(count)])


def digests(count: int) -> list[str]:
    return [f"{number:064x}" for number in range(count)]


class ReadingTests(unittest.TestCase):
    def assert_unusable(self, value: dict, place: str) -> None:
        read = read_resource(value)
        self.assertIsInstance(read, UnusableObject)
        self.assertIn(place, [finding.place for finding in read.findings])
        self.assertEqual(read.value, value)

    def test_workspace_with_more_keys_than_may_be_written_is_used(self):
        for count in (64, 65, 15_000):
            keys = digests(count)
            read = read_resource(WORKSPACE | {"key_hashes": keys})
            self.assertEqual(read.key_hashes, tuple(keys))

    def test_operators_may_not_write_what_is_only_read(self):
        findings = []
        parse_resource(WORKSPACE | {"key_hashes": digests(65)}, "x", findings)
        self.assertEqual([finding.place for finding in findings], ["workspace/w.key_hashes"])

    def test_operators_may_not_write_names_and_prefixes_with_a_line_feed_at_the_end(self):
        for value in (POOL | {"name": "lm\n"}, ROUTE | {"prefix": "/a/\n"}):
            findings = []
            parse_resource(value, "x", findings)
            self.assertEqual([finding.id for finding in findings], ["railsail.E014"])

    def test_names_out_of_the_usual_form_are_used(self):
        for name in ("Customer.One", "a_b", "õnne", "two words", "x" * MAX_NAME_LENGTH):
            with self.subTest(name=name):
                self.assertEqual(read_resource(POOL | {"name": name}).name, name)
                value = WORKSPACE | {"name": name, "key_hashes": []}
                self.assertEqual(read_resource(value).name, name)

    def test_names_that_cannot_be_sent_are_unusable(self):
        for name in ("", "x" * (MAX_NAME_LENGTH + 1), "a\nb", "a\n", "a\x00", " a", "a "):
            with self.subTest(name=name):
                value = WORKSPACE | {"name": name, "key_hashes": digests(1)}
                self.assert_unusable(value, f"workspace/{name}.name")

    def test_route_with_many_pools_and_any_weights_is_used(self):
        pools = [{"pool": f"P.{number}", "weight": 1e9 * number} for number in range(81)]
        read = read_resource(ROUTE | {"pools": pools})
        self.assertEqual([share.weight for share in read.pools][-1], 8e10)

    def test_numbers_are_moved_to_the_nearest_bound(self):
        values = {"timeout": 1e12, "objective": -1.0, "priority": -3, "max_attempts": 0}
        read = read_resource(ROUTE | values)
        self.assertEqual((read.timeout, read.objective), (86_400, 0))
        self.assertEqual((read.priority, read.max_attempts), (0, 1))
        workspace = read_resource(WORKSPACE | {"key_hashes": [], "priority": 1 << 62})
        self.assertEqual(workspace.priority, 1_000_000_000)

    def test_fields_of_another_type_or_without_a_use_are_unusable(self):
        wrong = {
            "host": 7,
            "prefix": "a/",
            "pools": [],
            "timeout": 0,
            "streaming": "yes",
            "regions": [f"r{number}" for number in range(65)],
            "later": 1,
        }
        for field, value in wrong.items():
            with self.subTest(field=field):
                self.assert_unusable(ROUTE | {field: value}, f"route/r.{field}")
        self.assert_unusable(ROUTE | {"pools": [{"pool": "lm", "weight": -1}]}, "route/r.pools")
        self.assert_unusable(ROUTE | {UNREADABLE: "no list"}, "route/r")
        self.assert_unusable({"kind": "later", "name": "x"}, "later/x")

    def test_findings_have_no_values_of_the_object(self):
        secret = "s3cret"
        for keys in (secret, [secret, 7], {secret: 1}):
            read = read_resource(WORKSPACE | {"key_hashes": keys})
            self.assertNotIn(secret, read.problem)

    @given(name=NAMES, pool=NAMES, keys=DIGESTS, priority=st.integers(-(1 << 63), (1 << 63) - 1))
    def test_any_object_is_read_again_from_its_stored_form(self, name, pool, keys, priority):
        values = [
            WORKSPACE | {"name": name, "key_hashes": keys, "priority": priority},
            POOL | {"name": pool, "slots": abs(priority)},
            ROUTE | {"name": name, "pools": [{"pool": pool}] * 70, "priority": priority},
        ]
        for value in values:
            read = read_resource(value)
            self.assertNotIsInstance(read, UnusableObject)
            self.assertEqual(read_resource(to_plain(read)), read)


class CatalogTests(unittest.TestCase):
    def restore(self, *objects: dict) -> Catalog:
        return run_at_once(restore_steps(Snapshot(3, objects)))

    def test_unusable_object_does_not_hide_the_others_and_is_passed_on_unchanged(self):
        bad = WORKSPACE | {"key_hashes": "none"}
        catalog = self.restore(POOL, bad, ROUTE)
        self.assertEqual(len(catalog.of_kind(Pool) + catalog.of_kind(Route)), 2)
        (unusable,) = catalog.unusable_of_kind(Workspace)
        self.assertEqual(unusable.problem.partition(":")[0], "workspace/w.key_hashes")
        self.assertIn(bad, snapshot(catalog).objects)
        self.assertEqual(self.restore(*snapshot(catalog).objects), catalog)


if __name__ == "__main__":
    unittest.main()
