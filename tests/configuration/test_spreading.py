"""Which neighbours are sent a configuration whole, and which only its version."""

import asyncio
import unittest
from dataclasses import replace

from railsail.configuration.spreading import ANNOUNCE_DELAY_SECONDS, ConfigurationSpread
from railsail.configuration.updates import Update, announcement
from railsail.membership.table import MemberTable
from tests.membership.test_table import member

UPDATE = Update(0, 7, b"{}")


class Membership:
    """A member table whose other members are all neighbours, by their regions."""

    def __init__(self, **regions: str) -> None:
        self.table = MemberTable(replace(member("own"), region="north"))
        for node, region in regions.items():
            self.table.merge(replace(member(node), region=region), 0.0)
        self._neighbours = list(regions)

    def neighbours(self) -> list[str]:
        return self._neighbours


class SpreadTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent: list[tuple[str, Update]] = []

    def send(self, node: str, update: Update) -> None:
        self.sent.append((node, update))

    def announce(self, node: str, version: int) -> None:
        self.sent.append((node, announcement(version)))

    def spread(self, **regions: str) -> ConfigurationSpread:
        return ConfigurationSpread(Membership(**regions), self)

    async def announced(self) -> list[tuple[str, Update]]:
        self.sent.clear()
        await asyncio.sleep(2 * ANNOUNCE_DELAY_SECONDS)
        return self.sent

    async def test_all_neighbours_of_the_region_but_the_source_are_sent_the_configuration(self):
        self.spread(a="north", b="north", c="north").send(UPDATE, "b")
        self.assertEqual(self.sent, [("a", UPDATE), ("c", UPDATE)])
        self.assertEqual(await self.announced(), [])

    async def test_neighbours_in_other_regions_are_sent_the_version(self):
        self.spread(a="north", b="south").send(UPDATE)
        self.assertEqual(self.sent, [("a", UPDATE)])
        self.assertEqual(await self.announced(), [("b", announcement(7))])

    async def test_versions_in_quick_succession_are_announced_once(self):
        spread = self.spread(b="south")
        spread.send(UPDATE)
        spread.send(Update(0, 9, b"{}"))
        self.assertEqual(await self.announced(), [("b", announcement(9))])

    async def test_source_in_another_region_is_not_sent_the_configuration(self):
        self.spread(a="north", b="south").send(UPDATE, "b")
        self.assertEqual(self.sent, [("a", UPDATE)])


if __name__ == "__main__":
    unittest.main()
