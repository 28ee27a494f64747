"""Parts that run as long as the daemon does."""

import asyncio
import unittest
from unittest import mock

from railsail.core import tasks
from railsail.core.tasks import keep_running


class KeepRunningTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a part that fails once, never runs again, and isn't reported."""

    async def asyncSetUp(self) -> None:
        self.runs = 0
        self.restarted = asyncio.Event()
        patch = mock.patch.object(tasks, "RESTART_DELAY_SECONDS", 0.01)
        patch.start()
        self.addCleanup(patch.stop)

    async def part(self) -> None:
        self.runs += 1
        if self.runs == 1:
            raise LookupError("unexpected input")
        self.restarted.set()
        await asyncio.sleep(3600)

    async def test_failed_part_is_logged_and_restarted(self):
        with mock.patch.object(tasks, "get_logger") as logger:
            task = asyncio.ensure_future(keep_running(self.part, "watcher"))
            await asyncio.wait_for(self.restarted.wait(), 10.0)
        self.assertEqual(self.runs, 2)
        logger().exception.assert_called_once()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
