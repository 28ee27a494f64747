"""A node asks its peers where a stream began, whatever their build and however late they reply."""

import asyncio
import random
import unittest
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.membership.table import Member, MemberState
from railsail.peers.levels import READS
from railsail.peers.link import Identity
from railsail.peers.messages import StreamBegun, StreamQuery, StreamReply
from railsail.peers.records import OriginRecord
from railsail.streams import candidates, certainty, service
from railsail.streams.certainty import Uncertainty
from railsail.streams.latest import LatestPlaces, ReadFailed
from railsail.streams.origins import StreamOrigin, stream_key
from railsail.streams.service import StreamOrigins
from railsail.streams.stored import HostPool, PoolVersion
from railsail.upstreams.directory import UpstreamDirectory

OWN = "n0"
HOST = "a.example"
V1 = StreamOrigin("model", "v1")
KNOWN = [OriginRecord("model", "v1")]
WAIT = 2.0
FAILED = ReadFailed("the store is away")


class Hub:
    """Links to peers, of which some may be down or of an older build."""

    def __init__(self) -> None:
        self.own = Identity(OWN, 1)
        self.down: set[str] = set()
        self.older: set[str] = set()
        # Builds that do not read the store for others.
        self.unable: set[str] = set()
        self.handlers = {}
        self.up_listeners = []
        self.sent: list[tuple[str, object]] = []
        self.dialled: list[str] = []

    def handle(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def on_up(self, listener) -> None:
        self.up_listeners.append(listener)

    def connected(self, node: str) -> bool:
        return node not in self.down

    def speaks(self, node: str, level: int) -> bool:
        return node not in self.down | self.older | (self.unable if level >= READS else set())

    def dial(self, node: str) -> None:
        self.dialled.append(node)

    def send(self, node: str, message) -> bool:
        if node in self.down:
            return False
        self.sent.append((node, message))
        return True

    def bring_up(self, node: str) -> None:
        self.down.discard(node)
        for listener in self.up_listeners:
            listener(Identity(node, 1))

    def pop(self, kind) -> list[tuple[str, object]]:
        found = [pair for pair in self.sent if isinstance(pair[1], kind)]
        self.sent = [pair for pair in self.sent if not isinstance(pair[1], kind)]
        return found


class View:
    """A fleet of members that can all be reached."""

    def __init__(self, count: int) -> None:
        self._members = [
            Member(f"n{number}", 1, 0, MemberState.ALIVE, 1, "a", "") for number in range(count)
        ]

    def usable_members(self) -> list[Member]:
        return self._members


class Reader:
    """Reads of the store that have ``result``."""

    longest_wait = 0.01

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.result: LatestPlaces | ReadFailed | None = None
        self.count = 0

    async def read(self) -> LatestPlaces | ReadFailed:
        self.count += 1
        return self.result or LatestPlaces(self._clock.monotonic(), frozenset(), 0)


class ServiceTestCase(unittest.IsolatedAsyncioTestCase):
    members = 4

    def setUp(self):
        clock = Clock()
        self.kernel = Kernel(clock, random.Random(1), EventLog(OWN, clock), Metrics())
        self.hub = Hub()
        self.proof_age = 0.0
        self.reader = Reader(clock)
        directory = UpstreamDirectory(lambda *args: None, self.kernel.events)
        self.origins = StreamOrigins(
            directory,
            View(self.members),
            set,
            lambda: self.proof_age,
            lambda: 1,
            self.reader,
            WAIT,
            True,
            "",
            self.hub,
            self.kernel,
        )

    def find(self, resumes: str = "r-1") -> asyncio.Task:
        return asyncio.ensure_future(self.origins.find("r-2", "one", HOST, resumes))

    async def queries(self) -> list[tuple[str, StreamQuery]]:
        await asyncio.sleep(0)
        return self.hub.pop(StreamQuery)

    def reply(self, node: str, query: StreamQuery, known=(), possible=(), complete=False) -> None:
        message = StreamReply(query.number, list(known), 5, list(possible), complete)
        self.hub.handlers[StreamReply](node, message)


class QueryTests(ServiceTestCase):
    async def test_first_peer_that_knows_the_stream_decides(self):
        finding = self.find()
        queries = await self.queries()
        self.assertEqual({node for node, _ in queries}, {"n1", "n2", "n3"})
        self.reply("n1", queries[0][1])
        self.reply("n2", queries[0][1], KNOWN)
        self.assertEqual(await finding, V1)

    async def test_wait_ends_when_all_peers_have_replied(self):
        with mock.patch.object(service, "QUERY_SECONDS", 30.0):
            finding = self.find()
            queries = await self.queries()
            for node, query in queries:
                self.reply(node, query)
            self.assertIsNone(await asyncio.wait_for(finding, 5.0))

    async def test_paused_peers_are_not_waited_for(self):
        with mock.patch.object(service, "QUERY_SECONDS", 0.01):
            self.assertIsNone(await self.find())

    async def test_peer_without_a_link_is_asked_when_there_is_one(self):
        self.hub.down = {"n1", "n2", "n3"}
        with mock.patch.object(service, "QUERY_SECONDS", 30.0):
            finding = self.find()
            self.assertEqual(await self.queries(), [])
            self.hub.bring_up("n2")
            ((node, query),) = await self.queries()
            self.reply(node, query, KNOWN)
            self.assertEqual(await asyncio.wait_for(finding, 5.0), V1)

    async def test_peers_of_older_builds_are_not_waited_for(self):
        self.hub.older = {"n1", "n2", "n3"}
        with mock.patch.object(service, "QUERY_SECONDS", 30.0):
            self.assertIsNone(await asyncio.wait_for(self.find(), 5.0))
        self.assertEqual(self.hub.pop(StreamQuery), [])

    async def test_late_reply_is_ignored(self):
        with mock.patch.object(service, "QUERY_SECONDS", 0.01):
            finding = self.find()
            ((node, query), *_) = await self.queries()
            await finding
            self.reply(node, query, KNOWN)

    async def test_versions_that_peers_know_count(self):
        other = [OriginRecord("model", "v2")]
        for possible, found in ((KNOWN, V1), ([*KNOWN, *other], None)):
            finding = self.find()
            for node, query in await self.queries():
                self.reply(node, query, possible=possible, complete=node == "n1")
            self.assertEqual(await finding, found)

    async def test_peers_that_may_have_missed_changes_prove_nothing(self):
        self.reader.result = FAILED
        self.reader.longest_wait = 30.0
        finding = self.find()
        for _ in range(2):
            for node, query in await self.queries():
                self.reply(node, query, possible=KNOWN)
        self.assertIsNone(await finding)


class ReadTests(ServiceTestCase):
    """Only a read of the store that is started after a caller has returned shows all places."""

    async def test_place_that_is_read_counts(self):
        versions = frozenset({PoolVersion("model", "v1"), PoolVersion("model", "v2")})
        self.reader.result = LatestPlaces(0.0, versions, 0)
        self.origins.history.observe_pools({HOST: ["model"]}, 0.0)
        self.assertIsNone(await self.find(""))
        metric = self.kernel.metrics.resumed_streams
        self.assertEqual(metric.get({"result": Uncertainty.SEVERAL_ORIGINS}), 1)

    async def test_store_is_not_read_where_several_places_are_known(self):
        self.origins.history.observe_pools({HOST: ["model"]}, 0.0)
        self.origins.history.observe_versions({"model": ["v1", "v2"]}, 0.0)
        self.assertIsNone(await self.find(""))
        self.assertEqual(self.reader.count, 0)

    async def test_store_is_not_read_for_a_stream_with_a_record(self):
        self.origins.began("one", ["r-1"], V1, 30.0)
        self.assertEqual(await self.find(), V1)
        self.assertEqual(self.reader.count, 0)

    async def test_place_that_only_the_store_has_counts(self):
        self.origins.history.observe_pools({HOST: ["model"]}, 0.0)
        self.origins.history.observe_versions({"model": ["v1"]}, 0.0)
        self.assertEqual(await self.find(""), V1)
        for place in (PoolVersion("model", "v2"), HostPool(HOST, "other")):
            stored = frozenset({place, PoolVersion("other", "v1")})
            self.reader.result = LatestPlaces(0.0, frozenset(), 0, stored)
            self.assertIsNone(await self.find(""))

    async def test_place_that_only_a_peer_has_counts_for_streams_without_a_name(self):
        self.origins.history.observe_pools({HOST: ["model"]}, 0.0)
        self.origins.history.observe_versions({"model": ["v1"]}, 0.0)
        finding = self.find("")
        for node, query in await self.queries():
            self.assertFalse(query.reads)
            self.reply(node, query, possible=[OriginRecord("model", "v2")])
        self.assertIsNone(await finding)

    async def test_peer_reads_if_this_node_cannot(self):
        self.reader.result = FAILED
        self.reader.longest_wait = 30.0
        finding = self.find("")
        for node, query in await self.queries():
            self.assertFalse(query.reads)
            self.reply(node, query)
        queries = await self.queries()
        self.assertEqual([query.reads for _, query in queries], [True] * candidates.READING_PEERS)
        self.reply(*queries[0], possible=KNOWN, complete=True)
        self.assertEqual(await finding, V1)

    async def test_reply_of_a_peer_that_was_not_asked_to_read_proves_nothing(self):
        self.reader.result = FAILED
        self.reader.longest_wait = 30.0
        finding = self.find()
        for node, query in await self.queries():
            self.assertFalse(query.reads)
            self.reply(node, query, possible=KNOWN, complete=True)
        for node, query in await self.queries():
            self.reply(node, query, possible=KNOWN)
        self.assertIsNone(await finding)

    async def test_peers_of_builds_that_do_not_read_are_not_asked_to(self):
        self.reader.result = FAILED
        self.hub.unable = {"n1", "n2", "n3"}
        self.reader.longest_wait = 30.0
        self.assertIsNone(await asyncio.wait_for(self.find(""), 5.0))
        self.assertEqual(self.hub.pop(StreamQuery), [])

    async def test_node_that_is_asked_to_read_says_whether_it_could(self):
        for result, complete in ((None, True), (FAILED, False)):
            self.reader.result = result
            self.hub.handlers[StreamQuery]("n2", StreamQuery(7, 0, HOST, True))
            await asyncio.sleep(0.01)
            ((_, reply),) = self.hub.pop(StreamReply)
            self.assertEqual(reply.complete, complete)

    async def test_node_reads_for_a_peer_only_if_it_is_asked_to(self):
        self.hub.handlers[StreamQuery]("n2", StreamQuery(7, 5, HOST))
        ((_, reply),) = self.hub.pop(StreamReply)
        self.assertFalse(reply.complete)
        self.assertEqual(self.reader.count, 0)

    async def test_node_reads_before_it_replies_to_an_older_build(self):
        # It takes a reply that is complete for certain, whenever the sender has read the store.
        self.hub.unable = {"n2"}
        self.hub.handlers[StreamQuery]("n2", StreamQuery(7, 5, HOST))
        self.assertEqual(self.hub.pop(StreamReply), [])
        await asyncio.sleep(0.01)
        ((_, reply),) = self.hub.pop(StreamReply)
        self.assertTrue(reply.complete)
        self.assertEqual(self.reader.count, 1)

    async def test_node_that_lacks_a_configuration_is_not_certain(self):
        self.reader.result = LatestPlaces(0.0, frozenset(), 4)
        with mock.patch.object(certainty, "CONFIGURATION_SECONDS", 0.01):
            self.assertIsNone(await self.find(""))
        metric = self.kernel.metrics.resumed_streams
        self.assertEqual(metric.get({"result": Uncertainty.CONFIGURATION_OUTDATED}), 1)

    async def test_changes_that_the_store_has_forgotten_may_have_been_places(self):
        self.reader.result = ReadFailed("history", history_lost=True)
        self.assertIsNone(await self.find(""))
        self.assertFalse(self.origins.history.is_complete(HOST, self.kernel.clock.monotonic()))


class RecordTests(ServiceTestCase):
    async def test_record_is_sent_to_peers_that_can_read_it(self):
        self.hub.older, self.hub.down = {"n1"}, {"n2"}
        self.origins.began("one", ["r-1"], V1, 30.0)
        ((node, message),) = self.hub.pop(StreamBegun)
        self.assertEqual(node, "n3")
        self.assertEqual(message, StreamBegun(stream_key("one", "r-1"), "model", "v1", 30_000))

    async def test_record_of_a_peer_answers_its_queries(self):
        key = stream_key("one", "r-1")
        self.hub.handlers[StreamBegun]("n1", StreamBegun(key, "model", "v1", 30_000))
        self.hub.handlers[StreamQuery]("n2", StreamQuery(7, key, HOST))
        ((node, reply),) = self.hub.pop(StreamReply)
        self.assertEqual((node, reply.number, reply.known), ("n2", 7, KNOWN))
        self.assertEqual(await self.find(), V1)

    async def test_links_to_peers_that_keep_records_are_opened_ahead(self):
        self.hub.down = {"n1", "n2", "n3"}
        self.origins.tick()
        self.assertEqual(sorted(self.hub.dialled), ["n1", "n2", "n3"])


class AloneTests(ServiceTestCase):
    members = 1

    async def test_node_alone_does_not_wait(self):
        with mock.patch.object(service, "QUERY_SECONDS", 30.0):
            self.assertIsNone(await asyncio.wait_for(self.find(), 5.0))


if __name__ == "__main__":
    unittest.main()
