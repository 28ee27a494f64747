"""Updates lead from any configuration to any other, and small changes make small updates."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from railsail.configuration.changes import Snapshot, restore_steps
from railsail.configuration.updates import (
    UpdateHistory,
    apply_steps,
    update_between,
    whole_steps,
)
from railsail.core.slices import run_at_once
from railsail.objects.catalog import Catalog

SMALL_BYTES = 400


def workspace(name: str, keys, policy: str = "p") -> dict[str, object]:
    hashes = [f"{key:064x}" for key in keys]
    value = {"kind": "workspace", "name": name, "priority_class": "c", "policy": policy}
    return value | {"key_hashes": hashes}


def route(number: int, pool: str = "lm") -> dict[str, object]:
    value = {"kind": "route", "name": f"r-{number}", "host": "a", "prefix": f"/{number}/"}
    return value | {"pools": [{"pool": pool}]}


def catalog(version: int, *objects: dict) -> Catalog:
    return run_at_once(restore_steps(Snapshot(version, objects)))


def contents(found: Catalog) -> tuple:
    """Return what is compared: the order of a workspace's keys has no meaning."""
    objects = {}
    for key, resource in found.resources.items():
        fields = {name: getattr(resource, name) for name in resource.__struct_fields__}
        if "key_hashes" in fields:
            fields["key_hashes"] = frozenset(fields["key_hashes"])
        objects[key] = fields
    return found.version, objects, found.unusable


OBJECTS = st.lists(
    st.one_of(
        st.builds(
            workspace,
            st.sampled_from(["one", "Two.x"]),
            st.sets(st.integers(0, 40), max_size=30),
            st.sampled_from(["p", "q"]),
        ),
        st.builds(route, st.integers(0, 5), st.sampled_from(["lm", "lm-2"])),
        # Objects that cannot be used.
        st.builds(lambda keys: workspace("one", keys) | {"policy": 7}, st.sets(st.integers(0, 9))),
        st.builds(lambda number: route(number) | {"prefix": 7}, st.integers(0, 5)),
    ),
    max_size=8,
    unique_by=lambda value: (value["kind"], value["name"]),
)


class UpdateTests(unittest.TestCase):
    @given(before=OBJECTS, after=OBJECTS)
    def test_update_leads_from_one_catalog_to_the_other(self, before, after):
        first, second = catalog(3, *before), catalog(8, *after)
        update = update_between(first, second)
        self.assertEqual(contents(run_at_once(apply_steps(first, update.body))), contents(second))
        whole = run_at_once(whole_steps(second))
        for start in (Catalog(), first):
            self.assertEqual(
                contents(run_at_once(apply_steps(start, whole.body))), contents(second)
            )

    def test_one_key_or_one_route_of_many_makes_a_small_update(self):
        many = [route(number) for number in range(3500)]
        first = catalog(3, workspace("one", range(15_000)), *many)
        one_key = catalog(5, workspace("one", range(1, 15_000)), *many)
        one_route = catalog(5, workspace("one", range(15_000)), *many[1:], route(9999))
        for second in (one_key, one_route):
            update = update_between(first, second)
            self.assertLess(len(update.body), SMALL_BYTES)
            result = run_at_once(apply_steps(first, update.body))
            self.assertEqual(contents(result), contents(second))

    def test_update_of_another_version_is_refused(self):
        first, second = catalog(3, route(1)), catalog(5, route(2))
        update = update_between(first, second)
        for other in (catalog(2), catalog(4), catalog(9)):
            with self.assertRaises(ValueError):
                run_at_once(apply_steps(other, update.body))

    def test_keys_of_an_unknown_workspace_are_refused(self):
        first, second = catalog(3, workspace("one", [1])), catalog(5, workspace("one", [1, 2]))
        body = update_between(first, second).body
        with self.assertRaises(ValueError):
            run_at_once(apply_steps(catalog(3), body))

    def test_malformed_updates_are_refused(self):
        for body in (b"", b"{}", b'["step",0]', b'["step",0,5]\n["later"]', b"\xff"):
            with self.subTest(body=body), self.assertRaises(ValueError):
                run_at_once(apply_steps(Catalog(), body))


class HistoryTests(unittest.TestCase):
    def setUp(self):
        self.catalogs = [catalog(version, route(version)) for version in (3, 5, 8, 9)]
        pairs = zip(self.catalogs, self.catalogs[1:], strict=False)
        self.updates = [update_between(*pair) for pair in pairs]

    def history(self, count: int = 16, size: int = 1 << 20) -> UpdateHistory:
        history = UpdateHistory(count, size)
        for update in self.updates:
            history.record(update)
        return history

    def test_updates_in_a_row_lead_to_the_newest_version(self):
        update = self.history().since(3)
        self.assertEqual((update.since, update.version), (3, 9))
        for start in self.catalogs[:-1]:
            result = run_at_once(apply_steps(start, update.body))
            self.assertEqual(contents(result), contents(self.catalogs[-1]))

    def test_unknown_and_dropped_versions_have_no_update(self):
        self.assertIsNone(self.history().since(4))
        self.assertIsNone(self.history(count=1).since(5))
        self.assertIsNone(self.history(size=1).since(8))

    def test_updates_before_a_gap_are_dropped(self):
        history = self.history()
        later = update_between(catalog(20), catalog(21, route(1)))
        history.record(later)
        self.assertIsNone(history.since(8))
        self.assertEqual(history.since(20), later)


if __name__ == "__main__":
    unittest.main()
