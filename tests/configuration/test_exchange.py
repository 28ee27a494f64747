"""A configuration of any size reaches nodes that the store does not answer.

Symptom: after an outage of the store for some nodes, these ran requests with keys that had been
taken away more than 9 s before. A configuration of 3,500 routes was longer than a message between
daemons may be, and each attempt to send it ended the link with all that was queued on it.
"""

import asyncio
import random
import unittest
from collections import defaultdict
from unittest import mock

from railsail.configuration import exchange as exchange_module
from railsail.configuration.carrier import ConfigurationCarrier
from railsail.configuration.changes import Snapshot, restore_steps
from railsail.configuration.exchange import MAX_PUSHED_BYTES, PIECE_BYTES, ConfigurationExchange
from railsail.configuration.repository import ConfigurationRepository
from railsail.configuration.updates import Update, announcement
from railsail.core.clock import Clock, steady_seconds
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.core.slices import run_at_once
from railsail.objects.catalog import Catalog
from railsail.peers.base import MAX_BLOB_BYTES
from railsail.peers.levels import NEWEST, PARTS, READS
from railsail.peers.messages import (
    ConfigurationNews,
    ConfigurationPiece,
    ConfigurationRequest,
    StateRequest,
)
from railsail.store.freshness import Freshness

MANY_KEYS = 15_000
FEW_KEYS = 10


def catalog(version: int, keys: int, first: int = 0) -> Catalog:
    hashes = [f"{number:064x}" for number in range(first, first + keys)]
    workspace = {"kind": "workspace", "name": "one", "priority_class": "c", "policy": "p"}
    objects = (workspace | {"key_hashes": hashes},)
    return run_at_once(restore_steps(Snapshot(version, objects)))


class Network:
    """Delivers messages between the hubs of several nodes, in order."""

    def __init__(self) -> None:
        self.hubs: dict[str, Hub] = {}
        self.sent: list[tuple[str, str, object]] = []
        # Nodes whose messages are lost.
        self.silent: set[str] = set()

    def deliver(self, source: str, target: str, message: object) -> None:
        self.sent.append((source, target, message))
        if source not in self.silent:
            asyncio.get_running_loop().call_soon(self.hubs[target].receive, source, message)

    def pieces(self, target: str) -> list[ConfigurationPiece]:
        return [m for _, to, m in self.sent if to == target and isinstance(m, ConfigurationPiece)]

    def requested_from(self) -> list[str]:
        return [to for _, to, m in self.sent if isinstance(m, ConfigurationRequest)]


class Hub:
    """The hub of one node; all others are its peers."""

    def __init__(self, node: str, network: Network) -> None:
        self.node = node
        self.network = network
        self.levels: defaultdict[str, int] = defaultdict(lambda: NEWEST)
        self.handlers = {}
        network.hubs[node] = self

    def handle(self, kind: type, handler) -> None:
        self.handlers[kind] = handler

    def on_down(self, listener) -> None:
        self.down = listener

    def connected(self, node: str) -> bool:
        return node in self.network.hubs

    def speaks(self, node: str, level: int) -> bool:
        return self.levels[node] >= level

    def send(self, node: str, message: object) -> bool:
        self.network.deliver(self.node, node, message)
        return True

    def receive(self, source: str, message: object) -> None:
        self.handlers.get(type(message), lambda node, received: None)(source, message)


class Peer:
    """One node: its carrier and its exchange."""

    def __init__(self, name: str, network: Network) -> None:
        clock = Clock()
        kernel = Kernel(clock, random.Random(1), EventLog(name, clock), Metrics())
        self.hub = Hub(name, network)
        self.updates: list[Update] = []
        self.carrier = ConfigurationCarrier(
            ConfigurationRepository(None, clock, kernel.rng),
            lambda update, source: self.updates.append(update),
            self.hub.send,
            Freshness(steady_seconds),
            60.0,
            kernel.events,
            kernel.metrics,
            kernel.rng,
        )
        self.exchange = ConfigurationExchange(self.carrier, self.hub, kernel)
        self.events = kernel.events

    def states(self) -> list[str]:
        return [str(event.facts.get("state", "")) for event in self.events.select("", 0, 4096)]


class ExchangeTestCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes that can reach each other."""

    def setUp(self):
        self.network = Network()
        self.a, self.b, self.c = (Peer(name, self.network) for name in "abc")

    def active(self, found: Catalog, *peers: Peer) -> None:
        for peer in peers:
            peer.carrier.activate(found, "x")

    async def until_active(self, peer: Peer, version: int) -> None:
        async with asyncio.timeout(30.0):
            while peer.carrier.catalog.version != version:
                await asyncio.sleep(0.001)


class ExchangeTests(ExchangeTestCase):
    async def test_configuration_longer_than_a_message_arrives_in_pieces(self):
        newest = catalog(8, MANY_KEYS)
        self.active(newest, self.a)
        self.a.exchange.send(self.b.hub.node, announcement(8))
        await self.until_active(self.b, 8)
        self.assertEqual(self.b.carrier.catalog, newest)
        pieces = self.network.pieces("b")
        self.assertGreater(sum(len(piece.body) for piece in pieces), MAX_BLOB_BYTES)
        self.assertLessEqual(max(len(piece.body) for piece in pieces), PIECE_BYTES)
        self.assertEqual(self.b.carrier.behind_seconds, 0.0)

    async def test_large_configuration_is_sent_once_though_several_peers_announce_it(self):
        self.active(catalog(8, MANY_KEYS), self.a, self.c)
        for _ in range(3):
            self.a.exchange.announce("b", 8)
            self.c.exchange.announce("b", 8)
        await self.until_active(self.b, 8)
        self.assertEqual(set(self.network.requested_from()), {"a"})
        pieces = self.network.pieces("b")
        self.assertEqual(sum(len(piece.body) for piece in pieces), pieces[0].size)

    async def test_peer_that_stops_answering_is_replaced_by_another_one(self):
        self.active(catalog(8, MANY_KEYS), self.a, self.c)
        self.network.silent.add("a")
        with mock.patch.object(exchange_module, "PIECE_TIMEOUT_SECONDS", 0.05):
            self.b.exchange.announced("a", 8)
            self.b.exchange.announced("c", 8)
            await self.until_active(self.b, 8)
        self.assertIn("stalled", self.b.states())

    async def test_peer_that_is_lost_is_replaced_by_another_one(self):
        self.active(catalog(8, MANY_KEYS), self.a, self.c)
        self.network.silent.add("a")
        self.b.exchange.announced("a", 8)
        self.b.exchange.announced("c", 8)
        self.b.hub.down("a")
        await self.until_active(self.b, 8)

    async def test_newer_version_replaces_one_that_is_being_sent(self):
        self.active(catalog(8, MANY_KEYS), self.a)
        self.a.exchange.announce("b", 8)
        while len(self.network.pieces("b")) < 2:
            await asyncio.sleep(0)
        newest = catalog(9, MANY_KEYS, first=1)
        self.active(newest, self.a)
        await self.until_active(self.b, 9)
        self.assertEqual(self.b.carrier.catalog, newest)

    async def test_small_change_of_a_large_configuration_is_sent_without_a_request(self):
        self.active(catalog(8, MANY_KEYS), self.a, self.b)
        self.active(catalog(9, MANY_KEYS, first=1), self.a)
        (update,) = self.a.updates[1:]
        self.assertLess(len(update.body), MAX_PUSHED_BYTES)
        self.a.exchange.send("b", update)
        await self.until_active(self.b, 9)
        self.assertEqual(self.network.requested_from(), [])
        hashes = self.b.carrier.catalog.workspace("one").key_hashes
        self.assertEqual(set(hashes), set(catalog(9, MANY_KEYS, 1).workspace("one").key_hashes))

    async def test_update_that_does_not_follow_the_own_version_is_requested(self):
        self.active(catalog(5, MANY_KEYS), self.a, self.b)
        for version in (8, 9):
            self.active(catalog(version, MANY_KEYS, first=version), self.a)
        self.a.exchange.send("b", self.a.updates[-1])
        await self.until_active(self.b, 9)
        self.assertEqual([piece.since for piece in self.network.pieces("b")], [8, 5])

    async def test_changes_that_do_not_fit_are_replaced_by_the_whole_configuration(self):
        self.active(catalog(5, FEW_KEYS), self.a)
        other = run_at_once(restore_steps(Snapshot(5, ())))
        self.active(other, self.b)
        self.active(catalog(8, FEW_KEYS, first=1), self.a)
        self.a.exchange.send("b", self.a.updates[-1])
        await self.until_active(self.b, 8)
        self.assertEqual(self.b.carrier.catalog, self.a.carrier.catalog)

    async def test_configuration_that_cannot_be_read_is_requested_once(self):
        self.active(catalog(8, FEW_KEYS), self.a)
        bad = Update(0, 8, b"not an update")
        with mock.patch.object(self.a.exchange, "_whole_update", mock.AsyncMock(return_value=bad)):
            for _ in range(3):
                self.a.exchange.announce("b", 8)
                await asyncio.sleep(0.01)
        self.assertEqual(self.network.requested_from(), ["a"])
        self.assertIn("rejected", self.b.states())
        self.assertEqual(self.b.carrier.version_seen, 8)

    async def test_other_tasks_run_while_a_large_configuration_is_read_and_written(self):
        self.active(catalog(8, 4 * MANY_KEYS), self.a)
        turns = 0

        async def count() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        self.a.exchange.announce("b", 8)
        counting = asyncio.ensure_future(count())
        await self.until_active(self.b, 8)
        counting.cancel()
        # Apart from those in which a piece is requested or sent.
        self.assertGreater(turns, 3 * len(self.network.pieces("b")))


class OlderPeerTests(ExchangeTestCase):
    """Peers of builds that do not know pieces of updates."""

    def setUp(self):
        super().setUp()
        self.a.hub.levels["b"] = self.b.hub.levels["a"] = PARTS

    async def test_older_peer_is_sent_the_configuration_as_it_knows_it(self):
        self.active(catalog(8, FEW_KEYS), self.a)
        self.a.exchange.send("b", announcement(8))
        ((_, _, message),) = self.network.sent
        self.assertIsInstance(message, ConfigurationNews)
        self.assertEqual((message.since, message.version), (0, 8))
        await self.until_active(self.b, 8)

    async def test_older_peer_is_sent_nothing_that_would_end_its_link(self):
        self.active(catalog(8, MANY_KEYS), self.a)
        self.a.exchange.send("b", announcement(8))
        self.a.exchange.send_newer("b", 0)
        self.assertEqual(self.network.sent, [])

    async def test_configuration_of_an_older_peer_is_requested_as_it_knows_it(self):
        self.b.exchange.announced("a", 8)
        self.assertEqual(self.network.sent, [("b", "a", StateRequest(0))])


ROUTE = {"kind": "route", "name": "r", "host": "a.example", "prefix": "/a/"}
PUBLIC, CLOSED = ({**ROUTE, "pools": [{"pool": "p"}], "public": public} for public in (True, False))
WORKSPACE = {"kind": "workspace", "name": "one", "priority_class": "c", "policy": "p"}
WORKSPACE |= {"key_hashes": []}


class AccessTests(ExchangeTestCase):
    """Peers whose builds decide by the number of workspaces whether routes need a key.

    They have read from the store that no route is public, with workspaces and without any.
    """

    def setUp(self):
        super().setUp()
        self.set_level(READS)

    def set_level(self, level: int) -> None:
        self.a.hub.levels["b"] = self.b.hub.levels["a"] = level

    def catalog(self, version: int, *objects: dict) -> Catalog:
        return run_at_once(restore_steps(Snapshot(version, objects)))

    def is_public(self) -> bool:
        return self.b.carrier.catalog.resources[("route", "r")].public

    async def send(self) -> None:
        """Let the older peer send its newest update, and wait until nothing is sent any more."""
        self.a.exchange.send("b", self.a.updates[-1])
        sent = -1
        while sent != len(self.network.sent):
            sent = len(self.network.sent)
            await asyncio.sleep(0.01)

    async def test_configuration_with_workspaces_is_taken(self):
        for level in (PARTS, READS):
            self.setUp()
            self.set_level(level)
            self.active(self.catalog(5, CLOSED, WORKSPACE), self.a)
            await self.send()
            self.assertEqual(self.b.carrier.catalog.version, 5)
            self.assertFalse(self.is_public())

    async def test_configuration_without_workspaces_is_taken_of_a_peer_that_says_who_needs_keys(
        self,
    ):
        for level in (PARTS, READS):
            self.setUp()
            self.set_level(level)
            self.active(self.catalog(5, CLOSED), self.a)
            await self.send()
            self.assertEqual(self.b.carrier.catalog.version, 0)
            self.assertIn("rejected", self.b.states())
            self.active(self.catalog(5, PUBLIC), self.c)
            self.c.exchange.announce("b", 5)
            await self.until_active(self.b, 5)
            self.assertTrue(self.is_public())

    async def test_peer_that_comes_back_with_this_build_is_asked_again(self):
        self.active(self.catalog(5, PUBLIC), self.a)
        await self.send()
        self.assertEqual(self.b.carrier.catalog.version, 0)
        self.b.hub.down("a")
        self.set_level(NEWEST)
        self.a.exchange.announce("b", 5)
        await self.until_active(self.b, 5)
        self.assertTrue(self.is_public())

    async def test_change_to_workspaces_does_not_leave_routes_open(self):
        self.active(self.catalog(5, PUBLIC), self.b)
        self.active(self.catalog(5, CLOSED), self.a)
        self.active(self.catalog(8, CLOSED, WORKSPACE), self.a)
        await self.send()
        self.assertEqual(self.b.carrier.catalog.version, 8)
        self.assertFalse(self.is_public())

    async def test_change_to_no_workspaces_does_not_close_routes(self):
        self.active(self.catalog(5, CLOSED, WORKSPACE), self.a, self.b)
        self.active(self.catalog(8, CLOSED), self.a)
        await self.send()
        self.assertEqual(self.b.carrier.catalog.version, 5)
        # What this node reads from the store itself comes into force.
        self.active(self.catalog(8, PUBLIC), self.b)
        self.assertTrue(self.is_public())


if __name__ == "__main__":
    unittest.main()
