"""Daemons that restart after their clocks were set back."""

import unittest
from dataclasses import replace

from railsail.admin.status import status
from railsail.membership.service import _to_record
from railsail.membership.table import MemberState
from railsail.peers.messages import MemberNews
from tests.fleet.base import FleetTestCase


class ClockSetBackTests(FleetTestCase):
    daemons = 2
    engines = 0
    services = 0

    async def test_operators_are_told_the_start_id_that_peers_are(self):
        node, other = self.fleet.nodes
        own = node.membership.table.own
        past = replace(own, start_id=own.start_id + 5000, state=MemberState.DEAD)
        node.hub._deliver(other.settings.node_id, MemberNews([_to_record(past)]))
        self.assertEqual(node.membership.table.own.start_id, past.start_id + 1)
        self.assertEqual(node.hub.own.start_id, past.start_id + 1)
        self.assertEqual(status(node)["start_id"], past.start_id + 1)


if __name__ == "__main__":
    unittest.main()
