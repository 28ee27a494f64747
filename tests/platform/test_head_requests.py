"""Answers without a body: callers get the length that the replica named, and no other one."""

import asyncio
import unittest
from unittest import mock

from railsail.node import Node
from railsail.routing import endings
from tests.platform.base import LONGEST_SECONDS, PlatformTestCase, read_answer, read_head, request
from tests.platform.standins import SEAL, Received, ReplicaStandin, Script, answering, head

LENGTH = "Content-Length"


def head_alone(status: str, **headers: str) -> Script:
    """Answer with a head that has ``headers``, and keep the connection."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        writer.write(head(received, status, Response_Seal=f"{SEAL}-{replica.name}", **headers))
        await writer.drain()

    return script


class BodilessAnswerTests(PlatformTestCase):
    async def read_heads(
        self, node: Node, method: str, count: int = 2
    ) -> list[tuple[int, dict[str, str]]]:
        """Make calls one after the other on one connection, and return the heads."""
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        heads = []
        for number in range(count):
            writer.write(request("/again/", method, b"", Request_Id=f"r-{number}"))
            heads.append(await asyncio.wait_for(read_head(reader), LONGEST_SECONDS))
        return heads

    async def assert_length(self, script: Script, method: str, status: int, length: str) -> None:
        """Check the status and the length of each answer, empty for none."""
        node = await self.serve(script)
        for got, headers in await self.read_heads(node, method):
            self.assertEqual((got, headers.get(LENGTH, "")), (status, length))
            self.assertNotIn("Transfer-Encoding", headers)

    async def test_length_of_an_answer_to_a_head_request_is_passed_on(self):
        await self.assert_length(head_alone("200 OK", Content_Length="5000"), "HEAD", 200, "5000")

    async def test_length_of_zero_is_passed_on(self):
        await self.assert_length(head_alone("200 OK", Content_Length="0"), "HEAD", 200, "0")

    async def test_length_longer_than_any_body_is_passed_on(self):
        length = str(1 << 40)
        await self.assert_length(head_alone("200 OK", Content_Length=length), "HEAD", 200, length)

    async def test_no_length_is_invented(self):
        await self.assert_length(head_alone("200 OK"), "HEAD", 200, "")

    async def test_no_length_is_invented_beside_chunks(self):
        script = head_alone("200 OK", Transfer_Encoding="chunked")
        await self.assert_length(script, "HEAD", 200, "")

    async def test_length_of_a_failure_is_passed_on(self):
        await self.assert_length(head_alone("404 No", Content_Length="9"), "HEAD", 404, "9")

    async def test_length_of_an_unmodified_answer_is_passed_on(self):
        script = head_alone("304 Not Modified", Content_Length="5000")
        await self.assert_length(script, "GET", 304, "5000")

    async def test_unmodified_answer_without_a_length_has_none(self):
        await self.assert_length(head_alone("304 Not Modified"), "GET", 304, "")

    async def test_answer_without_content_has_no_length(self):
        await self.assert_length(head_alone("204 No Content"), "GET", 204, "")
        await self.assert_length(head_alone("204 No Content", Content_Length="0"), "GET", 204, "")

    async def test_error_answer_names_the_length_of_its_text(self):
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        lengths = []
        for method in ("HEAD", "GET"):
            writer.write(request("/again/", method, b"", Authorization="Bearer wrong"))
            if method == "HEAD":
                status, headers = await read_head(reader)
            else:
                answer = await read_answer(reader)
                status, headers = answer.status, answer.headers
            self.assertEqual(status, 401)
            lengths.append(headers[LENGTH])
        self.assertEqual(lengths[0], lengths[1])

    async def test_end_of_an_answer_without_a_body_is_not_in_doubt(self):
        """A replica that crashes after its head has not cut the answer off."""
        node = await self.serve(head_alone("200 OK"))
        with mock.patch.object(endings, "probe") as probe:
            ((status, _),) = await self.read_heads(node, "HEAD", count=1)
        self.assertEqual((status, probe.call_count), (200, 0))


if __name__ == "__main__":
    unittest.main()
