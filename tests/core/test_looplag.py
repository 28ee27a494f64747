"""The lag of the event loop, and calls that are made with its samples."""

import asyncio
import itertools
import time
import unittest
from unittest import mock

from railsail.core.looplag import (
    BUSY_SECONDS,
    LATE_SECONDS,
    MEDIAN_SAMPLES,
    SAMPLE_INTERVAL_SECONDS,
    LoopLag,
    PeriodicCall,
)

LATE_SAMPLE_SECONDS = LATE_SECONDS * 2


class LoopLagTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.lag = LoopLag(lambda: self.now)

    def record(self, *samples: float) -> None:
        for sample in samples:
            self.lag.record(sample)

    def test_loop_is_not_late_before_the_first_sample(self):
        self.assertFalse(self.lag.late)
        self.assertEqual(self.lag.late_for(), 0.0)

    def test_single_long_turn_is_not_late(self):
        self.record(1.0)
        self.assertFalse(self.lag.late)

    def test_several_late_samples_are_late(self):
        self.record(*[LATE_SAMPLE_SECONDS] * MEDIAN_SAMPLES)
        self.assertTrue(self.lag.late)

    def test_loop_is_busy_before_it_is_late(self):
        self.record(*[(BUSY_SECONDS + LATE_SECONDS) / 2] * MEDIAN_SAMPLES)
        self.assertTrue(self.lag.busy)
        self.assertFalse(self.lag.late)

    def test_late_time_starts_when_the_loop_becomes_late_and_ends_when_it_is_not(self):
        self.record(*[LATE_SAMPLE_SECONDS] * MEDIAN_SAMPLES)
        self.now += 2.0
        self.record(LATE_SAMPLE_SECONDS)
        self.assertEqual(self.lag.late_for(), 2.0)
        self.record(*[0.0] * MEDIAN_SAMPLES)
        self.assertEqual(self.lag.late_for(), 0.0)


class RunTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.lag = LoopLag(time.monotonic)
        self.samples: list[float] = []
        self.sampled = asyncio.Event()
        self.lag.record = self.record

    def record(self, seconds: float) -> None:
        self.samples.append(seconds)
        self.sampled.set()

    async def next_sample(self) -> float:
        self.sampled.clear()
        await asyncio.wait_for(self.sampled.wait(), 10.0)
        return self.samples[-1]

    async def block_loop(self) -> float:
        """Block the loop when a sample is due and in the turn after it, and return the sample."""
        loop = asyncio.get_running_loop()
        await self.next_sample()

        def block_next_turn() -> None:
            loop.call_soon(time.sleep, 2 * LATE_SAMPLE_SECONDS)

        def block_until_due() -> None:
            time.sleep(2 * SAMPLE_INTERVAL_SECONDS)
            # The sample is due by now. The call below runs in the turn in which its timer fires.
            loop.call_soon(block_next_turn)

        loop.call_soon(block_until_due)
        return await self.next_sample()

    async def test_lag_includes_callbacks_that_became_ready_with_the_timer(self):
        task = asyncio.ensure_future(self.lag.run())
        # A busy machine may preempt the process just before the loop is blocked, so that the sample
        # is taken too early. That is unlikely to happen three times.
        samples = [await self.block_loop() for _ in range(3)]
        self.assertGreaterEqual(max(samples), SAMPLE_INTERVAL_SECONDS + 2 * LATE_SAMPLE_SECONDS)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        count = len(self.samples)
        await asyncio.sleep(2 * SAMPLE_INTERVAL_SECONDS)
        self.assertEqual(len(self.samples), count)

    async def test_failure_ends_the_sampling_and_is_raised(self):
        def fail(seconds: float) -> None:
            raise LookupError

        self.lag.record = fail
        with self.assertRaises(LookupError):
            await asyncio.wait_for(self.lag.run(), 10.0)


class PeriodicCallingTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.lag = LoopLag(time.monotonic)
        self.called_at: list[float] = []
        self.third = asyncio.Event()
        running = asyncio.ensure_future(self.lag.run())
        self.addCleanup(running.cancel)

    def count_call(self) -> None:
        self.called_at.append(time.monotonic())
        if len(self.called_at) == 3:
            self.third.set()

    async def test_call_is_repeated_at_the_interval_until_cancelled(self):
        seconds = 3 * SAMPLE_INTERVAL_SECONDS
        started_at = time.monotonic()
        task = asyncio.ensure_future(self.lag.every(seconds, self.count_call))
        await asyncio.wait_for(self.third.wait(), 10.0)
        times = [started_at, *self.called_at]
        for before, after in itertools.pairwise(times):
            self.assertGreater(after - before, seconds - SAMPLE_INTERVAL_SECONDS)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(2 * seconds)
        self.assertEqual(len(self.called_at), 3)

    async def test_failure_ends_only_the_call_that_failed_and_is_raised(self):
        callback = mock.Mock(side_effect=LookupError)
        other = asyncio.ensure_future(self.lag.every(SAMPLE_INTERVAL_SECONDS, self.count_call))
        self.addCleanup(other.cancel)
        with self.assertRaises(LookupError):
            await asyncio.wait_for(self.lag.every(SAMPLE_INTERVAL_SECONDS, callback), 10.0)
        await asyncio.wait_for(self.third.wait(), 10.0)
        callback.assert_called_once()


class PeriodicCallTests(unittest.IsolatedAsyncioTestCase):
    async def test_call_is_made_at_the_nearest_sample_and_once_for_several_missed_ones(self):
        callback = mock.Mock()
        call = PeriodicCall(3 * SAMPLE_INTERVAL_SECONDS, callback, 100.0)
        call_counts = []
        for intervals in (1.0, 2.1, 2.6, 4.0, 5.0, 5.7, 20.0, 21.0, 22.0, 23.0):
            before = callback.call_count
            call.run_if_due(100.0 + intervals * SAMPLE_INTERVAL_SECONDS)
            call_counts.append(callback.call_count - before)
        self.assertEqual(call_counts, [0, 0, 1, 0, 0, 1, 1, 0, 0, 1])


if __name__ == "__main__":
    unittest.main()
