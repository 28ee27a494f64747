"""Which node a request is forwarded to."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from railsail.membership.speed import UNKNOWN_LEVEL
from railsail.membership.table import Member
from railsail.routing.targets import CONNECT_BACKOFF_SECONDS, REFRESH_SECONDS, ForwardTargets
from tests.membership.test_table import member

SPEED = 4


def peer(node: str, domain: str = "d", speed: int = SPEED, port: int = 7400) -> Member:
    return replace(member(node), failure_domain=domain, speed=speed, forward_port=port)


class ForwardTargetsTests(unittest.TestCase):
    def setUp(self):
        self.own = peer("own")
        self.members = [self.own]
        self.dispatchers: set[str] = set()
        self.targets = ForwardTargets(
            lambda: self.members, lambda: self.dispatchers, lambda: self.own, random.Random(1)
        )

    def count_chosen(self, requests: int, now: float = 1.0) -> Counter[str]:
        """Return for how many of ``requests`` each node is chosen, while none of them ends."""
        chosen: Counter[str] = Counter()
        for _ in range(requests):
            found = self.targets.choose(now)
            self.targets.request_started(found.node)
            chosen[found.node] += 1
        return chosen

    def test_fleet_of_one_node_has_no_target(self):
        self.assertIsNone(self.targets.choose(1.0))

    def test_nodes_of_equal_speed_get_equal_shares(self):
        self.members += [peer("a"), peer("b"), peer("c")]
        self.assertEqual(self.count_chosen(30), {"a": 10, "b": 10, "c": 10})

    def test_node_of_twice_the_speed_gets_twice_as_many_requests(self):
        self.members += [peer("a"), peer("b", speed=SPEED + 1)]
        self.assertEqual(self.count_chosen(30), {"a": 10, "b": 20})

    def test_nodes_of_the_own_failure_domain_are_preferred(self):
        self.members += [peer("a", domain="other"), peer("b")]
        self.assertEqual(self.count_chosen(5), {"b": 5})

    def test_only_requests_allowed_in_the_own_region_are_forwarded(self):
        self.own = replace(self.own, region="south")
        allowed = {(): True, ("north", "south"): True, ("north",): False}
        for regions, expected in allowed.items():
            self.assertEqual(self.targets.can_serve(regions), expected)

    def test_dispatchers_are_used_only_if_no_other_node_is_left(self):
        self.members += [peer("a"), peer("b")]
        self.dispatchers = {"a"}
        self.assertEqual(self.count_chosen(5), {"b": 5})
        self.targets.connect_failed("b", 1.0)
        self.assertEqual(self.count_chosen(5), {"a": 5})

    def test_fallback_nodes_are_used_if_no_candidate_can_be_connected_to(self):
        """All requests beyond the limit of a full node were refused.

        The only other node that reported its speed could not be connected to, and a node that had
        just started was not tried.
        """
        self.members += [peer("a"), peer("b", speed=UNKNOWN_LEVEL), peer("c", "other")]
        self.assertEqual(self.count_chosen(5), {"a": 5})
        self.targets.connect_failed("a", 1.0)
        self.assertEqual(set(self.count_chosen(6)), {"c"})
        self.targets.connect_failed("c", 1.0)
        self.assertEqual(set(self.count_chosen(6)), {"b"})

    def test_nodes_without_a_speed_or_a_forward_port_are_not_chosen(self):
        self.members += [peer("a", speed=UNKNOWN_LEVEL), peer("b", port=0), peer("c", "other")]
        self.assertEqual(self.count_chosen(5), {"c": 5})

    def test_node_of_unknown_speed_is_chosen_if_there_is_no_other(self):
        self.members += [peer("a", speed=UNKNOWN_LEVEL)]
        self.assertEqual(self.count_chosen(5), {"a": 5})

    def test_nodes_of_other_regions_are_not_chosen(self):
        self.members += [replace(peer("a"), region="other")]
        self.assertIsNone(self.targets.choose(1.0))

    def test_node_is_skipped_after_a_failed_connection_until_the_backoff_ends(self):
        self.members += [peer("a"), peer("b")]
        self.targets.connect_failed("a", 1.0)
        self.assertEqual(self.count_chosen(5), {"b": 5})
        self.assertEqual(set(self.count_chosen(20, 1.0 + CONNECT_BACKOFF_SECONDS)), {"a", "b"})

    def test_node_that_left_is_not_chosen_after_the_next_refresh(self):
        self.members += [peer("a"), peer("b")]
        self.count_chosen(2)
        self.members.remove(peer("a"))
        self.assertEqual(self.count_chosen(5, 1.0 + REFRESH_SECONDS), {"b": 5})

    def test_ended_requests_are_not_counted(self):
        self.members += [peer("a"), peer("b")]
        self.count_chosen(2)
        self.targets.request_ended("a")
        self.assertEqual(self.targets.choose(1.0).node, "a")


if __name__ == "__main__":
    unittest.main()
