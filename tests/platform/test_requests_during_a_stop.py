"""Requests come until the end of a planned stop: each that is passed on gets an answer."""

import asyncio
import itertools
import unittest
from collections import Counter
from dataclasses import dataclass
from unittest import mock

from railsail.node import Node
from tests.platform.base import (
    LONG_MS,
    ROUTES,
    Answer,
    PlatformTestCase,
    configuration,
    read_answer,
    request,
)
from tests.platform.standins import Received, ReplicaStandin, answering, streaming

# The grace of a stop, and for how long of it callers are still sent to the node.
DRAIN_SECONDS = 4.0
LEAVE_SECONDS = 1.5
SETTINGS = {"drain_seconds": str(DRAIN_SECONDS), "leave_seconds": str(LEAVE_SECONDS)}
PAUSE_SECONDS = 0.02
LOOK_SECONDS = 0.05
# Times for which replicas work on a request.
SHORT_SECONDS = 0.01
LONG_SECONDS = 0.4
SINGLE = ("once", "stream")
REPEATABLE = ("again", "resume")
# Requests that outlast the stop.
HELD = 3
NO_ANSWER = 0
NOT_RUN = 503
UNKNOWN = 502


@dataclass
class Sent:
    """A request that was sent, and its answer once that has ended."""

    id: str
    answer: Answer | None = None

    @property
    def status(self) -> int:
        return self.answer.status if self.answer else NO_ANSWER


class StopTestCase(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in (*SINGLE, *REPEATABLE):
            long = {"slo_ms": LONG_MS, "timeout_ms": LONG_MS}
            self.hold(mock.patch.dict(ROUTES[name], long))
        self.sent: list[Sent] = []
        self.numbers = itertools.count()

    async def start(self, slots: int = 64) -> Node:
        """Serve with a replica that works on each request as long as its body says."""
        await self.add_replica(self.work, slots)
        node = await self.serve(**SETTINGS)
        self.hold_lag(node)
        return node

    async def work(self, replica: ReplicaStandin, received: Received, writer) -> None:
        await asyncio.sleep(float(received.body))
        is_stream = received.line.split("/")[1] in ("stream", "resume")
        await (streaming(3) if is_stream else answering())(replica, received, writer)

    def new_request(self, route: str, seconds: float) -> tuple[Sent, bytes]:
        sent = Sent(f"{route}-{next(self.numbers)}")
        self.sent.append(sent)
        body = str(seconds).encode()
        data = request(f"/{route}/", body=body, Request_Id=sent.id, Deadline_Ms=str(LONG_MS))
        return sent, data

    async def send(self, node: Node, route: str, seconds: float) -> None:
        """Make one call on a connection of its own, if the node still listens."""
        try:
            reader, writer = await self.connect(node)
        except ConnectionError:
            return
        try:
            await self.send_on(reader, writer, route, seconds)
        finally:
            writer.close()

    async def send_on(self, reader, writer, route: str, seconds: float) -> bool:
        """Make one call; return True if another may be made on the connection."""
        sent, data = self.new_request(route, seconds)
        try:
            writer.write(data)
            sent.answer = await read_answer(reader)
        except ConnectionError:
            return False
        return bool(sent.status) and sent.answer.headers.get("Connection") != "close"

    async def send_on_one_connection(self, node: Node, route: str, seconds: float) -> None:
        """Make one call after the other until the node closes the connection."""
        reader, writer = await self.connect(node)
        try:
            while await self.send_on(reader, writer, route, seconds):
                await asyncio.sleep(PAUSE_SECONDS)
        finally:
            writer.close()

    async def send_during_stop(self, stopping: Node, entry: Node | None = None) -> None:
        """Send requests to ``entry`` while a node stops, and wait for all answers."""
        entry = entry or stopping
        kinds = list(itertools.product((*SINGLE, *REPEATABLE), (SHORT_SECONDS, LONG_SECONDS)))
        calls = [asyncio.ensure_future(self.send_on_one_connection(entry, *k)) for k in kinds * 2]
        await self.until(lambda: len(self.received_ids()) >= len(kinds))
        stop = asyncio.ensure_future(self.stop(stopping))
        for kind in itertools.cycle(kinds):
            calls.append(asyncio.ensure_future(self.send(entry, *kind)))
            await asyncio.sleep(PAUSE_SECONDS)
            if stop.done():
                break
        await stop
        if entry is not stopping:
            await self.stop(entry)
        await asyncio.gather(*calls)

    async def stop(self, node: Node) -> None:
        await node.drain()
        await node.stop()

    def received_ids(self) -> Counter[str]:
        received = [got for replica in self.replicas for got in replica.received]
        return Counter(got.headers["Request-Id"] for got in received)

    def assert_truthful(self, allowed: tuple[int, ...] = (200,)) -> None:
        """Check all answers.

        A request that reached a replica has an answer, and one that was refused reached none. What
        replicas ran got one of the statuses ``allowed``.
        """
        runs = self.received_ids()
        self.assertGreater(len(runs), 0)
        for sent in self.sent:
            with self.subTest(request=sent.id, status=sent.status):
                if sent.status in (NO_ANSWER, NOT_RUN):
                    self.assertEqual(runs[sent.id], 0)
                    continue
                self.assertIn(sent.status, allowed)
                self.assertTrue(sent.answer.whole)
                if sent.id.split("-")[0] in SINGLE:
                    self.assertEqual(runs[sent.id], 1)


class OneNodeTests(StopTestCase):
    async def test_requests_in_calm(self):
        node = await self.start()
        await self.send_during_stop(node)
        self.assert_truthful()

    async def test_requests_beside_some_that_hold_the_stop_to_its_end(self):
        node = await self.start()
        held = [
            asyncio.ensure_future(self.send(node, route, 10 * DRAIN_SECONDS))
            for route in SINGLE * HELD
        ]
        await self.until(lambda: len(self.received_ids()) == len(held))
        await self.send_during_stop(node)
        await asyncio.gather(*held)
        statuses = [sent.status for sent in self.sent[: len(held)]]
        self.assertEqual(statuses, [UNKNOWN] * len(held))
        self.assert_truthful(allowed=(200, UNKNOWN))

    async def test_requests_that_wait_for_a_slot(self):
        node = await self.start(slots=2)
        await self.send_during_stop(node)
        # Some get a slot so late that they still run at the end.
        self.assert_truthful(allowed=(200, UNKNOWN))
        # Others still waited then.
        self.assertIn(NOT_RUN, [sent.status for sent in self.sent])

    async def test_requests_beside_changes_of_the_configuration(self):
        node = await self.start()
        changing = asyncio.ensure_future(self.change_often())
        self.addCleanup(changing.cancel)
        await self.send_during_stop(node)
        self.assert_truthful()

    async def change_often(self) -> None:
        for version in itertools.count(4):
            await asyncio.sleep(LOOK_SECONDS)
            changes = {"short": {"priority": version}}
            self.store.put("config", "main", configuration(version, **changes))


class TwoNodesTests(StopTestCase):
    """Requests of one node that are forwarded to another one."""

    async def start_two(self) -> tuple[Node, Node]:
        entry = await self.start()
        other = await self.add_node(seeds=entry.hub.own.node, **SETTINGS)
        self.hold_lag(other)
        await self.until(lambda: not other.not_ready())
        for one, peer in ((entry, other), (other, entry)):
            await self.until(lambda one=one, peer=peer: one.hub.connected(peer.hub.own.node))
            await self.until(lambda one=one: len(one.view.usable()) == 2)
            await self.until(lambda one=one: len(one.directory.all()) == len(self.replicas))
        entry.front._offloader._limit.limit = 0.0
        return entry, other

    def forwarded(self, node: Node) -> float:
        return sum(count for _, count in node.metrics.forwarded.get_all())

    async def test_node_to_which_requests_are_forwarded_stops(self):
        entry, other = await self.start_two()
        await self.send_during_stop(other, entry)
        self.assertGreater(self.forwarded(entry), 0)
        self.assert_truthful()

    async def test_node_that_forwards_requests_stops(self):
        entry, _ = await self.start_two()
        await self.send_during_stop(entry)
        self.assertGreater(self.forwarded(entry), 0)
        self.assert_truthful()

    async def test_forwarded_requests_that_hold_the_stop_to_its_end(self):
        entry, other = await self.start_two()
        held = [
            asyncio.ensure_future(self.send(entry, route, 10 * DRAIN_SECONDS))
            for route in SINGLE * HELD
        ]
        await self.until(lambda: len(self.received_ids()) == len(held))
        await self.send_during_stop(other, entry)
        await asyncio.gather(*held)
        self.assertEqual([sent.status for sent in self.sent[: len(held)]], [UNKNOWN] * len(held))
        self.assert_truthful(allowed=(200, UNKNOWN))


if __name__ == "__main__":
    unittest.main()
