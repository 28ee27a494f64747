"""A node that was out of step continues no stream elsewhere than where it began meanwhile.

What a node catches up on is how things are now. A version or a service that came and went while it
was out of step is in none of the tables that it compares with its peers.
"""

from unittest import mock

from railsail.streams import latest
from tests.platform.base import configuration
from tests.platform.streams import StreamingVersion, versions_of
from tests.platform.test_nodes_out_of_step import OutOfStepTestCase
from tests.platform.test_streams import STREAMS


class MissedPlaceTests(OutOfStepTestCase):
    """The node hears neither the store nor its peer for a moment, and its links are reset."""

    async def cut_off(self) -> None:
        self.cut_store()
        self.cut_peers()
        # What is sent from now on is lost, where a cut alone only holds it back.
        for one, other in ((self.node, self.peer), (self.peer, self.node)):
            one.hub.drop(other.hub.own.node)
            await self.until(lambda one=one, other=other: not one.hub.connected(other.hub.own.node))

    async def end_cut(self) -> None:
        self.relay.heal()
        await self.until(lambda: self.node.hub.connected(self.peer.hub.own.node))

    def reconnect_store(self) -> None:
        self.accesses[1].turned_away = None

    async def test_streams_of_a_version_that_came_and_went_meanwhile_are_not_joined(self):
        await self.serve_pair()
        await self.cut_off()
        version = StreamingVersion("v2", holds=True)
        self.versions.append(version)
        before = [replica.name for replica in self.replicas]
        for _ in before:
            await self.add_replica(version.script, slots=2 * STREAMS, version="v2")
        added = [r.name for r in self.replicas if r.name not in before]
        await self.until(lambda: len(self.peer.directory.of_pool("desk")) == 2 * len(before))
        begun = {}
        for attempt in range(4):
            found = await self.begin(self.peer, STREAMS, f"s{attempt}")
            begun |= {n: data for n, data in found.items() if versions_of(data) == {"v2"}}
        self.assertTrue(begun)
        for name in added:
            self.store.remove("servers", name)
        await self.until(lambda: all(self.peer.directory.get(n).leaving for n in added))
        await self.end_cut()
        # The tables of replicas are exchanged.
        await self.until(lambda: self.node.directory.digest == self.peer.directory.digest)
        self.reconnect_store()
        # What changed so long ago is not read again.
        with mock.patch.object(latest, "SETTLING_SECONDS", 0.0):
            await self.assert_unnamed_not_joined(begun)

    async def test_streams_of_a_service_that_a_route_left_again_meanwhile_are_not_joined(self):
        await self.serve_pair()
        await self.cut_off()
        version = StreamingVersion("other", holds=True)
        await self.add_replica(version.script, service="other", slots=2 * STREAMS, version="v1")
        service = {"name": "other", "health_path": "/h", "max_conns": 10}
        for number, pool in ((4, "other"), (5, "desk")):
            moved = configuration(number, resume={"service": pool})
            moved["services"].append(service)
            self.store.put("config", "main", moved)
            await self.until(lambda n=number: self.peer.carrier.catalog.version == n)
            if pool == "other":
                await self.until(lambda: len(self.peer.directory.of_pool("other")) == 1)
                begun = await self.begin(self.peer, STREAMS)
        await self.end_cut()
        await self.until(lambda: self.node.carrier.catalog.version == 5)
        await self.until(lambda: self.node.directory.digest == self.peer.directory.digest)
        self.reconnect_store()
        await self.assert_unnamed_not_joined(begun)

    async def assert_unnamed_not_joined(self, begun: dict[str, bytes]) -> None:
        for name, data in begun.items():
            answer = await self.resume_stream(self.node, name, data, Resumes="")
            if answer.status == 200:
                self.assert_one_version(data + answer.body)
            else:
                self.assertEqual(answer.status, 503)
