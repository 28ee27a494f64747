"""When callers of refused requests are asked to retry."""

import random
import unittest

from railsail.scheduling.retryschedule import (
    MIN_RETRY_SECONDS,
    RETRY_SHARE,
    STEP_SECONDS,
    RetrySchedule,
)

RATE = 100_000.0


class RetryScheduleTests(unittest.TestCase):
    def setUp(self):
        self.retry_schedule = RetrySchedule(random.Random(3))

    def schedule(self, tokens: int = 1_000, within: float = 5.0, now: float = 0.0) -> float:
        return self.retry_schedule.schedule(tokens, within, RATE, now)

    def test_first_caller_retries_soon(self):
        self.assertLess(self.schedule(), MIN_RETRY_SECONDS + STEP_SECONDS)

    def test_delay_is_within_the_minimum_and_the_time_of_the_caller(self):
        for number in range(400):
            within = 0.5 + number % 10
            after = self.schedule(within=within)
            self.assertLessEqual(after, within)
            self.assertGreaterEqual(after, MIN_RETRY_SECONDS)

    def test_caller_with_little_time_left_gets_all_of_it(self):
        self.assertEqual(self.schedule(within=0.1), 0.1)

    def test_callers_refused_together_are_spread_by_the_prefill_rate(self):
        moments = sorted(self.schedule(tokens=5_000) for _ in range(20))
        # A second has capacity for RATE * RETRY_SHARE tokens: these need ten seconds, and have
        # five.
        self.assertEqual(RATE * RETRY_SHARE, 10_000)
        self.assertGreater(moments[-1], 4.0)
        for first, second in zip(moments[::4], moments[4::4], strict=False):
            self.assertGreater(second - first, STEP_SECONDS)

    def test_least_planned_step_is_chosen_where_all_are_full(self):
        for _ in range(200):
            self.schedule(tokens=20_000, within=2.0)
        late = [self.schedule(within=4.0) for _ in range(8)]
        self.assertGreater(min(late), 2.0 - STEP_SECONDS)

    def test_delay_grows_with_the_length_of_the_overload(self):
        short = self.schedule(tokens=1, within=9.0)
        for step in range(1, 13):
            long = self.schedule(tokens=1, within=9.0, now=0.25 * step)
        self.assertLess(short, 1.0)
        self.assertGreaterEqual(long, 3.0)

    def test_overload_that_has_ended_is_not_counted(self):
        for step in range(13):
            self.schedule(tokens=1, now=0.25 * step)
        self.assertLess(self.schedule(tokens=1, now=5.0), 1.0)

    def test_past_steps_are_dropped(self):
        for _ in range(200):
            self.schedule(tokens=20_000)
        self.assertLess(self.schedule(now=60.0), MIN_RETRY_SECONDS + STEP_SECONDS)
        self.assertLessEqual(len(self.retry_schedule._steps), 5.0 / STEP_SECONDS)


if __name__ == "__main__":
    unittest.main()
