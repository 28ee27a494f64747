"""Requests that are forwarded to another node: only whole heads of its answers are passed on."""

import asyncio
import random
import unittest

from tornado.httputil import HTTPHeaders, RequestStartLine

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.core.outcomes import Completed, Unknown
from railsail.gateway.concurrency import ConcurrencyLimit
from railsail.membership.table import Member, MemberState
from railsail.routing.forwarding import ForwardedRequest, Forwarder

LOOPBACK = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"
HEAD_BYTES = ANSWER.index(b"\r\n\r\n") + 4


class Targets:
    """One node, which listens at ``port``."""

    def __init__(self, port: int) -> None:
        node = f"{LOOPBACK}:1"
        self._member = Member(node, 1, 0, MemberState.ALIVE, 1, "a", "", forward_port=port)

    def can_serve(self, regions: tuple[str, ...]) -> bool:
        return True

    def choose(self, now: float) -> Member:
        return self._member

    def connect_failed(self, node: str, now: float) -> None:
        pass

    def request_started(self, node: str) -> None:
        pass

    def request_ended(self, node: str) -> None:
        pass


class Client:
    """The connection of a caller."""

    def __init__(self) -> None:
        self.received = b""

    @property
    def started(self) -> bool:
        return bool(self.received)

    async def write_raw(self, data: bytes) -> None:
        self.received += data

    def close(self) -> None:
        pass


class ForwardingTests(unittest.IsolatedAsyncioTestCase):
    async def forward(self, sent: bytes) -> tuple[object, Client]:
        """Forward a request to a node that answers with ``sent`` and ends."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, LOOPBACK)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        clock = Clock()
        kernel = Kernel(clock, random.Random(1), EventLog("n", clock), Metrics())
        port = server.sockets[0].getsockname()[1]
        forwarder = Forwarder(Targets(port), ConcurrencyLimit(), kernel)
        line = RequestStartLine("POST", "/", "HTTP/1.1")
        request = ForwardedRequest(line, HTTPHeaders(), b"", clock.monotonic() + 20.0)
        client = Client()
        return await forwarder.forward(request, client), client

    async def test_whole_answer_is_passed_on(self):
        outcome, client = await self.forward(ANSWER)
        self.assertEqual((type(outcome), client.received), (Completed, ANSWER))

    async def test_cut_head_is_no_answer(self):
        for cut in range(HEAD_BYTES):
            outcome, client = await self.forward(ANSWER[:cut])
            self.assertEqual((type(outcome), client.received), (Unknown, b""), cut)

    async def test_answer_whose_status_is_none_of_http_is_not_passed_on(self):
        """A node of an earlier build passes on any three digits that a replica sends."""
        for status in ("000", "099", "101", "600", "999"):
            with self.subTest(status=status):
                sent = ANSWER.replace(b"200", status.encode())
                outcome, client = await self.forward(sent)
                self.assertEqual((type(outcome), client.received), (Unknown, b""))
                self.assertIn("invalid", outcome.detail)

    async def test_bytes_that_are_no_answer_are_not_passed_on(self):
        for line in (b"HTTP/1.1 20 OK", b"HTTP/2.0 200 OK", b"good day", b""):
            with self.subTest(line=line):
                outcome, client = await self.forward(ANSWER.replace(b"HTTP/1.1 200 OK", line))
                self.assertEqual((type(outcome), client.received), (Unknown, b""))

    async def test_head_without_end_is_no_answer(self):
        outcome, client = await self.forward(ANSWER[: HEAD_BYTES - 2] + b"X: y\r\n" * 20_000)
        self.assertEqual((type(outcome), client.received), (Unknown, b""))


if __name__ == "__main__":
    unittest.main()
