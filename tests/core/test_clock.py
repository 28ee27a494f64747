"""Clocks of a machine that is suspended: the steady clock of the system stands still meanwhile.

A daemon that counted by it believed for seconds too long what it had heard: that peers live, that
deadlines have not passed, that a request may still wait.
"""

import asyncio
import socket
import time
import unittest
from unittest import mock

from railsail.core.clock import Clock, SteadyEventLoop


class SuspendedMachine:
    """Give times of a machine that was suspended for ``seconds`` so far."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._real = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._real(clock) + (self.seconds if counts else 0.0)


class SuspensionTests(unittest.TestCase):
    def setUp(self):
        self.machine = SuspendedMachine()
        patch = mock.patch.object(time, "clock_gettime", self.machine.clock_gettime)
        patch.start()
        self.addCleanup(patch.stop)

    def test_clock_counts_the_time_of_a_suspension(self):
        clock = Clock()
        before = clock.monotonic()
        self.machine.seconds = 5.0
        self.assertGreaterEqual(clock.monotonic() - before, 5.0)

    def test_timer_that_was_due_meanwhile_comes_at_once(self):
        with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
            waited = runner.run(self.sleep_through_a_suspension(60.0))
        self.assertLess(waited, 10.0)

    async def sleep_through_a_suspension(self, seconds: float) -> float:
        begun = time.perf_counter()
        sleeping = asyncio.ensure_future(asyncio.sleep(seconds))
        await asyncio.sleep(0)
        self.machine.seconds = seconds
        # A loop that waits for its next timer wakes up for another one that is due sooner.
        await asyncio.sleep(0.01)
        await sleeping
        return time.perf_counter() - begun


class ResolverTests(unittest.TestCase):
    def resolve(self, host: str) -> tuple[list[str], bool]:
        """Return the IP numbers of ``host``, and whether a thread asked for them."""
        with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
            loop = runner.get_loop()
            with mock.patch.object(
                loop, "run_in_executor", side_effect=loop.run_in_executor
            ) as threads:
                found = runner.run(loop.getaddrinfo(host, 80, type=socket.SOCK_STREAM))
        return [address[0] for *_, address in found], threads.called

    def test_ip_number_is_not_asked_for_in_a_thread(self):
        self.assertEqual(self.resolve("127.0.0.1"), (["127.0.0.1"], False))
        self.assertEqual(self.resolve("::1"), (["::1"], False))

    def test_name_is(self):
        numbers, in_thread = self.resolve("localhost")
        self.assertTrue(in_thread)
        self.assertTrue({"127.0.0.1", "::1"} & set(numbers))


if __name__ == "__main__":
    unittest.main()
