"""A node with more callers than it bears goes on with the requests that it has begun.

Failure: all new requests were read in one turn of the event loop, so that each step of a request
took as long as reading all others. Callers disconnected before any answer was ready, retried, and
the node answered nobody any more.
"""

import asyncio
import socket
import unittest
from unittest import mock

from railsail.node import Node
from railsail.routing import intake
from railsail.routing.error_answers import UNKNOWN_STATUS
from tests.platform.base import LONG_MS, LONGEST_SECONDS, PlatformTestCase, request
from tests.platform.standins import LOOPBACK, answering

CALLERS = 100
# A turn may also begin to serve requests that were read in the turn before.
STARTS_ALLOWED_PER_TURN = 8


class OverloadedNodeTests(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.started: list[str] = []
        # On a busy machine the burst may take longer than a connection waits.
        self.hold(mock.patch.object(intake, "MAX_WAIT_SECONDS", LONGEST_SECONDS))

    async def serve_recording(self) -> Node:
        """Return a node whose requests are recorded as it starts to serve them."""
        node = await self.serve(answering())
        self.hold_lag(node)
        offload = node.front._offloader.offload

        async def record(incoming, client, can_forward) -> bool:
            self.started.append(incoming.headers["Request-Id"])
            return await offload(incoming, client, can_forward)

        node.front._offloader.offload = record
        return node

    def send(self, node: Node, request_id: str) -> socket.socket:
        """Send a request, without a turn of the event loop, and return its connection."""
        caller = socket.create_connection((LOOPBACK, node.settings.caller_port))
        self.addCleanup(caller.close)
        caller.sendall(request("/again/", Request_Id=request_id, Deadline_Ms=str(LONG_MS)))
        return caller

    async def test_burst_of_new_callers_leaves_turns_to_requests_in_progress(self):
        node = await self.serve_recording()
        for number in range(CALLERS):
            self.send(node, f"r-{number}")
        most = 0
        async with asyncio.timeout(LONG_MS / 1000):
            while len(self.started) < CALLERS:
                before = len(self.started)
                await asyncio.sleep(0)
                most = max(most, len(self.started) - before)
        self.assertLessEqual(most, STARTS_ALLOWED_PER_TURN)

    async def test_newest_caller_is_served_first(self):
        node = await self.serve_recording()
        for number in range(CALLERS):
            self.send(node, f"r-{number}")
        await self.until(lambda: len(self.started) == CALLERS)
        self.assertLess(self.started.index(f"r-{CALLERS - 1}"), CALLERS // 4)

    async def test_requests_of_callers_that_have_disconnected_are_not_started(self):
        node = await self.serve_recording()
        for number in range(CALLERS):
            self.send(node, f"r-{number}").close()
        await self.call(node, "/again/", Request_Id="last", Deadline_Ms=str(LONG_MS))
        self.assertIn("last", self.started)
        self.assertLess(len(self.started), CALLERS // 4)

    async def test_request_that_has_waited_is_answered_if_the_node_stops(self):
        node = await self.serve_recording()
        node.intake.loop_late = True
        server = node.client_servers[0]
        call = asyncio.ensure_future(self.call(node, "/again/", Deadline_Ms=str(LONG_MS)))
        async with asyncio.timeout(LONGEST_SECONDS):
            while not server._running:
                await asyncio.sleep(0)
        # The request's task begins in this turn, and begins to serve it two turns later.
        await asyncio.sleep(0)
        await server.stop(1.0)
        self.assertEqual(self.started, [])
        self.assertEqual((await call).status, UNKNOWN_STATUS)


if __name__ == "__main__":
    unittest.main()
