"""What a node takes from the platform's list of nodes."""

import random
import unittest
from unittest import mock

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.logs import configure_logs
from railsail.core.metrics import Metrics
from railsail.membership.service import KIND, Membership
from railsail.store.base import Listing, StoredObject, WatchEvent

NODES = ["10.0.0.1:1", "10.0.0.2:1"]
ODD_NAMES = ["m-odd", "", "10.0.0.3", "10.0.0.3:99999", "z" * 300, "10.0.0.3:9\u00b2"]


class ListedNodesTests(unittest.TestCase):
    def test_names_that_are_no_addresses_are_not_dialled(self):
        configure_logs("critical", "test")
        clock = ManualClock(1.0)
        metrics = Metrics()
        hub = mock.Mock()
        kernel = Kernel(clock, random.Random(1), EventLog("n", clock), metrics, mock.Mock())
        table = mock.Mock()
        table.get.return_value = None
        membership = Membership(table, hub, kernel)
        objects = [StoredObject(KIND, name, 1, {}) for name in (*ODD_NAMES, *NODES)]
        for _ in range(20):
            membership.listed(Listing(1, tuple(objects)))
            membership.seen(WatchEvent(KIND, "m-odd", 2, {}))
        self.assertEqual({call.args[0] for call in hub.dial.call_args_list}, set(NODES))
        self.assertEqual(metrics.unreadable_objects.get_all(), [({"kind": KIND}, len(ODD_NAMES))])


if __name__ == "__main__":
    unittest.main()
