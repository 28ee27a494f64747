"""Which cells and dispatchers the entries of a fleet choose, with and without regions."""

import unittest
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.regions import WAY_SECONDS, FleetRegions
from railsail.scheduling.cells import Cell
from railsail.scheduling.room import ReplicaState
from railsail.scheduling.selection import _highest_score
from railsail.scheduling.tickets import Ticket
from railsail.store.base import Listing, StoredObject
from railsail.upstreams.directory import UpstreamDirectory

POOL = "model"
PREFIXES = range(1, 200)
LIMIT = 16


def directory(replicas: int, leaving: tuple[str, ...] = ()) -> UpstreamDirectory:
    """Return a directory of ``replicas`` replicas of one pool, some of them ``leaving``."""
    new_directory = UpstreamDirectory(lambda news, source: None, EventLog("n", Clock()))
    list_replicas(new_directory, replicas, leaving)
    return new_directory


def list_replicas(
    upstreams: UpstreamDirectory, replicas: int, leaving: tuple[str, ...] = ()
) -> None:
    objects = []
    for number in range(replicas):
        name = f"r{number:03}"
        state = "leaving" if name in leaving else "live"
        spec = {"pool": POOL, "endpoint": "127.0.0.1:1", "failure_domain": "a", "state": state}
        objects.append(StoredObject("upstream", name, number + 1, spec))
    upstreams.listed(Listing(replicas + 1, tuple(objects)))


def cell_map(node: str, upstreams: UpstreamDirectory) -> CellMap:
    return CellMap(node, upstreams, lambda: [node], LIMIT, local=False)


class PrefixOwnerTests(unittest.TestCase):
    def test_all_entries_choose_the_same_cell_for_a_prefix(self):
        upstreams = directory(78)
        maps = [cell_map(f"node {number}", upstreams) for number in range(20)]
        for prefix in PREFIXES:
            self.assertEqual(len({cells.owner_cell(POOL, prefix) for cells in maps}), 1)

    def test_dispatcher_prefers_the_same_replica_however_the_pool_is_cut(self):
        upstreams = directory(78)
        small = CellMap("n", upstreams, lambda: ["n"], 8, local=False)
        for prefix in PREFIXES:
            preferred = {
                _preferred_in(cells, prefix) for cells in (cell_map("n", upstreams), small)
            }
            self.assertEqual(len(preferred), 1)

    def test_one_more_replica_moves_few_prefixes(self):
        # 33 replicas make a third cell. Most prefixes would move to another replica if their owner
        # depended on how the pool is cut.
        upstreams = directory(32)
        cells = cell_map("n", upstreams)
        before = {prefix: _preferred_in(cells, prefix) for prefix in PREFIXES}
        list_replicas(upstreams, 33)
        moved = [p for p in PREFIXES if _preferred_in(cells, p) != before[p]]
        self.assertTrue(moved)
        self.assertLess(len(moved), len(PREFIXES) / 10)

    def test_prefixes_of_a_leaving_replica_move_to_others(self):
        upstreams = directory(32, leaving=("r003",))
        cells = cell_map("n", upstreams)
        self.assertNotIn("r003", {_preferred_in(cells, prefix, "r003") for prefix in PREFIXES})

    def test_pool_without_replicas_has_one_cell_that_owns_all_prefixes(self):
        self.assertEqual(cell_map("n", directory(0)).owner_cell(POOL, 7), Cell(POOL, 0, 1))


DOMAINS = {"a": "north", "b": "south", "c": "west"}
# Two nodes in each region, named after it.
NODES = {f"{region} {number}": region for region in DOMAINS.values() for number in range(2)}


def regional_directory(replicas: int, leaving: str = "", without: str = "") -> UpstreamDirectory:
    """Return a directory of replicas spread over the failure domains.

    Those of the domain ``leaving`` are leaving, and the domain ``without`` has none.
    """
    new_directory = directory(0)
    objects = []
    for number in range(replicas):
        domain = "abc"[number % 3]
        state = "leaving" if domain == leaving else "live"
        spec = {"pool": POOL, "endpoint": "127.0.0.1:1", "failure_domain": domain, "state": state}
        if domain != without:
            objects.append(StoredObject("upstream", f"r{number:03}", number + 1, spec))
    new_directory.listed(Listing(replicas + 1, tuple(objects)))
    return new_directory


def regional_cell_map(
    node: str, upstreams: UpstreamDirectory, nodes: dict[str, str] | None = None
) -> CellMap:
    """Return the cell map of ``node``, which can use ``nodes``, given with their regions."""
    usable = NODES if nodes is None else nodes

    def nodes_in(region: str = "") -> list[str]:
        return [name for name, of in usable.items() if region in ("", of)]

    regions = FleetRegions(NODES[node], DOMAINS, lambda name: NODES.get(name, ""))
    return CellMap(node, upstreams, nodes_in, LIMIT, local=False, regions=regions)


class RegionTests(unittest.TestCase):
    def test_all_nodes_choose_the_same_dispatcher_in_the_region_of_a_cell(self):
        upstreams = regional_directory(30)
        maps = [regional_cell_map(node, upstreams) for node in NODES]
        for cell in maps[0].cells(POOL):
            dispatchers = {cells.dispatcher(cell) for cells in maps}
            self.assertEqual(len(dispatchers), 1)
            self.assertEqual(NODES[dispatchers.pop()], cell.region)

    def test_region_without_usable_nodes_is_dispatched_elsewhere(self):
        nodes = {name: region for name, region in NODES.items() if region != "west"}
        cells = regional_cell_map("north 0", regional_directory(30), nodes)
        west = next(cell for cell in cells.cells(POOL) if cell.region == "west")
        self.assertIn(cells.dispatcher(west), nodes)

    def test_partitioned_region_dispatches_its_own_cell(self):
        nodes = {name: region for name, region in NODES.items() if region == "west"}
        cells = regional_cell_map("west 0", regional_directory(30), nodes)
        (preferred,) = cells.preferred_cells(POOL)
        self.assertEqual((preferred.region, NODES[cells.dispatcher(preferred)]), ("west", "west"))

    def test_entries_use_cells_of_their_own_region(self):
        upstreams = regional_directory(30)
        for node, region in NODES.items():
            cells = regional_cell_map(node, upstreams)
            self.assertEqual({cell.region for cell in cells.preferred_cells(POOL)}, {region})
            owner_cells = {cells.owner_cell(POOL, prefix).region for prefix in PREFIXES}
            self.assertEqual(owner_cells, {region})

    def test_request_bound_to_a_region_avoids_cells_of_unknown_region(self):
        with mock.patch.dict(DOMAINS):
            del DOMAINS["b"]
            cells = regional_cell_map("west 0", regional_directory(30))
            self.assertIn("", {cell.region for cell in cells.cells(POOL)})
            preferred = cells.preferred_cells(POOL, ("north",))
            self.assertEqual({cell.region for cell in preferred}, {"north"})

    def test_entries_of_a_region_choose_one_owner_cell_in_that_region(self):
        # Each region has more replicas than the limit of a cell.
        upstreams = regional_directory(90)
        for prefix in PREFIXES:
            owner_cells = {
                regional_cell_map(f"north {n}", upstreams).owner_cell(POOL, prefix)
                for n in range(2)
            }
            self.assertEqual([cell.region for cell in owner_cells], ["north"])

    def test_fleet_wide_owner_cell_is_the_same_for_all_entries(self):
        upstreams = regional_directory(90)
        for prefix in PREFIXES:
            owner_cells = {
                regional_cell_map(node, upstreams).owner_cell(POOL, prefix, anywhere=True)
                for node in NODES
            }
            self.assertEqual(len(owner_cells), 1)
        found = {
            regional_cell_map("north 0", upstreams).owner_cell(POOL, p, anywhere=True).region
            for p in PREFIXES
        }
        self.assertEqual(found, {"north", "south", "west"})

    def test_fleet_wide_owner_cell_is_in_an_allowed_region(self):
        cells = regional_cell_map("north 0", regional_directory(90))
        found = {
            cells.owner_cell(POOL, p, ("south", "west"), anywhere=True).region for p in PREFIXES
        }
        self.assertEqual(found, {"south", "west"})

    def test_partitioned_region_owns_prefixes_only_for_its_own_entries(self):
        upstreams = regional_directory(90)
        inside = {name: region for name, region in NODES.items() if region == "west"}
        outside = {name: region for name, region in NODES.items() if region != "west"}
        cells = regional_cell_map("west 0", upstreams, inside)
        self.assertEqual(
            {cells.owner_cell(POOL, p, anywhere=True).region for p in PREFIXES}, {"west"}
        )
        cells = regional_cell_map("north 0", upstreams, outside)
        found = {cells.owner_cell(POOL, p, anywhere=True).region for p in PREFIXES}
        self.assertEqual(found, {"north", "south"})

    def test_region_that_accepts_no_work_is_skipped(self):
        for upstreams in (regional_directory(30, leaving="a"), regional_directory(30, without="a")):
            cells = regional_cell_map("north 0", upstreams)
            self.assertEqual({c.region for c in cells.preferred_cells(POOL)}, {"south", "west"})
            found = {cells.owner_cell(POOL, prefix).region for prefix in PREFIXES}
            self.assertEqual(found, {"south", "west"})

    def test_requests_bound_to_regions_go_to_cells_of_these_regions(self):
        cells = regional_cell_map("north 0", regional_directory(30))
        self.assertEqual([c.region for c in cells.preferred_cells(POOL, ("south",))], ["south"])
        self.assertEqual(
            {c.region for c in cells.preferred_cells(POOL, ("south", "north"))}, {"north"}
        )
        found = {cells.owner_cell(POOL, prefix, ("west",)).region for prefix in PREFIXES}
        self.assertEqual(found, {"west"})

    def test_fallback_cells_are_in_an_allowed_region(self):
        cells = regional_cell_map("north 0", regional_directory(90))
        first = cells.preferred_cells(POOL)[0]
        regions = [cell.region for cell in cells.fallback_cells(first)]
        self.assertEqual(regions[0], "north")
        self.assertEqual(set(regions), {"north", "south", "west"})
        allowed = cells.fallback_cells(first, ("north", "west"))
        self.assertEqual({cell.region for cell in allowed}, {"north", "west"})

    def test_cells_keep_their_numbers_when_another_region_is_lost(self):
        before, after = (
            regional_cell_map("north 0", regional_directory(30)),
            regional_cell_map("north 0", regional_directory(30, without="a")),
        )
        for cell in list(before.cells(POOL))[1:]:
            self.assertEqual(after.cell(POOL, cell.number), cell)
            self.assertEqual(after.dispatcher(cell), before.dispatcher(cell))

    def test_round_trip_counts_between_regions_only(self):
        cells = regional_cell_map("north 0", regional_directory(30))
        self.assertEqual(cells.round_trip_seconds("north 0", "north 1"), 0.0)
        self.assertEqual(cells.round_trip_seconds("north 0", "west 1"), WAY_SECONDS)
        self.assertEqual(cells.round_trip_seconds("north 0", "nobody"), 0.0)

    def test_fleet_of_one_region_is_cut_like_one_without_regions(self):
        upstreams = directory(78)
        plain = cell_map("n", upstreams)
        regions = FleetRegions("north", {"a": "north", "b": "north"}, lambda node: "north")
        usable = {"": [f"n{number}" for number in range(9)], "north": []}
        one = CellMap("n", upstreams, lambda region="": usable[region], LIMIT, False, regions)
        many = CellMap("n", upstreams, lambda: usable[""], LIMIT, local=False)
        self.assertEqual(list(one.cells(POOL).items()), list(plain.cells(POOL).items()))
        self.assertEqual(one.preferred_cells(POOL), plain.preferred_cells(POOL))
        for cell in plain.cells(POOL):
            self.assertEqual(one.dispatcher(cell), many.dispatcher(cell))
            self.assertTrue(one.takes_work(cell))
        for prefix in PREFIXES:
            self.assertEqual(one.owner_cell(POOL, prefix), plain.owner_cell(POOL, prefix))


def _preferred_in(cells: CellMap, prefix: int, without: str = "") -> str:
    """Return the replica that the dispatcher of the owner cell of ``prefix`` prefers."""
    names = cells.cells(POOL)[cells.owner_cell(POOL, prefix)]
    replicas = [ReplicaState(name, 1) for name in names if name != without]
    return _highest_score(Ticket("n", 1, 1, "w", 0.0, 1.0, 0.0, prefix=prefix), replicas).name


if __name__ == "__main__":
    unittest.main()
