"""When a node that leaves reading the store to others starts to read it itself."""

import random
import unittest

from railsail.store.standby import (
    PATIENCE_SHARE,
    READING_SHARE,
    REST_SHARE,
    SPREAD_SHARE,
    Standby,
    StandbyRest,
)

SECONDS = 2.0
SIZE = 390


def standby(seed: int = 1) -> Standby:
    return Standby(SECONDS, lambda: SIZE, random.Random(seed))


class StandbyTests(unittest.TestCase):
    def test_recent_proof_keeps_the_node_from_reading(self):
        self.assertFalse(standby().reads(SECONDS * PATIENCE_SHARE * 0.99, 0.0))

    def test_reads_within_the_maximum_wait_of_a_watch(self):
        self.assertTrue(standby().reads(SECONDS * (PATIENCE_SHARE + SPREAD_SHARE), 0.0))
        self.assertLess(PATIENCE_SHARE + SPREAD_SHARE, 1.0)

    def test_node_without_any_proof_reads(self):
        self.assertTrue(standby().reads(float("inf"), 0.0))

    def test_continues_for_a_while_after_a_new_proof(self):
        one = standby()
        self.assertTrue(one.reads(SECONDS, 100.0))
        self.assertTrue(one.reads(0.0, 100.001))
        self.assertFalse(one.reads(0.0, 100.1 + READING_SHARE * SECONDS))

    def test_node_that_starts_earlier_continues_longer(self):
        ends = []
        for seed in range(SIZE):
            one = standby(seed)
            begins = one.seconds_left(0.0)
            one.reads(begins, 0.0)
            steps = range(int(READING_SHARE * SECONDS * 100) + 2)
            ends.append((begins, next(step for step in steps if not one.reads(0.0, step / 100))))
        ends.sort()
        durations = [duration for _, duration in ends]
        self.assertEqual(durations, sorted(durations, reverse=True))
        self.assertGreater(durations[0], 2 * durations[SIZE // 2])

    def test_few_nodes_of_a_large_fleet_start_early(self):
        early = SECONDS * (PATIENCE_SHARE + SPREAD_SHARE / 3)
        begun = sum(standby(seed).reads(early, 0.0) for seed in range(SIZE))
        self.assertGreater(begun, 0)
        self.assertLess(begun, SIZE / 20)

    def test_starts_to_read_when_the_remaining_seconds_are_over(self):
        one = standby()
        left = one.seconds_left(0.0)
        self.assertFalse(one.reads(left - 0.01, 0.0))
        self.assertTrue(one.reads(left, 0.0))


class StandbyRestTests(unittest.TestCase):
    def test_backoff_grows_with_each_failure_up_to_its_maximum(self):
        rest = StandbyRest(SECONDS, random.Random(1))
        self.assertEqual(rest.seconds_left(0.0), 0.0)
        rests = []
        for _ in range(10):
            rest.failed(0.0)
            rests.append(rest.seconds_left(0.0))
        self.assertLess(rests[0], SECONDS / 2)
        self.assertGreaterEqual(rests[-1], REST_SHARE * SECONDS / 2)
        self.assertLessEqual(max(rests), REST_SHARE * SECONDS)

    def test_answer_ends_the_backoff(self):
        rest = StandbyRest(SECONDS, random.Random(1))
        rest.failed(0.0)
        rest.answered()
        self.assertEqual(rest.seconds_left(0.0), 0.0)


if __name__ == "__main__":
    unittest.main()
