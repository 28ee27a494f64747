"""A fleet over two regions: who dispatches, who serves, and what stays where it may be."""

import asyncio
import statistics
import time

import msgspec

from railsail.node import Node
from railsail.objects.catalog import hash_key
from railsail.standins.batching import EngineSettings
from railsail.upstreams.signs import Source
from tests.fleet.base import FleetTestCase, objects, whole

NORTH, SOUTH = "model-north", "model-south"
DOMAINS = "domain-0=north,domain-1=north,domain-2=south,domain-3=south"
PATH = "/services/desk/classify"


def bound(region: str) -> list[dict]:
    """Return the usual objects, and a workspace ``bound`` that may be served in ``region`` only."""
    return [
        *objects(never_repeat="request.method == 'POST' && request.pool == 'desk'"),
        {
            "kind": "workspace",
            "name": "bound",
            "priority_class": "gold",
            "policy": "plain",
            "key_hashes": [hash_key("key-of-bound")],
            "regions": [region],
        },
    ]


class RegionsTestCase(FleetTestCase):
    """Four nodes in two regions, an engine in each, a service replica in the south."""

    daemons = 4
    engine = EngineSettings(slots=2, decode_rate=100.0, load_lag=0.05)
    node_settings = {"domain_regions": DOMAINS}

    def add_replicas(self) -> None:
        self.fleet.add_engine(NORTH, "model", self.engine, "domain-0")
        self.fleet.add_engine(SOUTH, "model", self.engine, "domain-2")
        self.fleet.add_service("desk-south", "desk", "domain-3")

    def configuration(self) -> list[dict]:
        return bound("south")

    async def settle(self) -> None:
        await super().settle()
        nodes = self.fleet.nodes
        await self.until(lambda: all(len(n.directory.of_pool("model")) == 2 for n in nodes))
        await self.until(lambda: all(n.directory.of_pool("desk") for n in nodes))

    @property
    def north(self) -> list[Node]:
        return self.of_region("north")

    @property
    def south(self) -> list[Node]:
        return self.of_region("south")

    def of_region(self, region: str) -> list[Node]:
        return [n for n in self.fleet.nodes if n.membership.table.own.region == region]

    def dispatcher(self, asked: Node, region: str) -> str:
        """Return the node that dispatches the models of ``region``, by the word of ``asked``."""
        cells = asked.cells.cells("model")
        return asked.cells.dispatcher(next(cell for cell in cells if cell.region == region))

    def runs(self, engine: str) -> int:
        return len(self.fleet.engines[engine].log)

    def ask(self, nodes: list[Node], count: int, **more) -> list[asyncio.Task]:
        return [
            asyncio.ensure_future(self.complete(nodes[number % len(nodes)], **more))
            for number in range(count)
        ]

    async def assert_whole(self, calls: list[asyncio.Task]) -> None:
        for response in await asyncio.gather(*calls):
            self.assertEqual(response.code, 200)
            self.assertTrue(whole(response))

    def leave(self, replica: str) -> None:
        for node in self.fleet.nodes:
            node.directory.sign_leaving(replica, Source.LOAD, node.clock.wall())


class DispatchTests(RegionsTestCase):
    async def test_region_of_a_node_is_that_of_its_failure_domain(self):
        # Hand-overs and answers that are kept go by it, also where no node was told its region.
        self.assertEqual({n.settings.region for n in self.fleet.nodes}, {"default"})
        for node in self.fleet.nodes:
            members = node.membership.table.usable()
            known = {member.failure_domain: member.region for member in members}
            self.assertEqual(known, dict(pair.split("=") for pair in DOMAINS.split(",")))

    async def test_entries_keep_links_to_dispatchers_of_other_regions(self):
        await self.assert_whole(self.ask(self.north, 2))
        named = self.dispatcher(self.north[0], "south")
        await self.until(lambda: all(node.hub.connected(named) for node in self.north))

    async def test_each_region_is_dispatched_and_served_in_itself(self):
        for region, nodes in (("north", self.north), ("south", self.south)):
            named = {self.dispatcher(node, region) for node in self.fleet.nodes}
            self.assertEqual(len(named), 1)
            self.assertLessEqual(named, {node.settings.node_id for node in nodes})
        await self.assert_whole(self.ask(self.north, 4) + self.ask(self.south, 2))
        self.assertEqual((self.runs(NORTH), self.runs(SOUTH)), (4, 2))

    async def test_sums_of_service_go_over_the_dispatchers_alone(self):
        for node in self.fleet.nodes:
            named = {self.dispatcher(node, region) for region in ("north", "south")}
            self.assertEqual(set(node.tree._nodes("model")), named)

    async def test_flood_of_one_region_is_carried_by_the_other(self):
        await self.assert_whole(self.ask(self.north, 16, tokens=60))
        self.assertGreaterEqual(self.runs(SOUTH), 4)
        self.assertGreaterEqual(self.runs(NORTH), 4)
        self.assertEqual(self.runs(NORTH) + self.runs(SOUTH), 16)

    async def test_region_whose_replicas_leave_is_served_by_the_other(self):
        self.leave(NORTH)
        await self.assert_whole(self.ask(self.north, 4))
        self.assertEqual((self.runs(NORTH), self.runs(SOUTH)), (0, 4))

    async def test_tickets_that_wait_where_the_replicas_leave_go_elsewhere(self):
        # More calls than the replicas take, so that tickets wait until calls end.
        calls = self.ask(self.north, 16, tokens=60)
        await self.until(lambda: self.waiting() >= 1)
        waiting = self.waiting()
        self.leave(NORTH)
        await self.assert_whole(calls)
        self.assertGreaterEqual(self.runs(SOUTH), waiting)
        self.assertLessEqual(self.runs(NORTH), len(calls) - waiting)

    def waiting(self) -> int:
        """Return how many tickets of nodes in the north wait for a grant."""
        return sum(len(node.tickets.waiting()) for node in self.north)

    async def test_region_whose_dispatcher_is_lost_gets_another_of_its_own(self):
        lost = next(n for n in self.north if n.settings.node_id == self.dispatcher(n, "north"))
        (entry,) = [node for node in self.north if node is not lost]
        calls = self.ask([entry], 5)
        await self.until(lambda: self.runs(NORTH) >= 2)
        await self.fleet.kill(lost)
        await self.assert_whole(calls)
        await self.until(lambda: self.dispatcher(entry, "north") == entry.settings.node_id)
        self.assertEqual(self.runs(NORTH) + self.runs(SOUTH), 5)

    async def test_region_without_nodes_is_dispatched_by_another(self):
        for node in self.north:
            await self.fleet.kill(node)
        await self.settle()
        calls = self.ask(self.south, 16, tokens=60)
        await self.assert_whole(calls)
        self.assertGreaterEqual(self.runs(NORTH), 1)


class FarTests(RegionsTestCase):
    """Messages between the regions take their time."""

    WAY_SECONDS = 0.02

    async def settle(self) -> None:
        await super().settle()
        regions = {n.settings.node_id: n.membership.table.own.region for n in self.fleet.nodes}
        for node in self.fleet.nodes:
            self._delay(node, regions)

    def _delay(self, node: Node, regions: dict[str, str]) -> None:
        send, own = node.hub.send, regions[node.settings.node_id]

        def late(target: str, message: object) -> bool:
            if regions[target] == own:
                return send(target, message)
            asyncio.get_running_loop().call_later(self.WAY_SECONDS, send, target, message)
            return node.hub.connected(target)

        node.hub.send = late

    def told(self, kind: str) -> list[dict]:
        """Return the facts of all events of ``kind``."""
        events = [event for node in self.fleet.nodes for event in node.events]
        return [event.facts for event in events if event.kind == kind]

    async def test_nobody_waits_for_another_region_while_the_own_has_room(self):
        for _ in range(4):
            await self.assert_whole(self.ask(self.north, 2, tokens=2))
        waits = [facts["waited_ms"] for facts in self.told("granted")]
        self.assertLess(statistics.median(waits), 1000 * self.WAY_SECONDS)

    async def test_flood_is_carried_and_no_grant_comes_too_late(self):
        await self.assert_whole(self.ask(self.north, 1))
        await self.assert_whole(self.ask(self.north, 16, tokens=60))
        self.assertGreaterEqual(self.runs(SOUTH), 4)
        self.assertEqual(self.told("grant-returned"), [])

    async def test_bound_request_goes_straight_to_its_region(self):
        await self.assert_whole(self.ask(self.north, 2, workspace="bound", tokens=2))
        named = {facts["dispatcher"] for facts in self.told("granted")}
        self.assertEqual(named, {self.dispatcher(self.north[0], "south")})


class MixedTests(RegionsTestCase):
    """Nodes that know the regions beside others for which a pool is one cell."""

    daemons = 2

    async def test_all_is_served_once_while_nodes_disagree(self):
        for number in (2, 3):
            await self.fleet.add_node(f"domain-{number}")
        await self.settle()
        self.assertEqual({len(n.cells.cells("model")) for n in self.fleet.nodes}, {1, 2})
        await self.assert_whole(self.ask(self.fleet.nodes, 16))
        self.assertEqual(self.runs(NORTH) + self.runs(SOUTH), 16)


class CutTests(RegionsTestCase):
    def cut(self) -> None:
        """Let nothing pass between the regions, as a network that is cut between them does."""
        sides = [{node.settings.node_id for node in side} for side in (self.north, self.south)]
        for node in self.fleet.nodes:
            (side,) = [side for side in sides if node.settings.node_id in side]
            self._cut(node, side)

    def _cut(self, node: Node, side: set[str]) -> None:
        send, received = node.hub.send, node.hub._received

        def lose(target: str, message: object) -> bool:
            return send(target, message) if target in side else True

        def unheard(source: str, message: object) -> None:
            if source in side:
                received(source, message)

        node.hub.send, node.hub._received = lose, unheard

    async def test_regions_that_are_cut_off_go_on_with_their_own_replicas(self):
        self.cut()
        began = time.monotonic()
        await self.assert_whole(self.ask(self.north, 2) + self.ask(self.south, 2))
        # At once: nobody had to be given up first.
        self.assertLess(time.monotonic() - began, 2.0)
        self.assertEqual((self.runs(NORTH), self.runs(SOUTH)), (2, 2))
        for node in self.fleet.nodes:
            region = node.membership.table.own.region
            named = self.dispatcher(node, region)
            self.assertIn(named, {each.settings.node_id for each in self.of_region(region)})

    async def test_flood_in_a_region_that_is_cut_off_is_served_there(self):
        self.cut()
        await self.assert_whole(self.ask(self.north, 12))
        self.assertEqual(self.runs(NORTH) + self.runs(SOUTH), 12)


class AllowedTests(RegionsTestCase):
    async def test_request_runs_in_its_region_alone_also_beside_a_flood(self):
        flood = self.ask(self.south, 8, tokens=40)
        calls = self.ask(self.north, 4, workspace="bound", tokens=20)
        await self.assert_whole(flood + calls)
        served = {run.workspace for run in self.fleet.engines[NORTH].log}
        self.assertNotIn("bound", served)

    async def test_flood_that_is_bound_to_its_region_is_not_carried_by_the_other(self):
        await self.assert_whole(self.ask(self.south, 12, workspace="bound"))
        self.assertEqual((self.runs(NORTH), self.runs(SOUTH)), (0, 12))

    async def test_its_region_goes_on_when_its_dispatcher_is_lost(self):
        named = self.dispatcher(self.north[0], "south")
        lost = next(node for node in self.south if node.settings.node_id == named)
        calls = self.ask(self.north, 4, workspace="bound")
        await self.until(lambda: self.runs(SOUTH) >= 1)
        await self.fleet.kill(lost)
        await self.assert_whole(calls)
        self.assertEqual(self.runs(NORTH), 0)

    async def test_request_whose_region_has_no_replica_left_is_refused_at_once(self):
        self.leave(SOUTH)
        for nodes in (self.north, self.south):
            began = time.monotonic()
            responses = await asyncio.gather(*self.ask(nodes, 2, workspace="bound"))
            self.assertLess(time.monotonic() - began, 1.0)
            self.assertEqual([response.code for response in responses], [503, 503])
        await self.assert_whole(self.ask(self.north, 1))
        self.assertEqual((self.runs(NORTH), self.runs(SOUTH)), (1, 0))


class KeptAnswerTests(RegionsTestCase):
    async def twice(self, first: Node, second: Node):
        """Make a request that may run once at ``first``, and repeat it at ``second``."""
        responses = []
        for node in (first, second):
            responses.append(
                await self.call(
                    node,
                    PATH,
                    "POST",
                    {},
                    "bound",
                    Idempotency_Key="k1",
                    X_Deadline_Seconds="3",
                )
            )
        self.assertEqual(len(self.fleet.services["desk-south"].log), 1)
        return responses

    async def test_answer_is_kept_in_its_region(self):
        first, second = await self.twice(self.south[0], self.south[1])
        self.assertEqual((first.code, second.code), (200, 200))
        self.assertEqual(first.body, second.body)

    async def test_answer_is_not_kept_in_another_region(self):
        node = self.north[0]
        first, second = await self.twice(node, node)
        # It went to its caller; nothing of it stays here, and it does not run again.
        self.assertEqual((first.code, second.code), (200, 409))


class ConfigurationTests(RegionsTestCase):
    async def test_configuration_reaches_a_region_that_does_not_hear_the_store(self):
        for node in self.south:
            # Nothing that the store tells is taken in here.
            node.carrier.seen = node.carrier.listed = lambda told: None
        catalog = self.north[0].carrier.catalog
        newer = msgspec.structs.replace(catalog, version=catalog.version + 5)
        self.north[0].carrier._activate(newer, [], "")
        began = time.monotonic()
        nodes = self.fleet.nodes
        await self.until(lambda: all(n.carrier.catalog.version == newer.version for n in nodes))
        # Heartbeats alone would take a second for each hop.
        self.assertLess(time.monotonic() - began, 0.9)
