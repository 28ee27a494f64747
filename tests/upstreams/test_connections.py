"""Kept connections: which requests use them, and that each request runs at most once."""

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
from railsail.upstreams.collector import Collector
from railsail.upstreams.connections import ConnectionPool
from railsail.upstreams.http import MAX_FOREIGN_BYTES, CutOff, HttpRequest, NotSent, exchange
from railsail.upstreams.streams import UpstreamStream
from tests.forgetting import reset, start_forgetting_server

KEEP_SECONDS = 30.0
# By how much the event loop may be late when it wakes a task.
MAX_LOOP_LAG_SECONDS = 0.1
BIG_BODY = b"x" * (32 << 20)


def answer(request_id: str, headers: str = "", status: int = 200, body: bytes = b"ok") -> bytes:
    """Return the bytes of an answer."""
    head = f"HTTP/1.1 {status} S\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return f"{head}{headers}\r\n".encode() + body


class Replica:
    """A replica that answers each request with the next entry of ``script``, and counts what ran.

    An entry returns the bytes of the answer, or ``None`` to reset the connection.
    """

    def __init__(self) -> None:
        self.script = []
        self.ran: Counter[str] = Counter()
        self.opened = 0
        # Resets a connection on which something is received after its first answer.
        self.drops_idle = False
        # Sends these bytes shortly after an answer, when the connection is idle.
        self.stray = b""
        self.closes_idle = False
        # Sends these bytes when it has read the head of the next request, but not its body.
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

    def has_dropped(self, transport: asyncio.Transport) -> bool:
        return self.drops_idle and transport in self._answered

    async def wait_closed(self) -> None:
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
            self.replica.serve, "127.0.0.1", self.replica.has_dropped
        )
        self.addAsyncCleanup(self.end)
        self.endpoint = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.sent = 0

    async def end(self) -> None:
        self.pool.close()
        self.server.close()
        await self.replica.wait_closed()

    def new_pool(self, seconds: float, max_per_replica: int = 1) -> ConnectionPool:
        return ConnectionPool(
            seconds, lambda target: target not in self.leaving, self.kernel, max_per_replica
        )

    async def send(self, method: str = "POST", body: bytes = b"body", **given) -> Collector:
        """Send a request with a new id, and check that it ran once and got its own answer."""
        self.sent += 1
        request_id = f"r{self.sent}"
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

    async def send_twice(self) -> None:
        await self.send()
        # Leave the replica the time to close, or write to, the idle connection.
        await asyncio.sleep(0.1)
        await self.send()

    def close_reasons(self) -> dict[str, int]:
        counts = self.metrics.upstream_connections_closed.get_all()
        return {labels["reason"]: count for labels, count in counts}

    def logged(self) -> list[str]:
        return [event.detail for event in self.events]

    async def test_second_request_uses_the_same_connection(self):
        await self.send_twice()
        self.assertEqual((self.replica.opened, self.close_reasons()), (1, {}))

    async def test_get_without_a_body_uses_it_too(self):
        await self.send("GET", b"")
        await self.send("GET", b"")
        self.assertEqual(self.replica.opened, 1)

    async def test_concurrent_requests_use_separate_connections(self):
        await asyncio.gather(self.send(), self.send(), self.send())
        self.assertEqual((self.replica.opened, len(self.pool)), (3, 1))

    async def test_no_connection_is_kept_for_zero_seconds(self):
        self.pool = self.new_pool(0.0)
        await self.send_twice()
        self.assertEqual((self.replica.opened, len(self.pool)), (2, 0))

    async def test_request_uses_a_new_connection_if_the_kept_one_was_dropped(self):
        self.replica.drops_idle = True
        await self.send_twice()
        self.assertEqual((self.replica.opened, self.close_reasons()), (2, {"forgotten": 1}))
        self.assertEqual(self.logged(), ["an idle connection cannot be used: forgotten"])

    async def test_other_connections_to_a_replica_that_dropped_one_are_closed(self):
        self.pool = self.new_pool(KEEP_SECONDS, max_per_replica=2)
        self.replica.drops_idle = True
        await asyncio.gather(self.send(), self.send())
        await self.send()
        self.assertEqual((self.replica.opened, self.close_reasons()), (3, {"forgotten": 2}))

    async def test_request_uses_a_new_connection_if_the_kept_one_is_silent(self):
        await self.send()
        with mock.patch.object(UpstreamStream, "acknowledged", lambda stream: False):
            await self.send()
        self.assertEqual((self.replica.opened, self.close_reasons()), (2, {"silent": 1}))

    async def test_probe_of_a_silent_connection_ends_in_time(self):
        await self.send()
        loop = asyncio.get_running_loop()
        started = loop.time()
        # With this margin, a second check would be later than the end of the probe.
        first_check = 0.9 * module.MAX_PROBE_SECONDS
        with (
            mock.patch.object(module, "PROBE_MARGIN_SECONDS", first_check),
            mock.patch.object(module, "MAX_FIRST_CHECK_SECONDS", first_check),
            mock.patch.object(UpstreamStream, "acknowledged", lambda stream: False),
            mock.patch.object(module, "connect", mock.AsyncMock(side_effect=NotSent("none"))),
            self.assertRaises(NotSent),
        ):
            await self.send()
        waited = loop.time() - started
        self.assertGreaterEqual(waited, module.MAX_PROBE_SECONDS)
        self.assertLess(waited, module.MAX_PROBE_SECONDS + MAX_LOOP_LAG_SECONDS)

    async def test_connection_closed_by_its_replica_is_not_used(self):
        self.replica.closes_idle = True
        await self.send_twice()
        self.assertEqual((self.replica.opened, self.close_reasons()["closed"]), (2, 1))

    async def test_reset_during_a_request_is_cut_off_and_logged(self):
        await self.send()
        self.replica.script = [lambda request_id: None]
        with self.assertRaises(CutOff):
            await self.send()
        self.assertEqual(self.replica.ran["r2"], 1)
        self.assertEqual(self.logged(), ["a kept connection broke under a request"])
        self.assertEqual(len(self.pool), 0)

    async def test_request_to_a_silent_replica_ends_when_its_caller_leaves(self):
        await self.send()
        self.replica.script = [lambda request_id: b""]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.send()
        await self.send()
        self.assertEqual(self.replica.opened, 2)

    async def test_probe_is_cancelled_when_the_caller_leaves(self):
        await self.send()
        with (
            mock.patch.object(UpstreamStream, "acknowledged", lambda stream: False),
            self.assertRaises(TimeoutError),
        ):
            async with asyncio.timeout(0.02):
                await self.send()
        await self.replica.wait_closed()
        self.assertEqual((len(self.pool), self.close_reasons()), (0, {"cancelled": 1}))
        self.assertEqual((self.replica.opened, dict(self.replica.ran)), (1, {"r1": 1}))

    async def test_late_answer_to_an_earlier_request_is_skipped(self):
        await self.send()
        late = answer("r1", body=b"late")
        self.replica.script = [lambda request_id: late + answer(request_id)]
        self.assertEqual((await self.send()).body, b"ok")
        self.assertEqual((self.replica.opened, len(self.pool)), (1, 0))

    async def test_late_answer_that_is_too_long_is_not_skipped(self):
        await self.send()
        late = answer("r1", body=b"x" * (MAX_FOREIGN_BYTES + (1 << 20)))
        self.replica.script = [lambda request_id: late + answer(request_id)]
        with self.assertRaises(CutOff):
            await self.send()

    async def test_late_answer_while_the_body_is_written_is_skipped(self):
        await self.send()
        self.replica.late = answer("r1", body=b"late")
        self.assertEqual((await self.send(body=BIG_BODY)).body, b"ok")
        self.assertEqual((self.replica.opened, len(self.pool)), (1, 0))

    async def test_late_answer_on_an_idle_connection_closes_it(self):
        self.replica.stray = answer("r0", body=b"late")
        await self.send_twice()
        self.assertEqual((self.replica.opened, self.close_reasons()["closed"]), (2, 1))

    async def test_second_foreign_answer_is_cut_off(self):
        await self.send()
        self.replica.script = [lambda request_id: answer("r1") + answer("r0")]
        with self.assertRaises(CutOff):
            await self.send()
        self.assertEqual(len(self.pool), 0)

    async def test_success_without_an_id_is_cut_off(self):
        await self.send()
        self.replica.script = [
            lambda request_id: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 2
        ]
        with self.assertRaises(CutOff):
            await self.send()

    async def test_connection_with_unread_bytes_after_an_answer_is_closed(self):
        self.replica.script = [lambda request_id: answer(request_id) + b"more"]
        await self.send_twice()
        self.assertEqual((self.replica.opened, self.close_reasons()), (2, {"unread": 1}))

    async def test_connection_is_not_kept_after_an_answer_that_forbids_it(self):
        scripts = {
            "close": lambda request_id: answer(request_id, "Connection: Close\r\n"),
            "one of several": lambda request_id: answer(request_id, "Connection: x, close\r\n"),
            "short": lambda request_id: answer(request_id, "Keep-Alive: timeout=0\r\n"),
            "error": lambda request_id: answer(request_id, status=503),
            "old": lambda request_id: answer(request_id).replace(b"HTTP/1.1", b"HTTP/1.0"),
        }
        for name, script in scripts.items():
            with self.subTest(name):
                self.replica.script = [script]
                await self.send()
                self.assertEqual(len(self.pool), 0)

    async def test_idle_connection_is_closed_before_the_timeout_of_its_replica(self):
        self.replica.script = [lambda request_id: answer(request_id, "Keep-Alive: timeout=1\r\n")]
        await self.send()
        self.assertEqual(len(self.pool), 1)
        await asyncio.sleep(0.7)
        self.assertEqual((len(self.pool), self.close_reasons()), (0, {"idle": 1}))

    async def test_connection_is_closed_if_the_body_was_not_read(self):
        self.replica.reads_bodies = False
        self.replica.script = [answer]
        await self.send(body=BIG_BODY)
        self.assertEqual((len(self.pool), self.close_reasons()), (0, {"unread": 1}))

    async def test_connections_to_a_leaving_replica_are_closed(self):
        await self.send()
        self.leaving.add(module.Place("one", self.endpoint))
        self.pool.review()
        self.assertEqual((len(self.pool), self.close_reasons()), (0, {"leaving": 1}))
        await self.send()
        self.assertEqual((len(self.pool), self.close_reasons()), (0, {"leaving": 2}))

    async def test_connections_to_a_dropped_replica_are_closed(self):
        await self.send()
        await self.send(replica="two")
        self.pool.drop("one", "reborn")
        self.assertEqual((len(self.pool), self.close_reasons()), (1, {"reborn": 1}))

    async def test_kept_connection_is_not_used_for_another_replica_at_its_endpoint(self):
        await self.send()
        await self.send(replica="two")
        self.assertEqual(self.replica.opened, 2)

    async def test_all_connections_are_closed_after_a_pause_of_the_process(self):
        await self.send()
        self.kernel.pauses.record(3.0, 0.0)
        self.assertEqual((len(self.pool), self.close_reasons()), (0, {"pause": 1}))

    async def test_closed_pool_keeps_no_connection(self):
        await self.send()
        self.pool.close()
        await self.send()
        self.assertEqual((len(self.pool), self.replica.opened), (0, 2))

    async def test_path_with_a_line_break_is_not_sent(self):
        await self.send()
        with self.assertRaises(CutOff):
            await self.send(path="/ HTTP/1.1\r\nRequest-Id: x\r\n\r\n")
        await asyncio.sleep(0.1)
        self.assertEqual(dict(self.replica.ran), {"r1": 1})

    async def test_connection_is_not_kept_without_a_replica_or_for_head(self):
        await self.send(replica="")
        await self.send("HEAD", b"", read_id=lambda head: "")
        self.assertEqual(len(self.pool), 0)


if __name__ == "__main__":
    unittest.main()
