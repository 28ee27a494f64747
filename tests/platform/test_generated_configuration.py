"""Any configuration that the platform's types can carry comes into force at daemons in time.

It is read from the store by some daemons, told to others to which the store is silent, and is in
force again after all daemons were killed and started again.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.platform.base import LONGEST_SECONDS, configuration
from tests.platform.processes import Daemon, ProcessFleet
from tests.platform.standins import TurnedAway

SEED = 1
EXAMPLES = 6
DAEMONS = 3
SERVED = 1
BOUND_SECONDS = 2.0
LOOK_SECONDS = 0.02
UNKNOWN = frozenset({401, 403, 404})
OK = 200
TEXTS = st.text(st.characters(codec="utf-8"), max_size=300)
COUNTS = st.sampled_from([0, 1, 64, 65, 1000, 9000])
NUMBERS = st.integers(-(1 << 62), 1 << 62)
TENANTS = st.lists(
    st.fixed_dictionaries(
        {"name": TEXTS},
        optional={"count": COUNTS, "priority": NUMBERS, "allowed_regions": st.lists(TEXTS)},
    ),
    max_size=5,
)
SERVICES = st.lists(
    st.fixed_dictionaries({"name": TEXTS}, optional={"cold_start_s": NUMBERS}), max_size=5
)
ROUTES = st.lists(
    st.fixed_dictionaries(
        {"name": TEXTS, "path_prefix": TEXTS.map(lambda text: f"/{text}/"), "timeout_ms": NUMBERS},
        optional={
            "priority": NUMBERS,
            "slo_ms": NUMBERS,
            "max_attempts": NUMBERS,
            "backends": st.lists(
                st.fixed_dictionaries({"service": TEXTS, "weight": NUMBERS}), max_size=90
            ),
        },
    ),
    max_size=5,
)
# How many further routes there are.
MORE_ROUTES = st.sampled_from([0, 3, 1200])


class GeneratedConfigurationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name))
        self.version, self.asked = 3, 0
        self.fleet.store.put("config", "main", configuration(self.version))
        await self.fleet.add_replica()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.add_daemons(DAEMONS, DAEMONS)
        await self.fleet.until_ready()
        await asyncio.sleep(BOUND_SECONDS)

    def value(self, tenants: list, services: list, routes: list, more: int) -> dict:
        """Return the next version: what was generated, and a key and a route that say which."""
        self.version += 5
        value = configuration(self.version, keys=[f"key-{self.version}"])
        like = value["routes"][1]
        for number, tenant in enumerate(tenants):
            count = tenant.pop("count", 1)
            keys = [f"tenant-{number}-{key}" for key in range(count)]
            value["tenants"].append(tenant | {"api_keys": keys})
        value["services"] += services
        value["routes"] += [like | {"host": "b.example"} | route for route in routes]
        value["routes"] += [
            like | {"name": f"more-{number}", "path_prefix": f"/more/{number}/"}
            for number in range(more)
        ]
        value["routes"].append(like | {"name": "new", "path_prefix": f"/new-{self.version}/"})
        return value

    async def status(self, daemon: Daemon, version: int, target: str) -> int:
        self.asked += 1
        answer = await self.fleet.call(
            daemon, target, Authorization=f"Bearer key-{version}", Request_Id=f"r-{self.asked}"
        )
        return answer.status if answer is not None else 0

    async def is_in_force(self, daemon: Daemon) -> bool:
        """Return True if the newest key and route are served and the key before is not."""
        before, newest = self.version - 5, self.version
        return (
            await self.status(daemon, newest, f"/new-{newest}/") == OK
            and await self.status(daemon, before, "/again/") in UNKNOWN
        )

    async def seconds_until_in_force(self, daemons: list[Daemon]) -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(LONGEST_SECONDS):
            for daemon in daemons:
                while not await self.is_in_force(daemon):
                    await asyncio.sleep(LOOK_SECONDS)
        return loop.time() - started

    async def play(self, *generated) -> None:
        for daemon in self.fleet.daemons[SERVED:]:
            daemon.turn_away(TurnedAway.SILENT)
        self.fleet.store.put("config", "main", self.value(*generated))
        seconds = await self.seconds_until_in_force(self.fleet.daemons)
        self.assertLess(seconds, BOUND_SECONDS)
        for daemon in self.fleet.daemons:
            daemon.answer()
            await self.fleet.kill(daemon)
        for daemon in self.fleet.daemons:
            self.fleet.start(daemon)
        await self.seconds_until_in_force(self.fleet.daemons)

    async def test_generated_configurations_come_into_force_and_survive_a_restart(self):
        generated = []

        @seed(SEED)
        @settings(
            max_examples=EXAMPLES,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
            deadline=None,
        )
        @given(st.tuples(TENANTS, SERVICES, ROUTES, MORE_ROUTES))
        def generate(example: tuple) -> None:
            generated.append(example)

        generate()
        for example in generated:
            with self.subTest(example=example):
                await self.play(*example)


if __name__ == "__main__":
    unittest.main()
