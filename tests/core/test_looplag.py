"""How the lag of the event loop is told from its samples."""

import unittest

from railsail.core.looplag import BUSY_SECONDS, LATE_SECONDS, SAMPLES, LoopLag

MORE = LATE_SECONDS * 2


class LoopLagTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.lag = LoopLag(lambda: self.now)

    def take(self, *samples: float) -> None:
        for sample in samples:
            self.lag.take(sample)

    def test_new_one_is_not_late(self):
        self.assertFalse(self.lag.late)
        self.assertEqual(self.lag.late_for(), 0.0)

    def test_one_long_turn_is_no_overload(self):
        self.take(1.0)
        self.assertFalse(self.lag.late)

    def test_several_late_samples_are(self):
        self.take(*[MORE] * SAMPLES)
        self.assertTrue(self.lag.late)

    def test_loop_is_busy_before_it_is_late(self):
        self.take(*[(BUSY_SECONDS + LATE_SECONDS) / 2] * SAMPLES)
        self.assertTrue(self.lag.busy)
        self.assertFalse(self.lag.late)

    def test_time_counts_from_the_first_late_moment_to_the_first_that_is_not(self):
        self.take(*[MORE] * SAMPLES)
        self.now += 2.0
        self.take(MORE)
        self.assertEqual(self.lag.late_for(), 2.0)
        self.take(*[0.0] * SAMPLES)
        self.assertEqual(self.lag.late_for(), 0.0)


if __name__ == "__main__":
    unittest.main()
