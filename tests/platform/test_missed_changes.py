"""A node whose links were down for a moment learns soon what changed in that time.

Its peers' proofs say that it has all changes as soon as a link is up again, so that it does not
read the store itself.
"""

from unittest import mock

from railsail.node import Node
from railsail.peers.base import Message
from railsail.peers.messages import StateRequest
from tests.platform.test_nodes_out_of_step import OutOfStepTestCase
from tests.platform.test_streams import STREAMS

NODE = "127.0.1.11"


class MissedChangeTests(OutOfStepTestCase):
    async def serve_pair(self, **settings: str) -> None:
        """Start two nodes, of which the peer alone watches the store."""
        self.hold(
            mock.patch.object(
                Node, "_watches_store", lambda node: str(node.settings.node_ip) != NODE
            )
        )
        await super().serve_pair(**settings)

    async def drop_links(self) -> None:
        self.cut_peers()
        for one, other in ((self.node, self.peer), (self.peer, self.node)):
            one.hub.drop(other.hub.own.node)
            await self.until(lambda one=one, other=other: not one.hub.connected(other.hub.own.node))

    async def test_replica_that_leaves_while_links_are_down_is_known_with_the_next_heartbeat(self):
        """It was known after the third one, in which time it was sent requests."""
        await self.serve_pair()
        await self.drop_links()
        leaving = self.replicas[0]
        self.list_replica(leaving, "draining", 2 * STREAMS, version="v1")
        await self.until(lambda: self.peer.directory.get(leaving.name).leaving)
        compared = self.count_heartbeats_until_request()
        self.relay.heal()
        await self.until(lambda: self.node.directory.get(leaving.name).leaving)
        self.assertEqual(compared[0], 1)

    def count_heartbeats_until_request(self) -> list[int]:
        """Return how many heartbeats the node has compared when it first requests all state."""
        counts: list[int] = []
        compare, send = self.node.membership.compare, self.node.hub.send
        watched = mock.patch.object(self.node.membership, "compare", side_effect=compare)
        compared = watched.start()
        self.addCleanup(watched.stop)

        def sent(node: str, message: Message) -> bool:
            if isinstance(message, StateRequest):
                counts.append(compared.call_count)
            return send(node, message)

        self.hold(mock.patch.object(self.node.hub, "send", sent))
        return counts
