"""A change reaches all nodes that can read the store, whoever reads it for them.

Symptom: requests on routes that a change had added were refused as unknown, and those with keys
that it had added as unauthorized, seconds after the store had confirmed it, by all nodes of a
failure domain alike. The nodes ran, and the store answered them.

The store turned away just the nodes that read it for the others. These others were told nothing,
and did not know that: a request that one of them refused with 404 shows ``configuration`` 4 and
``proof_age_ms`` 11477 in its line, while the store had confirmed version 5 over three seconds
before. Those that read are chosen among the members that are alive; whether they can read, and
whether what they read arrives, was known to nobody.
"""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from tests.platform.base import LONGEST_SECONDS
from tests.platform.operator import Callers, Operator
from tests.platform.processes import Daemon, ProcessFleet
from tests.platform.standins import TurnedAway

DAEMONS = 9
DOMAINS = 3
# A change is to be in force so many seconds after it was confirmed.
BOUND_SECONDS = 3.0
SETTLED_SECONDS = 4.0
CHANGES = 4


class UnheardTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name))
        self.operator = Operator(self.fleet.store)
        await self.fleet.add_replica()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.add_daemons(DAEMONS, DOMAINS)
        await self.fleet.until_ready()

    async def few_watching(self) -> list[Daemon]:
        """Wait until those alone watch that do so for the others, and return them.

        Until daemons know each other all of them watch, and those that were told nothing do so for
        some seconds.
        """
        async with asyncio.timeout(LONGEST_SECONDS):
            while True:
                self.fleet.forget_calls()
                await asyncio.sleep(SETTLED_SECONDS)
                watching = self.fleet.watching()
                if len(watching) < DAEMONS:
                    return watching

    async def test_changes_are_in_force_though_those_that_watch_are_turned_away(self):
        for how in (TurnedAway.BUSY, TurnedAway.SILENT):
            with self.subTest(how=how):
                watching = await self.few_watching()
                for daemon in watching:
                    daemon.turn_away(how)
                callers = await self.change()
                for daemon in watching:
                    daemon.answer()
                self.assertGreater(callers.served, 0)
                self.assertEqual(callers.old, [])

    async def change(self) -> Callers:
        """Change the configuration some times while callers ask for what it adds."""
        rng = random.Random(7)
        callers = Callers(self.fleet, self.operator, rng, BOUND_SECONDS, SETTLED_SECONDS)
        asking = asyncio.ensure_future(callers.run())
        for _ in range(CHANGES):
            self.operator.change()
            await asyncio.sleep(BOUND_SECONDS / 2)
        await asyncio.sleep(BOUND_SECONDS)
        asking.cancel()
        await callers.settle()
        return callers


if __name__ == "__main__":
    unittest.main()
