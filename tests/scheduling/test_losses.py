"""Replicas that are evacuated, lost or cold, and the decisions about those beside them."""

import random
import unittest

from railsail.scheduling.decisions import Grant
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket
from railsail.scheduling.warmup import WarmupBound


class HealthOfOthersTests(unittest.TestCase):
    """One replica of a cell fails some of its calls while a failure domain is unavailable."""

    def setUp(self):
        self.dispatcher = CellDispatcher(lambda w: 1.0, random.Random(4), use_prefixes=False)
        self.names = list("abcdefghi")
        self.dispatcher.set_replicas(dict.fromkeys(self.names, 8))
        self.number = 0

    def call(self, replica: str, result: CallResult, now: float) -> None:
        self.number += 1
        others = tuple(name for name in self.names if name != replica)
        ticket = Ticket("e", self.number, 1, "one", 0.0, 1.0, now, excluded=others)
        if any(isinstance(found, Grant) for found in self.dispatcher.offer(ticket, now)):
            self.dispatcher.release(ticket.key, 1.0, now, result)
        self.dispatcher.cancel(ticket.key)

    def ejected_when_faulty(self, now: float) -> bool:
        for step in range(6):
            self.call("i", CallResult.ERROR, now + step * 0.01)
        return self.dispatcher.replicas["i"].health.is_ejected(now + 0.06)

    def test_faulty_replica_is_ejected_beside_a_lost_domain(self):
        for step in range(400):
            for lost in "abc":
                self.call(lost, CallResult.UNREACHABLE, step * 0.5)
        ejected = False
        for step in range(20):
            failed = step % 4 < 2
            self.call("i", CallResult.ERROR if failed else CallResult.GOOD, 200 + step * 0.01)
            ejected |= self.dispatcher.replicas["i"].health.is_ejected(200 + step * 0.01)
        self.assertTrue(ejected)

    def test_faulty_replica_is_ejected_beside_evacuated_domains(self):
        self.dispatcher.set_replicas(dict.fromkeys(self.names, 8), leaving="abcde")
        self.assertTrue(self.ejected_when_faulty(0.0))

    def test_half_of_the_replicas_stay_in_service(self):
        self.dispatcher.set_replicas(dict.fromkeys(self.names, 8), leaving="abcde")
        for name in "fgh":
            for step in range(6):
                self.call(name, CallResult.ERROR, step * 0.01)
        self.assertFalse(self.ejected_when_faulty(0.1))


class RetryRateTests(unittest.TestCase):
    """Callers of refused requests retry at the rate of the replicas that will serve them."""

    def prefill_rate(self, leaving: str = "", cold: str = "") -> float:
        """Return for how many prompt tokens per second retries are planned."""
        dispatcher = CellDispatcher(lambda w: 1.0, random.Random(4), use_prefixes=False)
        dispatcher.set_replicas(dict.fromkeys("abcd", 1), leaving=leaving)
        dispatcher.set_bound(WarmupBound(per_second=5.0, seconds=60.0))
        for name in cold:
            dispatcher.set_cold(name, 60.0, 0.0)
        return dispatcher._prefill_rate(0.0)

    def test_draining_replicas_are_not_counted(self):
        self.assertAlmostEqual(self.prefill_rate(leaving="abc"), self.prefill_rate() / 4)

    def test_cold_replicas_are_not_counted_beside_warm_ones(self):
        self.assertAlmostEqual(self.prefill_rate(cold="ab"), self.prefill_rate() / 2)
        self.assertAlmostEqual(self.prefill_rate(cold="abcd"), self.prefill_rate())


class ColdSlotsTests(unittest.TestCase):
    """How many calls a cell can start while the replicas of a failure domain are cold."""

    def setUp(self):
        self.dispatcher = CellDispatcher(lambda w: 1.0, random.Random(4), use_prefixes=False)
        self.dispatcher.set_replicas(dict.fromkeys("abcd", 8))
        self.dispatcher.set_bound(WarmupBound(per_second=5.0, seconds=60.0))

    def test_cold_replica_can_start_one_call(self):
        for name in "abc":
            self.dispatcher.set_cold(name, 60.0, 0.0)
        self.assertEqual(self.dispatcher.room(0.0), 8 + 3)
        self.assertEqual(self.dispatcher.spare_slots(0.0), 8 + 3)

    def test_warm_replica_can_start_a_call_in_each_slot(self):
        self.assertEqual(self.dispatcher.room(0.0), 32)
        self.assertEqual(self.dispatcher.spare_slots(0.0), 32)


if __name__ == "__main__":
    unittest.main()
