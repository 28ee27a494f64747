"""Credit and share of a workspace by its usage in the fairness window."""

import math
import random
import unittest

from railsail.scheduling.decisions import Grant, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.usage import RecentUsage, max_min_level
from tests.scheduling.test_fairqueue import ticket


class RecentUsageTests(unittest.TestCase):
    def setUp(self):
        self.usage = RecentUsage(4.0, lambda name: 1.0)

    def test_credit_is_the_mean_service_of_the_window(self):
        self.usage.charge("a", 100.0, 0.1)
        self.usage.charge("b", 300.0, 1.0)
        self.assertEqual(self.usage.credit(1.5), 200.0)

    def test_service_before_the_window_does_not_count(self):
        self.usage.charge("a", 100.0, 10.0)
        self.assertEqual(self.usage.credit(12.5), 100.0)
        self.assertEqual(self.usage.credit(30.0), 0.0)

    def test_charge_that_was_taken_back_does_not_count(self):
        self.usage.charge("a", 100.0, 0.0)
        self.usage.charge("a", -100.0, 0.5)
        self.assertEqual(self.usage.credit(0.6), 0.0)

    def test_without_a_window_there_is_no_credit(self):
        usage = RecentUsage(0.0, lambda name: 1.0)
        usage.charge("a", 100.0, 0.0)
        self.assertEqual(usage.credit(0.1), 0.0)


class ShareTests(unittest.TestCase):
    def setUp(self):
        self.usage = RecentUsage(4.0, lambda name: 1.0)

    def use(self, workspace: str, demand: float, served: float) -> None:
        self.usage.record_request(workspace, demand, 0.0)
        self.usage.charge(workspace, served, 0.0)

    def test_level_meets_small_demands_and_shares_the_rest(self):
        self.assertEqual(max_min_level([(10.0, 1.0), (100.0, 1.0), (100.0, 1.0)], 110.0), 50.0)
        self.assertEqual(max_min_level([(10.0, 1.0), (20.0, 1.0)], 30.0), math.inf)
        self.assertEqual(max_min_level([], 0.0), math.inf)

    def test_level_is_per_weight(self):
        level = max_min_level([(100.0, 3.0), (100.0, 1.0)], 80.0)
        self.assertEqual(level, 20.0)

    def test_level_shares_the_whole_capacity(self):
        rng = random.Random(3)
        for _ in range(300):
            demands = [(rng.uniform(0, 100), rng.choice((0.5, 1.0, 4.0))) for _ in range(9)]
            capacity = rng.uniform(0, sum(cost for cost, _ in demands) * 0.99)
            level = max_min_level(demands, capacity)
            met = sum(min(cost, level * weight) for cost, weight in demands)
            self.assertAlmostEqual(met, capacity, places=6)

    def test_only_a_workspace_above_its_share_is_over_it(self):
        self.use("flood", 900.0, 120.0)
        self.use("light", 40.0, 30.0)
        self.use("middle", 100.0, 50.0)
        self.assertTrue(self.usage.over_share("flood", 1.0))
        self.assertFalse(self.usage.over_share("middle", 1.0))
        self.assertFalse(self.usage.over_share("light", 1.0))
        self.assertFalse(self.usage.over_share("new", 1.0))

    def test_no_workspace_is_over_its_share_where_all_are_served(self):
        self.use("flood", 900.0, 900.0)
        self.use("light", 40.0, 40.0)
        self.assertFalse(self.usage.over_share("flood", 1.0))


class ExcessTests(unittest.TestCase):
    """A workspace that overloads a replica without a free slot, beside a small one."""

    def setUp(self):
        self.dispatcher = CellDispatcher(lambda name: 1.0, random.Random(1), fair_window=4.0)
        self.dispatcher.set_replicas({"r0": 2})
        for number in range(20):
            self.offer(number, "flood", 0.0)

    def offer(self, number: int, workspace: str, now: float, **more) -> list:
        return self.dispatcher.offer(
            ticket(number, workspace, patience=0.1, enqueued_at=now, **more), now
        )

    def test_excess_is_refused_at_once_while_tickets_expire(self):
        self.offer(50, "light", 0.0)
        self.dispatcher.pump(0.2)
        self.assertEqual([type(d) for d in self.offer(60, "flood", 0.21)], [Refusal])
        self.assertEqual(self.offer(61, "light", 0.21), [])

    def test_excess_is_served_while_a_replica_has_a_free_slot(self):
        self.offer(50, "light", 0.0)
        self.dispatcher.pump(0.2)
        for key in list(self.dispatcher.flights):
            self.dispatcher.release(key, 10.0, 0.21)
        self.assertEqual([type(d) for d in self.offer(60, "flood", 0.21)], [Grant])

    def test_retry_is_not_refused_at_once(self):
        self.offer(50, "light", 0.0)
        self.dispatcher.pump(0.2)
        self.assertEqual(self.offer(60, "flood", 0.21, returned=True, objective=1.0), [])

    def test_waiting_ticket_that_is_sent_again_is_not_refused_as_excess(self):
        self.offer(50, "light", 0.0)
        self.dispatcher.offer(ticket(60, "flood", patience=1.0), 0.0)
        self.dispatcher.pump(0.2)
        again = ticket(60, "flood", patience=1.0)
        self.assertEqual(self.dispatcher.offer(again, 0.21), [])
        self.assertIn(again.key, self.dispatcher.queue)

    def test_excess_is_not_refused_while_no_ticket_expires(self):
        self.offer(50, "light", 0.0)
        self.assertEqual(self.offer(60, "flood", 0.05), [])


class ReturnFromIdleTests(unittest.TestCase):
    """One workspace is served all the time, and another one starts after a while."""

    def grants_of_the_idle_one(self, window: float) -> int:
        """Return how many of the first 20 grants it gets when both have many waiting tickets."""
        dispatcher = CellDispatcher(lambda name: 1.0, random.Random(1), fair_window=window)
        dispatcher.set_replicas({"r0": 1})
        for number in range(100):
            dispatcher.offer(ticket(number, "steady"), 0.0)
        now = 0.0
        for _ in range(10):
            now += 0.1
            self._serve(dispatcher, now)
        for number in range(200, 300):
            dispatcher.offer(ticket(number, "light"), now)
        names = [self._serve(dispatcher, now + 0.1 * step) for step in range(20)]
        return names.count("light")

    def _serve(self, dispatcher: CellDispatcher, now: float) -> str:
        key = next(iter(dispatcher.flights))
        dispatcher.release(key, 10.0, now)
        (grant,) = [d for d in dispatcher.pump(now) if isinstance(d, Grant)]
        return grant.ticket.workspace

    def test_idle_workspace_is_owed_what_it_was_below_its_share(self):
        # The steady workspace was granted 12 calls of 10 units each. This is the mean service of
        # the window, because no other workspace was served in it.
        self.assertEqual(self.grants_of_the_idle_one(4.0), 16)

    def test_both_get_the_same_without_a_window(self):
        self.assertEqual(self.grants_of_the_idle_one(0.0), 10)


if __name__ == "__main__":
    unittest.main()
