"""A sound replica may fall silent for a second or so, which is no reason to end an answer.

A stream or a repeatable request was ended with its replica at work on it, where no other attempt
was allowed or no other replica had room.
"""

import asyncio
import itertools
import unittest
from unittest import mock

from railsail.core.events import Kind
from railsail.node import Node
from railsail.routing import context
from railsail.upstreams.http import HttpRequest, NotSent
from railsail.upstreams.streams import UpstreamStream
from tests.platform.base import (
    LONGEST_SECONDS,
    ROUTES,
    Answer,
    PlatformTestCase,
    read_answer,
    request,
)
from tests.platform.standins import (
    LOOPBACK,
    SEAL,
    Received,
    ReplicaStandin,
    Script,
    answering,
    closing,
    hanging,
    head,
    refusing,
)
from tests.platform.streams import StreamingVersion, events_of

EVENTS = 6
LARGE_EVENT_BYTES = 64 << 10
LARGE_EVENTS = 200
SILENCE_SECONDS = 0.2
# Within this time, an attempt that fell silent is replaced if it can be.
REPLACEMENT_SECONDS = 4 * SILENCE_SECONDS


def pausing_once() -> Script:
    """Answer whole; the replica that gets the first request pauses before its answer."""
    answer = answering()
    requests = itertools.count()

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        if next(requests) == 0:
            replica.pause()
        await answer(replica, request, writer)

    return script


def streaming_large() -> Script:
    """Stream more than what connections buffer."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        writer.write(head(received, Response_Seal=f"{SEAL}-{replica.name}", **kind))
        for number in range(LARGE_EVENTS):
            event = f"id: {number}\ndata: ".encode() + b"x" * LARGE_EVENT_BYTES + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


class SilentReplicaTestCase(PlatformTestCase):
    """Replicas that pause; a replica counts as silent after ``SILENCE_SECONDS``."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hold(mock.patch.object(context, "MIN_SILENCE_TIMEOUT_SECONDS", SILENCE_SECONDS))
        for name in ("resume", "again"):
            self.hold(mock.patch.dict(ROUTES[name], {"slo_ms": 10, "gap_slo_ms": 10}))
        self.version = StreamingVersion("v1", EVENTS, pause_after=2)

    async def serve_repeatable(
        self, replicas: int, max_attempts: int = 2, script: Script | None = None, slots: int = 4
    ) -> Node:
        """Serve with so many ``replicas``, at a node that may repeat requests."""
        for name in ("resume", "again"):
            self.hold(mock.patch.dict(ROUTES[name], {"max_attempts": max_attempts}))
        for _ in range(replicas):
            await self.add_replica(script or self.version.script, slots)
        node = await self.serve()
        self.hold_lag(node)
        # A process that has just started has no share of the slack of the budget.
        node.front._relay._started_at -= 1000.0
        return node

    async def asyncTearDown(self) -> None:
        for replica in self.replicas:
            replica.resume()
        for node in self.nodes:
            # Each attempt gives its place at the replica back, however it ended.
            await self.until(lambda node=node: len(node.tickets) == 0)
        await super().asyncTearDown()

    async def until_paused(self, *others: ReplicaStandin) -> ReplicaStandin:
        """Return the replica that paused itself, beside ``others``, once there is one."""
        paused: list[ReplicaStandin] = []
        while not paused:
            await asyncio.sleep(0.01)
            paused = [r for r in self.replicas if r.is_paused and r not in others]
        return paused[0]

    async def resume_later(self) -> None:
        """Let all replicas go on after a silence that is long enough for a replacement."""
        await asyncio.sleep(REPLACEMENT_SECONDS)
        for replica in self.replicas:
            replica.resume()

    def assert_whole(self, answer: Answer) -> None:
        """Check that the caller got each event once."""
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.whole)
        self.assertEqual([number for number, _ in events_of(answer.body)], list(range(EVENTS)))

    def runs(self) -> int:
        return sum(len(replica.received) for replica in self.replicas)


class WaitingTests(SilentReplicaTestCase):
    """An attempt goes on where nothing can replace it."""

    async def test_stream_is_not_cut_where_the_retry_budget_is_spent(self):
        node = await self.serve_repeatable(2)
        node.front._relay._started_at += 1000.0
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        await self.resume_later()
        self.assert_whole(await call)
        self.assertEqual(self.runs(), 1)

    async def test_stream_is_not_cut_where_the_route_allows_no_other_attempt(self):
        node = await self.serve_repeatable(2, max_attempts=1)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        await self.resume_later()
        self.assert_whole(await call)
        self.assertEqual(self.runs(), 1)

    async def test_stream_is_not_cut_where_there_is_no_other_replica(self):
        node = await self.serve_repeatable(1)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        await self.resume_later()
        self.assert_whole(await call)

    async def test_stream_is_not_cut_where_the_second_replica_falls_silent_too(self):
        node = await self.serve_repeatable(2)
        self.version.most_pauses = 2
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused(await self.until_paused())
        await self.resume_later()
        self.assert_whole(await call)

    async def test_stream_is_not_cut_where_all_replicas_fall_silent_at_once(self):
        node = await self.serve_repeatable(3)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        for replica in self.replicas:
            replica.pause()
        await self.resume_later()
        self.assert_whole(await call)

    async def test_request_does_not_fail_where_the_retry_budget_is_spent(self):
        node = await self.serve_repeatable(2, script=pausing_once())
        node.front._relay._started_at += 1000.0
        call = asyncio.ensure_future(self.call(node, "/again/"))
        await self.until_paused()
        await self.resume_later()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b"hello"))

    async def test_request_that_may_run_once_only_is_waited_for(self):
        node = await self.serve_repeatable(2, script=pausing_once())
        call = asyncio.ensure_future(self.call(node, "/once/"))
        await self.until_paused()
        await self.resume_later()
        self.assertEqual((await call).status, 200)
        self.assertEqual(self.runs(), 1)


class RaceTests(SilentReplicaTestCase):
    """The first of two attempts that goes on is the one that the caller gets."""

    async def serve_race(self, second: Script) -> tuple[Node, asyncio.Task]:
        """Start a stream whose replica pauses, and whose second attempt is answered by a script."""

        async def script(replica: ReplicaStandin, received: Received, writer) -> None:
            is_first = not self.version.received
            await (self.version.script if is_first else second)(replica, received, writer)

        node = await self.serve_repeatable(2, script=script)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        await self.until_paused()
        await self.until(lambda: self.runs() == 2)
        return node, call

    def silences(self, node: Node) -> list[str]:
        """Return how the silences ended."""
        ends = [event.facts.get("end") for event in node.events if event.kind is Kind.SILENT]
        return [end for end in ends if end]

    async def test_replica_that_goes_on_first_ends_the_second_attempt(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", LONGEST_SECONDS))
        node, call = await self.serve_race(hanging())
        first = await self.until_paused()
        first.resume()
        self.assert_whole(await call)
        self.assertEqual((self.runs(), first.left), (2, 0))
        await self.until(lambda: sum(replica.left for replica in self.replicas) == 1)
        self.assertEqual(self.silences(node), ["went-on"])

    async def test_second_attempt_that_answers_ends_the_silent_one(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", LONGEST_SECONDS))
        node, call = await self.serve_race(self.version.script)
        self.assert_whole(await call)
        first = await self.until_paused()
        first.resume()
        await self.until(lambda: first.left == 1)
        self.assertEqual(self.silences(node), ["replaced"])

    async def test_second_attempt_that_is_refused_does_not_end_the_silent_one(self):
        node, call = await self.serve_race(refusing(Not_Run="1"))
        await self.resume_later()
        self.assert_whole(await call)
        self.assertEqual(self.silences(node), ["went-on"])

    async def test_second_attempt_that_breaks_off_does_not_end_the_silent_one(self):
        node, call = await self.serve_race(closing())
        await self.resume_later()
        self.assert_whole(await call)
        self.assertEqual(self.silences(node), ["went-on"])

    async def test_second_replica_that_cannot_be_connected_to_does_not_end_the_silent_one(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", 0.01))
        node = await self.serve_repeatable(2)
        call = asyncio.ensure_future(self.call(node, "/resume/"))
        first = await self.until_paused()
        released = asyncio.Event()

        async def connect_in_vain(sent: HttpRequest) -> UpstreamStream:
            await released.wait()
            raise NotSent("the host is gone")

        node.front._relay._connections.acquire = connect = mock.Mock(wraps=connect_in_vain)
        await self.until(lambda: connect.called)
        await self.resume_later()
        self.assert_whole(await call)
        released.set()
        self.assertEqual((self.silences(node)[0], first.left), ("went-on", 0))

    async def test_crash_of_the_silent_replica_leaves_the_second_attempt(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", LONGEST_SECONDS))
        released = asyncio.Event()

        async def held(replica: ReplicaStandin, received: Received, writer) -> None:
            await released.wait()
            await self.version.script(replica, received, writer)

        node, call = await self.serve_race(held)
        (await self.until_paused()).crash()
        await self.until(lambda: self.silences(node) == ["replaced"])
        released.set()
        self.assert_whole(await call)

    async def test_refusal_after_a_silent_attempt_is_no_promise(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", 0.05))
        held = asyncio.Event()

        async def refuse_late(replica: ReplicaStandin, received: Received, writer) -> None:
            await held.wait()
            await refusing(Not_Run="1")(replica, received, writer)

        scripts = iter([pausing_once(), refuse_late])

        async def script(replica: ReplicaStandin, received: Received, writer) -> None:
            await next(scripts)(replica, received, writer)

        node = await self.serve_repeatable(2, script=script)
        call = asyncio.ensure_future(self.call(node, "/again/"))
        await self.until(lambda: self.silences(node) == ["replaced"])
        held.set()
        self.assertEqual((await call).status, 502)

    async def test_caller_that_leaves_ends_both_attempts(self):
        self.hold(mock.patch.object(context.RoutingContext, "max_overlap", LONGEST_SECONDS))
        node = await self.serve_repeatable(2, script=hanging())
        _, writer = await self.connect(node)
        writer.write(request("/again/"))
        await self.until(lambda: self.runs() == 2)
        writer.close()
        await self.until(lambda: sum(replica.left for replica in self.replicas) == 2)
        self.assertEqual(self.silences(node), ["caller-left"])

    async def test_stream_that_a_slow_caller_holds_up_is_not_repeated(self):
        node = await self.serve_repeatable(2, script=streaming_large())
        reader, writer = await asyncio.open_connection(
            LOOPBACK, node.settings.caller_port, limit=1024
        )
        writer.write(request("/resume/"))
        await self.until(lambda: self.runs() == 1)
        await asyncio.sleep(REPLACEMENT_SECONDS)
        answer = await read_answer(reader)
        writer.close()
        self.assertTrue(answer.whole)
        self.assertEqual((self.runs(), self.silences(node)), (1, []))


class ReplacementTests(SilentReplicaTestCase):
    """A replica that is silent for good is left."""

    async def test_stream_goes_on_at_another_replica(self):
        node = await self.serve_repeatable(2)
        answer = await self.call(node, "/resume/")
        self.assert_whole(answer)
        self.assertEqual(self.runs(), 2)

    async def test_request_is_answered_by_another_replica(self):
        node = await self.serve_repeatable(2, script=pausing_once())
        answer = await self.call(node, "/again/")
        self.assertEqual((answer.status, answer.body), (200, b"hello"))
        self.assertEqual(self.runs(), 2)


if __name__ == "__main__":
    unittest.main()
