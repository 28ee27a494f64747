"""Bodies without end, and many large ones at once, stay within the memory that a node has for them.

The platform kills a process that goes over its memory, and with it the requests of all callers.
"""

import asyncio
import contextlib
import tracemalloc

from railsail.node import Node
from tests.platform.base import (
    LONGEST_SECONDS,
    Answer,
    PlatformTestCase,
    read_answer,
    read_head,
    request,
)
from tests.platform.keeping import KeepingReplica
from tests.platform.standins import SEAL, Received, ReplicaStandin, Script, answering, head

# The memory of the node for bodies.
MEMORY_MB = 1
MEMORY = MEMORY_MB << 20
CHUNK = b"x" * (64 << 10)
KINDS = ("once", "again", "stream", "resume")


def endless(status: str = "200 OK", **headers: str) -> Script:
    """Answer with a body that goes on until the node closes the connection."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        sealed = {"Response_Seal": f"{SEAL}-{replica.name}"}
        writer.write(head(received, status, **sealed, **headers))
        with contextlib.suppress(ConnectionError):
            while True:
                if headers.get("Transfer_Encoding"):
                    writer.write(f"{len(CHUNK):x}\r\n".encode())
                writer.write(CHUNK)
                if headers.get("Transfer_Encoding"):
                    writer.write(b"\r\n")
                await writer.drain()

    return script


def naming_length(length: int) -> Script:
    """Answer with a head alone, which names a length."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        sealed = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": str(length)}
        writer.write(head(received, **sealed))
        await writer.drain()

    return script


CHUNKED = {"Transfer_Encoding": "chunked"}
CLOSED = {"Connection": "close"}


def by_body(scripts: dict[bytes, Script]) -> Script:
    """Follow the script that the body of a request names."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        await scripts[received.body.rstrip(b"x")](replica, received, writer)

    return script


class BodiesTestCase(PlatformTestCase):
    async def serve_scripts(self, **scripts: Script) -> Node:
        named = {name.encode(): script for name, script in scripts.items()}
        for _ in range(2):
            await self.add_replica(by_body(named), slots=100)
        node = await self.serve(buffered_mb=str(MEMORY_MB))
        self.hold_lag(node)
        self.used: list[int] = []
        resize = node.kernel.buffers.resize

        def record(share, size: int) -> None:
            resize(share, size)
            self.used.append(node.kernel.buffers.used)

        node.kernel.buffers.resize = record
        return node

    async def assert_released(self, node: Node) -> None:
        await self.until(lambda: node.kernel.buffers.used == 0)
        self.assertLessEqual(max(self.used), MEMORY)


class EndlessAnswerTests(BodiesTestCase):
    async def test_answers_without_end_are_ended_beside_sound_ones(self):
        node = await self.serve_scripts(
            good=answering(), body=endless(**CLOSED), chunks=endless(**CHUNKED)
        )
        bad = [
            self.call(node, f"/{kind}/", body=name, Request_Id=f"bad-{kind}-{number}")
            for number, name in enumerate((b"body", b"chunks"))
            for kind in KINDS
        ]
        good = [
            self.call(node, f"/{kind}/", body=b"good", Request_Id=f"good-{kind}") for kind in KINDS
        ]
        ends = await asyncio.gather(*bad, *good)
        self.assertEqual([end.status for end in ends[: len(bad)]], [502] * len(bad))
        self.assertEqual([end.status for end in ends[len(bad) :]], [200] * len(good))
        await self.assert_released(node)

    async def test_answer_that_names_too_great_a_length_is_refused_at_its_head(self):
        node = await self.serve_scripts(body=endless(Content_Length=str(2 * MEMORY)))
        answer = await self.call(node, "/once/", body=b"body")
        self.assertEqual(answer.status, 502)
        # Only the body of the request was held.
        self.assertEqual(set(self.used), {len(b"body")})
        self.assertIn(b"too long", answer.body)

    async def test_head_request_has_no_body_whatever_length_is_named(self):
        node = await self.serve_scripts(large=naming_length(2 * MEMORY))
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        writer.write(request("/again/", method="HEAD", body=b"large"))
        status, _ = await asyncio.wait_for(read_head(reader), LONGEST_SECONDS)
        self.assertEqual(status, 200)

    async def test_refusal_without_end_is_ended(self):
        node = await self.serve_scripts(
            body=endless("503 Service Unavailable", Not_Run="1", **CHUNKED)
        )
        answer = await self.call(node, "/once/", body=b"body")
        self.assertEqual(answer.status, 502)
        self.assertLess(max(self.used), MEMORY // 2)

    async def test_failure_without_end_is_ended(self):
        node = await self.serve_scripts(body=endless("500 Internal Server Error", **CHUNKED))
        answer = await self.call(node, "/once/", body=b"body")
        self.assertEqual(answer.status, 502)
        await self.assert_released(node)

    async def test_large_answers_are_passed_on_one_after_the_other(self):
        body = b"y" * (MEMORY // 2 + 1)
        node = await self.serve_scripts(body=answering(body))
        for number in range(4):
            answer = await self.call(node, "/once/", body=b"body", Request_Id=f"r-{number}")
            self.assertEqual((answer.status, len(answer.body)), (200, len(body)))
        await self.assert_released(node)


def repeating(start: bytes, piece: bytes) -> Script:
    """Send ``start`` and then ``piece`` until the node closes the connection."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        # The head names the request, and is signed.
        named = head(received, Response_Seal=f"{SEAL}-{replica.name}").removesuffix(b"\r\n")
        writer.write(start.replace(OPEN_HEAD, named))
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(piece)
                await writer.drain()

    return script


# Stands for a head that is sound so far.
OPEN_HEAD = b"<head>"
CHUNKED_HEAD = OPEN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STREAM_HEAD = OPEN_HEAD + b"Content-Type: text/event-stream\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\n"


def chunk_of(piece: bytes) -> bytes:
    return piece * (len(CHUNK) // len(piece))


WITHOUT_END = {
    "no_line": (b"", CHUNK),
    "empty_lines": (b"", chunk_of(b"\r\n")),
    "status_line": (b"HTTP/1.1 200 ", CHUNK),
    "line": (OPEN_HEAD + b"X: ", CHUNK),
    "lines": (OPEN_HEAD, chunk_of(b"X-A: b\r\n")),
    "folded": (OPEN_HEAD + b"X: y", chunk_of(b"\r\n z")),
    "informational": (INFORMATIONAL, chunk_of(INFORMATIONAL)),
    "body": (OPEN_HEAD + b"\r\n", CHUNK),
    "chunk_size": (CHUNKED_HEAD, chunk_of(b"0")),
    "chunk_extension": (CHUNKED_HEAD + b"1;", CHUNK),
    "trailer": (CHUNKED_HEAD + b"0\r\n", chunk_of(b"X-A: b\r\n")),
    "event": (STREAM_HEAD + b"id: 0\ndata: ", CHUNK),
    "comments": (STREAM_HEAD, chunk_of(b":\n")),
}
# What a connection and its two ends may hold beside the body: a chunk in each of four places.
CONNECTION_BYTES = 4 * len(CHUNK)


class EndlessBytesTests(BodiesTestCase):
    """A replica sends bytes without end that are no answer, in each place of one."""

    async def test_bytes_without_end_are_ended_beside_sound_answers(self):
        scripts = {name: repeating(*parts) for name, parts in WITHOUT_END.items()}
        node = await self.serve_scripts(good=answering(), **scripts)
        bad = [
            self.call(node, f"/{kind}/", body=name.encode(), Request_Id=f"{kind}-{name}")
            for name in WITHOUT_END
            for kind in ("once", "stream")
        ]
        good = [
            self.call(node, f"/{kind}/", body=b"good", Request_Id=f"good-{kind}-{number}")
            for kind in KINDS
            for number in range(4)
        ]
        # It would keep a traceback of each callback.
        asyncio.get_running_loop().set_debug(False)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        ends = await asyncio.gather(*bad, *good)
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual([end.status for end in ends[: len(bad)]], [502] * len(bad))
        self.assertEqual([end.status for end in ends[len(bad) :]], [200] * len(good))
        await self.assert_released(node)
        self.assertLess(peak, 2 * MEMORY + (len(bad) + len(good)) * CONNECTION_BYTES)


class LargeRequestTests(BodiesTestCase):
    async def test_requests_without_room_are_refused_and_the_others_served(self):
        node = await self.serve_scripts(good=answering(seconds=0.2))
        body = b"good" + b"x" * (MEMORY // 3)
        ends = await asyncio.gather(*(self.upload(node, body, f"r-{n}") for n in range(12)))
        served = [end for end in ends if end.status == 200]
        refused = [end for end in ends if end.status == 503]
        self.assertEqual(len(served) + len(refused), len(ends))
        self.assertGreater(len(served), 0)
        self.assertGreater(len(refused), 0)
        for end in refused:
            self.assertIn(b"no memory for the body", end.body)
            self.assertGreater(float(end.headers["Retry-After"]), 0.0)
        self.assertEqual(len(served), sum(len(replica.received) for replica in self.replicas))
        await self.assert_released(node)

    async def upload(self, node: Node, body: bytes, name: str) -> Answer:
        reader, writer = await self.connect(node)
        try:
            writer.write(request("/once/", body=body, Request_Id=name))
            return await read_answer(reader)
        finally:
            writer.close()

    async def test_caller_that_leaves_while_it_sends_releases_the_memory(self):
        node = await self.serve_scripts(good=answering())
        _, writer = await self.connect(node)
        writer.write(request("/once/", body=b"good" + b"x" * (MEMORY // 2))[: MEMORY // 4])
        await self.until(lambda: node.kernel.buffers.used > 0)
        writer.close()
        await self.assert_released(node)


class CutHeadTests(PlatformTestCase):
    """A replica stops in the middle of the head of its answer and closes its connection."""

    async def test_cut_head_is_no_answer(self):
        whole = head(Received("POST / HTTP/1.1", {"Request-Id": "r-1"}, b""), Content_Length="0")
        node = await self.serve(self.cutting, self.cutting, keep_connections_seconds="10")
        self.hold_lag(node)
        for cut in range(1, len(whole) - 1, 5):
            for how in ("close", "abort"):
                self.cut, self.how = cut, how
                ends = await asyncio.gather(
                    *(self.call(node, f"/{kind}/", Request_Id=f"{cut}-{kind}") for kind in KINDS)
                )
                self.assertEqual({end.status for end in ends}, {502}, (cut, how))

    async def cutting(self, replica: ReplicaStandin, received: Received, writer) -> None:
        sealed = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": "5"}
        writer.write(head(received, **sealed)[: self.cut])
        await writer.drain()
        if self.how == "close":
            writer.close()
        else:
            writer.transport.abort()

    async def cut_or_answer(self, replica: ReplicaStandin, received: Received, writer) -> None:
        script = self.cutting if received.body == b"cut" else answering()
        await script(replica, received, writer)

    async def test_cut_head_on_a_kept_connection_is_no_answer(self):
        self.cut, self.how = 40, "close"
        replica = KeepingReplica("i-0", self.cut_or_answer)
        await replica.start()
        self.addCleanup(replica.stop)
        self.replicas.append(replica)
        self.list_replica(replica, "ready")
        node = await self.serve(keep_connections_seconds="10")
        self.hold_lag(node)
        for number, kind in enumerate(KINDS):
            sound = await self.call(node, "/once/", Request_Id=f"sound-{number}")
            opened = replica.opened
            cut = await self.call(node, f"/{kind}/", body=b"cut", Request_Id=f"cut-{number}")
            self.assertEqual((sound.status, cut.status), (200, 502), kind)
            if kind == "once":
                self.assertEqual(replica.opened, opened)
