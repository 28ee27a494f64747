"""Every request that was read whole gets a final answer, whatever fails while it is served."""

import asyncio
import itertools
import unittest
from dataclasses import dataclass, field
from unittest import mock

from tornado.http1connection import HTTP1Connection

from railsail.core.events import Event, Kind
from railsail.node import Node
from railsail.routing import client, guard
from tests.platform.base import (
    LONG_MS,
    LONGEST_SECONDS,
    ROUTES,
    Answer,
    PlatformTestCase,
    read_answer,
    read_head,
    request,
)
from tests.platform.standins import BREAK_SECONDS, Received, ReplicaStandin, answering, hanging
from tests.platform.steps import Failure, Step, StepFailed, StepWatcher
from tests.platform.streams import StreamingVersion

# Steps that close the connection by themselves if they fail: they read the request, write to the
# connection, or are called when all else has failed. The caller finds its connection closed.
LAST_STEPS = ("railsail.routing.client", "railsail.routing.guard")
# The first two bound all others. The servers hold on to the third from their start, so that it
# cannot be replaced. The fourth runs before a request is read.
NOT_REPLACED = {
    Step("railsail.routing.guard", "AnswerGuard.run"),
    Step("railsail.routing.guard", "AnswerGuard._serve_in"),
    Step("railsail.routing.front", "RouteFront.handle"),
    Step("railsail.routing.client", "ClientServer.start_request"),
}
# Some of the steps that have to be found.
FOUND = {
    Step("railsail.routing.offload", "Offloader.offload"),
    Step("railsail.routing.front", "RouteFront._serve_locally"),
    Step("railsail.routing.error_answers", "ErrorAnswers.send"),
    Step("railsail.routing.outcome_recorder", "OutcomeRecorder.record_outcome"),
    Step("railsail.platform.http", "PlatformProtocol.read_request"),
}
NOT_RUN = (408, 421, 429, 503)
EVENTS = 6
SLOTS = 200
# Calls of a step in a stream that pass before it fails, so that its first event has been sent.
PASSES = 3


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
STREAM = b"".join(f"id: {number}\ndata: v1\n\n".encode() for number in range(EVENTS))
STREAM_FROM_3 = STREAM[STREAM.index(b"id: 3") :]


async def by_route(replica: ReplicaStandin, got: Received, writer) -> None:
    """Stream on the routes for streams, and answer on the others."""
    streams = "/stream/" in got.line or "/resume/" in got.line
    script = StreamingVersion("v1", EVENTS, 0.002).script if streams else answering()
    await script(replica, got, writer)


@dataclass(frozen=True)
class Scenario:
    """A request and the status that it gets if no step fails."""

    target: str
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)

    def bytes(self, name: str, **more: str) -> bytes:
        return request(self.target, Request_Id=name, **(self.headers | more))


class AnsweredTestCase(PlatformTestCase):
    """Make each step of serving a request fail in turn, and look for a final answer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        long = {"slo_ms": LONG_MS, "timeout_ms": LONG_MS}
        for name in ROUTES:
            self.hold(mock.patch.dict(ROUTES[name], long | ROUTES[name]))
        self.names = (f"r-{number}" for number in itertools.count())

    async def serve_all(self, **settings: str) -> Node:
        """Start a daemon with a replica that streams on the routes for streams."""
        await self.add_replica(by_route, SLOTS)
        node = await self.serve(retry_slack="1000", **settings)
        # What a node reads at its start is no step of a request.
        await self.until(lambda: node.origins.recovery.is_over)
        return node

    async def find_steps(self, node: Node, scenario: Scenario) -> list[Step]:
        """Return the steps of a request on which nothing fails."""
        with StepWatcher(self.nodes) as watcher:
            await self.check(node, scenario)
            # Its end is recorded after its answer.
            await self.until(lambda: not node.requests)
        self.assertLessEqual(FOUND, watcher.steps)
        return sorted(watcher.steps - NOT_REPLACED)

    async def check(self, node: Node, scenario: Scenario) -> None:
        """Make one request, on which nothing fails."""
        answer = await self.ask(scenario, next(self.names), await self.connect(node))
        self.assertEqual((answer.status, answer.whole), (scenario.status, True))

    async def ask(
        self, scenario: Scenario, name: str, connection: Connection, **headers: str
    ) -> Answer:
        """Make one request on ``connection``."""
        reader, writer = connection
        self.addCleanup(writer.close)
        writer.write(scenario.bytes(name, **headers))
        return await read_answer(reader)

    async def fail_each(
        self, node: Node, scenario: Scenario, failure: Failure, passes: int = 0
    ) -> None:
        steps = await self.find_steps(node, scenario)
        for step in steps:
            if failure is Failure.RAISES or step.is_awaited:
                with self.subTest(step=str(step), failure=failure.name, passes=passes):
                    await self.fail_one(node, scenario, step, failure, passes)

    async def fail_one(
        self, node: Node, scenario: Scenario, step: Step, failure: Failure, passes: int
    ) -> None:
        async with asyncio.timeout(LONGEST_SECONDS):
            # A failure before this one may keep requests from its replica for a while.
            while not await self.reaches(node, scenario, step, failure, passes):
                await asyncio.sleep(0.05)

    async def reaches(
        self, node: Node, scenario: Scenario, step: Step, failure: Failure, passes: int
    ) -> bool:
        """Make a request while ``step`` fails, and say whether it came to it."""
        soon = {"Deadline_Ms": "200"} if failure is Failure.HANGS else {}
        # One that cannot be read ends by the timeout of its route.
        soon |= scenario.headers
        name, connection = next(self.names), await self.connect(node)
        with step.failing(failure, passes) as calls:
            answer = await self.ask(scenario, name, connection, **soon)
            # Some steps follow the answer.
            await self.until(lambda: not node.requests)
        self.assert_final(scenario, step, answer, name)
        await self.assert_usable(scenario, step, answer, connection)
        return bool(calls)

    async def assert_usable(
        self, scenario: Scenario, step: Step, answer: Answer, connection: Connection
    ) -> None:
        """Assert that the connection takes a request after a whole answer, and is closed else."""
        if not answer.whole or answer.headers.get("Connection") == "close":
            self.assertEqual(await asyncio.wait_for(connection[0].read(), LONGEST_SECONDS), b"")
            return
        again = await self.ask(scenario, next(self.names), connection)
        if step.module not in LAST_STEPS:
            self.assertTrue(again.whole, "the connection cannot be used any more")

    def assert_final(self, scenario: Scenario, step: Step, answer: Answer, name: str) -> None:
        if step.module not in LAST_STEPS:
            self.assertTrue(answer.status, "the connection was closed without an answer")
        if self.has_run(name):
            self.assertNotIn(answer.status, NOT_RUN, "told as not run")
        if answer.status == 200 and answer.whole:
            self.assertIn(answer.body, (b"hello", STREAM, STREAM_FROM_3), "a part looks whole")

    def has_run(self, name: str) -> bool:
        received = [got for replica in self.replicas for got in replica.received]
        return any(got.headers["Request-Id"] == name for got in received)


class HeadRequestTests(PlatformTestCase):
    async def test_refused_head_request_is_answered(self):
        """A refusal of ``HEAD`` had a body, at which the connection broke without an answer."""
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        for path, status in (("/nowhere/", 404), ("/again/", 200), ("/nowhere/", 404)):
            writer.write(request(path, "HEAD", body=b""))
            found, _ = await asyncio.wait_for(read_head(reader), 30.0)
            self.assertEqual(found, status)


class RefusedHeadTests(PlatformTestCase):
    async def test_answer_that_the_codec_refuses_is_replaced_by_a_failure(self):
        """The connection was closed without an answer, as if a part of one had been sent."""
        write_headers = HTTP1Connection.write_headers

        def refuse_success(connection, line, headers, chunk=None):
            if getattr(line, "code", 0) == 200:
                raise ValueError("Illegal characters in header")
            return write_headers(connection, line, headers, chunk)

        node = await self.serve(answering())
        with mock.patch.object(HTTP1Connection, "write_headers", refuse_success):
            answer = await self.call(node, "/again/")
        self.assertEqual((answer.status, answer.whole), (502, True))


class StepScenarios:
    """The requests whose steps fail in the way of a test case."""

    failure: Failure

    async def test_served(self):
        node = await self.serve_all()
        await self.fail_each(node, Scenario("/again/"), self.failure)

    async def test_streamed(self):
        node = await self.serve_all()
        await self.fail_each(node, Scenario("/stream/"), self.failure)

    async def test_streamed_after_the_first_event(self):
        node = await self.serve_all()
        await self.fail_each(node, Scenario("/stream/"), self.failure, PASSES)

    async def test_resumed_by_its_caller(self):
        node = await self.serve_all()
        resumed = Scenario("/resume/", headers={"Last_Event_Id": "2"})
        await self.fail_each(node, resumed, self.failure)

    async def test_refused(self):
        node = await self.serve_all()
        await self.fail_each(node, Scenario("/nowhere/", 404), self.failure)

    async def test_bad(self):
        node = await self.serve_all()
        bad = Scenario("/short/", 400, {"Deadline_Ms": "soon"})
        await self.fail_each(node, bad, self.failure)


class RaisingStepTests(StepScenarios, AnsweredTestCase):
    """A request on which a step raised an error waited until its caller gave it up."""

    failure = Failure.RAISES

    async def test_handler_of_the_server(self):
        """Its failure is the last one: the connection is closed, and not left open."""
        node = await self.serve_all()
        node.client_servers[0]._handler = mock.AsyncMock(side_effect=StepFailed)
        connection = await self.connect(node)
        answer = await self.ask(Scenario("/again/"), next(self.names), connection)
        self.assertEqual(answer.status, 0)
        await self.until(lambda: not node.requests)


class CancelledStepTests(StepScenarios, AnsweredTestCase):
    """A step that was cancelled without its caller's leaving left the connection open."""

    failure = Failure.CANCELLED


class HangingStepTests(StepScenarios, AnsweredTestCase):
    """A request on which a step did not return had no answer at its deadline, nor later."""

    failure = Failure.HANGS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Only so that the test takes less time.
        self.hold(mock.patch.object(guard, "GRACE_SECONDS", 0.0))
        self.hold(mock.patch.object(guard, "SEND_SECONDS", 0.1))


class RecordedEndTests(AnsweredTestCase):
    """A refused request that could not be read left no trace, and no failed one said so."""

    async def ends_of(self, node: Node, scenario: Scenario) -> list[Event]:
        name = next(self.names)
        await self.ask(scenario, name, await self.connect(node))
        await self.until(lambda: not node.requests)
        return [e for e in node.events.select(name) if e.kind is Kind.ENDED]

    async def test_bad_request(self):
        node = await self.serve_all()
        bad = Scenario("/again/", 400, {"Deadline_Ms": "soon"})
        (end,) = await self.ends_of(node, bad)
        self.assertEqual((end.facts["reason"], end.facts["status"]), ("bad-request", 400))

    async def test_failed_steps_before_and_after_the_first_event(self):
        node = await self.serve_all()
        step = Step("railsail.routing.answer", "StreamState.forward")
        for passes, status in ((0, 502), (PASSES, None)):
            with step.failing(Failure.RAISES, passes):
                (end,) = await self.ends_of(node, Scenario("/stream/"))
            self.assertEqual(end.detail, "this node failed while it served the request")
            self.assertEqual((end.notable, end.facts.get("status")), (True, status))

    async def test_error_is_logged_with_the_request(self):
        node = await self.serve_all()
        step = Step("railsail.routing.offload", "Offloader.offload")
        with mock.patch.object(guard, "get_logger") as logger, step.failing(Failure.RAISES, 0):
            (end,) = await self.ends_of(node, Scenario("/again/"))
        (logged,) = logger.return_value.error.call_args_list
        self.assertEqual(logged.kwargs["request"], end.request)
        self.assertIsInstance(logged.kwargs["exc_info"], StepFailed)


class StoppingNodeTests(PlatformTestCase):
    """A node that stopped closed the connections of requests that still ran, without an answer."""

    async def stop_under(self, target: str, **settings: str) -> tuple[Node, Answer]:
        """Stop a node under a request to ``target`` that its replica does not answer in full."""
        node = await self.serve(StreamingVersion("v1", holds=True).script, **settings)
        self.replicas[0].script = hanging() if target == "/once/" else self.replicas[0].script
        call = asyncio.ensure_future(self.call(node, target, Deadline_Ms=str(LONG_MS)))
        await self.until(lambda: self.replicas[0].received)
        await asyncio.sleep(BREAK_SECONDS)
        await node.drain()
        await node.stop()
        return node, await call

    def ends(self, node: Node) -> list[str]:
        return [event.detail for event in node.events.select("r-1") if event.kind is Kind.ENDED]

    async def test_request_without_an_answer_is_answered_as_unknown(self):
        node, answer = await self.stop_under("/once/", drain_seconds="0")
        self.assertEqual((answer.status, answer.whole), (502, True))
        self.assertEqual(self.ends(node), ["this node stopped before there was an answer"])

    async def test_stream_that_has_begun_does_not_look_whole(self):
        node, answer = await self.stop_under("/stream/", drain_seconds="0")
        self.assertEqual((answer.status, answer.whole), (200, False))
        self.assertEqual(self.ends(node), ["this node stopped before there was an answer"])

    async def test_request_that_is_being_read_is_served(self):
        """The node closed while the rest of a body was on its way."""
        self.hold(mock.patch.object(client, "READ_SILENCE_SECONDS", LONGEST_SECONDS))
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        data = request("/again/", body=b"x" * 100_000)
        writer.write(data[:-50_000])
        (server, _) = node.client_servers
        await self.until(lambda: server._reading)
        drained = asyncio.ensure_future(node.drain())
        await self.until(lambda: server._closing_idle)
        writer.write(data[-50_000:])
        await drained
        await node.stop()
        self.assertEqual((await read_answer(reader)).status, 200)

    async def test_caller_that_sends_no_more_of_a_request_does_not_delay_the_stop(self):
        self.hold(mock.patch.object(client, "READ_SILENCE_SECONDS", 0.05))
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        writer.write(request("/again/", body=b"x" * 100_000)[:-50_000])
        await self.until(lambda: node.client_servers[0]._reading)
        await node.drain()
        await node.stop()
        self.assertEqual(await reader.read(), b"")


if __name__ == "__main__":
    unittest.main()
