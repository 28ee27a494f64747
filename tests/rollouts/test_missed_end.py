"""A rollout's record of before its end does not take the version in use from other nodes."""

import unittest

from railsail.rollouts.merging import merge
from railsail.rollouts.orders import Order, Rollout, State
from tests.rollouts.base import SERVICE


def rollout(target: str, ordered_at: int, state: State, stored: int) -> Rollout:
    order = Order(SERVICE, ordered_at, target, 20.0)
    return Rollout(order, False, state, target, stored, written=state)


class MissedEndTests(unittest.TestCase):
    def setUp(self):
        self.begun = begun = rollout("v2", 1, State.RUNNING, 2)
        succeeded = rollout("v2", 1, State.SUCCEEDED, 3)
        self.next = rollout("v3", 4, State.RUNNING, 5)
        self.knows = merge(merge(begun, succeeded), self.next)
        # It was cut off, and reads the store again when the next order runs.
        self.missed = merge(begun, self.next)

    def test_premise_that_the_others_have_it_in_use(self):
        self.assertEqual(self.knows.dropped, frozenset())

    def test_version_in_use_is_not_dropped_by_late_news_of_its_rollout(self):
        self.assertNotIn("v2", merge(self.knows, self.begun).dropped)

    def test_version_in_use_is_dropped_by_no_node_once_they_tell_each_other(self):
        self.assertNotIn("v2", merge(self.knows, self.missed).dropped)
        self.assertNotIn("v2", merge(self.missed, self.knows).dropped)


if __name__ == "__main__":
    unittest.main()
