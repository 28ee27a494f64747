"""For how long a replica is sent no requests, after it has asked this node to back off."""

import unittest

from railsail.upstreams import rests as module
from railsail.upstreams.rests import TRIAL_SECONDS, ReplicaBackoffs


class RestsTests(unittest.TestCase):
    def setUp(self):
        self.rests = ReplicaBackoffs()
        self.rests.asked("r", 3.0, 100.0)

    def test_backoff_lasts_until_its_time_has_passed(self):
        held = [self.rests.resting("r", at) for at in (100.0, 102.9, 103.0)]
        self.assertEqual(held, [True, True, False])
        self.assertFalse(self.rests.resting("other", 100.0))

    def test_second_request_extends_but_never_shortens_a_backoff(self):
        self.assertFalse(self.rests.asked("r", 1.0, 101.0))
        self.assertTrue(self.rests.resting("r", 102.5))
        self.assertTrue(self.rests.asked("r", 3.0, 101.0))
        self.assertTrue(self.rests.resting("r", 103.5))

    def test_backoff_of_zero_seconds_has_no_effect(self):
        self.rests.asked("z", 0.0, 100.0)
        self.assertFalse(self.rests.resting("z", 100.0))

    def test_answer_before_its_time_has_passed_does_not_end_a_backoff(self):
        self.rests.answered("r", 101.0)
        self.assertTrue(self.rests.resting("r", 101.0))

    def test_one_request_tries_the_replica_and_others_follow_its_answer(self):
        self.rests.sent("r", 104.0)
        self.assertTrue(self.rests.resting("r", 104.1))
        self.rests.answered("r", 104.2)
        self.assertFalse(self.rests.resting("r", 104.2))
        self.assertFalse(self.rests)

    def test_trial_without_an_answer_ends_after_the_trial_time(self):
        self.rests.sent("r", 104.0)
        self.assertFalse(self.rests.resting("r", 104.0 + TRIAL_SECONDS))

    def test_request_sent_during_the_backoff_is_no_trial(self):
        self.rests.sent("r", 101.0)
        self.assertFalse(self.rests.resting("r", 103.0))

    def test_replicas_are_sorted_by_longest_backoff(self):
        self.rests.asked("s", 9.0, 100.0)
        self.assertEqual(list(self.rests.all_resting(101.0)), ["s", "r"])
        self.assertEqual(list(self.rests.all_resting(104.0)), ["s"])

    def test_number_of_replicas_is_bounded(self):
        for number in range(module.MOST_REPLICAS):
            self.rests.asked(f"n{number}", 60.0, 100.0)
        self.assertEqual(len(list(self.rests.all_resting(100.0))), module.MOST_REPLICAS)
        self.assertFalse(self.rests.resting("r", 100.0))


if __name__ == "__main__":
    unittest.main()
