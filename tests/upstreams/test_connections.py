"""Kept connections: which requests go on them, and that each request runs at most once."""

import asyncio
import random
import unittest
from collections import Counter
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.upstreams import connections as module
from railsail.upstreams.connections import ConnectionPool
from railsail.upstreams.http import Collector, CutOff, HttpRequest, NotSent, exchange
from railsail.upstreams.streams import UpstreamStream
from tests.forgetting import reset, start_forgetting_server

KEEP_SECONDS = 30.0
# What the loop may be late by when it wakes a task.
LOOP_SECONDS = 0.1
BIG_BODY = b"x" * (32 << 20)


def answer(request_id: str, headers: str = "", status: int = 200, body: bytes = b"ok") -> bytes:
    """Return the bytes of an answer."""
    head = f"HTTP/1.1 {status} S\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return f"{head}{headers}\r\n".encode() + body


class Replica:
    """A replica that answers each request with the next of ``script``, and counts what ran.

    An entry of the script returns the bytes of the answer, or ``None`` to reset the connection.
    """

    def __init__(self) -> None:
        self.script = []
        self.ran: Counter[str] = Counter()
        self.opened = 0
        # Resets a connection when something comes on it after its first answer.
        self.forgets = False
        # Sends these bytes so soon after an answer that the connection is idle.
        self.stray = b""
        self.closes_idle = False
        # Sends these bytes when the head of the next request was read, and its body was not.
        self.late = b""
        self.reads_bodies = True
        self._answered: set[asyncio.Transport] = set()
        self._serving: set[asyncio.Task] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self._serving.add(asyncio.current_task())
        while True:
            try:
                request_id = await self._read(reader, writer)
            except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
                writer.close()
                return
            self.ran[request_id] += 1
            script = self.script.pop(0) if self.script else answer
            data = script(request_id)
            if data is None:
                reset(writer.transport)
                return
            writer.write(data)
            self._answered.add(writer.transport)
            if self.stray:
                await asyncio.sleep(0.02)
                writer.write(self.stray)
            if self.closes_idle:
                await asyncio.sleep(0.02)
                writer.close()
                return

    def forgotten(self, transport: asyncio.Transport) -> bool:
        return self.forgets and transport in self._answered

    async def ended(self) -> None:
        """Wait until all connections are closed."""
        await asyncio.wait(self._serving, timeout=1.0)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        if self.late:
            writer.write(self.late)
            await asyncio.sleep(0.02)
        lines = [line.partition(": ") for line in head.split("\r\n")]
        fields = {name: value for name, _, value in lines}
        if self.reads_bodies:
            await reader.readexactly(int(fields.get("Content-Length", 0)))
        return fields["Request-Id"]


class ConnectionsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = Clock()
        self.events = EventLog("n", clock)
        self.metrics = Metrics()
        self.kernel = Kernel(clock, random.Random(1), self.events, self.metrics)
        self.leaving = set()
        self.pool = self.new_pool(KEEP_SECONDS)
        self.replica = Replica()
        self.server = await start_forgetting_server(
            self.replica.serve, "127.0.0.1", self.replica.forgotten
        )
        self.addAsyncCleanup(self.end)
        self.endpoint = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.asked = 0

    async def end(self) -> None:
        self.pool.close()
        self.server.close()
        await self.replica.ended()

    def new_pool(self, seconds: float, most_at_place: int = 1) -> ConnectionPool:
        return ConnectionPool(
            seconds, lambda place: place not in self.leaving, self.kernel, most_at_place
        )

    async def ask(self, method: str = "POST", body: bytes = b"body", **given) -> Collector:
        """Send a request with an id of its own, and check that its answer is its own."""
        self.asked += 1
        request_id = f"r{self.asked}"
        headers = {"Request-Id": request_id}
        given = {"replica": "one", "read_id": lambda head: head.get("Request-Id", "")} | given
        path = given.pop("path", "/path")
        request = HttpRequest(
            self.endpoint, method, path, headers, body, request_id=request_id, **given
        )
        collector = Collector()
        try:
            async with asyncio.timeout(10):
                await exchange(request, collector, self.pool)
        finally:
            self.assertLessEqual(max(self.replica.ran.values(), default=0), 1)
        self.assertEqual(collector.headers["Request-Id"], request_id)
        self.assertEqual(self.replica.ran[request_id], 1)
        return collector

    async def ask_twice(self) -> None:
        await self.ask()
        # What a replica does to an idle connection, it does meanwhile.
        await asyncio.sleep(0.1)
        await self.ask()

    def closed(self) -> dict[str, int]:
        counts = self.metrics.upstream_connections_closed.get_all()
        return {labels["reason"]: count for labels, count in counts}

    def told(self) -> list[str]:
        return [event.detail for event in self.events]

    async def test_second_request_goes_on_the_same_connection(self):
        await self.ask_twice()
        self.assertEqual((self.replica.opened, self.closed()), (1, {}))

    async def test_get_without_a_body_goes_on_it_too(self):
        await self.ask("GET", b"")
        await self.ask("GET", b"")
        self.assertEqual(self.replica.opened, 1)

    async def test_requests_at_one_time_have_connections_of_their_own(self):
        await asyncio.gather(self.ask(), self.ask(), self.ask())
        self.assertEqual((self.replica.opened, len(self.pool)), (3, 1))

    async def test_zero_seconds_keep_nothing(self):
        self.pool = self.new_pool(0.0)
        await self.ask_twice()
        self.assertEqual((self.replica.opened, len(self.pool)), (2, 0))

    async def test_request_goes_on_a_new_connection_where_the_kept_one_was_forgotten(self):
        self.replica.forgets = True
        await self.ask_twice()
        self.assertEqual((self.replica.opened, self.closed()), (2, {"forgotten": 1}))
        self.assertEqual(self.told(), ["an idle connection is forgotten"])

    async def test_others_of_a_replica_that_forgot_one_are_closed(self):
        self.pool = self.new_pool(KEEP_SECONDS, most_at_place=2)
        self.replica.forgets = True
        await asyncio.gather(self.ask(), self.ask())
        await self.ask()
        self.assertEqual((self.replica.opened, self.closed()), (3, {"forgotten": 2}))

    async def test_request_goes_on_a_new_connection_where_the_kept_one_is_silent(self):
        await self.ask()
        with mock.patch.object(UpstreamStream, "acknowledged", lambda stream: False):
            await self.ask()
        self.assertEqual((self.replica.opened, self.closed()), (2, {"silent": 1}))

    async def test_silent_connection_is_given_up_in_time(self):
        await self.ask()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        # The connection took so long to connect that a second look comes late.
        first_look = 0.9 * module.MOST_CHECK_SECONDS
        with (
            mock.patch.object(module, "SETTLE_SECONDS", first_look),
            mock.patch.object(module, "MOST_PAUSE_SECONDS", first_look),
            mock.patch.object(UpstreamStream, "acknowledged", lambda stream: False),
            mock.patch.object(module, "connect", mock.AsyncMock(side_effect=NotSent("none"))),
            self.assertRaises(NotSent),
        ):
            await self.ask()
        waited = loop.time() - begun
        self.assertGreaterEqual(waited, module.MOST_CHECK_SECONDS)
        self.assertLess(waited, module.MOST_CHECK_SECONDS + LOOP_SECONDS)

    async def test_connection_that_its_replica_closed_is_not_used(self):
        self.replica.closes_idle = True
        await self.ask_twice()
        self.assertEqual((self.replica.opened, self.closed()["closed"]), (2, 1))

    async def test_reset_under_a_request_is_unknown_and_told(self):
        await self.ask()
        self.replica.script = [lambda request_id: None]
        with self.assertRaises(CutOff):
            await self.ask()
        self.assertEqual(self.replica.ran["r2"], 1)
        self.assertEqual(self.told(), ["a kept connection broke under a request"])
        self.assertEqual(len(self.pool), 0)

    async def test_silence_under_a_request_ends_with_its_caller(self):
        await self.ask()
        self.replica.script = [lambda request_id: b""]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.ask()
        await self.ask()
        self.assertEqual(self.replica.opened, 2)

    async def test_caller_that_leaves_ends_the_look_at_a_connection(self):
        await self.ask()
        with (
            mock.patch.object(UpstreamStream, "acknowledged", lambda stream: False),
            self.assertRaises(TimeoutError),
        ):
            async with asyncio.timeout(0.02):
                await self.ask()
        await self.replica.ended()
        self.assertEqual((len(self.pool), self.closed()), (0, {"cancelled": 1}))
        self.assertEqual((self.replica.opened, dict(self.replica.ran)), (1, {"r1": 1}))

    async def test_late_answer_to_another_request_is_passed_over(self):
        await self.ask()
        late = answer("r1", body=b"late")
        self.replica.script = [lambda request_id: late + answer(request_id)]
        self.assertEqual((await self.ask()).body, b"ok")
        self.assertEqual((self.replica.opened, len(self.pool)), (1, 0))

    async def test_late_answer_while_the_body_is_written_is_passed_over(self):
        await self.ask()
        self.replica.late = answer("r1", body=b"late")
        self.assertEqual((await self.ask(body=BIG_BODY)).body, b"ok")
        self.assertEqual((self.replica.opened, len(self.pool)), (1, 0))

    async def test_late_answer_that_comes_before_the_request_closes_the_connection(self):
        self.replica.stray = answer("r0", body=b"late")
        await self.ask_twice()
        self.assertEqual((self.replica.opened, self.closed()["closed"]), (2, 1))

    async def test_second_answer_that_is_not_its_own_is_not_passed_on(self):
        await self.ask()
        self.replica.script = [lambda request_id: answer("r1") + answer("r0")]
        with self.assertRaises(CutOff):
            await self.ask()
        self.assertEqual(len(self.pool), 0)

    async def test_success_without_an_id_is_not_passed_on(self):
        await self.ask()
        self.replica.script = [
            lambda request_id: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 2
        ]
        with self.assertRaises(CutOff):
            await self.ask()

    async def test_bytes_after_an_answer_belong_to_no_request(self):
        self.replica.script = [lambda request_id: answer(request_id) + b"more"]
        await self.ask_twice()
        self.assertEqual((self.replica.opened, self.closed()), (2, {"unread": 1}))

    async def test_answers_that_allow_no_other_request(self):
        not_allowed = {
            "close": lambda request_id: answer(request_id, "Connection: Close\r\n"),
            "one of several": lambda request_id: answer(request_id, "Connection: x, close\r\n"),
            "short": lambda request_id: answer(request_id, "Keep-Alive: timeout=0\r\n"),
            "error": lambda request_id: answer(request_id, status=503),
            "old": lambda request_id: answer(request_id).replace(b"HTTP/1.1", b"HTTP/1.0"),
        }
        for name, script in not_allowed.items():
            with self.subTest(name):
                self.replica.script = [script]
                await self.ask()
                self.assertEqual(len(self.pool), 0)

    async def test_connection_is_closed_before_its_replica_does_that(self):
        self.replica.script = [lambda request_id: answer(request_id, "Keep-Alive: timeout=1\r\n")]
        await self.ask()
        self.assertEqual(len(self.pool), 1)
        await asyncio.sleep(0.7)
        self.assertEqual((len(self.pool), self.closed()), (0, {"idle": 1}))

    async def test_answer_before_the_body_was_read_ends_the_connection(self):
        self.replica.reads_bodies = False
        self.replica.script = [answer]
        await self.ask(body=BIG_BODY)
        self.assertEqual((len(self.pool), self.closed()), (0, {"unread": 1}))

    async def test_connections_of_a_replica_that_leaves_are_closed(self):
        await self.ask()
        self.leaving.add(module.Place("one", self.endpoint))
        self.pool.review()
        self.assertEqual((len(self.pool), self.closed()), (0, {"leaving": 1}))
        await self.ask()
        self.assertEqual((len(self.pool), self.closed()), (0, {"leaving": 2}))

    async def test_connections_of_a_life_before_are_closed(self):
        await self.ask()
        await self.ask(replica="two")
        self.pool.drop("one", "reborn")
        self.assertEqual((len(self.pool), self.closed()), (1, {"reborn": 1}))

    async def test_other_replica_at_the_address_gets_no_kept_connection(self):
        await self.ask()
        await self.ask(replica="two")
        self.assertEqual(self.replica.opened, 2)

    async def test_process_that_stood_still_begins_anew(self):
        await self.ask()
        self.kernel.pauses.record(3.0, 0.0)
        self.assertEqual((len(self.pool), self.closed()), (0, {"pause": 1}))

    async def test_closed_pool_keeps_nothing(self):
        await self.ask()
        self.pool.close()
        await self.ask()
        self.assertEqual((len(self.pool), self.replica.opened), (0, 2))

    async def test_path_that_breaks_its_line_is_sent_nowhere(self):
        await self.ask()
        with self.assertRaises(CutOff):
            await self.ask(path="/ HTTP/1.1\r\nRequest-Id: x\r\n\r\n")
        await asyncio.sleep(0.1)
        self.assertEqual(dict(self.replica.ran), {"r1": 1})

    async def test_what_cannot_be_told_apart_is_not_kept(self):
        await self.ask(replica="")
        await self.ask("HEAD", b"", read_id=lambda head: "")
        self.assertEqual(len(self.pool), 0)


if __name__ == "__main__":
    unittest.main()
