"""What replicas say of themselves in answers to routes: that they leave, or that they want rest.

A replica that was about to end said so in all its answers, while the store was away and the list
went on calling it ready. Nodes that had passed such answers on sent it requests for thirteen
seconds more, 8 to 17 a second, as before. On another day replicas turned requests away with 503 and
asked for three seconds of rest, and one of them got five requests of a node within half a second.

The heads of answers were read for the request alone. A header that says that a replica leaves was
read only in a refusal, to word its reason, and on the platform not at all; a time to stay away was
read nowhere. What was learnt of a replica went into its share of errors against the others', which
answers another question.

Settled by the log of the first day, which has four lines about the replica, ``listed=live``, all
before the first caller, though its answers bore the header from second 7.5 on; and by that of the
second, where ``retried`` with ``status 503`` names the same replica again and again.
"""

import asyncio
import unittest
from unittest import mock

from railsail.node import Node
from railsail.routing import relay
from tests.platform.base import LONG_MS, LONGEST_SECONDS, ROUTES, PlatformTestCase
from tests.platform.standins import (
    SEAL,
    Received,
    ReplicaStandin,
    Script,
    answering,
    head,
    refusing,
)

# More calls than a dispatcher needs to come by each replica, and fewer than the budget of repeats.
CALLS = 30
REST = "30"
NOT_RUN = {"Not_Run": "1"}


def saying(status: str = "200 OK", **headers: str) -> Script:
    """Answer whole, with a signature and ``headers``."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        told = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": "0", **headers}
        writer.write(head(request, status, **told))
        await writer.drain()

    return script


def leaving_stream() -> Script:
    """Say in the head of a stream that the replica leaves, and go on with it."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        seal = f"{SEAL}-{replica.name}"
        writer.write(head(request, Response_Seal=seal, Server_Leaving="1", **kind))
        event = b"id: 0\ndata: token 0\n\n"
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n0\r\n\r\n")
        await writer.drain()

    return script


def leaving_and_cut() -> Script:
    """Say that the replica leaves, and break off before the body is whole."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        told = {"Response_Seal": SEAL, "Content_Length": "100", "Server_Leaving": "1"}
        writer.write(head(request, **told) + b"half")
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    return script


def leaving_and_crossed() -> Script:
    """Say that the replica leaves, in an answer that bears another request's id."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        other = Received(request.line, {**request.headers, "Request-Id": "other"}, b"")
        told = {"Response_Seal": SEAL, "Content_Length": "0", "Server_Leaving": "1"}
        writer.write(head(other, **told))
        await writer.drain()

    return script


class SignsTestCase(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # One request may come by both replicas of which none has been heard yet.
        long = {"slo_ms": LONG_MS, "timeout_ms": LONG_MS, "max_attempts": 3}
        for route in ("again", "once", "stream"):
            self.hold(mock.patch.dict(ROUTES[route], long))
        # A replica that the test's own loop cannot connect to in 0.4 s would be closed.
        self.hold(mock.patch.object(relay, "CONNECT_SECONDS", LONGEST_SECONDS))

    async def add_node(self, **more: str) -> Node:
        """Start a node whose limits the lag of the test's own loop does not lower."""
        node = await super().add_node(**more)
        self.hold_lag(node)
        return node

    def received(self) -> list[int]:
        return [len(replica.received) for replica in self.replicas]

    async def call_often(self, node: Node, target: str = "/again/", calls: int = CALLS) -> list:
        deadline = str(LONG_MS)
        return [
            await self.call(node, target, Request_Id=f"q-{number}", Deadline_Ms=deadline)
            for number in range(calls)
        ]

    async def call_at_once(self, node: Node) -> list:
        deadline = str(LONG_MS)
        numbers = range(CALLS)
        return await asyncio.gather(
            *(self.call(node, "/once/", Request_Id=f"o-{n}", Deadline_Ms=deadline) for n in numbers)
        )

    async def call_until_reached(self, node: Node, target: str, replica: int = 0) -> None:
        """Make calls until one of them has reached the replica of that number."""
        before = self.received()[replica]
        async with asyncio.timeout(LONG_MS / 1000):
            while self.received()[replica] == before:
                await self.call(node, target, Request_Id="first", Deadline_Ms=str(LONG_MS))


class LeavingTests(SignsTestCase):
    """One replica of two says in an answer that it leaves; its record goes on saying ready."""

    async def assert_leaves(self, script: Script, target: str = "/again/") -> None:
        node = await self.serve(script, answering())
        await self.call_until_reached(node, target)
        before = self.received()[0]
        answers = await self.call_often(node)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(self.received()[0] - before, 0)

    async def test_answer(self):
        await self.assert_leaves(saying(Server_Leaving="1"))

    async def test_refusal(self):
        await self.assert_leaves(refusing(Server_Leaving="1", **NOT_RUN))

    async def test_error(self):
        await self.assert_leaves(saying("500 Internal Server Error", Server_Leaving="1"))

    async def test_failure_that_is_passed_on(self):
        await self.assert_leaves(saying("404 Not Found", Server_Leaving="1"))

    async def test_head_of_a_stream(self):
        await self.assert_leaves(leaving_stream(), "/stream/")

    async def test_answer_that_is_cut_later(self):
        await self.assert_leaves(leaving_and_cut())

    async def test_answer_that_is_not_passed_on(self):
        await self.assert_leaves(leaving_and_crossed())

    async def test_request_that_cannot_be_repeated(self):
        await self.assert_leaves(saying(Server_Leaving="1"), "/once/")

    async def test_answer_without_the_sign_is_none(self):
        node = await self.serve(saying(Server_Leaving="0"), answering())
        await self.call_often(node)
        self.assertGreater(self.received()[0], 1)

    async def test_other_nodes_send_it_nothing_either(self):
        node = await self.serve(saying(Server_Leaving="1"), answering())
        other = await self.add_node(seeds=f"127.0.0.1:{node.settings.peer_port}")
        await self.until(lambda: not other.not_ready())
        await self.until(lambda: len(node.membership.table.usable()) == 2)
        await self.call_until_reached(node, "/again/")
        await self.until(lambda: other.directory.get("i-0").leaving)
        before = self.received()[0]
        await self.call_often(other)
        self.assertEqual(self.received()[0], before)

    async def test_record_written_before_it_decided_does_not_bring_it_back(self):
        node = await self.serve(saying(Server_Leaving="1"), answering())
        await self.call_until_reached(node, "/again/")
        before = self.received()[0]
        self.list_replica(self.replicas[0], "ready", slots=5)
        await self.until(lambda: node.directory.get("i-0").slots == 5)
        await self.call_often(node)
        self.assertEqual(self.received()[0], before)

    async def test_entry_that_lapsed_and_came_back_does_not_bring_it_back(self):
        node = await self.serve(saying(Server_Leaving="1"), answering())
        await self.call_until_reached(node, "/again/")
        before = self.received()[0]
        self.store.remove("servers", "i-0")
        await self.until(lambda: node.directory.get("i-0").listed.name == "GONE")
        self.list_replica(self.replicas[0], "ready")
        await self.until(lambda: node.directory.get("i-0").listed.name == "LIVE")
        await self.call_often(node)
        self.assertEqual(self.received()[0], before)

    async def test_request_that_was_booked_before_is_not_sent(self):
        node = await self.serve(saying(Server_Leaving="1"), answering())
        granted = node.tickets._handle_granted
        # The grant comes just after another answer has said that the replica leaves.
        self.passed = []

        def late(dispatcher, message):
            if message.replica == "i-0" and not self.passed:
                self.passed.append(message.replica)
                listener = node.replica_signals.listener(
                    "i-0", lambda status, headers, wall: leaving
                )
                listener(200, {})
            granted(dispatcher, message)

        leaving = node.front._protocol.read_signs(200, {"Server-Leaving": "1"}, 0.0)
        with mock.patch.dict(node.hub._handlers, {}):
            for kind in list(node.hub._handlers):
                if kind.__name__ == "Granted":
                    node.hub._handlers[kind] = late
            answers = await self.call_often(node)
        self.assertEqual(self.passed, ["i-0"])
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(self.received()[0], 0)
        self.assertEqual(len(node.tickets), 0)


class RestTests(SignsTestCase):
    """A replica turns requests away and asks for rest; it is asked of one node, for a time."""

    def turning_away(self, rest: str = REST, **headers: str) -> Script:
        return refusing(**NOT_RUN, **headers, Retry_After=rest)

    def assert_served_but(self, refused: int, answers: list) -> None:
        """Check that all were served but those that were turned away and may not be repeated yet.

        A daemon that has just started has no budget of repeats for its first requests.
        """
        others = [answer.status for answer in answers if answer.status != 200]
        self.assertLessEqual(set(others), {503})
        self.assertLessEqual(len(others), refused)

    async def test_node_that_was_asked_sends_it_nothing_more(self):
        scripts = [self.turning_away(), self.turning_away(), answering(), answering()]
        node = await self.serve(*scripts)
        answers = await self.call_often(node)
        self.assert_served_but(sum(self.received()[:2]), answers)
        self.assertLessEqual(max(self.received()[:2]), 1)

    async def test_replica_that_serves_some_and_turns_others_away_gets_its_rest(self):
        async def by_turns(replica: ReplicaStandin, request: Received, writer) -> None:
            script = self.turning_away() if len(replica.received) % 2 == 0 else answering()
            await script(replica, request, writer)

        node = await self.serve(by_turns, by_turns, answering(), answering())
        answers = await self.call_often(node, calls=2 * CALLS)
        self.assert_served_but(2, answers)
        self.assertLessEqual(max(self.received()[:2]), 2)

    async def test_requests_at_once_after_it_has_asked(self):
        node = await self.serve(self.turning_away(), answering(), answering())
        await self.call_until_reached(node, "/again/")
        answers = await self.call_at_once(node)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(self.received()[0], 1)

    async def test_answer_that_may_have_run_it_counts_too(self):
        node = await self.serve(refusing(Retry_After=REST), answering(), answering())
        await self.call_often(node)
        self.assertLessEqual(self.received()[0], 1)

    async def test_other_nodes_go_on(self):
        async def for_others(replica: ReplicaStandin, request: Received, writer) -> None:
            turned_away = request.headers["Request-Id"] == "first"
            script = self.turning_away() if turned_away else answering()
            await script(replica, request, writer)

        node = await self.serve(for_others, answering())
        other = await self.add_node(seeds=f"127.0.0.1:{node.settings.peer_port}")
        await self.until(lambda: not other.not_ready())
        await self.until(lambda: len(node.membership.table.usable()) == 2)
        await self.call_until_reached(node, "/again/")
        answers = await self.call_often(other)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertGreater(self.received()[0], 2)
        before = self.received()[0]
        answers = await self.call_often(node)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(self.received()[0], before)

    async def test_it_counts_as_no_error_of_the_replica(self):
        node = await self.serve(self.turning_away(), answering(), answering())
        await self.call_until_reached(node, "/again/")
        await self.until(lambda: not len(node.tickets))
        states = [d.replicas["i-0"] for d in node.dispatchers.dispatchers().values()]
        self.assertEqual([state.health.error_rate for state in states], [0.0] * len(states))

    async def test_it_gets_work_again_when_its_time_has_passed(self):
        async def once(replica: ReplicaStandin, request: Received, writer) -> None:
            first = len(replica.received) == 1
            await (self.turning_away("0.3") if first else answering())(replica, request, writer)

        node = await self.serve(once, answering())
        await self.call_until_reached(node, "/again/")
        await asyncio.sleep(0.4)
        await self.call_until_reached(node, "/again/")

    async def test_where_all_want_rest_callers_hear_at_once_when_to_come_back(self):
        node = await self.serve(self.turning_away("30"), self.turning_away("2"))
        answers = await self.call_often(node, calls=12)
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertLessEqual(max(self.received()), 1)
        # The last ones found no replica that they might ask: the first is free in two seconds.
        last = answers[-1]
        self.assertGreater(float(last.headers["Retry-After"]), 1.0)
        self.assertLess(float(last.headers["Retry-After"]), 10.0)

    async def test_waiting_requests_do_not_wait_for_what_is_known(self):
        node = await self.serve(self.turning_away())
        await self.call_until_reached(node, "/again/")
        began = asyncio.get_running_loop().time()
        answer = await self.call(node, "/again/", Deadline_Ms=str(LONG_MS))
        self.assertEqual(answer.status, 503)
        # The wait for a place would be a fifth of the objective.
        self.assertLess(asyncio.get_running_loop().time() - began, LONG_MS / 1000 / 5)

    async def test_those_that_come_back_do_not_all_try_the_replica_at_once(self):
        async def slowly(replica: ReplicaStandin, request: Received, writer) -> None:
            if len(replica.received) > 1:
                await asyncio.sleep(0.3)
            await self.turning_away("0.2")(replica, request, writer)

        node = await self.serve(slowly)
        await self.call_until_reached(node, "/once/")
        await asyncio.sleep(0.3)
        answers = await self.call_at_once(node)
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertLessEqual(self.received()[0], 2)


if __name__ == "__main__":
    unittest.main()
