"""Connections to replicas that are kept, on the whole path: nothing runs twice, nothing is lost."""

import time
import unittest
from unittest import mock

from railsail.node import Node
from railsail.upstreams.connections import MAX_PROBE_SECONDS
from railsail.upstreams.streams import UpstreamStream
from tests.platform.base import Answer, PlatformTestCase
from tests.platform.keeping import KeepingReplica
from tests.platform.standins import answering, closing, streaming
from tests.platform.test_path import allow_repeats

KEPT = {"keep_connections_seconds": "30"}


class KeptConnectionsTests(PlatformTestCase):
    replica_class = KeepingReplica

    async def call_all(self, node: Node, *targets: str) -> list[Answer]:
        """Make calls one after the other, each with an id of its own."""
        answers = []
        for number, target in enumerate(targets):
            answers.append(await self.call(node, target, Request_Id=f"k-{number}"))
        return answers

    def ran(self) -> list[str]:
        received = [got for replica in self.replicas for got in replica.received]
        return sorted(got.headers["Request-Id"] for got in received)

    def retries(self, node: Node) -> int:
        return sum(count for _, count in node.metrics.retries.get_all())

    async def test_requests_of_all_kinds_share_a_connection(self):
        node = await self.serve(answering(), **KEPT)
        answers = await self.call_all(node, "/once/", "/again/", "/stream/", "/once/")
        self.assertEqual([answer.status for answer in answers], [200] * 4)
        self.assertEqual(self.replicas[0].opened, 1)

    async def test_connection_is_kept_if_the_process_stalls_while_it_is_probed(self):
        node = await self.serve(answering(), **KEPT)
        send = UpstreamStream.send_in_advance

        def send_slowly(stream: UpstreamStream, data: bytes) -> None:
            send(stream, data)
            time.sleep(1.5 * MAX_PROBE_SECONDS)

        with mock.patch.object(UpstreamStream, "send_in_advance", send_slowly):
            await self.call_all(node, "/once/", "/again/", "/once/")
        self.assertEqual(self.replicas[0].opened, 1)

    async def test_streams_share_a_connection(self):
        node = await self.serve(streaming(3), **KEPT)
        answers = await self.call_all(node, "/stream/", "/resume/")
        self.assertTrue(all(answer.whole for answer in answers))
        self.assertEqual((answers[0].body, self.replicas[0].opened), (answers[1].body, 1))

    async def test_setting_left_out_opens_a_connection_for_each_request(self):
        node = await self.serve(answering())
        await self.call_all(node, "/once/", "/once/")
        self.assertEqual(self.replicas[0].opened, 2)
        self.assertEqual(self.replicas[0].received[0].headers["Connection"], "close")

    async def test_forgotten_connection_loses_no_request_and_runs_none_twice(self):
        node = await self.serve(answering(), **KEPT)
        self.replicas[0].forgets = True
        targets = ("/once/", "/once/", "/again/", "/stream/", "/resume/")
        answers = await self.call_all(node, *targets)
        self.assertEqual([answer.status for answer in answers], [200] * 5)
        self.assertEqual(self.ran(), [f"k-{number}" for number in range(5)])
        self.assertEqual((self.replicas[0].opened, self.retries(node)), (5, 0))

    async def test_connection_that_breaks_under_a_request_that_may_not_repeat(self):
        node = await self.serve(answering(), **KEPT)
        allow_repeats(node)
        await self.call_all(node, "/once/")
        self.replicas[0].script = closing()
        answer = await self.call(node, "/once/", Request_Id="k-1")
        self.assertEqual((answer.status, self.ran()), (502, ["k-0", "k-1"]))

    async def test_connection_that_breaks_under_a_request_that_may_repeat(self):
        node = await self.serve(answering(), answering(), **KEPT)
        allow_repeats(node)
        await self.call_all(node, "/again/", "/again/", "/again/")
        before = len(self.ran())
        self.replicas[0].script = self.breaking_once(self.replicas[0].script)
        self.replicas[1].script = self.breaking_once(self.replicas[1].script)
        answer = await self.call(node, "/again/", Request_Id="k-9")
        self.assertEqual((answer.status, len(self.ran()) - before), (200, 2))

    def breaking_once(self, script):
        """Break the connection of the next request of any replica, and serve the others."""

        async def broken(replica, got, writer) -> None:
            for other in self.replicas:
                other.script = script
            writer.transport.abort()

        return broken

    async def test_connection_of_a_replica_that_leaves_is_closed(self):
        node = await self.serve(answering(), **KEPT)
        await self.call_all(node, "/once/")
        self.assertEqual(len(node.connections), 1)
        self.list_replica(self.replicas[0], "draining")
        await self.until(lambda: not len(node.connections))
        await self.until(lambda: not self.replicas[0].running)

    async def test_node_that_stops_closes_its_connections(self):
        node = await self.serve(answering(), **KEPT)
        await self.call_all(node, "/once/")
        await node.stop()
        await self.until(lambda: not self.replicas[0].running)


if __name__ == "__main__":
    unittest.main()
