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
from tests.platform.base import LONG_MS, LONGEST_SECONDS, PlatformTestCase, request
from tests.platform.standins import LOOPBACK, answering

CALLERS = 100
# More than one turn of the loop may be needed for a request, never more than a few.
STARTS_ALLOWED_PER_TURN = 8


class OverloadedNodeTests(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.started: list[str] = []
        # On a busy machine the burst may take longer than a connection waits.
        self.hold(mock.patch.object(intake, "MAX_WAIT_SECONDS", LONGEST_SECONDS))

    async def serve_recording(self) -> Node:
        """Return a node whose requests are recorded as it starts them."""
        node = await self.serve(answering())
        self.hold_lag(node)
        server = node.client_servers[0]
        handle = server._handler

        async def record(line, headers, body, client) -> None:
            self.started.append(headers["Request-Id"])
            await handle(line, headers, body, client)

        server._handler = record
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


if __name__ == "__main__":
    unittest.main()
