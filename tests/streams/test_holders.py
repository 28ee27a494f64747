"""The nodes that keep the record of a stream are among those that are asked for it."""

import random
import unittest

from railsail.membership.table import Member, MemberState
from railsail.streams.holders import COPIES, MIN_CANDIDATES, asked, candidates, keepers

KEYS = range(1, 300)


def members(count: int, *regions: str) -> list[Member]:
    names = regions or ("",)
    return [
        Member(f"n{number}", 1, 0, MemberState.ALIVE, 1, "a", names[number % len(names)])
        for number in range(count)
    ]


class CandidateTests(unittest.TestCase):
    def test_all_nodes_of_a_small_fleet_are_candidates(self):
        self.assertEqual(len(candidates(members(9), {"n1"})[""]), 9)

    def test_large_fleet_has_a_share_of_its_nodes_as_candidates(self):
        self.assertEqual(len(candidates(members(195), set())[""]), 16)
        self.assertEqual(len(candidates(members(390), set())[""]), 32)

    def test_dispatchers_are_left_out_while_there_are_enough_others(self):
        dispatchers = {f"n{number}" for number in range(40)}
        self.assertFalse(dispatchers & set(candidates(members(85), dispatchers)[""]))
        few = candidates(members(MIN_CANDIDATES + 1), dispatchers)[""]
        self.assertEqual(len(few), MIN_CANDIDATES)


class KeeperTests(unittest.TestCase):
    def test_node_that_lost_others_asks_one_that_keeps_the_record(self):
        rng = random.Random(3)
        fleet = members(30)
        before = candidates(fleet, set())
        remaining = [member for member in fleet if rng.random() < 0.5]
        names = {member.node for member in remaining}
        after = candidates(remaining, set())
        for key in KEYS:
            kept = [node for node in keepers(key, before, "") if node in names]
            self.assertTrue(set(kept) <= set(asked(key, after)), key)

    def test_copies_are_in_the_own_region_and_one_other(self):
        by_region = candidates(members(30, "north", "south", "west"), set())
        regions = {node: region for region, nodes in by_region.items() for node in nodes}
        for key in KEYS:
            found = [regions[node] for node in keepers(key, by_region, "north")]
            self.assertEqual(found.count("north"), COPIES - 1)
            self.assertEqual(len(found), COPIES)
            self.assertTrue(set(keepers(key, by_region, "north")) <= set(asked(key, by_region)))

    def test_region_of_one_node_has_its_copies_in_others(self):
        by_region = {"north": ["n1", "n2", "n3"], "south": []}
        self.assertEqual(sorted(keepers(1, by_region, "south")), ["n1", "n2", "n3"])

    def test_records_are_spread_evenly(self):
        by_region = candidates(members(9), set())
        counts = dict.fromkeys(by_region[""], 0)
        for key in range(9000):
            for node in keepers(key, by_region, ""):
                counts[node] += 1
        self.assertLess(max(counts.values()), 1.2 * 9000 * COPIES / 9)

    def test_fleet_of_one_has_no_keepers(self):
        self.assertEqual(keepers(1, candidates([], set()), ""), [])
        self.assertEqual(asked(1, {}), [])


if __name__ == "__main__":
    unittest.main()
