"""Clocks and timers have to include the time for which a machine was suspended.

``CLOCK_MONOTONIC`` doesn't. A daemon that used it believed for seconds too long that its peers were
alive, that deadlines hadn't passed and that requests could still wait.
"""

import asyncio
import socket
import time
import unittest
from unittest import mock

from railsail.core.clock import Clock, SteadyEventLoop


class SuspendedMachine:
    """Replaces ``time.clock_gettime``, as on a machine that was suspended for ``seconds``."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._real = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        advances = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._real(clock) + (self.seconds if advances else 0.0)


class SuspensionTests(unittest.TestCase):
    def setUp(self):
        self.machine = SuspendedMachine()
        patch = mock.patch.object(time, "clock_gettime", self.machine.clock_gettime)
        patch.start()
        self.addCleanup(patch.stop)

    def test_clock_includes_suspended_time(self):
        clock = Clock()
        before = clock.monotonic()
        self.machine.seconds = 5.0
        self.assertGreaterEqual(clock.monotonic() - before, 5.0)

    def test_timer_that_became_due_during_a_suspension_fires_at_once(self):
        with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
            waited = runner.run(self.sleep_through_a_suspension(60.0))
        self.assertLess(waited, 10.0)

    async def sleep_through_a_suspension(self, seconds: float) -> float:
        started_at = time.perf_counter()
        sleeping = asyncio.ensure_future(asyncio.sleep(seconds))
        await asyncio.sleep(0)
        self.machine.seconds = seconds
        # The loop has computed its wait for the timer above; this shorter one wakes it up.
        await asyncio.sleep(0.01)
        await sleeping
        return time.perf_counter() - started_at


class ResolverTests(unittest.TestCase):
    def resolve(self, host: str) -> tuple[list[str], bool]:
        """Return the IP addresses of ``host``, and whether a thread resolved them."""
        with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
            loop = runner.get_loop()
            with mock.patch.object(
                loop, "run_in_executor", side_effect=loop.run_in_executor
            ) as executor_calls:
                addresses = runner.run(loop.getaddrinfo(host, 80, type=socket.SOCK_STREAM))
        return [address[0] for *_, address in addresses], executor_calls.called

    def test_ip_address_is_resolved_without_a_thread(self):
        self.assertEqual(self.resolve("127.0.0.1"), (["127.0.0.1"], False))
        self.assertEqual(self.resolve("::1"), (["::1"], False))

    def test_host_name_is_resolved_in_a_thread(self):
        addresses, in_thread = self.resolve("localhost")
        self.assertTrue(in_thread)
        self.assertTrue({"127.0.0.1", "::1"} & set(addresses))


if __name__ == "__main__":
    unittest.main()
