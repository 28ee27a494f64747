"""Evidence of the last seconds."""

import unittest

from railsail.rollouts.evidence import RouteEvidence, Tally
from railsail.rollouts.recent import RECENT_SECONDS, RecentEvidence


def counted(answers: int, failed: int) -> Tally:
    tally = Tally()
    for number in range(answers):
        tally.add(number < failed, 0.01, 0.02)
    return tally


def seen(answers: int, failed: int) -> list[RouteEvidence]:
    return [RouteEvidence(1, counted(2 * answers, 0), {"r": counted(answers, failed)})]


class RecentEvidenceTests(unittest.TestCase):
    def test_answers_of_before_are_left_out(self):
        recent = RecentEvidence()
        for second in range(20):
            (route,) = recent.of(seen(10 * second, 0), float(second))
        self.assertEqual(route.target["r"].answers, 10 * RECENT_SECONDS)
        (route,) = recent.of(seen(200, 8), 20.0)
        found = route.target["r"]
        self.assertEqual((found.answers, found.failed), (10 * RECENT_SECONDS, 8))
        self.assertEqual(sum(found.whole), found.answers - 8)
        self.assertEqual(route.baseline.answers, 20 * RECENT_SECONDS)

    def test_route_that_is_new_counts_whole(self):
        recent = RecentEvidence()
        self.assertEqual(recent.of([], 0.0), [])
        (route,) = recent.of(seen(5, 1), 1.0)
        self.assertEqual(route.target["r"].answers, 5)

    def test_sums_that_went_back_are_not_negative(self):
        recent = RecentEvidence()
        recent.of(seen(50, 9), 0.0)
        (route,) = recent.of(seen(5, 1), 1.0)
        self.assertEqual((route.target["r"].answers, route.target["r"].failed), (0, 0))


if __name__ == "__main__":
    unittest.main()
