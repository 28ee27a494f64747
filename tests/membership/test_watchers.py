import unittest

from railsail.membership.table import Member, MemberState
from railsail.membership.watchers import MIN_WATCHERS_PER_DOMAIN, TARGET_WATCHERS, store_watchers


def fleet(size: int, domains: int) -> list[Member]:
    return [
        Member(f"10.0.0.{n}:1", 1, 0, MemberState.ALIVE, 1, f"domain-{n % domains}", "")
        for n in range(size)
    ]


class StoreWatcherTests(unittest.TestCase):
    def test_each_domain_has_the_minimum_of_watchers(self):
        for domains in (1, 3, 5, 12):
            members = fleet(60, domains)
            chosen = store_watchers(members)
            for name in {member.failure_domain for member in members}:
                own = [m for m in members if m.failure_domain == name and m.node in chosen]
                self.assertGreaterEqual(len(own), MIN_WATCHERS_PER_DOMAIN)

    def test_number_of_watchers_does_not_grow_with_the_fleet(self):
        for size in (60, 390):
            self.assertLessEqual(len(store_watchers(fleet(size, 3))), TARGET_WATCHERS)

    def test_small_fleet_has_as_many_watchers_as_nodes(self):
        self.assertEqual(len(store_watchers(fleet(1, 1))), 1)
        self.assertEqual(store_watchers([]), set())


if __name__ == "__main__":
    unittest.main()
