"""A workspace whose callers all reach one node is served by the fleet, not by that node alone.

Symptom: the workspace with the most requests got 1.97 million tokens in six seconds, of the 16.2
million that it asked for; another one got 4.91 million. In each second some of its requests were
refused.

Sequence: its callers reached one node of half a core, whose processor was used up within a second
(0.51 of 0.516 cores; the mean of 59 nodes was 0.08). The node refused what it could not hold, about
500 requests a second, and told callers to come back at once, to reach another node. They came back
to the same one: of 2,988 requests of such a workspace on a like day, 1,130 of them repeats, each
reached the same of 61 nodes. The dispatchers, which weigh workspaces fairly, saw only what the full
node let through.

Cause: a bound on one node decided what a workspace got of the whole fleet, because the node could
refuse the requests that it had no time for, but not have them served by its idle peers.

Settled by the log line of the full node, ``sent elsewhere, since this node is full`` with ``held``
41, ``limit`` 40 and ``requests_since`` 646, while dispatchers refused 6 of its tickets as excess.
"""

import asyncio
import unittest

from railsail.gateway.admission import LEAST_CROWD
from railsail.node import Node
from tests.platform.base import PlatformTestCase
from tests.platform.standins import Received, ReplicaStandin, answering, hanging

SLOTS = 200
# Requests of the workspace that come to the full node beyond those that it holds.
MORE = 20


async def by_path(replica: ReplicaStandin, request: Received, writer) -> None:
    """Say nothing to requests of the route ``once``, and answer all others."""
    script = hanging() if "/once/" in request.line else answering()
    await script(replica, request, writer)


class CrowdedNodeTests(PlatformTestCase):
    async def serve_crowded(self) -> tuple[Node, Node]:
        """Return a node that holds as many requests as it can, and an idle one."""
        await self.add_replica(by_path, SLOTS)
        full = await self.serve()
        seed = f"127.0.0.1:{full.settings.peer_port}"
        idle = await self.add_node(seeds=seed)
        await self.until(lambda: len(full.membership.table.usable()) == 2)
        await self.until(lambda: not idle.not_ready())
        # The lag of the test's own loop says nothing of these nodes.
        full.lag.take = lambda seconds: None
        full.front._limit.limit = float(LEAST_CROWD)
        self.held = [
            asyncio.ensure_future(self.call(full, "/once/", Request_Id=f"h-{number}"))
            for number in range(LEAST_CROWD)
        ]
        await self.until(lambda: full.admission.total == LEAST_CROWD)
        return full, idle

    async def asyncTearDown(self) -> None:
        for call in getattr(self, "held", ()):
            call.cancel()
        await super().asyncTearDown()

    async def test_requests_beyond_what_the_node_holds_are_served(self):
        full, _ = await self.serve_crowded()
        calls = [self.call(full, "/again/", Request_Id=f"r-{number}") for number in range(MORE)]
        answers = await asyncio.gather(*calls)
        self.assertEqual([answer.status for answer in answers], [200] * MORE)


if __name__ == "__main__":
    unittest.main()
