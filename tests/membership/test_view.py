"""Which nodes are given work, and whether this node watches the store."""

import unittest

from railsail.membership.table import Member, MemberState, MemberTable
from railsail.membership.view import UNREACHABLE_TO_REQUIRE_LINKS, FleetView

OWN = "10.0.0.0:1"
OTHERS = [f"10.0.0.{number}:1" for number in range(1, 6)]


def member(node: str) -> Member:
    return Member(node, 1, 0, MemberState.ALIVE, 1, "a", "")


class Membership:
    """A fleet of six, of which this node can reach ``reachable_nodes``."""

    def __init__(self) -> None:
        self.table = MemberTable(member(OWN))
        for node in OTHERS:
            self.table.merge(member(node), 0.0)
        self.reachable_nodes = {OWN, *OTHERS}
        self.doubted = False
        self.alone = False
        self.listeners = []

    def on_change(self, listener) -> None:
        self.listeners.append(listener)

    def reachable(self, node: str) -> bool:
        return node in self.reachable_nodes


class Hub:
    linked = {OWN, *OTHERS}

    def connected(self, node: str) -> bool:
        return node in self.linked


class FleetViewTests(unittest.TestCase):
    def setUp(self):
        self.membership = Membership()
        self.hub = Hub()
        self.unreachable: set[str] = set()
        self.view = FleetView(self.membership, self.hub, 8, lambda: self.unreachable)

    def test_all_reachable_nodes_may_be_given_work(self):
        self.membership.reachable_nodes.remove(OTHERS[0])
        self.assertEqual(self.view.usable(), [OWN, *OTHERS[1:]])
        self.assertEqual(self.view.reachable_share(), 5 / 6)

    def test_node_that_others_suspect_gives_work_to_itself_only(self):
        self.membership.doubted = True
        self.assertEqual(self.view.usable(), [OWN])

    def test_unreachable_node_is_left_out(self):
        self.unreachable = {OTHERS[2]}
        self.assertNotIn(OTHERS[2], self.view.usable())

    def test_only_linked_nodes_are_given_work_if_several_are_unreachable(self):
        self.unreachable = set(OTHERS[:UNREACHABLE_TO_REQUIRE_LINKS])
        self.hub.linked = {OWN, OTHERS[4]}
        self.assertEqual(self.view.usable(), [OWN, OTHERS[4]])

    def test_size_includes_seeds_that_were_never_seen(self):
        self.assertEqual(self.view.size(), 8)

    def test_node_isolated_from_its_peers_watches_the_store_itself(self):
        watchers = {
            node
            for node in [OWN, *OTHERS]
            if FleetView(self.at(node), self.hub, 0, set).watches_store()
        }
        self.assertTrue(watchers)
        for node in [OWN, *OTHERS]:
            alone = self.at(node)
            alone.alone = True
            self.assertTrue(FleetView(alone, self.hub, 0, set).watches_store())

    def at(self, node: str) -> Membership:
        """Return the same fleet with ``node`` as this node."""
        membership = Membership()
        membership.table = MemberTable(member(node))
        for other in [OWN, *OTHERS]:
            membership.table.merge(member(other), 0.0)
        return membership


if __name__ == "__main__":
    unittest.main()
