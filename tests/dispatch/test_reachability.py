"""An unreachable dispatcher whose link stays silent, or carries messages again."""

import asyncio
import random
import unittest

from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.dispatch.reachability import LINK_TIMEOUT_SECONDS, DispatcherReachability
from railsail.dispatch.silence import CHECK_INTERVAL_SECONDS, CHECKS_UNTIL_SILENT
from railsail.peers.link import Identity
from railsail.peers.messages import Probe

OWN, OTHER = "127.0.0.1:1", "127.0.0.1:2"


class Clock:
    """A clock that tests advance."""

    now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class Hub:
    """A hub whose link stays open, and carries nothing until a test says so."""

    def __init__(self) -> None:
        self.own = Identity(OWN, 1)
        self.received_at = 0.0
        self.linked = True
        self.sent: list[object] = []
        self.dropped = 0
        self.dialled = 0

    def last_heard(self, node: str) -> float:
        return self.received_at

    def connected(self, node: str) -> bool:
        return self.linked

    def send(self, node: str, message: object) -> bool:
        self.sent.append(message)
        return True

    def drop(self, node: str) -> None:
        self.dropped += 1
        self.linked = False

    def dial(self, node: str) -> bool:
        self.dialled += 1
        return True


class SilentLinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock, self.hub = Clock(), Hub()
        kernel = Kernel(self.clock, random.Random(1), EventLog(OWN, self.clock), Metrics())
        self.reachability = DispatcherReachability(self.hub, kernel, lambda: {OTHER}, lambda: None)
        self.reachability.request_sent(OTHER)
        while OTHER not in self.reachability.unreachable:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS * CHECKS_UNTIL_SILENT)

    def tick(self, seconds: float) -> None:
        self.clock.now += seconds
        self.reachability.tick()

    async def test_silent_link_is_dropped_and_dialled_again(self):
        self.tick(LINK_TIMEOUT_SECONDS + 0.1)
        self.assertEqual(self.hub.dropped, 1)
        self.tick(0.5)
        self.assertEqual(self.hub.dialled, 1)
        self.reachability.link_up(OTHER)
        self.assertEqual(self.reachability.unreachable, set())

    async def test_node_that_answers_a_probe_late_keeps_its_link(self):
        self.hub.sent.clear()
        self.tick(0.5)
        self.assertEqual([type(message) for message in self.hub.sent], [Probe])
        self.hub.received_at = self.clock.now + 0.1
        self.tick(LINK_TIMEOUT_SECONDS)
        self.assertEqual((self.hub.dropped, self.reachability.unreachable), (0, set()))


if __name__ == "__main__":
    unittest.main()
