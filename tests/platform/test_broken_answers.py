"""A replica answers with a head that is none of HTTP: no caller gets that as an answer."""

import asyncio
import itertools
import re
import unittest
from unittest import mock

from railsail.core.events import Kind
from railsail.node import Node
from railsail.scheduling.health import CallResult
from tests.heads import INVALID_HEADS
from tests.platform.base import (
    LONGEST_SECONDS,
    ROUTES,
    PlatformTestCase,
    configuration,
    read_head,
    request,
)
from tests.platform.keeping import KeepingReplica
from tests.platform.standins import (
    SEAL,
    Received,
    ReplicaStandin,
    Script,
    answering,
    head,
    streaming,
)
from tests.platform.test_hedged_attempts import pausing_before
from tests.platform.test_path import allow_repeats
from tests.platform.test_silent_replicas import SilentReplicaTestCase

# RFC 9110, section 15: a status is a number from 100 to 599.
NOT_STATUSES = ("000", "001", "099", "600", "799", "999")
REPEATABLE = ("again", "resume")
SINGLE = ("once", "stream")
BODY = b"broken"
UNKNOWN = 502


def broken(status: str, body: bytes = BODY, **headers: str) -> Script:
    """Answer with ``status``, and whole but for that."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        fields = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": str(len(body))}
        writer.write(head(received, f"{status} OK", **fields, **headers) + body)
        await writer.drain()

    return script


def in_turn(*scripts: Script) -> Script:
    """Follow ``scripts`` for one request each, and then the last one for all others."""
    numbers = itertools.count()

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        await scripts[min(next(numbers), len(scripts) - 1)](replica, received, writer)

    return script


def with_status_of_body(**headers: str) -> Script:
    """Answer with the status that the body of a request names."""

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        await broken(received.body.decode(), **headers)(replica, received, writer)

    return script


def broken_once_for_each() -> Script:
    """Answer the first attempt of each request with a broken status, and the others whole."""
    broken_for: set[str] = set()

    async def script(replica: ReplicaStandin, received: Received, writer) -> None:
        request_id = received.headers["Request-Id"]
        answer = answering() if request_id in broken_for else broken("000")
        broken_for.add(request_id)
        await answer(replica, received, writer)

    return script


def record_results(case: PlatformTestCase, node: Node) -> list[CallResult]:
    """Return what the ends of calls will have said about their replicas."""
    seen: list[CallResult] = []
    tickets = node.front._relay._tickets
    release = tickets.release

    def record(booking, cost: float, result: CallResult) -> None:
        seen.append(result)
        release(booking, cost, result)

    case.hold(mock.patch.object(tickets, "release", record))
    return seen


class BrokenStatusTests(PlatformTestCase):
    def ran(self, request_id: str) -> int:
        received = [got for replica in self.replicas for got in replica.received]
        return sum(got.headers["Request-Id"] == request_id for got in received)

    async def test_request_gets_an_answer_of_unknown_outcome(self):
        node = await self.serve(with_status_of_body())
        for route, status in itertools.product(ROUTES, NOT_STATUSES):
            with self.subTest(route=route, status=status):
                name = f"{route}-{status}"
                answer = await self.call(node, f"/{route}/", body=status.encode(), Request_Id=name)
                self.assertEqual(answer.status, UNKNOWN)
                self.assertNotIn("Response-Seal", answer.headers)
                self.assertNotIn(BODY, answer.body)

    async def test_every_status_of_the_protocol_is_passed_on(self):
        node = await self.serve(with_status_of_body())
        for status in ("200", "299", "302", "400", "418", "499", "500", "599"):
            with self.subTest(status=status):
                answer = await self.call(node, "/once/", body=status.encode())
                self.assertEqual((answer.status, answer.body), (int(status), BODY))

    async def test_request_that_may_not_be_repeated_runs_once(self):
        node = await self.serve(broken("000"), broken("000"))
        allow_repeats(node)
        for route in SINGLE:
            with self.subTest(route=route):
                answer = await self.call(node, f"/{route}/", Request_Id=route)
                self.assertEqual((answer.status, self.ran(route)), (UNKNOWN, 1))

    async def test_request_that_may_be_repeated_is_served_by_another_attempt(self):
        node = await self.serve(*[broken_once_for_each()] * 2)
        allow_repeats(node)
        for route in REPEATABLE:
            with self.subTest(route=route):
                answer = await self.call(node, f"/{route}/", Request_Id=route)
                self.assertEqual((answer.status, answer.body), (200, b"hello"))
                self.assertEqual(self.ran(route), 2)

    async def test_broken_head_that_says_not_run_is_not_trusted(self):
        node = await self.serve(broken("000", Not_Run="1"))
        answer = await self.call(node, "/once/")
        self.assertEqual(answer.status, UNKNOWN)
        self.assertNotIn("Retry-After", answer.headers)

    async def test_head_request(self):
        node = await self.serve(with_status_of_body())
        for status in NOT_STATUSES:
            with self.subTest(status=status):
                reader, writer = await self.connect(node)
                self.addCleanup(writer.close)
                writer.write(request("/again/", method="HEAD", body=status.encode()))
                got, _ = await asyncio.wait_for(read_head(reader), LONGEST_SECONDS)
                self.assertEqual(got, UNKNOWN)

    async def test_events_of_a_stream_are_not_passed_on(self):
        event = b"id: 0\ndata: x\n\n"
        node = await self.serve(broken("000", event, Content_Type="text/event-stream"))
        for route in ("stream", "resume"):
            with self.subTest(route=route):
                answer = await self.call(node, f"/{route}/", Request_Id=route)
                self.assertEqual(answer.status, UNKNOWN)
                self.assertNotIn(b"data", answer.body)

    async def test_stream_is_continued_by_another_attempt(self):
        """The first replica breaks off, and the next one answers with a broken status."""
        script = in_turn(streaming(6, stop_after=2), broken("000"), streaming(6))
        node = await self.serve(script, script)
        allow_repeats(node)
        self.store.put("config", "main", configuration(4, resume={"max_attempts": 3}))
        await self.until(lambda: node.carrier.catalog.version == 4)
        answer = await self.call(node, "/resume/")
        self.assertTrue(answer.whole)
        self.assertEqual(re.findall(rb"id: (\d)", answer.body), [b"%d" % n for n in range(6)])

    async def test_failure_counts_as_that_of_the_replica_and_is_logged_once(self):
        node = await self.serve(broken("000"))
        results = record_results(self, node)
        await self.call(node, "/once/", Request_Id="logged")
        # The process of the replica has not ended, so that the request is no suspect of a crash.
        self.assertEqual(results, [CallResult.ERROR])
        lines = [each for each in node.events.select("logged") if "status 000" in each.detail]
        self.assertEqual([each.kind for each in lines], [Kind.ENDED])


class BrokenHeadTests(PlatformTestCase):
    async def serve_heads(self) -> Node:
        """Serve with a replica that answers with the head that the body of a request names."""

        async def script(replica: ReplicaStandin, received: Received, writer) -> None:
            invalid = INVALID_HEADS[received.body.decode()]
            sealed = f"Request-Id: {received.headers['Request-Id']}\r\nResponse-Seal: x\r\n\r\n"
            writer.write(invalid + sealed.encode() + b"hi")
            await writer.drain()

        return await self.serve(script)

    async def test_request_gets_an_answer_of_unknown_outcome(self):
        node = await self.serve_heads()
        for route, name in itertools.product(("once", "again", "resume"), INVALID_HEADS):
            with self.subTest(route=route, head=name):
                answer = await self.call(node, f"/{route}/", body=name.encode())
                self.assertEqual(answer.status, UNKNOWN)
                self.assertNotIn("X-A", answer.headers)
                self.assertNotIn("Response-Seal", answer.headers)

    async def test_head_request(self):
        node = await self.serve_heads()
        for name in INVALID_HEADS:
            with self.subTest(head=name):
                reader, writer = await self.connect(node)
                self.addCleanup(writer.close)
                writer.write(request("/again/", method="HEAD", body=name.encode()))
                got, _ = await asyncio.wait_for(read_head(reader), LONGEST_SECONDS)
                self.assertEqual(got, UNKNOWN)

    async def test_failure_counts_as_an_error_of_the_replica(self):
        node = await self.serve_heads()
        results = record_results(self, node)
        for name in INVALID_HEADS:
            await self.call(node, "/once/", body=name.encode())
        self.assertEqual(results, [CallResult.ERROR] * len(INVALID_HEADS))


class HedgedAttemptTests(SilentReplicaTestCase):
    async def test_broken_answer_of_the_second_attempt_does_not_end_the_first(self):
        node = await self.serve_repeatable(2, script=pausing_before(answering(), broken("000")))
        call = asyncio.ensure_future(self.call(node, "/again/"))
        await self.until(lambda: self.runs() == 2)
        await self.resume_later()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b"hello"))

    async def test_broken_answer_of_the_first_attempt_does_not_end_the_second(self):
        node = await self.serve_repeatable(2, script=pausing_before(broken("000"), answering()))
        answer = await self.call(node, "/again/")
        self.assertEqual((answer.status, answer.body), (200, b"hello"))


class KeptConnectionTests(PlatformTestCase):
    replica_class = KeepingReplica

    async def test_connection_is_closed_after_a_broken_answer(self):
        script = in_turn(answering(), broken("000"), answering())
        node = await self.serve(script, keep_connections_seconds="30")
        statuses = [
            (await self.call(node, "/once/", Request_Id=f"k-{number}")).status
            for number in range(3)
        ]
        self.assertEqual(statuses, [200, UNKNOWN, 200])
        self.assertEqual(self.replicas[0].opened, 2)


if __name__ == "__main__":
    unittest.main()
