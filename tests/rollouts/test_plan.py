"""Which stage a rollout enters next, and when it ends."""

import unittest
from dataclasses import replace

from railsail.rollouts.bounds import SHIFT_RESERVE_SECONDS, ExposureBounds
from railsail.rollouts.orders import State
from railsail.rollouts.plan import (
    DEADLINE_MARGIN_SECONDS,
    MAX_DRAIN_SECONDS,
    MIN_LOAD_SECONDS,
    MIN_SHIFT_LOAD_SECONDS,
    PlanInputs,
    plan,
)
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Verdict

BOUNDS = ExposureBounds(0.1, 50)
# In the canary stage of an order of 60 seconds, half a minute before its deadline.
CANARY = PlanInputs(
    now=130.0,
    deadline=160.0,
    stage=Stage.CANARY,
    arrivals=3000,
    rate=100.0,
    spent=110,
    verdict=Verdict.GOOD,
    ready_replicas=4,
    has_capacity=True,
    all_reporting=True,
    running=20,
)
AT_END = replace(CANARY, now=159.0, arrivals=5900, spent=197)
SHIFTING = replace(AT_END, stage=Stage.SHIFT, loaded_since=158.0)
DRAINING = replace(SHIFTING, stage=Stage.DRAIN, running=0)


class BoundsTests(unittest.TestCase):
    def test_canary_and_shift_stay_within_the_bounds(self):
        for arrivals in (0, 10, 1000, 100_000):
            allowed = 0.1 * arrivals + 50
            self.assertLess(BOUNDS.canary_calls(arrivals), 0.5 * allowed)
            self.assertLess(BOUNDS.shift_calls(arrivals), allowed)

    def test_canary_of_a_service_with_few_calls_gets_more_and_leaves_enough_for_the_shift(self):
        for rate in (0.5, 5.0, 26.0, 60.0, 500.0):
            for seconds in (1, 6, 12):
                arrivals = int(rate * seconds)
                found = BOUNDS.canary_calls(arrivals, rate, seconds / 12)
                usual = BOUNDS.canary_calls(arrivals, elapsed_share=seconds / 12)
                left = BOUNDS.shift_calls(arrivals) - found
                self.assertGreaterEqual(found, usual)
                self.assertTrue(found == usual or left >= int(SHIFT_RESERVE_SECONDS * rate))
        self.assertGreater(BOUNDS.canary_calls(312, 26.0), BOUNDS.canary_calls(312))

    def test_slack_of_the_canary_grows_over_time(self):
        found = [
            BOUNDS.canary_calls(0, elapsed_share=share) for share in (-1.0, 0.0, 0.5, 1.0, 9.0)
        ]
        self.assertEqual(found, [5, 5, 12, 20, 20])


class PlanTests(unittest.TestCase):
    def assert_plan(self, inputs: PlanInputs, stage: Stage, state: State = State.NONE) -> None:
        found = plan(inputs, BOUNDS)
        self.assertEqual((found.stage, found.state), (stage, state), found.reason)

    def test_bad_version_is_rolled_back_at_any_stage(self):
        for inputs in (CANARY, AT_END, SHIFTING, DRAINING):
            bad = replace(inputs, verdict=Verdict.BAD)
            self.assert_plan(bad, Stage.HOLD, State.ROLLED_BACK)

    def test_bad_version_is_rolled_back_after_the_deadline(self):
        late = replace(DRAINING, now=165.0, verdict=Verdict.BAD, running=3)
        self.assert_plan(late, Stage.HOLD, State.ROLLED_BACK)

    def test_rollout_without_target_replicas_stays_on_hold(self):
        for now in (130.0, 159.0, 500.0):
            self.assert_plan(replace(CANARY, now=now, ready_replicas=0), Stage.HOLD)

    def test_undecided_rollout_stays_in_the_canary(self):
        for now in (130.0, 159.0, 500.0):
            undecided = replace(CANARY, now=now, verdict=Verdict.UNDECIDED)
            self.assert_plan(undecided, Stage.CANARY)

    def test_good_version_waits_for_the_deadline(self):
        self.assert_plan(CANARY, Stage.CANARY)

    def test_shift_starts_when_the_bounds_last_until_the_deadline(self):
        self.assert_plan(AT_END, Stage.SHIFT)
        self.assert_plan(replace(AT_END, now=150.0), Stage.CANARY)

    def test_full_traffic_from_the_shift_on_stays_within_the_bounds(self):
        for rate in (5.0, 50.0, 400.0):
            for duration in (6.0, 20.0, 120.0):
                self._assert_within_bounds(rate, duration)

    def _assert_within_bounds(self, rate: float, duration: float) -> None:
        """Simulate a version that turns bad at the start of the shift and is not detected."""
        now, arrivals = 0.0, 0
        at = replace(CANARY, now=now, deadline=duration, rate=rate, arrivals=0, spent=0)
        while now < duration and plan(at, BOUNDS).stage is Stage.CANARY:
            now += 0.1
            arrivals = int(rate * now)
            spent = BOUNDS.canary_calls(arrivals)
            at = replace(at, now=now, arrivals=arrivals, spent=spent)
        sent = at.spent + rate * max(0.0, duration - now)
        self.assertLessEqual(sent, 0.1 * rate * duration + 50, (rate, duration))

    def test_shift_needs_capacity_and_evidence_of_all_dispatchers(self):
        self.assert_plan(replace(AT_END, has_capacity=False), Stage.CANARY)
        self.assert_plan(replace(AT_END, all_reporting=False), Stage.CANARY)

    def test_order_of_too_short_a_duration_continues_after_its_deadline(self):
        short = replace(CANARY, now=160.0 + DEADLINE_MARGIN_SECONDS, arrivals=10, spent=21)
        self.assert_plan(replace(short, verdict=Verdict.UNDECIDED), Stage.CANARY)
        self.assert_plan(short, Stage.SHIFT)

    def test_target_is_under_load_before_the_drain(self):
        early = replace(SHIFTING, now=158.0 + MIN_SHIFT_LOAD_SECONDS / 2, spent=220)
        self.assert_plan(early, Stage.SHIFT)
        self.assert_plan(SHIFTING, Stage.DRAIN)

    def test_undecided_rollout_under_load_stays_in_its_stage(self):
        undecided = replace(SHIFTING, verdict=Verdict.UNDECIDED)
        self.assert_plan(undecided, Stage.SHIFT)
        self.assert_plan(replace(DRAINING, verdict=Verdict.UNDECIDED), Stage.DRAIN)

    def test_drain_ends_when_the_bounds_are_used_up_before_the_deadline(self):
        used = BOUNDS.shift_calls(5900)
        self.assert_plan(replace(DRAINING, spent=used, running=5), Stage.SHIFT)
        self.assert_plan(replace(SHIFTING, spent=used), Stage.SHIFT)
        self.assert_plan(replace(DRAINING, spent=used, running=5, now=161.0), Stage.DRAIN)

    def test_rollout_succeeds_when_no_calls_are_in_flight_on_other_versions(self):
        self.assert_plan(DRAINING, Stage.DRAIN, State.SUCCEEDED)
        self.assert_plan(replace(DRAINING, running=1), Stage.DRAIN)
        self.assert_plan(replace(DRAINING, all_reporting=False), Stage.DRAIN)
        self.assert_plan(replace(DRAINING, loaded_since=159.0 - MIN_LOAD_SECONDS / 2), Stage.DRAIN)

    def test_calls_in_flight_are_waited_for_until_the_maximum_drain_time(self):
        running = replace(DRAINING, running=3)
        self.assert_plan(replace(running, now=170.0), Stage.DRAIN)
        late = replace(running, now=160.0 + MAX_DRAIN_SECONDS)
        self.assert_plan(late, Stage.DRAIN, State.SUCCEEDED)


if __name__ == "__main__":
    unittest.main()
