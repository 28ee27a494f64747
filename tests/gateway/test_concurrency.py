"""How the limit on requests held follows a node's event loop."""

import unittest

from railsail.gateway.concurrency import FIRST_LIMIT, LEAST_LIMIT, ConcurrencyLimit


class Node:
    """A node that is late while it holds more than ``able`` requests, under a steady flood."""

    def __init__(self, able: int) -> None:
        self.able = able
        self.limit = ConcurrencyLimit()

    def held(self) -> int:
        return round(self.limit.limit)

    def run(self, samples: int) -> list[int]:
        """Return what it held at each sample."""
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
        self.assertEqual(limit.limit, FIRST_LIMIT)

    def test_limit_falls_from_what_is_held_and_not_below_the_least(self):
        limit = ConcurrencyLimit()
        limit.adjust(True, 40)
        self.assertLess(limit.limit, 40)
        for _ in range(100):
            limit.adjust(True, 0)
        self.assertEqual(limit.limit, LEAST_LIMIT)
        self.assertTrue(limit.full(16))
        self.assertFalse(limit.full(15))


if __name__ == "__main__":
    unittest.main()
