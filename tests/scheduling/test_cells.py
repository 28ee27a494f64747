"""The division of pools into cells, the tree of service sums and the balance between cells."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from railsail.membership import overlay, tree
from railsail.membership.placement import choose, rank
from railsail.scheduling.balance import FleetBalance
from railsail.scheduling.cells import Cell, cut_by_region, split_pool, spread
from railsail.scheduling.totals import PoolTotals


class SplitPoolTests(unittest.TestCase):
    def test_small_pool_is_one_cell(self):
        cells = split_pool("model", [f"r{n}" for n in range(16)], 16)
        self.assertEqual([cell.count for cell in cells], [1])

    def test_added_replicas_are_spread_and_no_other_one_moves(self):
        cells = split_pool("model", [f"old{n:02}" for n in range(40)], 16)
        names = [f"old{n:02}" for n in range(40)] + [f"new{n:02}" for n in range(20)]
        found = spread(cells, dict.fromkeys(names, "west"))
        self.assertEqual(sorted(name for held in found.values() for name in held), sorted(names))
        for cell, held in cells.items():
            self.assertEqual(found[cell][: len(held)], held)
            self.assertIn(len(found[cell]) - len(held), (6, 7))

    def test_cells_are_unchanged_without_added_replicas(self):
        cells = split_pool("model", [f"r{n}" for n in range(40)], 16)
        self.assertEqual(spread(cells, {f"r{n}": "west" for n in range(40)}), cells)
        self.assertEqual(spread(split_pool("model", [], 16), {}), split_pool("model", [], 16))

    def test_added_replica_joins_a_cell_of_its_region(self):
        regions = {f"r{n}": ("east", "west")[n % 2] for n in range(40)}
        settled = {name: region for name, region in regions.items() if int(name[1:]) < 20}
        cells = cut_by_region("model", settled, 16, {"east", "west"})
        for cell, held in spread(cells, regions).items():
            self.assertEqual({regions[name] for name in held}, {cell.region})
            self.assertEqual(len(held), 20)

    @settings(deadline=None, derandomize=True)
    @given(st.integers(0, 300), st.integers(1, 20))
    def test_every_replica_is_in_one_cell_and_no_cell_is_too_large(self, count, limit):
        replicas = [f"r{n}" for n in range(count)]
        cells = split_pool("model", replicas, limit)
        self.assertEqual(sorted(r for part in cells.values() for r in part), sorted(replicas))
        self.assertTrue(all(len(part) <= limit for part in cells.values()))


REGIONS = ("coast", "east", "ridge")
# The replicas of three regions, two in each.
TWO_EACH = {f"r{number}": REGIONS[number % 3] for number in range(6)}


class SplitPoolByRegionTests(unittest.TestCase):
    def split(self, regions: dict[str, str], limit: int = 16) -> dict[Cell, list[str]]:
        return cut_by_region("model", regions, limit, REGIONS)

    def test_each_region_is_a_cell(self):
        cells = self.split(TWO_EACH)
        self.assertEqual([(c.number, c.count, c.region) for c in cells], _numbered(REGIONS, 3))
        self.assertEqual(list(cells.values()), [["r0", "r3"], ["r1", "r4"], ["r2", "r5"]])

    def test_region_without_replicas_does_not_change_other_cells(self):
        without = {name: region for name, region in TWO_EACH.items() if region != "coast"}
        self.assertEqual(list(self.split(without)), list(self.split(TWO_EACH))[1:])

    def test_large_region_has_several_cells_and_others_keep_their_numbers(self):
        large = TWO_EACH | {f"s{number:02}": "east" for number in range(20)}
        cells = self.split(large)
        self.assertEqual([c.number for c in cells], [0, 1, 2, 4])
        self.assertEqual([c.region for c in cells], ["coast", "east", "ridge", "east"])
        self.assertTrue(all(len(names) <= 16 for names in cells.values()))

    @settings(deadline=None, derandomize=True)
    @given(st.integers(0, 300), st.integers(1, 20), st.sampled_from([(), ("one",)]))
    def test_single_region_is_divided_like_a_pool_without_regions(self, count, limit, named):
        names = [f"r{number}" for number in range(count)]
        regions = dict.fromkeys(names, named[0] if named else "")
        found = cut_by_region("model", regions, limit, named)
        self.assertEqual(found, split_pool("model", names, limit))
        self.assertEqual({cell.region for cell in found}, {""})

    def test_unknown_region_does_not_divide_a_fleet_of_one_region(self):
        regions = {"r0": "one", "r1": "one", "r2": ""}
        found = cut_by_region("model", regions, 16, {"one"})
        self.assertEqual(found, split_pool("model", list(regions), 16))
        self.assertEqual({cell.region for cell in found}, {""})

    @settings(deadline=None, derandomize=True)
    @given(st.lists(st.sampled_from(REGIONS), max_size=200), st.integers(1, 20))
    def test_every_replica_is_in_one_cell_of_its_region(self, found, limit):
        regions = {f"r{number}": region for number, region in enumerate(found)}
        cells = self.split(regions, limit)
        self.assertEqual(sorted(r for part in cells.values() for r in part), sorted(regions))
        self.assertTrue(all(regions[r] == cell.region for cell in cells for r in cells[cell]))
        self.assertTrue(all(len(part) <= limit for part in cells.values()))


def _numbered(regions: tuple[str, ...], count: int) -> list[tuple[int, int, str]]:
    return [(number, count, region) for number, region in enumerate(regions)]


class PlacementTests(unittest.TestCase):
    def test_loss_of_a_node_moves_only_the_jobs_of_that_node(self):
        nodes = [f"n{n}" for n in range(20)]
        jobs = [f"job {n}" for n in range(200)]
        before = {job: choose(job, nodes) for job in jobs}
        after = {job: choose(job, nodes[1:]) for job in jobs}
        moved = {job for job in jobs if before[job] != after[job]}
        self.assertEqual(moved, {job for job in jobs if before[job] == "n0"})

    def test_second_choice_follows_the_first(self):
        nodes = ["a", "b", "c"]
        first, second, _ = rank("job", nodes)
        nodes.remove(first)
        self.assertEqual(choose("job", nodes), second)


class OverlayTests(unittest.TestCase):
    def test_neighbours_are_few_mutual_and_reach_all_in_few_hops(self):
        for size in (2, 3, 8, 40, 390, 1000):
            ring = [f"{n:04d}" for n in range(size)]
            links = {node: set(overlay.neighbours(ring, node)) for node in ring}
            self.assertTrue(all(len(peers) <= 8 for peers in links.values()))
            self.assertTrue(all(n in links[p] for n, peers in links.items() for p in peers))
            self.assertLessEqual(self.hops(links, ring[0]), 10)

    def hops(self, links: dict[str, set[str]], start: str) -> int:
        reached, edge, hops = {start}, {start}, 0
        while len(reached) < len(links):
            edge = {peer for node in edge for peer in links[node]} - reached
            self.assertTrue(edge, "the overlay is in parts")
            reached |= edge
            hops += 1
        return hops

    def test_tree_is_shallow_and_connected(self):
        nodes = tree.order("x", [f"n{n}" for n in range(390)])
        self.assertEqual(tree.depth(390), 5)
        for node in nodes[1:]:
            self.assertIn(node, tree.children(nodes, tree.parent(nodes, node)))


class Fleet:
    """A tree of totals in memory whose messages are repeated and reordered."""

    def __init__(self, size: int, rng: random.Random) -> None:
        self.rng = rng
        self.nodes = tree.order("x", [f"n{n}" for n in range(size)])
        self.totals = {node: PoolTotals() for node in self.nodes}
        self.epoch = 0
        self.messages: list = []

    def round(self) -> None:
        for node in self.nodes:
            self.exchange(node)
        self.deliver()

    def exchange(self, node: str) -> None:
        totals = self.totals[node]
        parent = tree.parent(self.nodes, node)
        totals.set_parent(parent, self.epoch)
        if parent is None:
            totals.told_by_root((node, totals.epoch), totals.root_sums())
        else:
            sums = totals.news_for_parent()
            self.send(self.totals[parent].told_by_child, node, totals.epoch, sums)
        changed = totals.news_for_children()
        for child in tree.children(self.nodes, node):
            self.send(self.totals[child].told_by_root, totals.root, changed)

    def send(self, method, *arguments) -> None:
        if arguments[0] is not None:
            self.messages += [(method, arguments)] * self.rng.choice([1, 1, 2])

    def deliver(self) -> None:
        self.rng.shuffle(self.messages)
        for method, arguments in self.messages:
            method(*arguments)
        self.messages = []

    def remove(self, node: str) -> None:
        self.nodes.remove(node)
        del self.totals[node]
        self.epoch += 1


class TotalsTests(unittest.TestCase):
    def test_all_nodes_learn_all_service_despite_repeats_and_reordering(self):
        fleet = Fleet(20, random.Random(3))
        fleet.round()
        for node in fleet.nodes:
            fleet.totals[node].serve(1, 10.0)
        for _ in range(2 * tree.depth(20) + 2):
            fleet.round()
        gained = [totals.fleet_gains() for totals in fleet.totals.values()]
        del gained
        for node in fleet.nodes:
            fleet.totals[node].serve(1, 5.0)
        for _ in range(2 * tree.depth(20) + 2):
            fleet.round()
        sums = [totals.fleet_gains().get(1, 0.0) for totals in fleet.totals.values()]
        self.assertEqual(sums, [100.0] * 20)

    def test_no_service_is_counted_twice_after_loss_of_inner_node_or_root(self):
        for lost in (0, 1):
            fleet = Fleet(20, random.Random(3))
            served = 0.0
            gained = 0.0
            watcher = fleet.nodes[-1]
            for turn in range(60):
                if turn == 25:
                    fleet.remove(fleet.nodes[lost])
                fleet.totals[fleet.nodes[-2]].serve(1, 10.0)
                served += 10.0
                fleet.round()
                gained += fleet.totals[watcher].fleet_gains().get(1, 0.0)
            self.assertLessEqual(gained, served)
            # Messages on their way are lost: the service of a few hops at the start and at the
            # loss.
            self.assertGreaterEqual(gained, served - 10.0 * 4 * (2 * tree.depth(20) + 2))


class BalanceTests(unittest.TestCase):
    def test_workspace_behind_weighs_more_within_a_bound(self):
        balance = FleetBalance(lambda name: 1.0)
        waiting = ["ahead", "behind"]
        balance.update({}, waiting, 0.5, 1.0)
        factors: dict[str, float] = {}
        for _ in range(200):
            factors = balance.update({"ahead": 100.0}, waiting, 0.5, 1.0)
        self.assertEqual((factors["behind"], factors["ahead"]), (8.0, 0.125))

    def test_service_before_the_wait_does_not_count(self):
        balance = FleetBalance(lambda name: 1.0)
        balance.update({}, ["a", "b"], 0.5, 1.0)
        factors = balance.update({"new": 1e6, "a": 5.0, "b": 5.0}, ["a", "b", "new"], 0.5, 1.0)
        self.assertEqual(factors, {"a": 1.0, "b": 1.0, "new": 1.0})


if __name__ == "__main__":
    unittest.main()
