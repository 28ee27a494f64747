"""A node that does not hear of a new software version continues no stream at another one."""

import asyncio
import logging
from unittest import mock

from benchmarks.relay import Relay
from railsail.node import Node
from railsail.standins.fleet import free_ports
from railsail.store.versions import era_of, revision_of
from railsail.streams import latest, reader, service
from railsail.streams.ledger import PlacesLedger
from railsail.streams.stored import PLACES_NAME
from railsail.upstreams.directory import KIND as UPSTREAM
from tests.platform.base import LONGEST_SECONDS, ROUTES, configuration
from tests.platform.standins import StoreAccess, TurnedAway
from tests.platform.streams import StreamingVersion, versions_of
from tests.platform.test_streams import STREAMS, ResumedStreamTestCase

# Proofs stay young for the whole test.
WATCH_SECONDS = "20"
STREAM_KIND = "railsail-streams"
UNCERTAIN = "it is not certain where the stream began"


class OutOfStepTestCase(ResumedStreamTestCase):
    """Two nodes behind a relay, each with a port of the store; ``self.node`` gets out of step."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        logging.getLogger("websockets").setLevel(logging.CRITICAL)
        self.versions = self.versions[:1]
        self.relay = Relay()
        self.accesses: list[StoreAccess] = []

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        self.relay.stop()
        # The tasks of its connections end.
        await asyncio.sleep(0.05)

    async def serve_pair(self, **settings: str) -> None:
        """Start the replicas and two nodes that know each other."""
        self.peer = await self.serve_versions(**await self.placed(10), **settings)
        self.node = await self.add_node(
            seeds=self.peer.hub.own.node, **await self.placed(11), **settings
        )
        self.hold_lag(self.node)
        await self.until(lambda: not self.node.not_ready())
        await self.until(lambda: len(self.node.directory.all()) == len(self.replicas))
        for one, other in ((self.node, self.peer), (self.peer, self.node)):
            await self.until(lambda one=one, other=other: one.hub.connected(other.hub.own.node))

    async def placed(self, number: int) -> dict[str, str]:
        """Return the settings of a node with an address, a relay and a port of the store."""
        ip = f"127.0.1.{number}"
        access = self.store.add_access()
        self.accesses.append(access)
        # All at once, so that they are different ones.
        caller_port, admin_port, peer_port, listen_port = free_ports(4, ip)
        await self.relay.listen(ip, peer_port, listen_port)
        return {
            "node_ip": ip,
            "caller_port": str(caller_port),
            "admin_port": str(admin_port),
            "peer_port": str(peer_port),
            "listen_port": str(listen_port),
            "store": f"127.0.0.1:{access.port}",
            "watch_seconds": WATCH_SECONDS,
        }

    async def connect(self, node: Node) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        settings = node.settings
        return await asyncio.open_connection(str(settings.node_ip), settings.caller_port)

    def cut_store(self, how: TurnedAway = TurnedAway.SILENT) -> None:
        """Let the store turn the node away, also in the calls that it waits for."""
        self.accesses[1].turned_away = how

    def cut_peers(self) -> None:
        """Cut the node off from its peer."""
        self.relay.cut(["127.0.1.10"], ["127.0.1.11"])

    def lose_links(self) -> None:
        """End the cut between the nodes; what was sent during it is lost."""
        self.relay.silence()
        self.relay.heal()

    async def roll_back(self) -> None:
        """Remove the replicas of the new version, and let the others serve again."""
        first = len(self.replicas) // 2
        for replica in self.replicas[first:]:
            self.store.remove("servers", replica.name)
        for replica in self.replicas[:first]:
            self.list_replica(replica, "ready", 2 * STREAMS, version="v1")
        names = [replica.name for replica in self.replicas]
        await self.until(
            lambda: (
                [self.peer.directory.get(name).leaving for name in names]
                == [False] * first + [True] * first
            )
        )

    async def until_heard(self, node: Node) -> None:
        """Wait until the changes that ``node`` knows of were proved a while ago."""
        await self.until(
            lambda: (
                revision_of(node.freshness.settled_version(UPSTREAM, latest.SETTLING_SECONDS))
                >= self.store.revision
            )
        )

    async def release(self) -> None:
        """List replicas of a new version in place of the others, which the peer gets to know."""
        version = StreamingVersion("v2", holds=True)
        self.versions.append(version)
        before = list(self.replicas)
        for _ in before:
            await self.add_replica(version.script, slots=2 * STREAMS, version=version.name)
        for replica in before:
            self.list_replica(replica, "draining", 2 * STREAMS, version="v1")
        names = [replica.name for replica in before]
        await self.until(lambda: all(self.peer.directory.get(name).leaving for name in names))

    async def begin_at_new_version(self) -> dict[str, bytes]:
        begun = await self.begin(self.peer, STREAMS)
        for data in begun.values():
            self.assertEqual(versions_of(data), {"v2"})
        return begun

    async def assert_none_joined(self, begun: dict[str, bytes]) -> int:
        """Resume streams of v2 at the node, named and not; return how many went on."""
        first = len(self.versions[0].received)
        went_on = 0
        for number, (name, data) in enumerate(begun.items()):
            resumes = name if number % 2 else ""
            answer = await asyncio.wait_for(
                self.resume_stream(self.node, name, data, Resumes=resumes), LONGEST_SECONDS
            )
            if answer.status == 200:
                self.assert_one_version(data + answer.body)
                went_on += 1
            else:
                self.assertEqual(answer.status, 503)
        self.assertEqual(len(self.versions[0].received), first)
        return went_on


class NodeOutOfStepTests(OutOfStepTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hold(mock.patch.object(reader, "READ_SECONDS", 0.1))

    async def test_node_cut_off_during_a_release_continues_no_stream_at_the_old_version(self):
        await self.serve_pair()
        self.cut_store()
        self.cut_peers()
        await self.release()
        begun = await self.begin_at_new_version()
        self.assertEqual(await self.assert_none_joined(begun), 0)

    async def test_node_that_hears_late_of_a_version_continues_no_stream_at_the_old_version(self):
        await self.serve_pair()
        self.cut_peers()
        self.hold(mock.patch.object(self.node.directory, "_apply", lambda *args: None))
        await self.release()
        await self.assert_none_joined(await self.begin_at_new_version())

    async def test_node_cut_off_as_a_route_moves_continues_no_stream_at_the_old_service(self):
        await self.serve_pair()
        self.cut_store()
        self.cut_peers()
        version = StreamingVersion("other", holds=True)
        await self.add_replica(version.script, service="other", slots=2 * STREAMS, version="v1")
        moved = configuration(4, resume={"service": "other"})
        moved["services"].append({"name": "other", "health_path": "/h", "max_conns": 10})
        self.store.put("config", "main", moved)
        await self.until(lambda: self.peer.carrier.catalog.version == 4)
        await self.until(lambda: len(self.peer.directory.of_pool("other")) == 1)
        begun = await self.begin(self.peer, STREAMS)
        self.assertEqual(await self.assert_none_joined(begun), 0)


class MissedPlaceTests(OutOfStepTestCase):
    """A node does not hear of a place where streams began, and the store tells it no more."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hold(mock.patch.object(latest, "SETTLING_SECONDS", 0.2))
        # The peer that is asked in place of the store may be cut off.
        self.hold(mock.patch.object(reader, "READ_SECONDS", 1.0))

    async def test_version_that_came_and_went_while_a_node_was_cut_off_counts(self):
        await self.serve_pair()
        self.cut_store()
        self.cut_peers()
        await self.release()
        begun = await self.begin_at_new_version()
        await self.roll_back()
        self.lose_links()
        await self.until_heard(self.node)
        self.accesses[1].turned_away = None
        await self.assert_none_joined(begun)

    async def test_service_that_a_route_led_to_while_a_node_was_cut_off_counts(self):
        await self.serve_pair()
        self.cut_store()
        self.cut_peers()
        version = StreamingVersion("other", holds=True)
        await self.add_replica(version.script, service="other", slots=2 * STREAMS, version="v1")
        await self.until(lambda: len(self.peer.directory.of_pool("other")) == 1)
        for number, fields in ((4, {"resume": {"service": "other"}}), (5, {})):
            moved = configuration(number, **fields)
            moved["services"].append({"name": "other", "health_path": "/h", "max_conns": 10})
            self.store.put("config", "main", moved)
            await self.until(lambda number=number: self.peer.carrier.catalog.version == number)
            if number == 4:
                begun = await self.begin(self.peer, STREAMS)
        self.accesses[1].turned_away = None
        self.lose_links()
        await self.until(lambda: self.node.carrier.catalog.version == 5)
        await self.assert_none_joined(begun)

    async def test_version_that_is_heard_late_counts_if_the_store_forgets_its_history(self):
        # The change has not been missing for as long as that.
        self.hold(mock.patch.object(latest, "SETTLING_SECONDS", LONGEST_SECONDS))
        await self.serve_pair()
        # The new version is not among the stored places yet.
        await self.until(lambda: (STREAM_KIND, PLACES_NAME) in self.store.objects)
        self.hold(mock.patch.object(PlacesLedger, "_write", mock.AsyncMock()))
        self.cut_peers()
        self.hold(mock.patch.object(self.node.directory, "_apply", lambda *args: None))
        await self.release()
        begun = await self.begin_at_new_version()
        await self.until(
            lambda: revision_of(self.node.freshness.version(UPSTREAM)) >= self.store.revision
        )
        self.store.forget_history()
        await self.assert_none_joined(begun)

    async def test_version_that_a_store_lost_which_was_restored_from_a_copy_counts(self):
        await self.serve_pair()
        copy = self.store.copy()
        self.accesses[1].turned_away = TurnedAway.BUSY
        self.cut_peers()
        await self.release()
        begun = await self.begin_at_new_version()
        self.store.restore(copy)
        self.accesses[1].turned_away = None
        await self.until(lambda: era_of(self.node.freshness.version(UPSTREAM)) == 1)
        await self.assert_none_joined(begun)


class OutdatedRouteTests(OutOfStepTestCase):
    """A node that is cut off for longer than callers return goes on by its former routes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hold(mock.patch.object(service, "RETURN_SECONDS", 0.5))
        for fields in ROUTES.values():
            self.hold(mock.patch.dict(fields, {"timeout_ms": 2000}))

    async def test_stream_that_began_by_an_outdated_route_is_not_continued_at_the_new_service(self):
        await self.serve_pair()
        self.cut_store()
        self.cut_peers()
        version = StreamingVersion("other", holds=True)
        await self.add_replica(version.script, service="other", slots=2 * STREAMS, version="v1")
        moved = configuration(4, resume={"service": "other"}, stream={"service": "other"})
        moved["services"].append({"name": "other", "health_path": "/h", "max_conns": 10})
        self.store.put("config", "main", moved)
        await self.until(lambda: self.peer.carrier.catalog.version == 4)
        history = self.peer.origins.history
        await self.until(
            lambda: len(history.origins("a.example", self.peer.clock.monotonic())) == 1
        )
        begun = await self.begin(self.node, STREAMS)
        for data in begun.values():
            self.assertEqual(versions_of(data), {"v1"})
        self.node, self.peer = self.peer, self.node
        await self.assert_none_joined(begun)


class NodeInTouchTests(OutOfStepTestCase):
    """Streams of a single version go on at each node that can learn that it is the only one."""

    async def assert_all_go_on(self, begun: dict[str, bytes]) -> None:
        for name, data in begun.items():
            answer = await self.resume_stream(self.node, name, data, Resumes="")
            self.assertEqual(answer.status, 200, answer.body)
            self.assert_one_version(data + answer.body)

    async def test_streams_go_on_at_a_node_that_can_read_the_store(self):
        await self.serve_pair()
        await self.assert_all_go_on(await self.begin(self.peer, STREAMS))

    async def test_streams_go_on_at_a_node_that_only_its_peers_can_read_the_store_for(self):
        await self.serve_pair()
        self.cut_store(TurnedAway.BUSY)
        await self.assert_all_go_on(await self.begin(self.peer, STREAMS))

    async def test_streams_go_on_at_a_node_that_reaches_the_store_but_no_peer(self):
        await self.serve_pair()
        begun = await self.begin(self.peer, STREAMS)
        self.cut_peers()
        await self.assert_all_go_on(begun)

    async def test_streams_go_on_at_a_node_whose_store_answers_slowly(self):
        await self.serve_pair()
        begun = await self.begin(self.peer, STREAMS)
        for access in self.accesses:
            access.delay = 0.25
        await self.assert_all_go_on(begun)

    async def test_streams_go_on_after_the_store_has_forgotten_its_history(self):
        await self.serve_pair()
        begun = await self.begin(self.peer, STREAMS)
        # Nodes store the places a second after the first start.
        await self.until(lambda: (STREAM_KIND, PLACES_NAME) in self.store.objects)
        # A change of another kind is beyond the newest proof of the replicas.
        self.store.put("railsail-quarantine", "q-1", {})
        self.store.forget_history()
        await self.assert_all_go_on(begun)
