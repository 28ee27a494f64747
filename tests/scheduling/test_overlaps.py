"""A rollout, evacuations, losses and cold replicas in one cell at the same time."""

from collections import Counter

from railsail.rollouts.stages import Stage
from railsail.scheduling.exposure import Allowance
from railsail.scheduling.health import CallResult
from railsail.scheduling.warmup import WarmupBound
from tests.scheduling.test_versions import NEW, OLD, VERSIONS, RolloutTestCase

ALL = dict.fromkeys([*OLD, *NEW], 8)


class CanaryTests(RolloutTestCase):
    def allow_canary(self, calls: int, *named: str) -> None:
        allowance = Allowance(1, 1, Stage.CANARY, calls, 100.0, frozenset(named))
        self.dispatcher.versions.exposure.allow(allowance, 0.0)

    def test_another_replica_gets_canary_calls_if_the_named_one_is_evacuated(self):
        self.allow_canary(20, "new0")
        self.dispatcher.set_replicas(ALL, leaving=["new0"])
        self.assertEqual(self.serve(200, 0.0, gap=0.02)["v2"], 20)

    def test_another_replica_gets_canary_calls_if_the_named_ones_are_lost(self):
        self.allow_canary(20, "new0", "new1")
        for name in ("new0", "new1"):
            self.dispatcher.replicas[name].health._ejected_until = 100.0
        self.assertEqual(self.serve(200, 0.0, gap=0.02)["v2"], 20)

    def test_cold_replica_does_not_replace_a_named_one(self):
        self.allow_canary(20, "new0")
        self.dispatcher.set_replicas(ALL, leaving=["new0"])
        self.dispatcher.set_bound(WarmupBound(per_second=50.0, seconds=60.0))
        for name in ("new1", "new2"):
            self.dispatcher.set_cold(name, 60.0, 0.0)
        self.assertEqual(self.serve(200, 0.0, gap=0.02)["v2"], 0)

    def test_cold_replica_gets_no_canary_calls_if_none_is_named(self):
        self.allow_canary(20)
        self.dispatcher.set_bound(WarmupBound(per_second=50.0, seconds=60.0))
        for name in NEW:
            self.dispatcher.set_cold(name, 60.0, 0.0)
        self.assertEqual(self.serve(200, 0.0, gap=0.02)["v2"], 0)

    def test_only_named_replicas_get_canary_calls_while_one_is_in_service(self):
        self.allow_canary(20, "new0", "new1")
        self.dispatcher.set_replicas(ALL, leaving=["new0"])
        bound = Counter()
        for step in range(200):
            bound[self.offer(step * 0.02)] += 1
            self.end(step * 0.02)
        self.assertEqual((bound["new1"], bound["new2"]), (20, 0))


class DrainTests(RolloutTestCase):
    def test_others_serve_if_the_whole_target_is_evacuated(self):
        self.allow(Stage.DRAIN)
        self.dispatcher.set_replicas(ALL, leaving=NEW)
        self.assertEqual(self.serve(50, 0.0), {"v1": 50})

    def test_others_serve_if_the_whole_target_is_lost(self):
        self.allow(Stage.DRAIN)
        for name in NEW:
            self.dispatcher.replicas[name].health._ejected_until = 100.0
        self.assertEqual(self.serve(50, 0.0), {"v1": 50})

    def test_free_slots_are_those_of_the_others_if_the_target_is_evacuated(self):
        self.allow(Stage.DRAIN)
        self.dispatcher.set_replicas(ALL, leaving=NEW)
        self.assertEqual(self.dispatcher.room(0.0), 8 * len(OLD))

    def test_only_the_target_serves_while_one_of_its_replicas_does(self):
        self.allow(Stage.DRAIN)
        self.dispatcher.set_replicas(ALL, leaving=NEW[1:])
        bound = Counter(VERSIONS.get(self.offer(0.0), "none") for _ in range(30))
        self.assertEqual(bound["v1"], 0)


class ColdEvidenceTests(RolloutTestCase):
    """Cold replicas during a shift: they are slow, whichever version they run."""

    def answers(self, result: CallResult, *cold: str) -> dict[str, int]:
        """Return the counted answers of each version after 60 calls of one second."""
        self.allow(Stage.SHIFT)
        self.dispatcher.set_bound(WarmupBound(per_second=1000.0, seconds=60.0))
        for name in cold:
            self.dispatcher.set_cold(name, 60.0, 0.0)
        for step in range(60):
            self.offer(step * 0.01)
        for number in range(1, 61):
            self.dispatcher.release(("e", number), 1.0, 1.0 + number * 0.01, result)
        known = Counter()
        for key, tally in self.dispatcher.tallies.items():
            known[key.software_version] += tally.answers
        return known

    def test_answers_of_cold_replicas_are_not_counted(self):
        warm = self.answers(CallResult.GOOD)
        self.setUp()
        cold = self.answers(CallResult.GOOD, "new0", "old0")
        for version in ("v1", "v2"):
            self.assertLess(cold[version], warm[version])
            self.assertGreater(cold[version], 0)

    def test_failures_of_cold_replicas_are_counted(self):
        warm = self.answers(CallResult.ERROR)
        self.setUp()
        self.assertEqual(self.answers(CallResult.ERROR, *NEW), warm)
