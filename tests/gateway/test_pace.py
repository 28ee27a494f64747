"""Which speed a node reports while it is late for its callers."""

import random
import unittest
from collections.abc import Callable

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.looplag import LATE_SECONDS, MEDIAN_SAMPLES, LoopLag
from railsail.core.metrics import Metrics
from railsail.gateway.admission import MIN_OVERLOAD_REQUESTS, Admission
from railsail.gateway.pace import LATE_AFTER_SECONDS, OwnPace
from railsail.membership.speed import RISE_SECONDS, SAMPLE_SECONDS, UNKNOWN_LEVEL
from railsail.membership.table import MemberTable
from tests.membership.test_table import member

LEVEL = 6


class MembershipStub:
    """Records the speeds that the node reports."""

    def __init__(self) -> None:
        self.table = MemberTable(member("own"))
        self.table.change_own(speed=LEVEL)
        self.reported: list[int] = []

    def change_own(self, speed: int) -> None:
        self.reported.append(speed)
        self.table.change_own(speed=speed)


class PaceTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(100.0)
        self.lag = LoopLag(self.clock.monotonic)
        self.admission = Admission(1000, 10_000)
        self.membership = MembershipStub()
        kernel = Kernel(self.clock, random.Random(1), EventLog("own", self.clock), Metrics())
        self.callers_wait = False
        self.pace = OwnPace(
            self.lag, self.admission, lambda: self.callers_wait, self.membership, kernel
        )

    def admit(self, requests: int) -> None:
        for _ in range(requests):
            self.admission.admit("one")

    def make_late(self, seconds: float) -> None:
        for _ in range(MEDIAN_SAMPLES):
            self.lag.record(LATE_SECONDS * 2)
        self.clock.advance(seconds)

    async def reported_after_a_sample(self) -> list[int]:
        self.lag.every = self.call_once
        await self.pace.run()
        return self.membership.reported

    async def call_once(self, seconds: float, do: Callable[[], None]) -> None:
        self.assertEqual(seconds, SAMPLE_SECONDS)
        do()

    def test_node_that_was_late_only_briefly_is_not_late(self):
        self.admit(MIN_OVERLOAD_REQUESTS)
        self.make_late(LATE_AFTER_SECONDS / 2)
        self.assertFalse(self.pace.late)

    def test_node_with_few_requests_is_not_late(self):
        self.admit(MIN_OVERLOAD_REQUESTS - 1)
        self.make_late(LATE_AFTER_SECONDS * 2)
        self.assertFalse(self.pace.late)

    async def test_late_node_reports_no_speed_until_it_was_in_time_for_a_while(self):
        self.admit(MIN_OVERLOAD_REQUESTS)
        self.make_late(LATE_AFTER_SECONDS * 2)
        self.assertTrue(self.pace.late)
        self.assertEqual((await self.reported_after_a_sample())[-1], UNKNOWN_LEVEL)
        for _ in range(MEDIAN_SAMPLES):
            self.lag.record(0.0)
        self.clock.advance(RISE_SECONDS / 2)
        self.assertEqual((await self.reported_after_a_sample())[-1], UNKNOWN_LEVEL)

    async def test_node_whose_callers_wait_unread_is_late_though_its_loop_is_in_time(self):
        """It kept its callers, refused most of them, and had little time to serve the others."""
        self.callers_wait = True
        self.assertTrue(self.pace.late)
        self.assertEqual((await self.reported_after_a_sample())[-1], UNKNOWN_LEVEL)


if __name__ == "__main__":
    unittest.main()
