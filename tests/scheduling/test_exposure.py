"""A cell sends the target version of a rollout no more calls than its allowance permits."""

import itertools
import unittest

from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage
from railsail.scheduling.exposure import GROUP_CALLS, PACE_SECONDS, Allowance, Exposure

ORDER = Order("model", 7, "v2", 12.0)


def canary(serial: int, calls: int, until: float = 100.0, term: int = 1) -> Allowance:
    return Allowance(term, serial, Stage.CANARY, calls, until, frozenset({"t0"}))


class ExposureTests(unittest.TestCase):
    def setUp(self):
        self.exposure = Exposure(ORDER)

    def send(self, start: float, end: float, step: float = 0.002) -> list[float]:
        """Send a call whenever one is due, and return the times of the calls."""
        times = []
        for number in range(round((end - start) / step)):
            now = start + number * step
            if self.exposure.is_canary_due(now):
                self.exposure.record_call(now)
                times.append(now)
        return times

    def test_stage_is_hold_without_an_allowance(self):
        self.assertIs(self.exposure.stage(0.0), Stage.HOLD)
        self.assertEqual(self.send(0.0, 5.0), [])

    def test_calls_of_an_allowance_are_not_exceeded(self):
        self.exposure.allow(canary(1, 30), 0.0)
        self.assertEqual(len(self.send(0.0, 20.0)), 30)

    def test_single_allowed_call_is_sent(self):
        self.exposure.allow(canary(1, 1), 0.0)
        self.assertEqual(len(self.send(0.0, 20.0)), 1)

    def test_no_calls_are_sent_after_an_allowance_expires(self):
        self.exposure.allow(canary(1, 1000, until=0.5), 0.0)
        times = self.send(0.0, 5.0)
        self.assertTrue(times)
        self.assertLess(max(times), 0.5)
        self.assertIs(self.exposure.stage(0.5), Stage.HOLD)

    def test_stage_is_hold_after_a_shift_expires(self):
        self.exposure.allow(Allowance(1, 1, Stage.SHIFT, 1 << 40, 2.0), 0.0)
        self.assertIs(self.exposure.stage(1.9), Stage.SHIFT)
        self.assertIs(self.exposure.stage(2.0), Stage.HOLD)

    def test_older_serial_is_ignored(self):
        self.exposure.allow(Allowance(1, 5, Stage.HOLD, 0, 100.0), 0.0)
        self.assertFalse(self.exposure.allow(canary(4, 50), 0.1))
        self.assertFalse(self.exposure.allow(canary(5, 50), 0.1))
        self.assertEqual(self.send(0.1, 5.0), [])

    def test_older_term_is_ignored_whatever_its_serial(self):
        self.exposure.allow(Allowance(2, 1, Stage.HOLD, 0, 100.0, frozenset()), 0.0)
        self.assertFalse(self.exposure.allow(canary(900, 50, term=1), 0.1))
        self.assertEqual(self.send(0.1, 5.0), [])

    def test_count_of_calls_restarts_only_in_a_new_term(self):
        self.exposure.allow(canary(1, 10), 0.0)
        self.send(0.0, 5.0)
        self.exposure.allow(canary(2, 10), 5.0)
        self.assertEqual(self.send(5.0, 10.0), [])
        self.exposure.allow(canary(1, 10, term=2), 10.0)
        self.assertEqual(self.exposure.exposed, 0)
        self.assertEqual(len(self.send(10.0, 20.0)), 10)

    def test_calls_resumed_before_the_first_allowance_are_counted(self):
        self.exposure.record_call(0.0)
        self.exposure.record_call(0.0)
        self.exposure.allow(canary(1, 10), 1.0)
        self.assertEqual(len(self.send(1.0, 20.0)), 8)

    def test_calls_are_spread_over_time_in_an_overload(self):
        self.exposure.allow(canary(1, 40), 0.0)
        times = self.send(0.0, PACE_SECONDS)
        in_a_tenth = max(sum(t <= u < t + 0.1 for u in times) for t in times)
        self.assertLessEqual(in_a_tenth, 3 * GROUP_CALLS)
        self.assertGreaterEqual(len(times), 30)

    def test_calls_are_sent_in_groups(self):
        self.exposure.allow(canary(1, 40), 0.0)
        times = self.send(0.0, PACE_SECONDS)
        gaps = [after - before for before, after in itertools.pairwise(times)]
        groups = 1 + sum(gap > 0.01 for gap in gaps)
        self.assertGreater(groups, 4)
        self.assertGreaterEqual(len(times) / groups, GROUP_CALLS)

    def test_earlier_resumed_call_earns_no_credit(self):
        self.exposure.allow(canary(1, 40), 50.0)
        self.assertEqual(len(self.send(50.0, 50.01)), GROUP_CALLS)
        for _ in range(3):
            self.exposure.record_call(40.0)
            self.exposure.is_canary_due(50.012)
        self.assertEqual(self.send(50.012, 50.03), [])

    def test_idle_time_earns_credit_for_one_group_at_most(self):
        self.exposure.allow(canary(1, 40), 0.0)
        self.send(0.0, 0.01)
        times = self.send(50.0, 50.02)
        self.assertLessEqual(len(times), GROUP_CALLS + 1)
