"""Which replica an entry asks a dispatcher to avoid."""

import unittest

from railsail.routing.connect_failures import FORGET_SECONDS, MAX_REPLICAS, ReplicaReach


class ReachTests(unittest.TestCase):
    def setUp(self):
        self.reach = ReplicaReach()

    def test_nothing_is_avoided_at_first(self):
        self.assertEqual(self.reach.avoid(0.0), "")

    def test_replica_that_failed_last_is_avoided_for_a_while(self):
        self.reach.failed("a", 1.0)
        self.reach.failed("b", 1.1)
        self.assertEqual(self.reach.avoid(1.2), "b")
        self.reach.failed("a", 1.3)
        self.assertEqual(self.reach.avoid(1.4), "a")
        self.assertEqual(self.reach.avoid(1.31 + FORGET_SECONDS), "")

    def test_replica_that_answers_is_not_avoided(self):
        self.reach.failed("a", 1.0)
        self.reach.reached("a")
        self.assertEqual(self.reach.avoid(1.1), "")

    def test_memory_is_bounded(self):
        for number in range(MAX_REPLICAS + 5):
            self.reach.failed(f"r{number}", float(number))
        self.assertEqual(len(self.reach._failed_at), MAX_REPLICAS)


if __name__ == "__main__":
    unittest.main()
