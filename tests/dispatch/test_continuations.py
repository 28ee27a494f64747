"""An entry sends requests that continue streams only to the version that began them."""

import unittest

from railsail.core.outcomes import Reason
from railsail.dispatch.bookings import PoolRequest, to_place, to_ticket
from railsail.dispatch.cellmap import CellMap
from tests.dispatch.test_rollouts import CELL, ENTRY, OWN, RolloutCase


def continuation(version: str | None, **fields) -> PoolRequest:
    return PoolRequest("r-1", "model", "one", 0.0, 10.0, False, software_version=version, **fields)


class TicketTests(unittest.TestCase):
    def test_version_is_passed_from_the_request_to_the_ticket(self):
        for version in ("v1", "", None):
            place = to_place(continuation(version), 1, 1, CELL, 0.0)
            self.assertEqual(to_ticket(ENTRY, place, 0.0).software_version, version)


class GateTests(RolloutCase):
    def setUp(self):
        super().setUp()
        self.list_replica("new0", "v2")

    async def test_grant_of_another_version_is_rejected_whatever_its_dispatcher_knew(self):
        self.assertIn("began at software version 'v2'", self.gate.admit("old0", "v2"))
        self.assertEqual(self.gate.admit("new0", "v2"), "")
        self.assertIn("began at", self.gate.admit("unlisted", "v2"))

    async def test_request_is_refused_if_no_replica_of_its_version_takes_work(self):
        self.assertIsNone(self.gate.refusal(continuation("v2")))
        self.registry.set(None, "v2")
        refusal = self.gate.refusal(continuation("v2"))
        self.assertEqual(refusal.reason, Reason.VERSION_GONE)

    async def test_request_is_refused_if_all_replicas_of_its_version_are_in_backoff(self):
        self.backoffs.extend("new0", 10.0, self.clock.now)
        self.assertEqual(self.gate.refusal(continuation("v2")).reason, Reason.NO_ROOM)
        self.assertIsNone(self.gate.refusal(continuation("v1")))


class CellTests(RolloutCase):
    """A pool of several cells, of which one has replicas of another version."""

    def setUp(self):
        super().setUp()
        self.cells = CellMap(OWN, self.directory, lambda: [OWN], 2, local=True)
        self.list_replica("z0", "v2")
        self.list_replica("z1", "v2")

    async def test_ticket_goes_to_a_cell_that_has_the_version(self):
        self.assertEqual(len(self.cells.cells("model")), 2)
        for prefix in range(20):
            for version, replica in (("v1", "old0"), ("v2", "z0")):
                cell = self.cells.continuation_cell("model", version, prefix)
                self.assertIn(replica, self.cells.cells("model")[cell])

    async def test_cell_of_a_version_that_is_gone(self):
        cell = self.cells.continuation_cell("model", "v9", 1)
        self.assertFalse(self.cells.has_version(cell, "v9"))


if __name__ == "__main__":
    unittest.main()
