"""Two attempts of one request run at once: neither ends the other one for less than an answer."""

import asyncio
import contextlib
import itertools
import unittest
from unittest import mock

import msgspec

from railsail.core.events import Kind
from railsail.routing import context
from railsail.upstreams.http import HttpRequest
from railsail.upstreams.streams import UpstreamStream
from tests.platform.base import LONGEST_SECONDS, request
from tests.platform.standins import (
    BREAK_SECONDS,
    LOOPBACK,
    SEAL,
    Received,
    ReplicaStandin,
    Script,
    answering,
    hanging,
    head,
)
from tests.platform.test_silent_replicas import (
    REPLACEMENT_SECONDS,
    SilentReplicaTestCase,
    pausing_once,
)

LARGE_BODY_BYTES = 24 << 20
QUIET_SECONDS = 3.0


def pausing_before(answer: Script, then: Script) -> Script:
    """The replica of the first request pauses before ``answer``; others follow ``then``."""
    requests = itertools.count()

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        if next(requests):
            await then(replica, received, writer)
            return
        replica.pause()
        await replica.until_resumed()
        await answer(replica, received, writer)

    return script


def repeating_events() -> Script:
    """Stream from the first event, whatever the caller has."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        writer.write(head(received, Response_Seal=f"{SEAL}-{replica.name}", **kind))
        event = b"id: 0\ndata: v1\n\n"
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n0\r\n\r\n")
        await writer.drain()

    return script


def breaking_off_within_the_body() -> Script:
    """Send the half of an answer, and break off."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        sealed = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": "10"}
        writer.write(head(received, **sealed) + b"hello")
        await writer.drain()
        await asyncio.sleep(BREAK_SECONDS)
        writer.transport.abort()

    return script


class HedgedAttemptTests(SilentReplicaTestCase):
    """What one attempt may do to another one."""

    async def test_answer_that_a_slow_caller_holds_up_is_not_repeated(self):
        node = await self.serve_repeatable(2, script=answering(b"x" * LARGE_BODY_BYTES))
        reader, writer = await asyncio.open_connection(
            LOOPBACK, node.settings.caller_port, limit=1024
        )
        writer.write(request("/again/"))
        await self.until(lambda: self.runs() == 1)
        await asyncio.sleep(2 * REPLACEMENT_SECONDS)
        runs = self.runs()
        heads = 0
        with contextlib.suppress(TimeoutError):
            # Nothing may follow the one answer.
            async with asyncio.timeout(QUIET_SECONDS):
                while chunk := await reader.read(1 << 20):
                    heads += chunk.count(b"HTTP/1.1")
        writer.close()
        self.assertEqual((runs, heads), (1, 1))

    async def test_answer_held_up_past_its_deadline_spends_no_retries(self):
        node = await self.serve_repeatable(2, script=answering(b"x" * LARGE_BODY_BYTES))
        relay = node.front._relay
        relay._bounds = msgspec.structs.replace(relay._bounds, slack=100.0)
        _, writer = await asyncio.open_connection(LOOPBACK, node.settings.caller_port, limit=1024)
        writer.write(request("/again/", Deadline_Ms="1000"))
        await self.until(lambda: self.runs() == 1)
        # The search for another replica begins as the deadline passes.
        for replica in self.replicas:
            replica.pause()
        self.hold(mock.patch.object(context, "MIN_SILENCE_TIMEOUT_SECONDS", 1.2))
        await asyncio.sleep(2.0)
        writer.close()
        self.assertEqual(len(relay._budget("desk")._retries), 0)

    async def test_exception_in_the_search_does_not_end_the_silent_attempt(self):
        node = await self.serve_repeatable(2)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        relay = node.front._relay
        self.hold(mock.patch.object(relay._acquirer, "acquire", side_effect=KeyError("bug")))
        await self.resume_later()
        self.assert_whole(await call)

    async def test_error_of_the_silent_replica_does_not_end_the_second_attempt(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", LONGEST_SECONDS))
        released = asyncio.Event()

        async def held(replica: ReplicaStandin, received: Received, writer) -> None:
            await released.wait()
            await answering()(replica, received, writer)

        error = answering(b"failed", "500 Internal Server Error")
        node = await self.serve_repeatable(2, script=pausing_before(error, held))
        call = asyncio.ensure_future(self.call(node, "/again/"))
        first = await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        first.resume()
        await asyncio.sleep(REPLACEMENT_SECONDS)
        released.set()
        self.assertEqual((await call).status, 200)

    async def test_error_of_the_second_replica_does_not_end_the_silent_attempt(self):
        error = answering(b"failed", "500 Internal Server Error")
        node = await self.serve_repeatable(2, script=pausing_before(answering(), error))
        call = asyncio.ensure_future(self.call(node, "/again/"))
        await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        await self.resume_later()
        self.assertEqual((await call).status, 200)

    async def test_refused_event_of_the_second_replica_does_not_end_the_silent_attempt(self):
        async def script(replica: ReplicaStandin, received: Received, writer) -> None:
            is_first = not self.version.received
            then = self.version.script if is_first else repeating_events()
            await then(replica, received, writer)

        node = await self.serve_repeatable(2, script=script)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        await self.resume_later()
        self.assert_whole(await call)

    async def test_half_of_a_second_answer_does_not_end_the_silent_attempt(self):
        then = breaking_off_within_the_body()
        node = await self.serve_repeatable(2, script=pausing_before(answering(), then))
        call = asyncio.ensure_future(self.call(node, "/again/"))
        await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        await self.resume_later()
        self.assertEqual((await call).status, 200)

    async def test_second_replica_that_never_answers_does_not_end_a_silence_that_ends(self):
        async def script(replica: ReplicaStandin, received: Received, writer) -> None:
            is_first = not self.version.received
            await (self.version.script if is_first else hanging())(replica, received, writer)

        node = await self.serve_repeatable(2, script=script)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        await self.resume_later()
        self.assert_whole(await call)

    async def test_attempt_that_ended_before_it_was_sent_does_not_count(self):
        self.version.most_pauses = 1
        self.version.pause = 0.05
        node = await self.serve_repeatable(2)
        relay = node.front._relay
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        first = await self.until_paused()
        original = relay._connections.acquire
        connecting = asyncio.Event()

        async def connect_later(sent: HttpRequest) -> UpstreamStream:
            connecting.set()
            await asyncio.sleep(LONGEST_SECONDS)

        relay._connections.acquire = connect_later
        await connecting.wait()
        relay._connections.acquire = original
        first.resume()
        await asyncio.sleep(0.08)
        first.crash()
        answer = await call
        self.assert_whole(answer)

    async def test_replica_that_cannot_be_connected_to_is_not_tried_again(self):
        node = await self.serve_repeatable(3)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        first = await self.until_paused()
        for replica in self.replicas:
            if replica is not first:
                replica.crash()
        await asyncio.sleep(2 * REPLACEMENT_SECONDS)
        first.resume()
        self.assert_whole(await call)
        counted = len(node.front._relay._budget("desk")._retries)
        self.assertEqual(self.runs(), 1)
        self.assertEqual(counted, 0)

    async def test_end_names_the_replica_whose_answer_the_caller_got(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", LONGEST_SECONDS))
        node = await self.serve_repeatable(2, script=pausing_before(answering(), hanging()))
        call = asyncio.ensure_future(self.call(node, "/again/"))
        first = await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        first.resume()
        await call
        await self.until(lambda: [e for e in node.events if e.kind is Kind.ENDED])
        ended = [e for e in node.events if e.kind is Kind.ENDED]
        self.assertEqual(ended[-1].facts["replica"], first.name)

    async def test_replaced_silence_names_the_replica_that_goes_on(self):
        node = await self.serve_repeatable(2, script=pausing_once())
        await self.call(node, "/again/")
        await self.until(lambda: [e for e in node.events if e.kind is Kind.ENDED])
        ends = [e for e in node.events if e.kind is Kind.SILENT and "end" in e.facts]
        names = {replica.name for replica in self.replicas}
        self.assertEqual(names, {v for v in ends[-1].facts.values() if v in names})

    async def test_silence_without_room_elsewhere_tells_why_it_was_not_replaced(self):
        node = await self.serve_repeatable(1)
        call = asyncio.ensure_future(self.call(node, "/resume/", Deadline_Ms="1200"))
        await self.until_paused()
        await call
        ends = [e for e in node.events if e.kind is Kind.SILENT and "end" in e.facts]
        self.assertIn("not_replaced", ends[-1].facts)


if __name__ == "__main__":
    unittest.main()
