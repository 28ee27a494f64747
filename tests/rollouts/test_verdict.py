"""A version is judged by its answers compared with those of the versions already in use."""

import random
import unittest

from railsail.rollouts.evidence import RouteEvidence, Tally
from railsail.rollouts.verdict import Verdict, VersionJudge

COMMON, RARE = 1, 2
REPLICAS = ("i-1", "i-2", "i-3")
UPDATES = 40
BASELINE = 40
CANARY = 6


class Simulation:
    """Random answers of a baseline and a target version, judged step by step."""

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
        """Return the verdict after all steps, or as soon as the version is found bad."""
        for _ in range(UPDATES):
            judgement = self.step(**kinds)
            if judgement.verdict is Verdict.BAD:
                break
        return judgement.verdict


class GoodVersionTests(unittest.TestCase):
    def test_version_like_the_baseline_is_good(self):
        self.assertIs(Simulation().verdict(), Verdict.GOOD)

    def test_few_answers_are_undecided(self):
        self.assertIs(Simulation().step().verdict, Verdict.UNDECIDED)

    def test_no_answers_are_undecided(self):
        self.assertIs(VersionJudge().judge([]).verdict, Verdict.UNDECIDED)

    def test_route_without_new_answers_is_no_longer_waited_for(self):
        """A configuration removes a route before the version has enough answers on it."""
        simulation = Simulation()
        ended = RouteEvidence(3, Tally(answers=400, first=[400] + [0] * 31), {})
        for step in range(2 * UPDATES):
            simulation.step()
            evidence = [
                RouteEvidence(r, simulation.baseline[r], simulation.target[r]) for r in (1, 2)
            ]
            verdict = simulation.judge.judge([*evidence, ended]).verdict
            if step == UPDATES // 4:
                self.assertIs(verdict, Verdict.UNDECIDED)
        self.assertIs(verdict, Verdict.GOOD)

    def test_version_with_one_failing_replica_is_not_bad(self):
        verdict = Simulation().verdict(fails=lambda route, replica: 0.9 * (replica == "i-2"))
        self.assertIsNot(verdict, Verdict.BAD)

    def test_version_is_good_if_load_slows_all_versions_at_once(self):
        simulation = Simulation()
        for _ in range(10):
            simulation.step()
        for _ in range(UPDATES):
            judgement = simulation.step(all_slower=5.0)
        self.assertIs(judgement.verdict, Verdict.GOOD)

    def test_version_slower_by_two_fifths_is_not_bad(self):
        self.assertIsNot(Simulation().verdict(slower=1.4), Verdict.BAD)


class BadVersionTests(unittest.TestCase):
    def assert_found(self, simulation: Simulation, **kinds):
        self.assertIs(simulation.verdict(**kinds), Verdict.BAD)
        # After 50 bad answers a version counts as known to be bad, and the time for the rollback
        # starts to run.
        self.assertLess(simulation.bad_answers, 50)

    def test_half_of_the_answers_failing_is_bad(self):
        self.assert_found(Simulation(), fails=lambda route, replica: 0.5)

    def test_half_of_the_answers_of_a_rarer_route_failing_is_bad(self):
        self.assert_found(Simulation(), fails=lambda route, replica: 0.5 * (route == RARE))

    def test_answers_three_times_slower_are_bad(self):
        self.assert_found(Simulation(), slower=3.0)

    def test_failures_after_many_good_answers_are_bad(self):
        simulation = Simulation()
        for _ in range(UPDATES):
            simulation.step()
        self.assert_found(simulation, fails=lambda route, replica: 0.5)

    def test_failures_while_the_version_receives_all_calls_are_bad(self):
        simulation = Simulation()
        for _ in range(UPDATES):
            simulation.step()
        for _ in range(UPDATES):
            for _ in range(BASELINE):
                replica = simulation.rng.choice(REPLICAS)
                simulation.target[COMMON][replica].add(simulation.rng.random() < 0.5, 0.05, 0.2)
            judgement = simulation.judge.judge(
                [
                    RouteEvidence(r, simulation.baseline[r], simulation.target[r])
                    for r in simulation.baseline
                ]
            )
        self.assertIs(judgement.verdict, Verdict.BAD)

    def test_a_bad_version_stays_bad(self):
        simulation = Simulation()
        simulation.verdict(fails=lambda route, replica: 0.5)
        for _ in range(UPDATES):
            judgement = simulation.step()
        self.assertIs(judgement.verdict, Verdict.BAD)

    def test_failures_after_counting_restarted_from_0_are_bad(self):
        simulation = Simulation()
        for _ in range(UPDATES):
            simulation.step()
        for route in simulation.baseline:
            simulation.baseline[route] = Tally()
            simulation.target[route] = {name: Tally() for name in REPLICAS}
        self.assert_found(simulation, fails=lambda route, replica: 0.5)


if __name__ == "__main__":
    unittest.main()
