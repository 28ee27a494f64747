"""Rollouts while replicas of either version are evacuated, lost, cold or overloaded."""

from railsail.rollouts.fleet import Replica
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Verdict
from tests.rollouts.base import RATE, STEP, CoordinationCase

CALLS = 24


class OverlapTests(CoordinationCase):
    """Calls that take a quarter of a second, so that ``CALLS`` are in flight at once."""

    def set_replicas(self, **numbers: int) -> None:
        """Set the number of replicas of each version; each has eight slots."""
        for node in self.nodes:
            node.fleet.all = [
                Replica(f"{version}-{n}", 0, version, 8, True)
                for version, number in numbers.items()
                for n in range(number)
            ]

    async def start_shift(self) -> Stage:
        leader = await self.start_rollout()
        self.judge(Verdict.GOOD)
        self.running = CALLS
        while (
            leader.coordination.coordinator_term.stage < Stage.SHIFT
            and self.clock.monotonic() < 1040
        ):
            await self.pass_time(STEP)
        return leader.coordination.coordinator_term.stage

    async def test_drain_waits_while_a_domain_of_the_target_is_evacuated_in_the_shift(self):
        self.assertEqual(await self.start_shift(), Stage.SHIFT)
        self.set_replicas(v1=4, v2=1)
        self.running = 12
        await self.pass_time(3.0)
        self.assertEqual(self.leader().allowed.stage, Stage.SHIFT)
        self.set_replicas(v1=4, v2=4)
        await self.pass_time(1.0)
        self.assertEqual(self.leader().allowed.stage, Stage.DRAIN)

    async def test_drain_reverts_to_shift_while_a_domain_of_the_target_is_evacuated(self):
        await self.start_shift()
        await self.pass_time(1.0)
        self.assertEqual(self.leader().allowed.stage, Stage.DRAIN)
        self.running = 0
        self.set_replicas(v1=4, v2=1)
        await self.pass_time(0.3)
        self.assertEqual(self.leader().allowed.stage, Stage.SHIFT)
        await self.pass_time(30.0)
        self.assertEqual(self.store.status()["state"], "running")
        self.set_replicas(v1=4, v2=4)
        await self.pass_time(2.0)
        self.assertEqual(self.store.status()["state"], "succeeded")

    async def test_less_traffic_needs_less_capacity(self):
        await self.start_shift()
        self.set_replicas(v1=4, v2=1)
        self.running = 0
        self.arrivals -= 0.8 * RATE * STEP
        for _ in range(50):
            self.arrivals -= 0.8 * RATE * STEP
            await self.pass_time(STEP)
        self.assertEqual(self.store.status()["state"], "succeeded")

    async def test_flood_does_not_delay_the_shift_to_a_target_of_equal_size(self):
        self.running = 32
        leader = await self.start_rollout()
        self.judge(Verdict.GOOD)
        await self.pass_time(18.5)
        self.assertGreaterEqual(leader.coordination.coordinator_term.stage, Stage.SHIFT)

    async def test_flood_delays_the_shift_to_a_smaller_target(self):
        self.set_replicas(v1=4, v2=3)
        self.running = 32
        leader = await self.start_rollout()
        self.judge(Verdict.GOOD)
        await self.pass_time(18.5)
        self.assertEqual(leader.coordination.coordinator_term.stage, Stage.CANARY)

    async def test_cold_replicas_of_other_versions_do_not_make_a_target_large_enough(self):
        for node in self.nodes:
            node.fleet.all = [
                Replica(f"{version}-{n}", 0, version, 8, version == "v2" or n == 0)
                for version, number in (("v1", 4), ("v2", 3))
                for n in range(number)
            ]
        leader = await self.start_rollout()
        self.judge(Verdict.GOOD)
        self.running = CALLS
        await self.pass_time(18.5)
        self.assertEqual(leader.coordination.coordinator_term.stage, Stage.CANARY)

    async def test_canaries_are_spread_over_domains(self):
        for node in self.nodes:
            node.fleet.all = [
                Replica(f"{version}-{domain}-{n}", 0, version, 8, True, domain)
                for version in ("v1", "v2")
                for domain in ("east", "north", "west")
                for n in range(12)
            ]
        leader = await self.start_rollout()
        named = leader.allowed.replicas
        self.assertEqual({name.split("-")[1] for name in named}, {"east", "north", "west"})
        self.assertEqual(len(named), 3)

    async def test_target_receives_all_calls_after_the_deadline_if_no_other_replica_is_left(self):
        await self.start_rollout()
        self.set_replicas(v1=0, v2=4)
        await self.pass_time(18.0)
        self.assertEqual(self.leader().allowed.stage, Stage.CANARY)
        await self.pass_time(2.0)
        self.assertEqual(self.leader().allowed.stage, Stage.SHIFT)
        self.assertGreater(self.leader().allowed.calls, 1 << 30)
        self.assertEqual(self.store.status()["state"], "running")
        self.judge(Verdict.BAD)
        await self.pass_time(0.5)
        self.assertEqual(self.store.status()["state"], "rolled_back")
