"""A process that stood still takes nobody's silence for its own."""

import unittest

from railsail.membership.table import MemberState
from railsail.peers.messages import StateRequest
from tests.fleet.base import FleetTestCase

AWAY_SECONDS = 10.0


class PauseTests(FleetTestCase):
    engines = 0
    services = 0

    async def test_node_that_wakes_suspects_nobody_for_its_own_pause(self):
        node = self.fleet.nodes[0]
        membership = node.membership
        now = node.clock.monotonic()
        # As after a suspension: all that was heard is old, and no beat came in between.
        for peer in node.hub.peers():
            node.hub._received_at[peer] = now - AWAY_SECONDS
        for peer in membership._monitored_since:
            membership._monitored_since[peer] = now - AWAY_SECONDS
        node.kernel.pauses.record(AWAY_SECONDS, now)
        self.assertTrue(all(membership.reachable(peer) for peer in node.hub.peers()))
        membership._suspect_silent(now)
        states = {member.state for member in membership.table.all()}
        self.assertEqual(states, {MemberState.ALIVE})

    async def test_node_that_wakes_asks_what_it_has_missed(self):
        node, other = self.fleet.nodes[:2]
        asked = []
        other.hub.handle(StateRequest, lambda peer, message: asked.append(peer))
        node.kernel.pauses.record(AWAY_SECONDS, node.clock.monotonic())
        await self.until(lambda: asked)
        self.assertEqual(asked[0], node.settings.node_id)


if __name__ == "__main__":
    unittest.main()
