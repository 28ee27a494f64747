"""Tickets that exceed their maximum wait are refused, and the refusal says when to retry."""

import random
import unittest

from railsail.core.outcomes import Reason
from railsail.scheduling.decisions import Grant, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from tests.scheduling.test_fairqueue import ticket


class ExpiryTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = CellDispatcher(lambda name: 1.0, random.Random(1))
        self.dispatcher.set_replicas({"r0": 1})
        self.dispatcher.replicas["r0"].leaving = True

    def add_ticket(self, number: int, **more) -> None:
        self.dispatcher.offer(ticket(number, **more), 0.0)

    def refused(self, now: float) -> list[Refusal]:
        return [d for d in self.dispatcher.pump(now) if isinstance(d, Refusal)]

    def granted(self, now: float) -> list[int]:
        self.dispatcher.replicas["r0"].leaving = False
        return [d.ticket.number for d in self.dispatcher.pump(now) if isinstance(d, Grant)]

    def test_ticket_is_refused_after_its_maximum_wait_and_not_before(self):
        self.add_ticket(1, patience=0.1, returns_within=5.0)
        self.assertEqual(self.refused(0.09), [])
        (refusal,) = self.refused(0.11)
        self.assertEqual((refusal.ticket.number, refusal.reason), (1, Reason.EXPIRED))
        self.assertTrue(0 < refusal.come_back <= 5.0)
        self.assertEqual(len(self.dispatcher.queue), 0)

    def test_callers_refused_together_retry_at_different_times(self):
        for number in range(40):
            self.add_ticket(number, patience=0.1, returns_within=5.0, prompt_tokens=10_000)
        times = sorted(refusal.come_back for refusal in self.refused(0.2))
        self.assertEqual(len(times), 40)
        self.assertGreater(times[-1] - times[0], 3.0)

    def test_refusal_names_no_time_for_a_caller_that_will_not_retry(self):
        self.add_ticket(1, patience=0.1)
        self.assertEqual(self.refused(0.11)[0].come_back, 0.0)

    def test_ticket_without_a_maximum_wait_is_not_refused(self):
        self.add_ticket(1)
        self.assertEqual(self.refused(1e6), [])

    def test_retry_is_served_after_tickets_that_can_be_in_time(self):
        self.add_ticket(1, patience=1.0, objective=0.3, returned=True)
        self.add_ticket(2, patience=1.0, objective=0.3)
        self.assertEqual(self.granted(0.01), [2, 1])

    def test_retry_is_served_after_later_tickets_and_is_not_refused(self):
        self.add_ticket(1, patience=0.6, objective=0.3, returned=True)
        late = 0.2 * 0.3 + 0.01
        self.assertEqual(self.refused(late), [])
        self.dispatcher.offer(ticket(2, patience=0.06, objective=0.3, enqueued_at=late), late)
        self.assertEqual(self.granted(late + 0.01), [2, 1])

    def test_retry_is_refused_after_its_longer_maximum_wait(self):
        self.add_ticket(1, patience=0.6, objective=0.3, returned=True)
        self.refused(0.3)
        self.assertEqual([r.ticket.number for r in self.refused(0.61)], [1])


if __name__ == "__main__":
    unittest.main()
