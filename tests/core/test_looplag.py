"""The lag of the event loop, and calls that are made with its samples."""

import asyncio
import itertools
import time
import unittest
from unittest import mock

from railsail.core.looplag import (
    BUSY_SECONDS,
    LATE_SECONDS,
    SAMPLES,
    STEP_SECONDS,
    LoopLag,
    PeriodicCall,
)

MORE = LATE_SECONDS * 2


class LoopLagTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.lag = LoopLag(lambda: self.now)

    def take(self, *samples: float) -> None:
        for sample in samples:
            self.lag.take(sample)

    def test_loop_is_not_late_before_the_first_sample(self):
        self.assertFalse(self.lag.late)
        self.assertEqual(self.lag.late_for(), 0.0)

    def test_single_long_turn_is_not_late(self):
        self.take(1.0)
        self.assertFalse(self.lag.late)

    def test_several_late_samples_are_late(self):
        self.take(*[MORE] * SAMPLES)
        self.assertTrue(self.lag.late)

    def test_loop_is_busy_before_it_is_late(self):
        self.take(*[(BUSY_SECONDS + LATE_SECONDS) / 2] * SAMPLES)
        self.assertTrue(self.lag.busy)
        self.assertFalse(self.lag.late)

    def test_late_time_starts_when_the_loop_becomes_late_and_ends_when_it_is_not(self):
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

    async def stand_still(self) -> float:
        """Block the loop when a sample is due and in the turn after it, and return the sample."""
        loop = asyncio.get_running_loop()
        await self.next_sample()

        def end_turn() -> None:
            loop.call_soon(time.sleep, 2 * MORE)

        def until_due() -> None:
            time.sleep(2 * STEP_SECONDS)
            # The sample is due by now. The call below runs in the turn in which its timer fires.
            loop.call_soon(end_turn)

        loop.call_soon(until_due)
        return await self.next_sample()

    async def test_lag_includes_callbacks_that_became_ready_with_the_timer(self):
        task = asyncio.ensure_future(self.lag.run())
        # A busy machine may preempt the process just before the loop is blocked, so that the sample
        # is taken too early. That is unlikely to happen three times.
        taken = [await self.stand_still() for _ in range(3)]
        self.assertGreaterEqual(max(taken), STEP_SECONDS + 2 * MORE)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        count = len(self.taken)
        await asyncio.sleep(2 * STEP_SECONDS)
        self.assertEqual(len(self.taken), count)

    async def test_failure_ends_the_sampling_and_is_raised(self):
        def fail(seconds: float) -> None:
            raise LookupError

        self.lag.take = fail
        with self.assertRaises(LookupError):
            await asyncio.wait_for(self.lag.run(), 10.0)


class EveryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.lag = LoopLag(time.monotonic)
        self.called_at: list[float] = []
        self.third = asyncio.Event()
        running = asyncio.ensure_future(self.lag.run())
        self.addCleanup(running.cancel)

    def note(self) -> None:
        self.called_at.append(time.monotonic())
        if len(self.called_at) == 3:
            self.third.set()

    async def test_call_is_repeated_at_the_interval_until_cancelled(self):
        seconds = 3 * STEP_SECONDS
        begun = time.monotonic()
        task = asyncio.ensure_future(self.lag.every(seconds, self.note))
        await asyncio.wait_for(self.third.wait(), 10.0)
        times = [begun, *self.called_at]
        for before, after in itertools.pairwise(times):
            self.assertGreater(after - before, seconds - STEP_SECONDS)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(2 * seconds)
        self.assertEqual(len(self.called_at), 3)

    async def test_failure_ends_only_the_call_that_failed_and_is_raised(self):
        do = mock.Mock(side_effect=LookupError)
        other = asyncio.ensure_future(self.lag.every(STEP_SECONDS, self.note))
        self.addCleanup(other.cancel)
        with self.assertRaises(LookupError):
            await asyncio.wait_for(self.lag.every(STEP_SECONDS, do), 10.0)
        await asyncio.wait_for(self.third.wait(), 10.0)
        do.assert_called_once()


class PeriodicCallTests(unittest.IsolatedAsyncioTestCase):
    async def test_call_is_made_at_the_nearest_sample_and_missed_calls_are_not_repeated(self):
        do = mock.Mock()
        call = PeriodicCall(3 * STEP_SECONDS, do, 100.0)
        made = []
        for steps in (1.0, 2.1, 2.6, 4.0, 5.0, 5.7, 20.0, 21.0, 22.0, 23.0):
            before = do.call_count
            call.run_if_due(100.0 + steps * STEP_SECONDS)
            made.append(do.call_count - before)
        self.assertEqual(made, [0, 0, 1, 0, 0, 1, 1, 0, 0, 1])


if __name__ == "__main__":
    unittest.main()
