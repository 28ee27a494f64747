"""How a node measures its speed, and which nodes may dispatch."""

import unittest
from dataclasses import replace

from railsail.core.clock import ManualClock
from railsail.membership.speed import (
    REFERENCE_WORK_SECONDS,
    RISE_SECONDS,
    SAMPLES,
    SpeedMeter,
    fast_enough,
)
from railsail.membership.table import MemberTable
from tests.membership.test_table import member


class SpeedMeterTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(10.0)
        self.factor = 1.0
        self.meter = SpeedMeter(
            self.clock.monotonic, lambda: self.clock.advance(REFERENCE_WORK_SECONDS * self.factor)
        )

    def samples(self, factor: float, count: int = SAMPLES) -> list[bool]:
        self.factor = factor
        return [self.meter.sample() for _ in range(count)]

    def test_slowed_node_is_detected_after_three_samples(self):
        self.samples(1.0)
        before = self.meter.level
        self.assertEqual(self.samples(8.0, 3), [False, False, True])
        self.assertEqual(self.meter.level, before - 3)

    def test_level_rises_only_after_a_delay(self):
        self.samples(1.0)
        self.samples(8.0)
        self.assertFalse(any(self.samples(1.0)))
        self.clock.advance(RISE_SECONDS)
        self.assertTrue(any(self.samples(1.0)))

    def test_single_slow_samples_change_nothing(self):
        self.samples(1.0)
        for odd in (50.0, 1e-9):
            self.assertFalse(any(self.samples(odd, 2) + self.samples(1.0)))

    def test_speed_between_two_levels_does_not_alternate_between_them(self):
        self.samples(1.0)
        changes = [change for _ in range(20) for f in (1.3, 1.55) for change in self.samples(f)]
        self.assertLessEqual(sum(changes), 1)

    def test_level_stays_within_the_range_of_messages(self):
        for factor in (1e-9, 1e9):
            self.samples(factor)
            self.assertTrue(0 <= self.meter.level <= 16)


class FastEnoughTests(unittest.TestCase):
    def test_only_nodes_of_the_highest_level_dispatch(self):
        speeds = (("a", 8), ("b", 7), ("c", 6), ("d", 8))
        members = [replace(member(name), speed=s) for name, s in speeds]
        self.assertEqual([m.node for m in fast_enough(members)], ["a", "d"])

    def test_node_that_has_not_measured_itself_does_not_dispatch_beside_others(self):
        meter = SpeedMeter(ManualClock(10.0).monotonic)
        new = replace(member("new"), speed=meter.level)
        self.assertEqual(member("other").speed, meter.level)
        self.assertEqual(fast_enough([new, replace(member("slow"), speed=1)])[0].node, "slow")

    def test_slow_nodes_dispatch_if_there_are_no_faster_ones(self):
        slow = [replace(member(name), speed=0) for name in "ab"]
        self.assertEqual(len(fast_enough(slow)), 2)
        self.assertEqual(fast_enough([]), [])

    def test_changed_speed_is_merged_by_other_tables(self):
        own, other = MemberTable(member("own")), MemberTable(member("other"))
        other.merge(own.own, 0.0)
        other.merge(own.change_own(speed=3), 0.0)
        self.assertEqual(other.get("own").speed, 3)


if __name__ == "__main__":
    unittest.main()
