import unittest

from railsail.core.clock import ManualClock
from railsail.store.freshness import Freshness, Proof
from railsail.store.versions import to_version

KIND = "upstream"


class FreshnessTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.freshness = Freshness(self.clock.monotonic)

    def proof(self, version: int, age: float) -> Proof:
        return Proof(KIND, version, self.clock.monotonic() - age)

    def test_without_a_proof_the_age_is_infinite(self):
        self.assertEqual(self.freshness.age(KIND), float("inf"))
        self.assertEqual(self.freshness.version(KIND), 0)

    def test_newest_proof_is_kept(self):
        self.assertTrue(self.freshness.record(self.proof(7, 2.0)))
        self.assertFalse(self.freshness.record(self.proof(7, 3.0)))
        self.assertTrue(self.freshness.record(self.proof(7, 1.0)))
        self.clock.advance(0.5)
        self.assertAlmostEqual(self.freshness.age(KIND), 1.5)

    def test_later_proof_of_a_lower_version_is_ignored(self):
        self.freshness.record(self.proof(7, 2.0))
        self.assertFalse(self.freshness.record(self.proof(6, 0.0)))
        self.assertAlmostEqual(self.freshness.age(KIND), 2.0)

    def test_settled_version_is_the_newest_that_was_proved_before(self):
        self.assertEqual(self.freshness.settled_version(KIND, 5.0), 0)
        for version in range(1, 30):
            self.freshness.record(self.proof(version, 0.0))
            self.assertEqual(self.freshness.settled_version(KIND, 5.0), max(1, version - 5))
            self.clock.advance(1.0)
        self.clock.advance(60.0)
        self.assertEqual(self.freshness.settled_version(KIND, 5.0), 29)

    def test_restore_of_the_store_is_known_from_the_first_proof_after_it(self):
        self.freshness.record(self.proof(to_version(1, 7), 0.0))
        self.assertEqual(self.freshness.seconds_since_restore(), float("inf"))
        self.freshness.record(self.proof(to_version(2, 3), -1.0))
        self.clock.advance(2.0)
        self.assertAlmostEqual(self.freshness.seconds_since_restore(), 2.0)

    def test_listeners_are_called_for_new_own_proofs_only(self):
        notified = []
        self.freshness.on_own_proof(notified.append)
        self.freshness.record(self.proof(7, 2.0))
        own = self.proof(7, 1.0)
        self.freshness.record_own(own)
        self.freshness.record_own(own)
        self.assertEqual(notified, [own])


if __name__ == "__main__":
    unittest.main()
