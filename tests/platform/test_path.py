"""The whole path on the platform's formats: what replicas get, and what callers get back."""

import asyncio
import unittest
from unittest import mock

from railsail.node import Node
from tests.platform.base import KEY, PlatformTestCase, configuration, read_answer, request
from tests.platform.standins import (
    answering,
    closing,
    hanging,
    refusing,
    streaming,
)


def allow_repeats(node: Node) -> None:
    """Let ``node`` repeat as if it had run for a while; a young one has no share of the slack."""
    node.front._relay._started_at -= 1000.0


class PassingOnTests(PlatformTestCase):
    async def test_request_arrives_as_it_was_sent(self):
        node = await self.serve(answering())
        await self.call(node, "/once/a%20b/..?q=1&q=%2f", "PATCH", b"\x00body", X_Own="kept")
        got = self.replicas[0].received[0]
        self.assertEqual(got.line, "PATCH /once/a%20b/..?q=1&q=%2f HTTP/1.1")
        self.assertEqual(got.body, b"\x00body")
        self.assertEqual((got.headers["Request-Id"], got.headers["X-Own"]), ("r-1", "kept"))
        self.assertEqual(got.headers["Host"], "a.example")

    async def test_fleet_sets_its_own_headers_whatever_the_caller_sent(self):
        node = await self.serve(answering())
        await self.call(node, "/once/", Tenant="other", Expect_Instance="i-9", Deadline_Ms="1500")
        headers = self.replicas[0].received[0].headers
        self.assertEqual((headers["Tenant"], headers["Expect-Instance"]), ("one", "i-0"))
        self.assertTrue(0 < int(headers["Deadline-Ms"]) <= 1500)
        self.assertNotIn("Authorization", headers)

    async def test_headers_of_the_connection_are_not_passed_on(self):
        node = await self.serve(answering())
        await self.call(node, "/once/", Connection="X-Hop", X_Hop="1", Te="trailers")
        headers = self.replicas[0].received[0].headers
        self.assertFalse({"X-Hop", "Te"} & set(headers))

    async def test_chunked_body_arrives_whole(self):
        node = await self.serve(answering())
        body = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        await self.call(node, "/once/", body=body, Transfer_Encoding="chunked", Content_Length="")
        self.assertEqual(self.replicas[0].received[0].body, b"abcde")

    async def test_answer_comes_back_unchanged(self):
        node = await self.serve(answering(b"\x00whole", "201 Created"))
        answer = await self.call(node, "/once/")
        self.assertEqual((answer.status, answer.body), (201, b"\x00whole"))
        self.assertEqual(answer.headers["Response-Seal"], "seal-i-0")
        self.assertEqual(answer.headers["Request-Id"], "r-1")

    async def test_answer_that_ends_with_its_connection_is_whole(self):
        async def script(replica, got, writer):
            sealed = f"Request-Id: {got.headers['Request-Id']}\r\nResponse-Seal: s\r\n\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{sealed}whole".encode())
            await writer.drain()

        node = await self.serve(script)
        answer = await self.call(node, "/once/")
        self.assertEqual((answer.status, answer.body), (200, b"whole"))

    async def test_failure_of_a_replica_is_passed_on_where_it_cannot_repeat(self):
        node = await self.serve(answering(b"bad", "500 Internal Server Error"))
        answer = await self.call(node, "/once/")
        self.assertEqual((answer.status, answer.headers["Response-Seal"]), (500, "seal-i-0"))

    async def test_plain_answer_on_a_streaming_route_is_passed_on(self):
        node = await self.serve(answering(b"no events"))
        answer = await self.call(node, "/stream/")
        self.assertEqual((answer.status, answer.body), (200, b"no events"))


class RefusalTests(PlatformTestCase):
    async def test_unknown_route_and_unknown_key(self):
        node = await self.serve(answering())
        self.assertEqual((await self.call(node, "/other/")).status, 404)
        self.assertEqual((await self.call(node, "/once/", Authorization="Bearer no")).status, 401)
        self.assertEqual((await self.call(node, "/public/", Authorization="")).status, 200)
        self.assertNotIn("Tenant", self.replicas[0].received[0].headers)

    async def test_node_without_configuration_says_so(self):
        node = await self.serve(configured=False)
        answer = await self.call(node, "/once/")
        self.assertEqual(answer.status, 503)
        self.assertTrue(0 < float(answer.headers["Retry-After"]) < 2)
        self.assertTrue(node.not_ready())

    async def test_revoked_key_and_new_route_follow_the_store(self):
        node = await self.serve(answering())
        moved = {"path_prefix": "/moved/"}
        self.store.put("config", "main", configuration(9, keys=[], once=moved))
        await self.until(lambda: node.carrier.catalog.version == 9)
        self.assertEqual((await self.call(node, "/moved/")).status, 401)
        self.assertEqual((await self.call(node, "/once/")).status, 404)

    async def test_without_a_replica_it_is_refused_as_not_run(self):
        node = await self.serve()
        answer = await self.call(node, "/short/")
        self.assertEqual((answer.status, "Retry-After" in answer.headers), (503, True))

    async def test_bad_request_is_told(self):
        node = await self.serve(answering())
        answer = await self.call(node, "/once/", Deadline_Ms="soon")
        self.assertEqual((answer.status, answer.body), (400, b"Deadline-Ms is not a number\n"))


class TruthTests(PlatformTestCase):
    async def test_what_may_have_run_is_never_told_as_not_run(self):
        node = await self.serve(closing(), closing())
        answer = await self.call(node, "/once/")
        self.assertEqual(answer.status, 502)
        self.assertNotIn("Response-Seal", answer.headers)
        self.assertEqual(sum(len(replica.received) for replica in self.replicas), 1)

    async def test_refusal_without_the_word_not_run_is_no_promise(self):
        node = await self.serve(refusing())
        self.assertEqual((await self.call(node, "/once/")).status, 502)

    async def test_replica_that_did_not_run_it_is_a_refusal(self):
        node = await self.serve(refusing(Not_Run="1"))
        answer = await self.call(node, "/once/")
        self.assertEqual((answer.status, "Retry-After" in answer.headers), (503, True))

    async def test_another_instance_at_the_address_gets_nothing_more(self):
        node = await self.serve(refusing("421 Misdirected Request", Instance_Id="i-7"))
        self.assertEqual((await self.call(node, "/once/")).status, 503)
        self.assertTrue(node.directory.get("i-0").leaving)

    async def test_answer_to_another_request_is_not_passed_on(self):
        async def script(replica, got, writer):
            sealed = "Request-Id: r-other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno"
            writer.write(f"HTTP/1.1 200 OK\r\n{sealed}".encode())
            await writer.drain()

        node = await self.serve(script)
        answer = await self.call(node, "/once/")
        self.assertEqual((answer.status, answer.body == b"no"), (502, False))

    async def test_answer_cut_short_is_not_passed_on(self):
        async def script(replica, got, writer):
            sealed = "Request-Id: r-1\r\nResponse-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"
            writer.write(f"HTTP/1.1 200 OK\r\n{sealed}".encode())
            await writer.drain()

        node = await self.serve(script)
        self.assertEqual((await self.call(node, "/once/")).status, 502)

    async def test_refusal_after_an_attempt_that_may_have_run_is_no_promise(self):
        node = await self.serve(closing(), refusing(Not_Run="1"))
        allow_repeats(node)
        for _ in range(6):
            before = len(self.replicas[0].received)
            answer = await self.call(node, "/again/")
            may_have_run = len(self.replicas[0].received) > before
            self.assertEqual(answer.status, 502 if may_have_run else 503)
        self.assertTrue(self.replicas[0].received)

    async def test_route_time_out_gets_a_final_answer(self):
        node = await self.serve(hanging())
        answer = await self.call(node, "/short/")
        self.assertEqual(answer.status, 504)
        await self.until(lambda: self.replicas[0].left == 1)


class FailingHandlerTests(PlatformTestCase):
    """A request on which a daemon's own code fails left its caller to wait until its deadline."""

    async def test_caller_is_told_at_once_that_nobody_knows(self):
        node = await self.serve(answering())
        failure = mock.Mock(side_effect=LookupError("a request that no test thought of"))
        with mock.patch.object(node.front, "_create_context", failure):
            answer = await asyncio.wait_for(self.call(node, "/again/"), 2.0)
        self.assertEqual(answer.status, 502)
        self.assertEqual(node.requests, 0)
        self.assertEqual((await self.call(node, "/again/")).status, 200)


class RepeatTests(PlatformTestCase):
    async def test_idempotent_request_is_tried_at_another_replica(self):
        node = await self.serve(closing(), answering())
        allow_repeats(node)
        answers = [await self.call(node, "/again/") for _ in range(4)]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertTrue(self.replicas[0].received)

    async def test_young_process_repeats_only_in_proportion_to_its_requests(self):
        node = await self.serve(closing(), closing())
        for _ in range(30):
            await self.call(node, "/again/")
        seen = sum(len(replica.received) for replica in self.replicas)
        self.assertLessEqual(seen - 30, 30 * 0.1)

    async def test_caller_that_leaves_ends_the_work(self):
        node = await self.serve(hanging())
        _, writer = await self.connect(node)
        writer.write(request("/once/"))
        await self.until(lambda: self.replicas[0].received)
        writer.close()
        await self.until(lambda: self.replicas[0].left == 1)
        await self.until(lambda: node.admission.total == 0)
        self.assertEqual(len(node.tickets), 0)


class StreamTests(PlatformTestCase):
    def events(self, body: bytes) -> list[int]:
        parts = [part for part in body.split(b"\n\n") if part]
        return [int(part.split(b"\n")[0].removeprefix(b"id: ")) for part in parts]

    async def test_events_come_whole_and_in_order(self):
        node = await self.serve(streaming(5))
        answer = await self.call(node, "/stream/")
        self.assertEqual((self.events(answer.body), answer.whole), ([0, 1, 2, 3, 4], True))
        self.assertEqual(answer.headers["Response-Seal"], "seal-i-0")

    async def resumed(self, partial: bool) -> None:
        node = await self.serve(streaming(6, 3, partial), streaming(6, 3, partial))
        allow_repeats(node)
        answer = await self.call(node, "/resume/")
        self.assertEqual((self.events(answer.body), answer.whole), ([*range(6)], True))
        received = [got for replica in self.replicas for got in replica.received]
        resumed = [got.headers.get("Last-Event-Id") for got in received]
        self.assertEqual(sorted(filter(None, resumed)), ["2"])

    async def test_resumable_stream_goes_on_elsewhere(self):
        await self.resumed(partial=False)

    async def test_resumable_stream_that_broke_within_an_event_goes_on_elsewhere(self):
        await self.resumed(partial=True)

    async def test_stream_that_cannot_resume_is_not_ended_as_whole(self):
        node = await self.serve(streaming(6, 3), streaming(6))
        allow_repeats(node)
        answers = [await self.call(node, "/stream/") for _ in range(6)]
        broken = [answer for answer in answers if not answer.whole]
        self.assertTrue(broken)
        for answer in broken:
            self.assertEqual(self.events(answer.body), [0, 1, 2])

    async def test_stream_that_ends_within_an_event_is_not_whole(self):
        async def script(replica, got, writer):
            kind = "Content-Type: text/event-stream\r\nContent-Length: 20\r\n"
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n{kind}\r\n"
            writer.write(head.encode() + b"id: 0\ndata: x\n\nid: 1")
            await writer.drain()

        node = await self.serve(script)
        answer = await self.call(node, "/stream/")
        self.assertEqual((self.events(answer.body), answer.whole), ([0], False))

    async def test_caller_may_resume_by_itself(self):
        node = await self.serve(streaming(6))
        answer = await self.call(node, "/resume/", Last_Event_Id="3")
        self.assertEqual(self.events(answer.body), [4, 5])


class DirectoryTests(PlatformTestCase):
    async def test_leaving_and_gone_replicas_get_nothing_new(self):
        node = await self.serve(answering(), answering(), answering())
        self.list_replica(self.replicas[0], "draining")
        self.store.remove("servers", "i-1")
        await self.until(lambda: node.directory.get("i-0").leaving)
        await self.until(lambda: node.directory.get("i-1").leaving)
        for _ in range(6):
            self.assertEqual((await self.call(node, "/once/")).status, 200)
        self.assertEqual([len(replica.received) for replica in self.replicas], [0, 0, 6])

    async def test_history_that_is_gone_is_listed_anew(self):
        node = await self.serve(answering())
        self.store.remove("servers", "i-0")
        self.store.forget_history()
        await self.until(lambda: node.directory.get("i-0").leaving)


class StopTests(PlatformTestCase):
    async def test_request_in_flight_is_answered_and_its_connection_closed(self):
        node = await self.serve(answering(seconds=0.3))
        reader, writer = await self.connect(node)
        writer.write(request("/once/"))
        await self.until(lambda: self.replicas[0].received)
        drained = asyncio.ensure_future(node.drain())
        answer = await read_answer(reader)
        self.assertEqual((answer.status, answer.headers["Connection"]), (200, "close"))
        await drained
        self.assertEqual(await reader.read(), b"")

    async def test_kept_connection_is_closed_after_its_answer_and_idle_ones_too(self):
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        writer.write(request("/once/"))
        await read_answer(reader)
        await node.drain()
        self.assertEqual(await reader.read(), b"")

    async def test_head_that_was_read_is_answered_though_idle_connections_close(self):
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        writer.write(request("/once/"))
        await read_answer(reader)
        (connection,) = node.client_servers[0]._idle.values()
        writer.write(request("/once/", Request_Id="r-2"))
        # The library has read the head, and hands it over in the next turn of the loop.
        while connection.stream.reading():
            await asyncio.sleep(0)
        self.assertEqual(node.requests, 1)
        node.client_servers[0].close_idle()
        answer = await read_answer(reader)
        self.assertEqual((answer.status, answer.headers["Request-Id"]), (200, "r-2"))
        await self.until(lambda: not node.requests)

    async def test_stop_waits_for_a_request_that_was_read_and_not_admitted_yet(self):
        """A stopping node was read a request 60 ms before it closed, and closed under it.

        It waited for requests that it had admitted; one that had just been read was none of these.
        The log has ``received`` one millisecond before ``state=stopped``, and ``requests_cut`` 1.
        """
        node = await self.serve(answering())
        offload = node.front._offloader.offload
        read = asyncio.Event()

        async def late(incoming, client, can_forward):
            read.set()
            await asyncio.sleep(1.0)
            return await offload(incoming, client, can_forward)

        node.front._offloader.offload = late
        call = asyncio.ensure_future(self.call(node, "/once/"))
        await read.wait()
        await node.drain()
        await node.stop()
        self.assertEqual((await call).status, 200)


class KeyTests(PlatformTestCase):
    async def test_key_is_in_no_log_and_on_no_time_line(self):
        node = await self.serve(answering())
        await self.call(node, "/once/")
        self.assertNotIn(KEY, "".join(event.detail for event in node.events))


if __name__ == "__main__":
    unittest.main()
