"""A large configuration reaches daemons that the store does not answer, in time.

Symptom: a version whose confirmation was over 9 s old was not in force at daemons to which the
store was silent. It was longer than what daemons send each other in one message.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from benchmarks.configurations import with_keys, with_routes
from tests.platform.base import KEY, LONGEST_SECONDS, configuration
from tests.platform.processes import Daemon, ProcessFleet
from tests.platform.standins import TurnedAway

DAEMONS = 6
DOMAINS = 3
# The store is silent to all daemons but this many.
SERVED = 2
# A change is to be in force so many seconds after it was confirmed.
BOUND_SECONDS = 2.0
LOOK_SECONDS = 0.02
NEW_KEY = "a-new-key"
MAKERS = {"keys": with_keys(15_000), "routes": with_routes(3500)}


class LargeConfigurationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name))
        self.fleet.store.put("config", "main", configuration(3))
        await self.fleet.add_replica()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.add_daemons(DAEMONS, DOMAINS)
        await self.fleet.until_ready()
        # A daemon that was just started does not know all others yet.
        await asyncio.sleep(BOUND_SECONDS)
        self.asked = 0

    async def status(self, daemon: Daemon, key: str) -> int:
        self.asked += 1
        answer = await self.fleet.call(
            daemon, "/again/", Authorization=f"Bearer {key}", Request_Id=f"r-{self.asked}"
        )
        return answer.status if answer is not None else 0

    async def in_force_after(self, daemon: Daemon, new: str, old: str) -> float:
        """Return after how many seconds ``daemon`` serves the key ``new`` and refuses ``old``."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(LONGEST_SECONDS):
            while await self.status(daemon, new) != 200 or await self.status(daemon, old) == 200:
                await asyncio.sleep(LOOK_SECONDS)
        return loop.time() - started

    async def assert_in_force_in_time(self, value: dict, new: str, old: str) -> None:
        self.fleet.store.put("config", "main", value)
        seconds = await asyncio.gather(
            *(self.in_force_after(daemon, new, old) for daemon in self.fleet.daemons)
        )
        self.assertLess(max(seconds), BOUND_SECONDS)

    async def test_large_configurations_reach_daemons_that_the_store_does_not_answer(self):
        for number, (name, make) in enumerate(MAKERS.items()):
            with self.subTest(many=name):
                for daemon in self.fleet.daemons[SERVED:]:
                    daemon.turn_away(TurnedAway.SILENT)
                version = 5 + 10 * number
                await self.assert_in_force_in_time(make(version, NEW_KEY), NEW_KEY, KEY)
                await self.assert_in_force_in_time(make(version + 3, KEY), KEY, NEW_KEY)
                for daemon in self.fleet.daemons:
                    daemon.answer()

    async def test_daemon_without_the_store_is_told_by_one_that_was_told_itself(self):
        *told, late = self.fleet.daemons
        await self.fleet.kill(late)
        for daemon in self.fleet.daemons[1:]:
            daemon.turn_away(TurnedAway.SILENT)
        self.fleet.store.put("config", "main", MAKERS["keys"](5, NEW_KEY))
        for daemon in told:
            await self.in_force_after(daemon, NEW_KEY, KEY)
        # The only one that the store has told.
        await self.fleet.kill(self.fleet.daemons[0])
        self.fleet.start(late)
        await self.in_force_after(late, NEW_KEY, KEY)


if __name__ == "__main__":
    unittest.main()
