"""Calls are cancelled when the replica that they were sent to restarts."""

import asyncio
import unittest

from railsail.routing.running import RunningCalls
from railsail.upstreams.http import CutOff


class RunningCallsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.calls = RunningCalls()

    async def start(self, replica: str) -> asyncio.Task:
        task = asyncio.ensure_future(self.calls.run(replica, asyncio.sleep(60)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return task

    async def test_calls_of_a_restarted_replica_are_cut_off(self):
        old, other = await self.start("r"), await self.start("other")
        self.calls.cancel("r")
        with self.assertRaises(CutOff):
            await old
        new = await self.start("r")
        self.assertFalse(new.done() or other.done())
        for task in (new, other):
            task.cancel()

    async def test_caller_that_disconnects_cancels_its_call(self):
        task = await self.start("r")
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_completed_call_is_not_affected_by_a_restart(self):
        await self.calls.run("r", asyncio.sleep(0))
        self.calls.cancel("r")


if __name__ == "__main__":
    unittest.main()
