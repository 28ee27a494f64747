"""For how long a replica is sent no requests, after it has asked this node to back off."""

import unittest

from railsail.upstreams import rests as module
from railsail.upstreams.rests import TRIAL_SECONDS, ReplicaBackoffs


class BackoffTests(unittest.TestCase):
    def setUp(self):
        self.backoffs = ReplicaBackoffs()
        self.backoffs.extend("r", 3.0, 100.0)

    def test_backoff_lasts_until_its_time_has_passed(self):
        in_backoff = [self.backoffs.resting("r", at) for at in (100.0, 102.9, 103.0)]
        self.assertEqual(in_backoff, [True, True, False])
        self.assertFalse(self.backoffs.resting("other", 100.0))

    def test_second_request_extends_but_never_shortens_a_backoff(self):
        self.assertFalse(self.backoffs.extend("r", 1.0, 101.0))
        self.assertTrue(self.backoffs.resting("r", 102.5))
        self.assertTrue(self.backoffs.extend("r", 3.0, 101.0))
        self.assertTrue(self.backoffs.resting("r", 103.5))

    def test_backoff_of_zero_seconds_has_no_effect(self):
        self.backoffs.extend("z", 0.0, 100.0)
        self.assertFalse(self.backoffs.resting("z", 100.0))

    def test_answer_before_its_time_has_passed_does_not_end_a_backoff(self):
        self.backoffs.record_answer("r", 101.0)
        self.assertTrue(self.backoffs.resting("r", 101.0))

    def test_one_request_tries_the_replica_and_others_follow_its_answer(self):
        self.backoffs.sent("r", 104.0)
        self.assertTrue(self.backoffs.resting("r", 104.1))
        self.backoffs.record_answer("r", 104.2)
        self.assertFalse(self.backoffs.resting("r", 104.2))
        self.assertFalse(self.backoffs)

    def test_trial_without_an_answer_ends_after_the_trial_time(self):
        self.backoffs.sent("r", 104.0)
        self.assertFalse(self.backoffs.resting("r", 104.0 + TRIAL_SECONDS))

    def test_request_sent_during_the_backoff_is_no_trial(self):
        self.backoffs.sent("r", 101.0)
        self.assertFalse(self.backoffs.resting("r", 103.0))

    def test_replicas_are_sorted_by_longest_backoff(self):
        self.backoffs.extend("s", 9.0, 100.0)
        self.assertEqual(list(self.backoffs.all_resting(101.0)), ["s", "r"])
        self.assertEqual(list(self.backoffs.all_resting(104.0)), ["s"])

    def test_number_of_replicas_is_bounded(self):
        for number in range(module.MAX_REPLICAS):
            self.backoffs.extend(f"n{number}", 60.0, 100.0)
        self.assertEqual(len(list(self.backoffs.all_resting(100.0))), module.MAX_REPLICAS)
        self.assertFalse(self.backoffs.resting("r", 100.0))


if __name__ == "__main__":
    unittest.main()
