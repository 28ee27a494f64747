"""The view of replicas that the coordinator of a rollout uses."""

import unittest
from types import SimpleNamespace

from railsail.objects.catalog import Catalog
from railsail.objects.kinds import CostUnit, Pool
from railsail.rollouts.fleet import Fleet
from railsail.scheduling.cells import Cell
from railsail.upstreams.records import Listed, Upstream

SECONDS_SINCE_EVACUATION = 3.0


class Directory:
    """One replica, whose failure domain's evacuation ended ``SECONDS_SINCE_EVACUATION`` ago."""

    def get(self, name: str) -> Upstream:
        return Upstream(name, "lm", "10.0.0.1:80", "east", 1, Listed.LIVE, slots=8)

    def takes_work(self, upstream: Upstream) -> bool:
        return True

    def cold_seconds(self, name: str, after_evacuation: float) -> float:
        return max(0.0, after_evacuation - SECONDS_SINCE_EVACUATION)


class FleetTests(unittest.TestCase):
    def warm(self, **pool) -> bool:
        resource = Pool("lm", upstream_kind="engine", cost_unit=CostUnit.TOKENS, **pool)
        catalog = Catalog(1, {(Pool.KIND, "lm"): resource})
        cells = SimpleNamespace(cells=lambda service: {Cell(service, 0, 1): ["i-1"]})
        node = SimpleNamespace(
            cells=cells, directory=Directory(), carrier=SimpleNamespace(catalog=catalog)
        )
        (replica,) = Fleet(node).replicas("lm")
        self.assertEqual(replica.failure_domain, "east")
        return replica.warm

    def test_replica_is_cold_just_after_its_domains_evacuation(self):
        self.assertFalse(self.warm(cold_seconds=10.0, warmup_rate=5.0))

    def test_replica_is_warm_again_after_the_pools_cold_seconds(self):
        self.assertTrue(self.warm(cold_seconds=2.0, warmup_rate=5.0))

    def test_replica_of_a_pool_without_warmup_rate_is_warm(self):
        self.assertTrue(self.warm(cold_seconds=10.0))


if __name__ == "__main__":
    unittest.main()
