"""A node out of step sends what continues a stream to no replica that has taken over an address.

It may take the replica that had the address before for alive, and at the version of the stream.
Each start of a replica has a new id, which requests name, so that the other one turns them away.
"""

from collections import Counter

from tests.platform.standins import Received, ReplicaStandin, head
from tests.platform.streams import StreamingVersion
from tests.platform.test_nodes_out_of_step import OutOfStepTestCase
from tests.platform.test_streams import STREAMS


class CheckedVersion(StreamingVersion):
    """Replicas that turn away what names another replica."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.turned_away: Counter[str] = Counter()

    async def script(self, replica: ReplicaStandin, request: Received, writer) -> None:
        """Write a stream if the request is for this replica."""
        if request.headers.get("Expect-Instance") == replica.name:
            await super().script(replica, request, writer)
            return
        self.turned_away[request.headers.get("Expect-Instance", "")] += 1
        writer.write(head(request, "421 Misdirected Request", Content_Length="0"))
        await writer.drain()


class ReusedAddressTests(OutOfStepTestCase):
    async def test_stream_is_not_continued_at_a_replica_that_has_taken_over_an_address(self):
        await self.serve_pair()
        begun = await self.begin(self.node, STREAMS)
        self.cut_store()
        self.cut_peers()
        before = list(self.replicas)
        version = CheckedVersion("v2")
        for number, replica in enumerate(before):
            replica.crash()
            other = ReplicaStandin(f"i-new-{number}", version.script, port=replica.port)
            await other.start()
            self.addCleanup(other.stop)
        for name, data in begun.items():
            answer = await self.resume_stream(self.node, name, data)
            self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(version.received, [])
        # Each address was tried, under the id of the replica that had it before.
        self.assertEqual(set(version.turned_away), {replica.name for replica in before})
