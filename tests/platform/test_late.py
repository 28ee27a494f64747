"""A node that holds more than its event loop bears refuses the callers that crowd it."""

import asyncio
import unittest
from unittest import mock

from railsail.core.looplag import LATE_SECONDS, MEDIAN_SAMPLES
from railsail.core.retryafter import MIN_RETRY_AFTER_SECONDS
from railsail.gateway.admission import MIN_OVERLOAD_REQUESTS
from railsail.gateway.concurrency import INITIAL_LIMIT
from railsail.gateway.pace import LATE_AFTER_SECONDS
from railsail.node import Node
from railsail.routing import overload_log
from railsail.routing.relay import RETRY_AFTER_SHARE
from tests.platform.base import LONG_MS, ROUTES, PlatformTestCase
from tests.platform.standins import answering, hanging

# After so many late samples the limit is at its least.
SAMPLES_TO_LEAST = 100


class LateNodeTests(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The requests that crowd a node must not end before another one comes.
        self.hold(mock.patch.dict(ROUTES["once"], {"timeout_ms": LONG_MS}))

    def make_late(self, node: Node) -> None:
        """Let the lag of ``node`` stay as if its loop were late, for long enough."""
        node.lag.record = lambda seconds: None
        for _ in range(MEDIAN_SAMPLES):
            type(node.lag).record(node.lag, LATE_SECONDS * 2)
        node.lag._late_since -= 2 * LATE_AFTER_SECONDS
        for _ in range(SAMPLES_TO_LEAST):
            for listener in node.lag._listeners:
                listener()

    async def crowd(self, node: Node) -> list[asyncio.Task]:
        """Hold as many requests of the one workspace as crowd a node."""
        long = str(LONG_MS)
        calls = [
            asyncio.ensure_future(self.call(node, "/once/", Deadline_Ms=long))
            for _ in range(MIN_OVERLOAD_REQUESTS)
        ]
        await self.until(lambda: node.admission.total == MIN_OVERLOAD_REQUESTS)
        return calls

    async def test_crowding_workspace_is_refused_as_not_run_and_told_to_come_back_later(self):
        node = await self.serve(hanging())
        calls = await self.crowd(node)
        self.make_late(node)
        answer = await self.call(node, "/once/", Request_Id="r-2")
        self.assertEqual(answer.status, 503)
        # It comes back to the same node, which must have had time, and before it gives up.
        self.assertGreaterEqual(float(answer.headers["Retry-After"]), MIN_RETRY_AFTER_SECONDS)
        self.assertLessEqual(float(answer.headers["Retry-After"]), RETRY_AFTER_SHARE * 4.0)
        self.assertNotIn("r-2", [got.headers["Request-Id"] for got in self.replicas[0].received])
        self.assertIn("this node is late", node.not_ready())
        for call in calls:
            call.cancel()

    async def test_log_tells_whether_refused_callers_come_back_to_the_same_node(self):
        node = await self.serve(hanging())
        calls = await self.crowd(node)
        self.make_late(node)
        told = []
        node.events.on_emit(lambda event: told.append(event.facts))
        with mock.patch.object(overload_log, "LOG_INTERVAL_SECONDS", 0.0):
            await self.call(node, "/once/", body=b"one", Request_Id="r-2", Deadline_Ms="3500")
            await self.call(node, "/once/", body=b"other", Request_Id="r-3")
            await self.call(node, "/once/", body=b"one", Request_Id="r-4", Deadline_Ms="2500")
        found = [facts for facts in told if "requests_since" in facts]
        counts = [(facts["requests_since"], facts["came_back_since"]) for facts in found]
        self.assertEqual(counts, [(1, 0), (1, 0), (1, 1)])
        for call in calls:
            call.cancel()

    async def test_late_node_asks_callers_to_close_their_connections(self):
        # Only new connections can be sent to another node, or wait while this one is late.
        node = await self.serve(answering())
        self.assertNotIn("Connection", (await self.call(node, "/once/")).headers)
        self.make_late(node)
        self.assertEqual((await self.call(node, "/once/")).headers["Connection"], "close")

    async def test_late_node_that_callers_do_not_crowd_serves(self):
        node = await self.serve(answering())
        self.make_late(node)
        self.assertEqual((await self.call(node, "/once/")).status, 200)
        self.assertEqual(node.not_ready(), [])

    async def test_crowded_node_that_is_in_time_serves(self):
        node = await self.serve(hanging())
        # The test's own loop may be late where the machine is busy.
        node.lag.record = lambda seconds: None
        # What it told before this, while the node started, is forgotten too.
        node.front._offloader._limit.limit = INITIAL_LIMIT
        calls = await self.crowd(node)
        task = asyncio.ensure_future(self.call(node, "/once/", Request_Id="r-2"))
        await self.until(lambda: node.admission.total == MIN_OVERLOAD_REQUESTS + 1)
        for call in [task, *calls]:
            call.cancel()


if __name__ == "__main__":
    unittest.main()
