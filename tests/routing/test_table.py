"""Routes are found by host and longest prefix, and pools are chosen by weight."""

import random
import unittest

from railsail.objects.kinds import PoolShare, Route
from railsail.routing.table import RouteTable, choose_pool


def route(name: str, prefix: str, host: str = "a.example", **more) -> Route:
    fields = {"pools": (PoolShare("desk"),), **more}
    return Route(name=name, host=host, prefix=prefix, **fields)


class RouteTableTests(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable(
            [
                route("root", "/"),
                route("ab", "/a/b/"),
                route("a", "/a/"),
                route("other", "/a/", host="b.example"),
            ]
        )

    def name(self, host: str, path: str) -> str:
        found = self.table.find(host, path)
        return found.name if found else ""

    def test_longest_prefix_wins(self):
        for path, name in [
            ("/a/b/c", "ab"),
            ("/a/b/", "ab"),
            ("/a/b", "a"),
            ("/a/bc/d", "a"),
            ("/a", "root"),
            ("/", "root"),
            ("", ""),
        ]:
            with self.subTest(path=path):
                self.assertEqual(self.name("a.example", path), name)

    def test_host_matches_without_case_and_port(self):
        self.assertEqual(self.name("B.Example:8080", "/a/x"), "other")
        self.assertEqual(self.name("c.example", "/a/x"), "")
        self.assertEqual(self.name("", "/a/x"), "")


class ChoosePoolTests(unittest.TestCase):
    def test_pools_are_chosen_in_proportion_to_their_weights(self):
        shares = (PoolShare("big", 90), PoolShare("small", 10), PoolShare("none", 0))
        split = route("split", "/", pools=shares)
        rng = random.Random(5)
        chosen = [choose_pool(split, rng) for _ in range(2000)]
        self.assertEqual(chosen.count("none"), 0)
        self.assertTrue(120 < chosen.count("small") < 280)

    def test_first_pool_is_chosen_if_all_weights_are_zero(self):
        shares = (PoolShare("one", 0), PoolShare("two", 0))
        self.assertEqual(choose_pool(route("r", "/", pools=shares), random.Random(1)), "one")


if __name__ == "__main__":
    unittest.main()
