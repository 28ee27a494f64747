import unittest

from railsail.core.looplag import MEDIAN_SAMPLES, LoopLag
from railsail.core.pauses import PAUSE_SECONDS, Pauses


class PauseTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.lengths: list[float] = []
        self.pauses = Pauses()
        self.pauses.on_end(self.lengths.append)
        self.lag = LoopLag(lambda: self.now, self.pauses)

    def test_long_sample_is_a_pause(self):
        self.lag.record(PAUSE_SECONDS + 3.0)
        self.assertEqual(self.lengths, [PAUSE_SECONDS + 3.0])
        self.assertEqual(self.pauses.ended_at, 100.0)

    def test_late_samples_under_load_are_no_pauses(self):
        for _ in range(MEDIAN_SAMPLES):
            self.lag.record(PAUSE_SECONDS / 2)
        self.assertEqual(self.lengths, [])


if __name__ == "__main__":
    unittest.main()
