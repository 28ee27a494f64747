"""When a node that leaves reading the store to others starts to read it itself."""

import random
import unittest

from railsail.store.standby import (
    JITTER_SHARE,
    MAX_BACKOFF_SHARE,
    MAX_READING_SHARE,
    MIN_READING_AGE_SHARE,
    Standby,
    StandbyBackoff,
)

MAX_WAIT_SECONDS = 2.0
FLEET_SIZE = 390


def standby(seed: int = 1) -> Standby:
    return Standby(MAX_WAIT_SECONDS, lambda: FLEET_SIZE, random.Random(seed))


class StandbyTests(unittest.TestCase):
    def test_recent_proof_keeps_the_node_from_reading(self):
        self.assertFalse(
            standby().should_read(MAX_WAIT_SECONDS * MIN_READING_AGE_SHARE * 0.99, 0.0)
        )

    def test_reads_within_the_maximum_wait_of_a_watch(self):
        self.assertTrue(
            standby().should_read(MAX_WAIT_SECONDS * (MIN_READING_AGE_SHARE + JITTER_SHARE), 0.0)
        )
        self.assertLess(MIN_READING_AGE_SHARE + JITTER_SHARE, 1.0)

    def test_node_without_any_proof_reads(self):
        self.assertTrue(standby().should_read(float("inf"), 0.0))

    def test_continues_for_a_while_after_a_new_proof(self):
        node = standby()
        self.assertTrue(node.should_read(MAX_WAIT_SECONDS, 100.0))
        self.assertTrue(node.should_read(0.0, 100.001))
        self.assertFalse(node.should_read(0.0, 100.1 + MAX_READING_SHARE * MAX_WAIT_SECONDS))

    def test_node_that_starts_earlier_continues_longer(self):
        ends = []
        for seed in range(FLEET_SIZE):
            node = standby(seed)
            start_age = node.seconds_until_reading(0.0)
            node.should_read(start_age, 0.0)
            steps = range(int(MAX_READING_SHARE * MAX_WAIT_SECONDS * 100) + 2)
            ends.append(
                (start_age, next(step for step in steps if not node.should_read(0.0, step / 100)))
            )
        ends.sort()
        durations = [duration for _, duration in ends]
        self.assertEqual(durations, sorted(durations, reverse=True))
        self.assertGreater(durations[0], 2 * durations[FLEET_SIZE // 2])

    def test_few_nodes_of_a_large_fleet_start_early(self):
        early = MAX_WAIT_SECONDS * (MIN_READING_AGE_SHARE + JITTER_SHARE / 3)
        started = sum(standby(seed).should_read(early, 0.0) for seed in range(FLEET_SIZE))
        self.assertGreater(started, 0)
        self.assertLess(started, FLEET_SIZE / 20)

    def test_starts_to_read_when_the_remaining_seconds_are_over(self):
        node = standby()
        remaining = node.seconds_until_reading(0.0)
        self.assertFalse(node.should_read(remaining - 0.01, 0.0))
        self.assertTrue(node.should_read(remaining, 0.0))


class StandbyBackoffTests(unittest.TestCase):
    def test_backoff_grows_with_each_failure_up_to_its_maximum(self):
        backoff = StandbyBackoff(MAX_WAIT_SECONDS, random.Random(1))
        self.assertEqual(backoff.remaining_seconds(0.0), 0.0)
        delays = []
        for _ in range(10):
            backoff.record_failure(0.0)
            delays.append(backoff.remaining_seconds(0.0))
        self.assertLess(delays[0], MAX_WAIT_SECONDS / 2)
        self.assertGreaterEqual(delays[-1], MAX_BACKOFF_SHARE * MAX_WAIT_SECONDS / 2)
        self.assertLessEqual(max(delays), MAX_BACKOFF_SHARE * MAX_WAIT_SECONDS)

    def test_answer_ends_the_backoff(self):
        backoff = StandbyBackoff(MAX_WAIT_SECONDS, random.Random(1))
        backoff.record_failure(0.0)
        backoff.record_answer()
        self.assertEqual(backoff.remaining_seconds(0.0), 0.0)


if __name__ == "__main__":
    unittest.main()
