"""A record from before a rollout's end must not make other nodes drop the version in use.

A node that is cut off from the fleet misses the success of a rollout. When the next order runs, the
node takes the version that succeeded for one that did not, and sends its record to the others.
"""

import unittest

from railsail.rollouts.merging import merge
from railsail.rollouts.orders import Order, Rollout, State
from tests.rollouts.base import SERVICE


def rollout(target: str, ordered_at: int, state: State, object_version: int) -> Rollout:
    order = Order(SERVICE, ordered_at, target, 20.0)
    return Rollout(order, False, state, target, object_version, written_state=state)


class MissedEndTests(unittest.TestCase):
    def setUp(self):
        self.running = running = rollout("v2", 1, State.RUNNING, 2)
        succeeded = rollout("v2", 1, State.SUCCEEDED, 3)
        self.next = rollout("v3", 4, State.RUNNING, 5)
        self.informed = merge(merge(running, succeeded), self.next)
        # The record of a node that was cut off and reads the store again when the next order runs.
        self.missed = merge(running, self.next)

    def test_nodes_that_saw_the_success_do_not_drop_the_version(self):
        self.assertEqual(self.informed.dropped, frozenset())

    def test_late_record_of_the_running_order_does_not_drop_the_version_in_use(self):
        self.assertNotIn("v2", merge(self.informed, self.running).dropped)

    def test_record_of_a_node_that_missed_the_success_does_not_drop_the_version_in_use(self):
        self.assertNotIn("v2", merge(self.informed, self.missed).dropped)
        self.assertNotIn("v2", merge(self.missed, self.informed).dropped)


if __name__ == "__main__":
    unittest.main()
