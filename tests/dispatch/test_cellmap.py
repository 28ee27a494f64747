"""Which cell is asked for a prompt's beginning, as the entries of a fleet compute it."""

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
    """Return a directory of so many replicas of one pool."""
    made = UpstreamDirectory(lambda news, source: None, EventLog("n", Clock()))
    list_replicas(made, replicas, leaving)
    return made


def list_replicas(known: UpstreamDirectory, replicas: int, leaving: tuple[str, ...] = ()) -> None:
    objects = []
    for number in range(replicas):
        name = f"r{number:03}"
        state = "leaving" if name in leaving else "live"
        spec = {"pool": POOL, "endpoint": "127.0.0.1:1", "failure_domain": "a", "state": state}
        objects.append(StoredObject("upstream", name, number + 1, spec))
    known.listed(Listing(replicas + 1, tuple(objects)))


def cell_map(node: str, known: UpstreamDirectory) -> CellMap:
    return CellMap(node, known, lambda: [node], LIMIT, local=False)


class HomeTests(unittest.TestCase):
    def test_all_entries_ask_the_same_cell_for_a_beginning(self):
        known = directory(78)
        maps = [cell_map(f"node {number}", known) for number in range(20)]
        for prefix in PREFIXES:
            self.assertEqual(len({cells.home(POOL, prefix) for cells in maps}), 1)

    def test_its_dispatcher_prefers_the_same_replica_however_the_pool_is_cut(self):
        known = directory(78)
        small = CellMap("n", known, lambda: ["n"], 8, local=False)
        for prefix in PREFIXES:
            owners = {_owner_in(cells, prefix) for cells in (cell_map("n", known), small)}
            self.assertEqual(len(owners), 1)

    def test_one_more_replica_moves_few_beginnings(self):
        # 33 replicas make a third cell, which used to move most beginnings to another replica.
        known = directory(32)
        cells = cell_map("n", known)
        before = {prefix: _owner_in(cells, prefix) for prefix in PREFIXES}
        list_replicas(known, 33)
        moved = [p for p in PREFIXES if _owner_in(cells, p) != before[p]]
        self.assertTrue(moved)
        self.assertLess(len(moved), len(PREFIXES) / 10)

    def test_beginnings_of_a_leaving_replica_go_to_others(self):
        known = directory(32, leaving=("r003",))
        cells = cell_map("n", known)
        self.assertNotIn("r003", {_owner_in(cells, prefix, "r003") for prefix in PREFIXES})

    def test_pool_without_replicas_has_a_home_all_the_same(self):
        self.assertEqual(cell_map("n", directory(0)).home(POOL, 7), Cell(POOL, 0, 1))


DOMAINS = {"a": "north", "b": "south", "c": "west"}
# Two nodes in each region, named by it.
NODES = {f"{region} {number}": region for region in DOMAINS.values() for number in range(2)}


def spread(replicas: int, leaving: str = "", without: str = "") -> UpstreamDirectory:
    """Return a directory of replicas spread over the domains; those of ``leaving`` leave."""
    made = directory(0)
    objects = []
    for number in range(replicas):
        domain = "abc"[number % 3]
        state = "leaving" if domain == leaving else "live"
        spec = {"pool": POOL, "endpoint": "127.0.0.1:1", "failure_domain": domain, "state": state}
        if domain != without:
            objects.append(StoredObject("upstream", f"r{number:03}", number + 1, spec))
    made.listed(Listing(replicas + 1, tuple(objects)))
    return made


def map_of(node: str, known: UpstreamDirectory, nodes: dict[str, str] | None = None) -> CellMap:
    """Return the map of a ``node`` that can use ``nodes``, each in its region."""
    usable = NODES if nodes is None else nodes

    def usable_in(region: str = "") -> list[str]:
        return [name for name, of in usable.items() if region in ("", of)]

    regions = FleetRegions(NODES[node], DOMAINS, lambda name: NODES.get(name, ""))
    return CellMap(node, known, usable_in, LIMIT, local=False, regions=regions)


class RegionTests(unittest.TestCase):
    def test_each_cell_is_dispatched_in_its_region_by_everybodys_word(self):
        known = spread(30)
        maps = [map_of(node, known) for node in NODES]
        for cell in maps[0].cells(POOL):
            named = {cells.dispatcher(cell) for cells in maps}
            self.assertEqual(len(named), 1)
            self.assertEqual(NODES[named.pop()], cell.region)

    def test_region_without_usable_nodes_is_dispatched_elsewhere(self):
        nodes = {name: region for name, region in NODES.items() if region != "west"}
        cells = map_of("north 0", spread(30), nodes)
        west = next(cell for cell in cells.cells(POOL) if cell.region == "west")
        self.assertIn(cells.dispatcher(west), nodes)

    def test_region_cut_off_dispatches_its_own_cell(self):
        nodes = {name: region for name, region in NODES.items() if region == "west"}
        cells = map_of("west 0", spread(30), nodes)
        (home,) = cells.homes(POOL)
        self.assertEqual((home.region, NODES[cells.dispatcher(home)]), ("west", "west"))

    def test_entries_ask_their_own_region(self):
        known = spread(30)
        for node, region in NODES.items():
            cells = map_of(node, known)
            self.assertEqual({cell.region for cell in cells.homes(POOL)}, {region})
            homes = {cells.home(POOL, prefix).region for prefix in PREFIXES}
            self.assertEqual(homes, {region})

    def test_bound_requests_are_not_sent_where_the_region_is_unknown(self):
        with mock.patch.dict(DOMAINS):
            del DOMAINS["b"]
            cells = map_of("west 0", spread(30))
            self.assertIn("", {cell.region for cell in cells.cells(POOL)})
            homes = cells.homes(POOL, ("north",))
            self.assertEqual({cell.region for cell in homes}, {"north"})

    def test_entries_of_a_region_name_one_home_and_it_is_there(self):
        # More than a cell's limit in each region.
        known = spread(90)
        for prefix in PREFIXES:
            homes = {map_of(f"north {n}", known).home(POOL, prefix) for n in range(2)}
            self.assertEqual([cell.region for cell in homes], ["north"])

    def test_one_home_in_the_fleet_is_the_same_for_all_entries(self):
        known = spread(90)
        for prefix in PREFIXES:
            homes = {map_of(node, known).home(POOL, prefix, anywhere=True) for node in NODES}
            self.assertEqual(len(homes), 1)
        found = {map_of("north 0", known).home(POOL, p, anywhere=True).region for p in PREFIXES}
        self.assertEqual(found, {"north", "south", "west"})

    def test_one_home_in_the_fleet_is_in_an_allowed_region(self):
        cells = map_of("north 0", spread(90))
        found = {cells.home(POOL, p, ("south", "west"), anywhere=True).region for p in PREFIXES}
        self.assertEqual(found, {"south", "west"})

    def test_region_cut_off_is_nobodys_home_elsewhere(self):
        known = spread(90)
        inside = {name: region for name, region in NODES.items() if region == "west"}
        outside = {name: region for name, region in NODES.items() if region != "west"}
        cells = map_of("west 0", known, inside)
        self.assertEqual({cells.home(POOL, p, anywhere=True).region for p in PREFIXES}, {"west"})
        cells = map_of("north 0", known, outside)
        found = {cells.home(POOL, p, anywhere=True).region for p in PREFIXES}
        self.assertEqual(found, {"north", "south"})

    def test_region_that_takes_no_work_is_passed_over(self):
        for known in (spread(30, leaving="a"), spread(30, without="a")):
            cells = map_of("north 0", known)
            self.assertEqual({c.region for c in cells.homes(POOL)}, {"south", "west"})
            found = {cells.home(POOL, prefix).region for prefix in PREFIXES}
            self.assertEqual(found, {"south", "west"})

    def test_requests_bound_to_regions_go_to_cells_there(self):
        cells = map_of("north 0", spread(30))
        self.assertEqual([c.region for c in cells.homes(POOL, ("south",))], ["south"])
        self.assertEqual({c.region for c in cells.homes(POOL, ("south", "north"))}, {"north"})
        found = {cells.home(POOL, prefix, ("west",)).region for prefix in PREFIXES}
        self.assertEqual(found, {"west"})

    def test_what_is_tried_next_is_in_an_allowed_region(self):
        cells = map_of("north 0", spread(90))
        first = cells.homes(POOL)[0]
        regions = [cell.region for cell in cells.others(first)]
        self.assertEqual(regions[0], "north")
        self.assertEqual(set(regions), {"north", "south", "west"})
        allowed = cells.others(first, ("north", "west"))
        self.assertEqual({cell.region for cell in allowed}, {"north", "west"})

    def test_numbers_name_the_same_cells_when_a_region_is_lost(self):
        before, after = map_of("north 0", spread(30)), map_of("north 0", spread(30, without="a"))
        for cell in list(before.cells(POOL))[1:]:
            self.assertEqual(after.cell(POOL, cell.number), cell)
            self.assertEqual(after.dispatcher(cell), before.dispatcher(cell))

    def test_way_counts_between_regions_only(self):
        cells = map_of("north 0", spread(30))
        self.assertEqual(cells.way_seconds("north 0", "north 1"), 0.0)
        self.assertEqual(cells.way_seconds("north 0", "west 1"), WAY_SECONDS)
        self.assertEqual(cells.way_seconds("north 0", "nobody"), 0.0)

    def test_fleet_of_one_region_is_as_without_regions(self):
        known = directory(78)
        plain = cell_map("n", known)
        regions = FleetRegions("north", {"a": "north", "b": "north"}, lambda node: "north")
        usable = {"": [f"n{number}" for number in range(9)], "north": []}
        one = CellMap("n", known, lambda region="": usable[region], LIMIT, False, regions)
        many = CellMap("n", known, lambda: usable[""], LIMIT, local=False)
        self.assertEqual(list(one.cells(POOL).items()), list(plain.cells(POOL).items()))
        self.assertEqual(one.homes(POOL), plain.homes(POOL))
        for cell in plain.cells(POOL):
            self.assertEqual(one.dispatcher(cell), many.dispatcher(cell))
            self.assertTrue(one.takes_work(cell))
        for prefix in PREFIXES:
            self.assertEqual(one.home(POOL, prefix), plain.home(POOL, prefix))


def _owner_in(cells: CellMap, prefix: int, without: str = "") -> str:
    """Return the replica that the dispatcher of the home of ``prefix`` prefers."""
    names = cells.cells(POOL)[cells.home(POOL, prefix)]
    states = [ReplicaState(name, 1) for name in names if name != without]
    return _highest_score(Ticket("n", 1, 1, "w", 0.0, 1.0, 0.0, prefix=prefix), states).name


if __name__ == "__main__":
    unittest.main()
