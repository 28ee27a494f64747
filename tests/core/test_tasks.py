"""Parts of a daemon that run for as long as it does."""

import asyncio
import unittest
from unittest import mock

from railsail.core import tasks
from railsail.core.tasks import every, keep_running


class KeepRunningTests(unittest.IsolatedAsyncioTestCase):
    """A part that failed once was gone for good, and nothing said so."""

    async def asyncSetUp(self) -> None:
        self.runs = 0
        self.again = asyncio.Event()
        patch = mock.patch.object(tasks, "RESTART_SECONDS", 0.01)
        patch.start()
        self.addCleanup(patch.stop)

    async def part(self) -> None:
        self.runs += 1
        if self.runs == 1:
            raise LookupError("an input that no test thought of")
        self.again.set()
        await asyncio.sleep(3600)

    async def test_part_that_fails_runs_again_and_is_told_of(self):
        with mock.patch.object(tasks, "get_logger") as logger:
            task = asyncio.ensure_future(keep_running(self.part, "watcher"))
            await asyncio.wait_for(self.again.wait(), 10.0)
        self.assertEqual(self.runs, 2)
        logger().exception.assert_called_once()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class EveryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.calls = 0
        self.third = asyncio.Event()

    def count(self) -> None:
        self.calls += 1
        if self.calls == 3:
            self.third.set()

    async def test_calls_until_cancelled(self):
        task = asyncio.ensure_future(every(0.001, self.count))
        await asyncio.wait_for(self.third.wait(), 10.0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        calls = self.calls
        await asyncio.sleep(0.02)
        self.assertEqual(self.calls, calls)

    async def test_failure_ends_it_and_is_told(self):
        do = mock.Mock(side_effect=LookupError)
        with self.assertRaises(LookupError):
            await asyncio.wait_for(every(0.001, do), 10.0)
        await asyncio.sleep(0.02)
        do.assert_called_once()


if __name__ == "__main__":
    unittest.main()
