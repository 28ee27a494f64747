"""The limit on requests in flight adapts to the lag of a node's event loop."""

import unittest

from railsail.core.looplag import STEP_SECONDS, LoopLag
from railsail.gateway.concurrency import (
    INITIAL_FORWARDED_LIMIT,
    INITIAL_LIMIT,
    MIN_FORWARDED_LIMIT,
    MIN_LIMIT,
    ConcurrencyLimit,
    NodeLimits,
)


class Node:
    """A node that is late while it holds more than ``able`` requests, under a steady flood."""

    def __init__(self, able: int) -> None:
        self.able = able
        self.limit = ConcurrencyLimit()

    def held(self) -> int:
        return round(self.limit.limit)

    def run(self, samples: int) -> list[int]:
        """Return how many requests the node held at each sample."""
        taken = []
        for _ in range(samples):
            taken.append(self.held())
            self.limit.adjust(self.held() > self.able, self.held())
        return taken


class ConcurrencyLimitTests(unittest.TestCase):
    def test_flood_is_held_near_what_the_node_can_do(self):
        for able in (30, 100, 400):
            with self.subTest(able=able):
                node = Node(able)
                node.run(100)
                held = node.run(100)
                self.assertLess(max(held), 1.2 * able)
                self.assertGreater(min(held), 0.8 * able)

    def test_limit_does_not_rise_while_it_holds_nobody_back(self):
        limit = ConcurrencyLimit()
        for _ in range(100):
            limit.adjust(False, 10)
        self.assertEqual(limit.limit, INITIAL_LIMIT)

    def test_limit_falls_from_what_is_held_and_not_below_the_least(self):
        limit = ConcurrencyLimit()
        limit.adjust(True, 40)
        self.assertLess(limit.limit, 40)
        for _ in range(100):
            limit.adjust(True, 0)
        self.assertEqual(limit.limit, MIN_LIMIT)
        self.assertTrue(limit.full(16))
        self.assertFalse(limit.full(15))


class CrowdedDomainTests(unittest.TestCase):
    """Most callers of a failure domain reach one node of half a core, which is never full."""

    # Share of the node's time that one request takes, and the duration of one iteration of its
    # event loop in seconds.
    SHARE_OF_ONE = 0.02
    TURN = 0.002

    def lag_of(self, held: int, backlog: float) -> float:
        """Return the loop's lag while it holds ``held`` requests and is ``backlog`` s behind."""
        used = min(0.98, held * self.SHARE_OF_ONE)
        return backlog + self.TURN * used / (1 - used)

    def play(self, decide) -> float:
        """Return the mean lag over ten seconds of about as many requests as the node can serve."""
        lag = LoopLag(lambda: 0.0)
        limit = ConcurrencyLimit()
        backlog = 0.0
        lags = []
        for _ in range(200):
            held = min(52, round(limit.limit))
            backlog = max(0.0, backlog + (held * self.SHARE_OF_ONE - 1.0) * STEP_SECONDS)
            lag.take(self.lag_of(held, backlog))
            limit.adjust(decide(lag), held)
            lags.append(lag.seconds)
        return sum(lags[20:]) / len(lags[20:])

    def test_requests_are_handed_on_before_callers_feel_the_lag(self):
        early = self.play(lambda lag: lag.busy)
        late = self.play(lambda lag: lag.late)
        # A request passes the event loop about six times until its answer starts.
        self.assertLess(6 * early, 0.25 / 4)
        self.assertLess(early, 0.7 * late)


class NodeLimitsTests(unittest.TestCase):
    def test_what_is_handed_on_is_given_up_last(self):
        limits = NodeLimits()
        limits.adjust(True, 64, 300)
        while not limits.served.at_minimum:
            self.assertEqual(limits.forwarded.limit, INITIAL_FORWARDED_LIMIT)
            limits.adjust(True, 64, 300)
        self.assertLess(limits.forwarded.limit, 300)

    def test_node_that_stays_late_goes_on_handing_on(self):
        limits = NodeLimits()
        for _ in range(200):
            limits.adjust(True, 16, 0)
        self.assertEqual(limits.served.limit, MIN_LIMIT)
        self.assertEqual(limits.forwarded.limit, MIN_FORWARDED_LIMIT)
        self.assertFalse(limits.forwarded.full(100))

    def test_both_rise_where_they_hold_requests_back(self):
        limits = NodeLimits()
        limits.adjust(False, 64, 10)
        self.assertGreater(limits.served.limit, INITIAL_LIMIT)
        self.assertEqual(limits.forwarded.limit, INITIAL_FORWARDED_LIMIT)


if __name__ == "__main__":
    unittest.main()
