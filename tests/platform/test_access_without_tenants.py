"""A configuration with an empty list of tenants admits nobody.

Symptom: an operator took the last tenant away, and with it the last keys. From then on all daemons
ran every request, on routes that are not anonymous too: with the key that was taken away, with keys
that no configuration had held, and without a key.

Cause: whether a key is needed was decided by the number of workspaces, which is 0 for an empty list
and for a configuration without one.
"""

import asyncio
import tempfile
import unittest
from pathlib import Path

from railsail.node import Node
from tests.platform.base import KEY, LONGEST_SECONDS, Answer, PlatformTestCase, configuration
from tests.platform.processes import Daemon, ProcessFleet
from tests.platform.standins import TurnedAway, answering

OTHER_KEY = "the-key-of-two"
NEVER_HELD = "a-key-that-nobody-held"
KEYS = (KEY, OTHER_KEY, NEVER_HELD, "")
ONE = {"name": "one", "api_keys": [KEY]}
TWO = {"name": "two", "api_keys": [OTHER_KEY]}
# Routes that are not anonymous; the last two are called to resume a stream.
CLOSED = ("/again/", "/once/", "/stream/", "/resume/")
# A configuration that has no list of tenants.
ABSENT = None
EMPTY: dict[str, list[list[dict] | None]] = {
    "the last tenant is taken away": [[ONE], []],
    "two tenants are taken away at once": [[ONE, TWO], []],
    "the last keys are taken away first": [[ONE], [ONE | {"api_keys": []}], []],
    "a list appears, and is empty": [ABSENT, []],
    "the first version has an empty list": [[]],
    "a further version has an empty list too": [[ONE], [], []],
}
NO_LIST: dict[str, list[list[dict] | None]] = {
    "from the first version on": [ABSENT],
    "after a list": [[ONE], ABSENT],
    "after an empty list": [[], ABSENT],
}
# A change is to be in force at all daemons so many seconds after it was acknowledged.
BOUND_SECONDS = 2.0


def with_tenants(version: int, tenants: list[dict] | None) -> dict:
    """Return a configuration with a route of its own; with ``None`` it has no list of tenants."""
    value = configuration(version) | {"tenants": tenants}
    if tenants is ABSENT:
        del value["tenants"]
    like = value["routes"][1]
    value["routes"].append(like | {"name": "new", "path_prefix": f"/new-{version}/"})
    return value


class AccessTestCase(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.replica = await self.add_replica(answering())
        self.version = 0

    async def follow(self, versions: list[list[dict] | None]) -> list[Node]:
        """Put ``versions`` in force, and return a daemon that saw them all and one that did not."""
        first, *later = versions
        self.put(first)
        node = await self.add_ready_node()
        for tenants in later:
            self.put(tenants)
            await self.until(lambda: node.carrier.catalog.version == self.version)
        return [node, await self.add_ready_node()]

    def put(self, tenants: list[dict] | None) -> None:
        self.version += 3
        self.store.put("config", "main", with_tenants(self.version, tenants))

    async def add_ready_node(self) -> Node:
        node = await self.add_node()
        await self.until(lambda: not node.not_ready() and node.directory.all())
        return node

    async def stop_nodes(self) -> None:
        while self.nodes:
            await self.nodes.pop().stop()

    async def ask(self, node: Node, key: str, target: str, **headers: str) -> Answer:
        authorization = f"Bearer {key}" if key else ""
        return await self.call(node, target, Authorization=authorization, **headers)

    async def assert_admits_nobody(self, node: Node, keys: tuple[str, ...] = KEYS) -> None:
        """Check that no request with one of ``keys`` runs, but those of anonymous routes."""
        before = len(self.replica.received)
        for target in (*CLOSED, f"/new-{self.version}/"):
            for key in keys:
                for headers in ({}, {"Tenant": "one"}, {"Last_Event_Id": "1", "Resumes": "r-0"}):
                    answer = await self.ask(node, key, target, **headers)
                    self.assertEqual(answer.status, 401, (target, key, headers))
        self.assertEqual(len(self.replica.received), before)
        await self.assert_runs_for_nobody(node, "/public/", keys)

    async def assert_runs_for_nobody(self, node: Node, target: str, keys: tuple[str, ...]) -> None:
        """Check that requests run, with any of ``keys``, as those of no tenant."""
        for key in keys:
            answer = await self.ask(node, key, target, Tenant="one")
            self.assertEqual(answer.status, 200, (target, key))
            received = self.replica.received[-1].headers
            self.assertNotIn("Tenant", received)
            self.assertNotIn("Authorization", received)


class EmptyListTests(AccessTestCase):
    async def test_empty_list_of_tenants_admits_nobody(self):
        for name, versions in EMPTY.items():
            with self.subTest(name):
                for node in await self.follow(versions):
                    await self.assert_admits_nobody(node)
                await self.stop_nodes()

    async def test_operators_see_how_many_routes_need_no_key(self):
        node, _ = await self.follow([[ONE], [], ABSENT])
        lines = [
            event.facts for event in node.events.select("", 0, 4096) if event.detail == "in force"
        ]
        counts = [(line["workspaces"], line["routes"], line["public_routes"]) for line in lines]
        self.assertEqual(counts, [(1, 7, 1), (0, 7, 1), (0, 7, 7)])

    async def test_tenant_that_follows_an_empty_list_is_admitted_alone(self):
        node, *_ = await self.follow([[ONE], [], [TWO]])
        self.assertEqual((await self.ask(node, OTHER_KEY, "/once/")).status, 200)
        self.assertEqual(self.replica.received[-1].headers["Tenant"], "two")
        await self.assert_admits_nobody(node, (KEY, NEVER_HELD, ""))

    async def test_list_that_cannot_be_read_leaves_the_version_before_in_force(self):
        node, _ = await self.follow([[ONE]])
        self.store.put("config", "main", with_tenants(9, []) | {"tenants": None})
        await self.until(node.metrics.unreadable_objects.get_all)
        self.assertEqual((await self.ask(node, KEY, "/once/")).status, 200)
        for key in (NEVER_HELD, ""):
            self.assertIn((await self.ask(node, key, "/once/")).status, (401, 503))
        self.assertEqual(len(self.replica.received), 1)


class NoListTests(AccessTestCase):
    async def test_no_key_is_needed_where_there_is_no_list_of_tenants(self):
        for name, versions in NO_LIST.items():
            with self.subTest(name):
                for node in await self.follow(versions):
                    for target in ("/again/", "/once/", "/public/", f"/new-{self.version}/"):
                        await self.assert_runs_for_nobody(node, target, KEYS)
                await self.stop_nodes()

    async def test_keys_are_needed_once_a_list_appears(self):
        for node in await self.follow([ABSENT, [ONE]]):
            self.assertEqual((await self.ask(node, KEY, "/once/")).status, 200)
            self.assertEqual(self.replica.received[-1].headers["Tenant"], "one")
            await self.assert_admits_nobody(node, (OTHER_KEY, NEVER_HELD, ""))


class FleetTests(unittest.IsolatedAsyncioTestCase):
    """Three daemons as processes; all but the first are told by their peers alone."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = ProcessFleet(Path(folder.name))
        self.asked = 0
        await self.fleet.add_replica()
        self.addAsyncCleanup(self.fleet.stop)

    async def start(self, tenants: list[dict] | None) -> None:
        self.fleet.store.put("config", "main", with_tenants(3, tenants))
        await self.fleet.add_daemons(3, 3)
        await self.fleet.until_ready()
        # A daemon that was just started does not know all others yet.
        await asyncio.sleep(BOUND_SECONDS)
        for daemon in self.fleet.daemons[1:]:
            daemon.turn_away(TurnedAway.SILENT)

    async def statuses(self, daemon: Daemon, target: str, keys: tuple[str, ...]) -> set[int]:
        """Return the statuses of calls to ``target``, with each of ``keys``."""
        answers = set()
        for key in keys:
            self.asked += 1
            authorization = f"Bearer {key}" if key else ""
            answer = await self.fleet.call(
                daemon, target, Authorization=authorization, Request_Id=f"r-{self.asked}"
            )
            answers.add(answer.status if answer is not None else 0)
        return answers

    async def until_new_route(self, daemon: Daemon, version: int, statuses: set[int]) -> float:
        """Return after how many seconds the route that ``version`` adds has ``statuses`` only."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(LONGEST_SECONDS):
            while await self.statuses(daemon, f"/new-{version}/", KEYS) != statuses:
                await asyncio.sleep(0.02)
        return loop.time() - started

    async def assert_admit_nobody(self) -> None:
        for daemon in self.fleet.daemons:
            for target in ("/again/", "/once/"):
                self.assertEqual(await self.statuses(daemon, target, KEYS), {401})
            self.assertEqual(await self.statuses(daemon, "/public/", KEYS), {200})

    async def test_daemons_that_peers_told_of_an_empty_list_admit_nobody(self):
        await self.start([ONE])
        self.fleet.store.put("config", "main", with_tenants(8, []))
        seconds = await asyncio.gather(
            *(self.until_new_route(daemon, 8, {401}) for daemon in self.fleet.daemons)
        )
        self.assertLess(max(seconds), BOUND_SECONDS)
        await self.assert_admit_nobody()
        for daemon in self.fleet.daemons[1:]:
            await self.fleet.kill(daemon)
            self.fleet.start(daemon)
            await self.until_new_route(daemon, 8, {401})
        await self.assert_admit_nobody()
        for daemon in self.fleet.daemons:
            daemon.answer()
            await self.fleet.kill(daemon)
        for daemon in self.fleet.daemons:
            self.fleet.start(daemon)
            await self.until_new_route(daemon, 8, {401})
        await self.assert_admit_nobody()

    async def test_daemons_that_peers_told_of_a_list_that_appears_ask_for_keys(self):
        await self.start(ABSENT)
        for version, tenants, new in ((5, [], {401}), (8, ABSENT, {200}), (11, [TWO], {200, 401})):
            self.fleet.store.put("config", "main", with_tenants(version, tenants))
            seconds = await asyncio.gather(
                *(self.until_new_route(daemon, version, new) for daemon in self.fleet.daemons)
            )
            self.assertLess(max(seconds), BOUND_SECONDS)
        for daemon in self.fleet.daemons:
            self.assertEqual(await self.statuses(daemon, "/once/", (OTHER_KEY,)), {200})
            self.assertEqual(await self.statuses(daemon, "/once/", (KEY, NEVER_HELD, "")), {401})


if __name__ == "__main__":
    unittest.main()
