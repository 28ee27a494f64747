"""One exchange: which requests count as sent, which answers as complete, and backpressure."""

import asyncio
import contextlib
import gc
import unittest
import weakref
from dataclasses import replace

from railsail.core.buffers import Buffers
from railsail.standins.fleet import free_ports
from railsail.upstreams.collector import Collector, fetch
from railsail.upstreams.http import CutOff, HttpRequest, NotSent, exchange

CHUNK = b"x" * 65_536
MAX_CHUNKS = 4096
ENDLESS = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
# A collector keeps 1 MiB by default.
MAX_COLLECTED_CHUNKS = 16


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, handler) -> HttpRequest:
        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return HttpRequest(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "GET", "/", {})

    async def answer(self, data: bytes) -> Collector:
        """Let a server answer with the bytes ``data`` and close; return the received answer."""

        async def handle(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            writer.close()

        collector = Collector()
        await exchange(await self.serve(handle), collector)
        return collector

    async def test_complete_answer_is_received(self):
        collector = await self.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        self.assertEqual((collector.status, collector.body), (200, b"hi"))

    async def test_refused_connection_is_not_sent(self):
        request = HttpRequest(f"127.0.0.1:{free_ports(1)[0]}", "GET", "/", {})
        with self.assertRaises(NotSent):
            await exchange(request, Collector())

    async def test_incomplete_answers_are_cut_off(self):
        answers = {
            "nothing": b"",
            "short": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
            "cut chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
            "no length": b"HTTP/1.1 200 OK\r\n\r\nhi",
            "no HTTP": b"good day\r\n\r\n",
        }
        for name, data in answers.items():
            with self.subTest(name), self.assertRaises(CutOff):
                await self.answer(data)

    async def test_answer_without_end_is_cut_off(self):
        with self.assertRaises(CutOff):
            await self.answer(ENDLESS + CHUNK * (MAX_COLLECTED_CHUNKS + 1))

    async def test_answer_without_a_length_is_cut_off_if_the_replica_falls_silent(self):
        """The connection is closed here, which must not count as the end of the body."""
        gone = asyncio.Event()
        self.addCleanup(gone.set)

        async def handle(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ENDLESS + b"hi")
            await gone.wait()
            writer.close()

        silent = replace(await self.serve(handle), open_ended=True, max_silence=0.2)
        with self.assertRaisesRegex(CutOff, "nothing for 0.2 s"):
            await exchange(silent, Collector())

    async def test_memory_of_a_refused_answer_is_freed_at_once(self):
        """Not only once the garbage collector runs, which may be many answers later."""

        async def handle(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ENDLESS + CHUNK)
            await writer.drain()
            writer.close()

        async def refuse() -> weakref.ref:
            collector = Collector(buffers=Buffers(1))
            with contextlib.suppress(CutOff):
                await exchange(request, collector)
            collector.release()
            return weakref.ref(collector)

        request = await self.serve(handle)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        refused = await refuse()
        # The tasks of the exchange end.
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertIsNone(refused())

    async def test_report_without_end_is_no_report(self):
        async def handle(reader, writer) -> None:
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(ENDLESS)
                while True:
                    writer.write(CHUNK)
                    await writer.drain()

        self.assertIsNone(await fetch(await self.serve(handle), 20.0))

    async def test_slow_receiver_slows_the_sender_down(self):
        sent = []
        blocked = asyncio.Event()

        async def handle(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 268435456\r\n\r\n")
            for _ in range(MAX_CHUNKS):
                writer.write(CHUNK)
                sent.append(1)
                drained = asyncio.ensure_future(writer.drain())
                await asyncio.sleep(0)
                if not drained.done() and not (await asyncio.wait([drained], timeout=1.0))[0]:
                    blocked.set()
                await drained

        class Stalled(Collector):
            async def data(self, chunk: bytes) -> None:
                await asyncio.Event().wait()

        running = asyncio.ensure_future(exchange(await self.serve(handle), Stalled()))
        await blocked.wait()
        self.assertLess(len(sent), MAX_CHUNKS // 2)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


if __name__ == "__main__":
    unittest.main()
