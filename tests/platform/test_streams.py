"""Streams are continued by the software version that began them, in one answer and over attempts.

What replicas of two versions write does not fit together, and replicas do not check it.
"""

import asyncio
import unittest
from unittest import mock

from railsail.node import Node
from tests.platform.base import LONG_MS, LONGEST_SECONDS, ROUTES, Answer, PlatformTestCase, request
from tests.platform.streams import StreamingVersion, events_of, versions_of

STREAMS = 8
DEADLINE = str(LONG_MS)


class StreamTestCase(PlatformTestCase):
    """Replicas of two software versions that serve side by side, without a rollout."""

    replicas_per_version = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.versions = [StreamingVersion("v1"), StreamingVersion("v2")]
        long = {"slo_ms": LONG_MS, "timeout_ms": LONG_MS, "max_attempts": 3}
        self.hold(mock.patch.dict(ROUTES["resume"], long))

    async def serve_versions(self, **settings: str) -> Node:
        """Start the replicas of all versions, and a daemon that knows them."""
        for _ in range(self.replicas_per_version):
            for version in self.versions:
                await self.add_replica(version.script, slots=2 * STREAMS, version=version.name)
        node = await self.serve(**settings)
        self.hold_lag(node)
        # As if it had run for a while: a new process has no share of the retry slack.
        node.front._relay._started_at -= 1000.0
        return node

    async def add_peer(self, node: Node) -> Node:
        """Start another daemon, and wait until it knows the first one and all replicas."""
        other = await self.add_node(seeds=node.hub.own.node)
        self.hold_lag(other)
        await self.until(lambda: not other.not_ready())
        await self.until(lambda: len(other.directory.all()) == len(self.replicas))
        for one, peer in ((node, other), (other, node)):
            await self.until(lambda one=one, peer=peer: one.hub.connected(peer.hub.own.node))
        return other

    async def start_stream(self, node: Node, name: str) -> tuple[bytes, object]:
        """Start a stream, and return its first event and the connection to close."""
        reader, writer = await self.connect(node)
        writer.write(request("/resume/", Request_Id=name, Deadline_Ms=DEADLINE))
        async with asyncio.timeout(LONGEST_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
            data = b""
            while not events_of(data):
                data += await reader.read(4096)
        return data, writer

    async def resume_stream(self, node: Node, first: str, data: bytes, **headers: str) -> Answer:
        """Resume at ``node`` the stream that request ``first`` began, whose events are ``data``."""
        last = events_of(data)[-1][0]
        named = {"Resumes": first, "Request_Id": f"{first}-again", "Deadline_Ms": DEADLINE}
        return await self.call(node, "/resume/", Last_Event_Id=str(last), **(named | headers))

    def assert_one_version(self, body: bytes) -> None:
        self.assertEqual([number for number, _ in events_of(body)], list(range(6)))
        self.assertEqual(len(versions_of(body)), 1, events_of(body))


class BrokenStreamTests(StreamTestCase):
    async def test_stream_that_breaks_off_is_continued_by_its_version(self):
        for version in self.versions:
            version.breaks_first = True
        self.replicas_per_version = 1
        node = await self.serve_versions()
        for number in range(2):
            answer = await self.call(
                node, "/resume/", Request_Id=f"s-{number}", Deadline_Ms=DEADLINE
            )
            self.assertTrue(answer.whole)
            self.assert_one_version(answer.body)


class ResumedStreamTests(StreamTestCase):
    async def test_stream_resumed_at_another_node_is_continued_by_its_version(self):
        for version in self.versions:
            version.holds = True
        node = await self.serve_versions()
        other = await self.add_peer(node)
        names = [f"s-{number}" for number in range(STREAMS)]
        begun = await asyncio.gather(*(self.start_stream(node, name) for name in names))
        for _, writer in begun:
            writer.close()
        await node.abort()
        for name, (data, _) in zip(names, begun, strict=True):
            answer = await self.resume_stream(other, name, data)
            self.assertEqual(answer.status, 200)
            self.assert_one_version(data + answer.body)


if __name__ == "__main__":
    unittest.main()
