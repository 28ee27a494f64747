"""Which replica an entry asks a dispatcher to avoid."""

import unittest

from railsail.routing.connect_failures import FORGET_SECONDS, MAX_REPLICAS, ConnectFailures


class ConnectFailuresTests(unittest.TestCase):
    def setUp(self):
        self.failures = ConnectFailures()

    def test_no_replica_is_avoided_initially(self):
        self.assertEqual(self.failures.replica_to_avoid(0.0), "")

    def test_replica_that_failed_last_is_avoided_until_the_failure_expires(self):
        self.failures.record_failure("a", 1.0)
        self.failures.record_failure("b", 1.1)
        self.assertEqual(self.failures.replica_to_avoid(1.2), "b")
        self.failures.record_failure("a", 1.3)
        self.assertEqual(self.failures.replica_to_avoid(1.4), "a")
        self.assertEqual(self.failures.replica_to_avoid(1.31 + FORGET_SECONDS), "")

    def test_replica_that_answers_is_not_avoided(self):
        self.failures.record_failure("a", 1.0)
        self.failures.record_answer("a")
        self.assertEqual(self.failures.replica_to_avoid(1.1), "")

    def test_number_of_recorded_replicas_is_bounded(self):
        for number in range(MAX_REPLICAS + 5):
            self.failures.record_failure(f"r{number}", float(number))
        self.assertEqual(len(self.failures._failed_at), MAX_REPLICAS)


if __name__ == "__main__":
    unittest.main()
