"""The member table: merging, refuting and forgetting."""

import itertools
import random
import unittest
from dataclasses import replace

from railsail.membership.table import Member, MemberState, MemberTable


def member(node: str, start: int = 1, sequence: int = 0, state=MemberState.ALIVE) -> Member:
    return Member(node, start, sequence, state, 8081, "d", "r")


class TableTests(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(member("own"))

    def test_false_suspicion_of_this_node_is_refuted(self):
        update = self.table.merge(member("own", state=MemberState.SUSPECT), 0.0)
        self.assertEqual((update.sequence, update.state), (1, MemberState.ALIVE))

    def test_paused_node_that_was_declared_dead_is_alive_again_after_its_refutation(self):
        other = MemberTable(member("other"))
        other.merge(self.table.own, 0.0)
        other.suspect("own", 0.0)
        other.expire(9.0, 3.0)
        self.assertEqual(other.get("own").state, MemberState.DEAD)
        refutation = self.table.merge(other.get("own"), 9.0)
        other.merge(refutation, 9.0)
        self.assertEqual(other.get("own").state, MemberState.ALIVE)

    def test_refuted_suspicion_does_not_expire(self):
        self.table.merge(member("a"), 0.0)
        self.table.suspect("a", 0.0)
        self.table.merge(member("a", sequence=1), 1.0)
        self.assertEqual(self.table.expire(10.0, 3.0), [])

    def test_restarted_node_overrides_all_records_of_its_former_process(self):
        self.table.merge(member("a", start=1, sequence=9, state=MemberState.DEAD), 0.0)
        self.table.merge(member("a", start=2), 0.0)
        self.assertEqual(self.table.get("a").state, MemberState.ALIVE)
        self.assertIsNone(self.table.merge(member("a", start=1, sequence=99), 0.0))

    def test_node_that_restarts_after_its_clock_was_set_back_is_alive_for_others(self):
        other = MemberTable(member("other"))
        other.merge(member("own", start=5000, state=MemberState.DEAD), 0.0)
        restarted = MemberTable(member("own", start=2600))
        update = restarted.merge(other.get("own"), 0.0)
        other.merge(update, 0.0)
        self.assertEqual(other.get("own").state, MemberState.ALIVE)
        self.assertEqual(other.get("own").start_id, restarted.own.start_id)

    def test_update_with_an_older_start_id_does_not_change_the_own_one(self):
        self.assertIsNone(self.table.merge(member("own", start=0, sequence=9), 0.0))
        self.assertEqual(self.table.own.start_id, 1)

    def test_order_and_repeats_of_updates_do_not_matter(self):
        updates = [
            member("a"),
            member("a", state=MemberState.SUSPECT),
            member("a", sequence=1),
            member("a", start=2, state=MemberState.LEAVING),
        ]
        results = set()
        for order in itertools.permutations(updates):
            table = MemberTable(member("own"))
            for update in [*order, random.Random(1).choice(order)]:
                table.merge(update, 0.0)
            results.add((table.get("a"), table.digest))
        self.assertEqual(len(results), 1)

    def test_digest_leaves_out_dead_members(self):
        before = self.table.digest
        self.table.merge(member("a"), 0.0)
        self.assertNotEqual(self.table.digest, before)
        self.table.merge(member("a", state=MemberState.DEAD), 0.0)
        self.assertEqual(self.table.digest, before)
        self.table.forget(["a"])
        self.assertEqual(self.table.digest, before)

    def test_leaving_node_is_given_no_work(self):
        self.table.merge(member("a"), 0.0)
        self.table.merge(replace(member("a"), state=MemberState.LEAVING, sequence=1), 0.0)
        self.assertEqual([m.node for m in self.table.usable()], ["own"])


if __name__ == "__main__":
    unittest.main()
