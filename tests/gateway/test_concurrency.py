"""The limit on requests in flight adapts to the lag of a node's event loop."""

import unittest

from railsail.core.looplag import SAMPLE_INTERVAL_SECONDS, LoopLag
from railsail.gateway.concurrency import (
    INITIAL_FORWARDED_LIMIT,
    INITIAL_LIMIT,
    MIN_FORWARDED_LIMIT,
    MIN_LIMIT,
    ConcurrencyLimit,
    NodeLimits,
)


class Node:
    """A node that is late with more than ``capacity`` requests in flight, under a steady flood."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.limit = ConcurrencyLimit()

    def in_flight(self) -> int:
        return round(self.limit.limit)

    def run(self, samples: int) -> list[int]:
        """Return how many requests were in flight at each sample."""
        samples_in_flight = []
        for _ in range(samples):
            samples_in_flight.append(self.in_flight())
            self.limit.adjust(self.in_flight() > self.capacity, self.in_flight())
        return samples_in_flight


class ConcurrencyLimitTests(unittest.TestCase):
    def test_limit_settles_near_the_capacity_of_the_node_under_a_flood(self):
        for capacity in (30, 100, 400):
            with self.subTest(capacity=capacity):
                node = Node(capacity)
                node.run(100)
                in_flight = node.run(100)
                self.assertLess(max(in_flight), 1.2 * capacity)
                self.assertGreater(min(in_flight), 0.8 * capacity)

    def test_limit_does_not_rise_while_it_is_not_reached(self):
        limit = ConcurrencyLimit()
        for _ in range(100):
            limit.adjust(False, 10)
        self.assertEqual(limit.limit, INITIAL_LIMIT)

    def test_limit_falls_from_the_requests_in_flight_to_the_minimum(self):
        limit = ConcurrencyLimit()
        limit.adjust(True, 40)
        self.assertLess(limit.limit, 40)
        for _ in range(100):
            limit.adjust(True, 0)
        self.assertEqual(limit.limit, MIN_LIMIT)
        self.assertTrue(limit.full(16))
        self.assertFalse(limit.full(15))


class LateLoopTests(unittest.TestCase):
    """Most callers of a failure domain reach one node of half a core, which is never full."""

    # Share of the node's time that one request takes, and the duration of one iteration of its
    # event loop in seconds.
    SHARE_PER_REQUEST = 0.02
    ITERATION_SECONDS = 0.002

    def lag_of(self, in_flight: int, backlog: float) -> float:
        """Return the lag of a loop with ``in_flight`` requests and ``backlog`` seconds of work."""
        used = min(0.98, in_flight * self.SHARE_PER_REQUEST)
        return backlog + self.ITERATION_SECONDS * used / (1 - used)

    def simulate(self, is_late) -> float:
        """Return the mean lag over ten seconds of about as many requests as the node can serve."""
        lag = LoopLag(lambda: 0.0)
        limit = ConcurrencyLimit()
        backlog = 0.0
        lags = []
        for _ in range(200):
            in_flight = min(52, round(limit.limit))
            backlog = max(
                0.0, backlog + (in_flight * self.SHARE_PER_REQUEST - 1.0) * SAMPLE_INTERVAL_SECONDS
            )
            lag.record(self.lag_of(in_flight, backlog))
            limit.adjust(is_late(lag), in_flight)
            lags.append(lag.seconds)
        return sum(lags[20:]) / len(lags[20:])

    def test_forwarding_at_the_busy_threshold_keeps_the_lag_below_the_objective(self):
        early = self.simulate(lambda lag: lag.busy)
        late = self.simulate(lambda lag: lag.late)
        # A request passes the event loop about six times until its answer starts.
        self.assertLess(6 * early, 0.25 / 4)
        self.assertLess(early, 0.7 * late)


class NodeLimitsTests(unittest.TestCase):
    def test_forwarded_limit_falls_only_after_the_served_one_is_at_its_minimum(self):
        limits = NodeLimits()
        limits.adjust(True, 64, 300)
        while not limits.served.at_minimum:
            self.assertEqual(limits.forwarded.limit, INITIAL_FORWARDED_LIMIT)
            limits.adjust(True, 64, 300)
        self.assertLess(limits.forwarded.limit, 300)

    def test_node_that_stays_late_continues_to_forward(self):
        limits = NodeLimits()
        for _ in range(200):
            limits.adjust(True, 16, 0)
        self.assertEqual(limits.served.limit, MIN_LIMIT)
        self.assertEqual(limits.forwarded.limit, MIN_FORWARDED_LIMIT)
        self.assertFalse(limits.forwarded.full(100))

    def test_only_the_limit_that_is_nearly_reached_rises(self):
        limits = NodeLimits()
        limits.adjust(False, 64, 10)
        self.assertGreater(limits.served.limit, INITIAL_LIMIT)
        self.assertEqual(limits.forwarded.limit, INITIAL_FORWARDED_LIMIT)


if __name__ == "__main__":
    unittest.main()
