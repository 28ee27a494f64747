"""The log line of a node that refuses requests shows what the node has run out of."""

import random
import unittest

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.routing.overload_log import NodeLoad, OverloadLog

LOAD = NodeLoad(held=16, limit=16, forwarding=160, forwarding_limit=160, lag_ms=250)


class OverloadLogTests(unittest.TestCase):
    def setUp(self):
        clock = Clock()
        self.events = EventLog("n1", clock)
        self.log = OverloadLog(Kernel(clock, random.Random(1), self.events, Metrics()))

    def test_line_has_the_load_and_the_counts(self):
        self.log.forwarded()
        self.log.refused("r1", "w1", True, lambda: LOAD)
        (event,) = self.events
        self.assertEqual(event.workspace, "w1")
        self.assertEqual((event.facts["forwarding"], event.facts["lag_ms"]), (160, 250))
        self.assertEqual(event.facts["forwarded_since"], 1)
        self.assertEqual((event.facts["requests_since"], event.facts["came_back_since"]), (1, 1))

    def test_line_counts_requests_of_callers_that_disconnected(self):
        self.log.forward_abandoned()
        self.log.refusal_abandoned()
        self.log.refused("r1", "w1", False, lambda: LOAD)
        (event,) = self.events
        self.assertEqual(event.facts["forward_abandoned_since"], 1)
        self.assertEqual(event.facts["refusal_abandoned_since"], 1)

    def test_load_is_read_for_written_lines_only(self):
        self.log.refused("r1", "w1", False, lambda: LOAD)
        self.log.refused("r2", "w1", False, lambda: self.fail("no line is due"))
        self.assertEqual(len(list(self.events)), 1)


if __name__ == "__main__":
    unittest.main()
