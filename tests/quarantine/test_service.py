"""How nodes exchange crashes and clearings over links with latency."""

import random
import unittest
from collections import deque

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.peers.base import Message
from railsail.peers.messages import Heartbeat, QuarantineNews
from railsail.quarantine.blame import CRASHES_TO_QUARANTINE
from railsail.quarantine.crashes import ReplicaCrash
from railsail.quarantine.service import Quarantine

NODES = ["a", "b", "c", "d", "e"]
LINK_SECONDS = 0.003
# Each node sends each crash and each clearing to its neighbours once.
MAX_MESSAGES = len(NODES) ** 2 * (CRASHES_TO_QUARANTINE + 1)
HARMFUL = 7


class Links:
    """Carry messages between nodes, each after ``LINK_SECONDS``."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.sent: deque[tuple[str, str, Message]] = deque()
        self.nodes: dict[str, Quarantine] = {}
        self.delivered = 0
        for name in NODES:
            events = EventLog(name, self.clock)
            kernel = Kernel(self.clock, random.Random(1), events, Metrics())
            self.nodes[name] = Quarantine(self.broadcast_from(name), Hub(self, name), kernel)

    def broadcast_from(self, sender: str):
        def broadcast(update: QuarantineNews, source: str) -> None:
            for name in NODES:
                if name not in (sender, source):
                    self.sent.append((sender, name, update))

        return broadcast

    def deliver_all(self) -> None:
        while self.sent and self.delivered <= MAX_MESSAGES:
            sender, to, update = self.sent.popleft()
            self.clock.advance(LINK_SECONDS)
            self.delivered += 1
            self.nodes[to]._received(sender, update)

    def crash(self, name: str, replica: str, *requests: int) -> None:
        crash = ReplicaCrash(replica, 0, self.clock.now, frozenset(requests))
        self.nodes[name].record_crash(crash)

    def quarantined(self) -> list[bool]:
        return [node.refusal([HARMFUL]) is not None for node in self.nodes.values()]


class Hub:
    def __init__(self, links: Links, name: str) -> None:
        self._links = links
        self._name = name

    def handle(self, kind, handler) -> None:
        pass

    def on_up(self, listener) -> None:
        pass

    def send(self, node: str, message: Message) -> bool:
        self._links.sent.append((self._name, node, message))
        return True


class UpdateTests(unittest.TestCase):
    def setUp(self):
        self.links = Links()
        for number in range(CRASHES_TO_QUARANTINE):
            self.links.crash(NODES[number % len(NODES)], f"i-{number}", HARMFUL, 100 + number)
            self.links.deliver_all()
            self.links.clock.advance(1.0)

    def test_request_whose_crashes_were_seen_by_several_nodes_is_quarantined_by_all(self):
        self.assertTrue(all(self.links.quarantined()))

    def test_clearing_reaches_all_nodes_and_is_not_forwarded_without_end(self):
        """Guards against clearings sent as a time, which each hop made later: five nodes forwarded
        such a clearing for ever, and a fleet of nine spent all its time on it.
        """
        self.links.nodes["c"].record_served(HARMFUL)
        self.links.deliver_all()
        self.assertEqual(len(self.links.sent), 0)
        self.assertLessEqual(self.links.delivered, MAX_MESSAGES)
        self.assertFalse(any(self.links.quarantined()))

    def test_served_request_with_a_single_crash_sends_no_message(self):
        """Guards against a broadcast for each of the dozens of requests that a crash cuts off."""
        node = self.links.nodes["c"]
        self.assertEqual(node.on_trial([101]), {101})
        before = self.links.delivered
        node.record_served(101)
        self.links.deliver_all()
        self.assertEqual(self.links.delivered, before)
        self.assertEqual(node.on_trial([101]), set())

    def test_two_clearings_at_the_same_time_are_not_forwarded_without_end(self):
        for name in ("a", "d"):
            self.links.nodes[name].record_served(HARMFUL)
        self.links.deliver_all()
        self.assertEqual(len(self.links.sent), 0)
        self.assertFalse(any(self.links.quarantined()))

    def test_digests_agree_after_a_clearing_so_that_heartbeats_cause_no_messages(self):
        self.links.nodes["c"].record_served(HARMFUL)
        self.links.deliver_all()
        digests = {node.table.digest for node in self.links.nodes.values()}
        self.assertEqual(len(digests), 1)
        self.links.nodes["a"].compare("b", Heartbeat(0, 0, 0, quarantine=digests.pop()))
        self.assertEqual(len(self.links.sent), 0)

    def test_node_that_was_away_is_sent_all_crashes_after_its_first_heartbeat(self):
        away = self.links.nodes["e"]
        away.table = type(away.table)()
        self.links.nodes["a"].compare("e", Heartbeat(0, 0, 0, quarantine=away.table.digest))
        self.links.deliver_all()
        self.assertTrue(all(self.links.quarantined()))


if __name__ == "__main__":
    unittest.main()
