"""How the lag of the event loop is told from its samples."""

import asyncio
import time
import unittest

from railsail.core.looplag import BUSY_SECONDS, LATE_SECONDS, SAMPLES, STEP_SECONDS, LoopLag

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


class RunTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.lag = LoopLag(time.monotonic)
        self.taken: list[float] = []
        self.sampled = asyncio.Event()
        self.lag.take = self.take

    def take(self, seconds: float) -> None:
        self.taken.append(seconds)
        self.sampled.set()

    async def next_sample(self) -> float:
        self.sampled.clear()
        await asyncio.wait_for(self.sampled.wait(), 10.0)
        return self.taken[-1]

    async def test_lag_holds_the_turn_of_its_timer_and_what_that_made_ready(self):
        task = asyncio.ensure_future(self.lag.run())
        await self.next_sample()
        loop = asyncio.get_running_loop()

        def end_turn() -> None:
            loop.call_soon(time.sleep, 2 * MORE)

        def stand_still() -> None:
            time.sleep(2 * STEP_SECONDS)
            # The sample is due by now; this runs in the turn in which its timer comes.
            loop.call_soon(end_turn)

        loop.call_soon(stand_still)
        self.assertGreaterEqual(await self.next_sample(), STEP_SECONDS + 2 * MORE)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        count = len(self.taken)
        await asyncio.sleep(2 * STEP_SECONDS)
        self.assertEqual(len(self.taken), count)

    async def test_failure_ends_it_and_is_told(self):
        def fail(seconds: float) -> None:
            raise LookupError

        self.lag.take = fail
        with self.assertRaises(LookupError):
            await asyncio.wait_for(self.lag.run(), 10.0)


if __name__ == "__main__":
    unittest.main()
