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

    def chosen(self, number: int, now: float = 1.0) -> Counter[str]:
        """Return how many of ``number`` requests each node is sent, while none of them ends."""
        given: Counter[str] = Counter()
        for _ in range(number):
            found = self.targets.choose(now)
            self.targets.request_started(found.node)
            given[found.node] += 1
        return given

    def test_there_is_none_in_a_fleet_of_one(self):
        self.assertIsNone(self.targets.choose(1.0))

    def test_nodes_of_one_speed_are_given_the_same(self):
        self.members += [peer("a"), peer("b"), peer("c")]
        self.assertEqual(self.chosen(30), {"a": 10, "b": 10, "c": 10})

    def test_node_of_twice_the_speed_is_given_twice_as_much(self):
        self.members += [peer("a"), peer("b", speed=SPEED + 1)]
        self.assertEqual(self.chosen(30), {"a": 10, "b": 20})

    def test_nodes_of_the_own_failure_domain_go_first(self):
        self.members += [peer("a", domain="other"), peer("b")]
        self.assertEqual(self.chosen(5), {"b": 5})

    def test_nodes_of_a_region_are_sent_only_what_may_run_there(self):
        self.own = replace(self.own, region="south")
        allowed = {(): True, ("north", "south"): True, ("north",): False}
        for regions, expected in allowed.items():
            self.assertEqual(self.targets.can_serve(regions), expected)

    def test_dispatchers_are_the_last_resort(self):
        self.members += [peer("a"), peer("b")]
        self.dispatchers = {"a"}
        self.assertEqual(self.chosen(5), {"b": 5})
        self.targets.connect_failed("b", 1.0)
        self.assertEqual(self.chosen(5), {"a": 5})

    def test_others_are_asked_where_those_that_go_first_cannot_be_connected_to(self):
        """All requests beyond the limit of a full node were refused.

        The only other node that reported its speed could not be connected to, and a node that had
        just started was not tried.
        """
        self.members += [peer("a"), peer("b", speed=UNKNOWN_LEVEL), peer("c", "other")]
        self.assertEqual(self.chosen(5), {"a": 5})
        self.targets.connect_failed("a", 1.0)
        self.assertEqual(set(self.chosen(6)), {"c"})
        self.targets.connect_failed("c", 1.0)
        self.assertEqual(set(self.chosen(6)), {"b"})

    def test_nodes_that_are_late_or_take_nothing_are_left_out(self):
        self.members += [peer("a", speed=UNKNOWN_LEVEL), peer("b", port=0), peer("c", "other")]
        self.assertEqual(self.chosen(5), {"c": 5})

    def test_node_of_unknown_speed_is_better_than_none(self):
        self.members += [peer("a", speed=UNKNOWN_LEVEL)]
        self.assertEqual(self.chosen(5), {"a": 5})

    def test_nodes_of_other_regions_are_given_nothing(self):
        self.members += [replace(peer("a"), region="other")]
        self.assertIsNone(self.targets.choose(1.0))

    def test_node_that_could_not_be_connected_to_is_left_out_for_a_while(self):
        self.members += [peer("a"), peer("b")]
        self.targets.connect_failed("a", 1.0)
        self.assertEqual(self.chosen(5), {"b": 5})
        self.assertEqual(set(self.chosen(20, 1.0 + CONNECT_BACKOFF_SECONDS)), {"a", "b"})

    def test_node_that_left_is_given_nothing_soon_after(self):
        self.members += [peer("a"), peer("b")]
        self.chosen(2)
        self.members.remove(peer("a"))
        self.assertEqual(self.chosen(5, 1.0 + REFRESH_SECONDS), {"b": 5})

    def test_requests_that_ended_count_no_more(self):
        self.members += [peer("a"), peer("b")]
        self.chosen(2)
        self.targets.request_ended("a")
        self.assertEqual(self.targets.choose(1.0).node, "a")


if __name__ == "__main__":
    unittest.main()
