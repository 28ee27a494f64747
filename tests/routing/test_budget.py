"""The retry budget: in no window does the fleet make more retries than the bound allows."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from railsail.routing.budget import RetryBounds, RetryBudget

BOUNDS = RetryBounds(ratio=0.2, slack=54, window=10.0)


class RetryBudgetTests(unittest.TestCase):
    def test_new_process_has_no_share_of_the_slack(self):
        budget = RetryBudget(BOUNDS, started_at=0.0)
        self.assertFalse(budget.allow(1.0, 7))
        self.assertTrue(budget.allow(12.0, 7))

    def test_share_is_divided_by_all_members(self):
        budget = RetryBudget(BOUNDS, started_at=-100.0)
        allowed = sum(budget.allow(1.0, 7) for _ in range(100))
        self.assertEqual(allowed, int(54 * 0.8 / 7))

    def test_requests_allow_retries_until_they_leave_the_window(self):
        budget = RetryBudget(BOUNDS, started_at=0.0)
        for _ in range(100):
            budget.record_request(1.0)
        self.assertEqual(sum(budget.allow(1.0, 7) for _ in range(100)), 16)
        self.assertFalse(budget.allow(10.9, 1000))
        self.assertFalse(budget.allow(11.5, 1000))

    @given(st.integers(0, 2**32), st.integers(1, 9))
    @settings(max_examples=30, deadline=None)
    def test_fleet_stays_within_the_bound_in_every_window(self, seed, members):
        rng = random.Random(seed)
        budgets = [RetryBudget(BOUNDS, started_at=-100.0) for _ in range(members)]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        for _ in range(1500):
            now += rng.expovariate(60.0)
            budget = rng.choice(budgets)
            if rng.random() < 0.6:
                budget.record_request(now)
                requests.append(now)
            elif budget.allow(now, members):
                retries.append(now)
        for start in retries:
            end = start + BOUNDS.window
            made = sum(start <= at < end for at in retries)
            seen = sum(start <= at < end for at in requests)
            before = sum(start - BOUNDS.window <= at < start for at in requests)
            half = sum(start - BOUNDS.window / 2 <= at < end - BOUNDS.window / 2 for at in requests)
            bound = BOUNDS.ratio * max(seen, before, half) + BOUNDS.slack
            self.assertLessEqual(made, bound)


if __name__ == "__main__":
    unittest.main()
