"""An empty list of allowed regions allows none, unlike a list that is not there.

Symptom: as the last region of a route or of a tenant was taken away, its requests ran in all
regions. The empty list was read as no list.
"""

import unittest

from railsail.node import Node
from tests.platform.base import PlatformTestCase, configuration
from tests.platform.standins import answering

NORTH: dict[str, object] = {"allowed_regions": ["north"]}
NOWHERE: dict[str, object] = {"allowed_regions": []}
# Routes of tenants, of which the first is restricted.
RESTRICTED, OTHER = "/again/", "/once/"


def restricted(version: int, route: dict[str, object], tenant: dict[str, object]) -> dict:
    """Return a configuration with further fields for one route and for the tenant."""
    value = configuration(version, again=route)
    value["tenants"][0].update(tenant)
    return value


class AllowedRegionsTests(PlatformTestCase):
    async def assert_statuses(self, node: Node, value: dict, restricted: int, other: int) -> None:
        """Put ``value`` in force, and check what both routes answer and that no more ran."""
        self.store.put("config", "main", value)
        await self.until(lambda: node.carrier.catalog.version == value["version"])
        (replica,) = self.replicas
        before = len(replica.received)
        answers = [await self.call(node, target) for target in (RESTRICTED, OTHER)]
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses, [restricted, other])
        self.assertEqual(len(replica.received) - before, statuses.count(200))
        for answer in answers:
            # What did not run may be tried again: another version may allow a region.
            self.assertEqual("Retry-After" in answer.headers, answer.status == 503)
        # Requests of no tenant are restricted by their route alone.
        public = await self.call(node, "/public/", Authorization="")
        self.assertEqual(public.status, 200)

    async def assert_empty_lists_allow_none(self, node: Node) -> None:
        await self.assert_statuses(node, restricted(4, NOWHERE, {}), 503, 200)
        await self.assert_statuses(node, restricted(5, {}, {}), 200, 200)
        await self.assert_statuses(node, restricted(6, {}, NOWHERE), 503, 503)
        await self.assert_statuses(node, restricted(7, NOWHERE, NOWHERE), 503, 503)
        await self.assert_statuses(node, restricted(8, {}, {}), 200, 200)

    async def test_empty_list_allows_none_in_a_fleet_of_one_region(self):
        await self.assert_empty_lists_allow_none(await self.serve(answering()))

    async def test_empty_list_allows_none_in_a_fleet_of_two_regions(self):
        node = await self.serve(answering(), domain_regions="a=north,b=south")
        await self.assert_empty_lists_allow_none(node)
        # The last region of the route, of the tenant and of both is taken away.
        await self.assert_statuses(node, restricted(9, NORTH, NORTH), 200, 200)
        await self.assert_statuses(node, restricted(10, NOWHERE, NORTH), 503, 200)
        await self.assert_statuses(node, restricted(11, NORTH, NOWHERE), 503, 503)
        await self.assert_statuses(node, restricted(12, NOWHERE, NOWHERE), 503, 503)
        await self.assert_statuses(node, restricted(13, NORTH, NORTH), 200, 200)


if __name__ == "__main__":
    unittest.main()
