"""A version is judged by what its calls become beside those of the versions that run already."""

import random
import unittest

from railsail.rollouts.evidence import RouteEvidence, Tally
from railsail.rollouts.verdict import Verdict, VersionJudge

COMMON, RARE = 1, 2
REPLICAS = ("i-1", "i-2", "i-3")
UPDATES = 40
BASELINE = 40
CANARY = 6


class Fleet:
    """Answers of a baseline and of a target version, drawn with one seed, judged in steps."""

    def __init__(self) -> None:
        self.rng = random.Random(7)
        self.judge = VersionJudge()
        self.baseline = {COMMON: Tally(), RARE: Tally()}
        self.target = {route: {name: Tally() for name in REPLICAS} for route in self.baseline}
        self.bad_answers = 0

    def step(self, fails=lambda route, replica: 0.0, slower: float = 1.0, all_slower: float = 1.0):
        for _ in range(BASELINE):
            self.baseline[self._route()].add(False, *self._times(all_slower))
        for _ in range(CANARY):
            route, replica = self._route(), self.rng.choice(REPLICAS)
            failed = self.rng.random() < fails(route, replica)
            self.bad_answers += failed or slower > 1
            self.target[route][replica].add(failed, *self._times(all_slower * slower))
        evidence = [RouteEvidence(r, self.baseline[r], self.target[r]) for r in self.baseline]
        return self.judge.judge(evidence)

    def _route(self) -> int:
        return RARE if self.rng.random() < 0.2 else COMMON

    def _times(self, factor: float) -> tuple[float, float]:
        first = 0.05 * factor * self.rng.lognormvariate(0, 0.5)
        return first, 4 * first

    def verdict(self, **kinds) -> Verdict:
        """Return the verdict after all steps, or the first one of a bad version."""
        for _ in range(UPDATES):
            judgement = self.step(**kinds)
            if judgement.verdict is Verdict.BAD:
                break
        return judgement.verdict


class GoodVersionTests(unittest.TestCase):
    def test_one_like_the_baseline_is_good(self):
        self.assertIs(Fleet().verdict(), Verdict.GOOD)

    def test_nothing_is_known_of_a_few_answers(self):
        self.assertIs(Fleet().step().verdict, Verdict.UNDECIDED)

    def test_nothing_is_known_without_answers(self):
        self.assertIs(VersionJudge().judge([]).verdict, Verdict.UNDECIDED)

    def test_route_that_ended_is_waited_for_no_longer(self):
        """A route is dropped by a configuration before the version had enough answers on it."""
        fleet = Fleet()
        ended = RouteEvidence(3, Tally(answers=400, first=[400] + [0] * 31), {})
        for step in range(2 * UPDATES):
            fleet.step()
            evidence = [RouteEvidence(r, fleet.baseline[r], fleet.target[r]) for r in (1, 2)]
            verdict = fleet.judge.judge([*evidence, ended]).verdict
            if step == UPDATES // 4:
                self.assertIs(verdict, Verdict.UNDECIDED)
        self.assertIs(verdict, Verdict.GOOD)

    def test_one_whose_single_replica_fails_is_not_bad(self):
        verdict = Fleet().verdict(fails=lambda route, replica: 0.9 * (replica == "i-2"))
        self.assertIsNot(verdict, Verdict.BAD)

    def test_load_that_slows_all_versions_at_once_speaks_against_none(self):
        fleet = Fleet()
        for _ in range(10):
            fleet.step()
        for _ in range(UPDATES):
            judgement = fleet.step(all_slower=5.0)
        self.assertIs(judgement.verdict, Verdict.GOOD)

    def test_one_that_is_slower_by_two_fifths_is_not_bad(self):
        self.assertIsNot(Fleet().verdict(slower=1.4), Verdict.BAD)


class BadVersionTests(unittest.TestCase):
    def assert_found(self, fleet: Fleet, **kinds):
        self.assertIs(fleet.verdict(**kinds), Verdict.BAD)
        # From the fiftieth bad answer on, a bound of seconds begins to run.
        self.assertLess(fleet.bad_answers, 50)

    def test_half_of_the_answers_fail(self):
        self.assert_found(Fleet(), fails=lambda route, replica: 0.5)

    def test_half_of_the_answers_of_a_rarer_route_fail(self):
        self.assert_found(Fleet(), fails=lambda route, replica: 0.5 * (route == RARE))

    def test_answers_are_three_times_slower(self):
        self.assert_found(Fleet(), slower=3.0)

    def test_answers_fail_after_many_good_ones(self):
        fleet = Fleet()
        for _ in range(UPDATES):
            fleet.step()
        self.assert_found(fleet, fails=lambda route, replica: 0.5)

    def test_answers_fail_when_all_calls_go_to_the_version(self):
        fleet = Fleet()
        for _ in range(UPDATES):
            fleet.step()
        for _ in range(UPDATES):
            for _ in range(BASELINE):
                replica = fleet.rng.choice(REPLICAS)
                fleet.target[COMMON][replica].add(fleet.rng.random() < 0.5, 0.05, 0.2)
            judgement = fleet.judge.judge(
                [RouteEvidence(r, fleet.baseline[r], fleet.target[r]) for r in fleet.baseline]
            )
        self.assertIs(judgement.verdict, Verdict.BAD)

    def test_a_bad_version_stays_bad(self):
        fleet = Fleet()
        fleet.verdict(fails=lambda route, replica: 0.5)
        for _ in range(UPDATES):
            judgement = fleet.step()
        self.assertIs(judgement.verdict, Verdict.BAD)

    def test_sums_that_begin_anew_are_taken_in_whole(self):
        fleet = Fleet()
        for _ in range(UPDATES):
            fleet.step()
        for route in fleet.baseline:
            fleet.baseline[route] = Tally()
            fleet.target[route] = {name: Tally() for name in REPLICAS}
        self.assert_found(fleet, fails=lambda route, replica: 0.5)


if __name__ == "__main__":
    unittest.main()
