"""Calls to a store whose answers are broken or have no end."""

import asyncio
import contextlib
import unittest

from railsail.conf.values import parse_endpoint
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.store.calls import StoreCalls
from tests.heads import INVALID_HEADS

LOOPBACK = "127.0.0.1"
TIMEOUT_SECONDS = 20.0
MAX_BYTES = 1 << 20
CHUNK = b"x" * (64 << 10)
BODY = b"{}"
NOT_STATUSES = ("000", "001", "099", "101", "600", "999")
UNAVAILABLE = ("199", "201 Created\r\nX-A : b", "302", "400", "500", "503")


def answer(status: str, body: bytes = BODY) -> bytes:
    """Return a complete answer with ``status``."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.metrics = Metrics()
        self.calls = StoreCalls(self.metrics, TIMEOUT_SECONDS, MAX_BYTES)
        self.received: list[str] = []
        self.closed = 0

    async def serve(self, start: bytes, repeated: bytes = b"", waits: bool = False) -> str:
        """Answer each call with ``start`` and then ``repeated`` without end; return the endpoint.

        Without ``repeated`` the connection is closed after the answer, or once the caller has
        closed it if the store ``waits``.
        """

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                self.received.append((await reader.readuntil(b"\r\n\r\n")).decode())
                writer.write(start)
                while repeated:
                    writer.write(repeated)
                    await writer.drain()
                await writer.drain()
                if waits:
                    await reader.read()
            writer.close()
            self.closed += 1

        server = await asyncio.start_server(handle, LOOPBACK, 0)
        self.addCleanup(server.close)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def call(self, endpoint: str, method: str = "GET", body: bytes | None = None):
        return await self.calls.call(method.lower(), method, parse_endpoint(endpoint), "/o", body)

    def results(self) -> dict[str, float]:
        return {labels["result"]: count for labels, count in self.metrics.store_calls.get_all()}


class BrokenAnswerTests(StoreTestCase):
    async def test_answer_is_returned(self):
        answered = await self.call(await self.serve(answer("200 OK")))
        self.assertEqual((answered.code, answered.body), (200, BODY))
        self.assertEqual(self.results(), {"ok": 1})

    async def test_call_is_sent_whole(self):
        await self.call(await self.serve(answer("200 OK")), "PUT", b"{}")
        line, *fields = self.received[0].split("\r\n")
        self.assertEqual(line, "PUT /o HTTP/1.1")
        self.assertIn("Content-Type: application/json", fields)
        self.assertIn("Content-Length: 2", fields)

    async def test_status_that_is_none_of_http_is_no_answer(self):
        for method, status in [(m, s) for m in ("GET", "PUT") for s in NOT_STATUSES]:
            with self.subTest(method=method, status=status):
                body = b"{}" if method == "PUT" else None
                endpoint = await self.serve(answer(f"{status} OK"))
                with self.assertRaises(StoreUnavailable):
                    await self.call(endpoint, method, body)

    async def test_invalid_head_is_no_answer(self):
        for name, invalid in INVALID_HEADS.items():
            with self.subTest(head=name), self.assertRaises(StoreUnavailable):
                await self.call(await self.serve(invalid + b"\r\n{}"))

    async def test_cut_answers_are_no_answers(self):
        whole = answer("200 OK")
        for cut in range(len(whole)):
            with self.subTest(cut=cut), self.assertRaises(StoreUnavailable):
                await self.call(await self.serve(whole[:cut]))

    async def test_other_statuses_are_failures(self):
        for status in UNAVAILABLE:
            with self.subTest(status=status), self.assertRaises(StoreUnavailable):
                await self.call(await self.serve(answer(status)))
        with self.assertRaises(StoreConflict):
            await self.call(await self.serve(answer("409 Conflict")), "PUT", b"{}")

    async def test_missing_object_is_an_answer(self):
        answered = await self.call(await self.serve(answer("404 Not Found")))
        self.assertEqual(answered.code, 404)

    async def test_answer_without_a_length_is_returned(self):
        answered = await self.call(await self.serve(b"HTTP/1.1 200 OK\r\n\r\n{}"))
        self.assertEqual(answered.body, BODY)

    async def test_connection_of_a_cancelled_call_is_closed(self):
        endpoint = await self.serve(b"HTTP/1.1 200 OK\r\n\r\n{", waits=True)
        call = asyncio.ensure_future(self.call(endpoint))
        while not self.received:
            await asyncio.sleep(0.01)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.closed:
                await asyncio.sleep(0.01)

    async def test_errors_name_the_call_and_the_store(self):
        endpoint = await self.serve(answer("000 OK"))
        with self.assertRaisesRegex(StoreUnavailable, r"GET http://.*/o: the answer of the store"):
            await self.call(endpoint)

    async def test_call_without_an_answer_in_time_says_so(self):
        self.calls = StoreCalls(self.metrics, 0.1, MAX_BYTES)
        endpoint = await self.serve(b"", waits=True)
        with self.assertRaisesRegex(StoreUnavailable, "no answer in time"):
            await self.call(endpoint)


class EndlessAnswerTests(StoreTestCase):
    """All answers that are read at a time are within one bound."""

    async def serve_endless(self) -> list[str]:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = f"{len(CHUNK):x}\r\n".encode() + CHUNK + b"\r\n"
        informational = b"HTTP/1.1 100 Continue\r\n\r\n"
        return [
            await self.serve(b"HTTP/1.1 200 OK\r\n\r\n", CHUNK),
            await self.serve(chunked, chunk),
            await self.serve(chunked, b"0" * len(CHUNK)),
            await self.serve(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 1000),
            await self.serve(b"HTTP/1.1 200 OK\r\nX: ", CHUNK),
            await self.serve(informational, informational * 1000),
            await self.serve(b"", CHUNK),
        ]

    def record_held(self) -> list[int]:
        held: list[int] = []
        buffers = self.calls.buffers
        resize = buffers.resize

        def record(share, size: int) -> None:
            resize(share, size)
            held.append(buffers.used)

        buffers.resize = record
        return held

    async def test_answers_without_end_are_ended(self):
        held = self.record_held()
        endpoints = await self.serve_endless()
        calls = [self.call(endpoint) for endpoint in endpoints * 4]
        ends = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual([type(end) for end in ends], [StoreUnavailable] * len(ends))
        self.assertLessEqual(max(held), MAX_BYTES)
        self.assertEqual(self.calls.buffers.used, 0)

    async def test_sound_answers_are_returned_beside_them(self):
        endpoints = await self.serve_endless()
        body = b"y" * (MAX_BYTES // 16)
        sound = await self.serve(answer("200 OK", body))
        bad = [asyncio.ensure_future(self.call(endpoint)) for endpoint in endpoints * 4]
        for _ in range(8):
            self.assertEqual((await self.call(sound)).body, body)
        await asyncio.gather(*bad, return_exceptions=True)
        self.assertEqual(self.calls.buffers.used, 0)

    async def test_long_answers_are_returned_one_after_the_other(self):
        body = b"y" * MAX_BYTES
        endpoint = await self.serve(answer("200 OK", body))
        for _ in range(3):
            self.assertEqual(len((await self.call(endpoint)).body), MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
