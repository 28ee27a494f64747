"""Retries are recognized by the refusals before them, alone and in a simulated overload."""

import random
import unittest

from railsail.scheduling.decisions import Grant, Hold, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.returning import (
    MAX_REMEMBERED,
    RETRY_SLACK_SECONDS,
    RETRY_WAIT_OBJECTIVES,
    RefusedCallers,
)
from railsail.scheduling.tickets import Ticket


class RefusedCallersTests(unittest.TestCase):
    def setUp(self):
        self.refused = RefusedCallers()

    def test_refused_request_is_recognized_once(self):
        self.refused.refused(7, 2.0, 0.0)
        self.assertTrue(self.refused.comes_back(7, 2.1))
        self.assertFalse(self.refused.comes_back(7, 2.1))

    def test_first_attempt_of_another_request_is_no_retry(self):
        self.refused.refused(7, 2.0, 0.0)
        self.assertFalse(self.refused.comes_back(8, 2.1))

    def test_refusal_is_dropped_when_the_retry_is_too_late(self):
        self.refused.refused(7, 2.0, 0.0)
        self.assertFalse(self.refused.comes_back(7, 2.1 + RETRY_SLACK_SECONDS))

    def test_equal_requests_are_recognized_as_often_as_they_were_refused(self):
        for _ in range(3):
            self.refused.refused(7, 2.0, 0.0)
        self.assertEqual([self.refused.comes_back(7, 1.0) for _ in range(4)], [True] * 3 + [False])

    def test_request_without_a_fingerprint_is_never_recognized(self):
        self.refused.refused(0, 2.0, 0.0)
        self.assertFalse(self.refused.comes_back(0, 1.0))

    def test_number_of_remembered_refusals_is_bounded(self):
        for number in range(MAX_REMEMBERED + 10):
            self.refused.refused(number + 1, 2.0, 0.0)
        self.assertFalse(self.refused.comes_back(1, 1.0))
        self.assertTrue(self.refused.comes_back(MAX_REMEMBERED + 10, 1.0))


class OverloadTests(unittest.TestCase):
    """Twice what a cell can serve; each caller has a deadline of its own and retries once."""

    OBJECTIVE = 0.4
    SECONDS = 0.2

    def setUp(self):
        self.dispatcher = CellDispatcher(lambda workspace: 1.0, random.Random(5))
        self.dispatcher.set_replicas({"r0": 8})
        self.number = 0

    def ticket(self, fingerprint: int, now: float) -> Ticket:
        self.number += 1
        return Ticket(
            "e",
            self.number,
            1,
            "one",
            0.0,
            100.0,
            now,
            objective=self.OBJECTIVE,
            patience=self.OBJECTIVE / 5,
            returns_within=4.0,
            fingerprint=fingerprint,
        )

    def simulate(self, seconds: float, per_second: int) -> tuple[list[float], list[float], int]:
        """Return the waits of refused first attempts and of refused retries, and the holds."""
        arrivals = [(n / per_second, n + 1, False) for n in range(int(seconds * per_second))]
        running: list[tuple[float, Ticket]] = []
        waits: dict[bool, list[float]] = {False: [], True: []}
        holds = 0
        now = 0.0
        retries = set()
        while arrivals or running or len(self.dispatcher.queue):
            now += 0.005
            due = [item for item in arrivals if item[0] <= now]
            arrivals = [item for item in arrivals if item[0] > now]
            for ticket in [t for at, t in running if at <= now]:
                self.dispatcher.answered(ticket.key, now)
                self.dispatcher.release(ticket.key, 100.0, now)
            running = [item for item in running if item[0] > now]
            decisions = []
            for _, fingerprint, is_retry in due:
                ticket = self.ticket(fingerprint, now)
                if is_retry:
                    retries.add(ticket.number)
                decisions += self.dispatcher.put(ticket, now)
            decisions += self.dispatcher.pump(now)
            for decision in decisions:
                ticket = decision.ticket
                is_retry = ticket.number in retries
                if isinstance(decision, Grant):
                    running.append((now + self.SECONDS, ticket))
                elif isinstance(decision, Refusal):
                    waits[is_retry].append(now - ticket.enqueued_at)
                    if not is_retry:
                        arrivals.append((now + decision.come_back, ticket.fingerprint, True))
                else:
                    holds += is_retry
        return waits[False], waits[True], holds

    def test_first_attempts_are_refused_soon_and_retries_are_recognized(self):
        first, retries, holds = self.simulate(6.0, 80)
        self.assertTrue(first and retries)
        # A first attempt is refused within its maximum wait and one step of the queue.
        self.assertLess(max(first), self.OBJECTIVE / 5 + 0.011)
        self.assertLess(max(retries), RETRY_WAIT_OBJECTIVES * self.OBJECTIVE + 0.011)
        # Each refused first attempt was retried, and the retry was recognized.
        self.assertEqual(holds, len(first))

    def test_retries_displace_no_tickets_that_can_be_in_time(self):
        recognized = self.simulate(4.0, 80)
        self.setUp()
        self.dispatcher._refusals.comes_back = lambda fingerprint, now: False
        unrecognized = self.simulate(4.0, 80)
        # Fewer first attempts are refused than where retries wait among them.
        self.assertLess(len(recognized[0]), len(unrecognized[0]))

    def test_no_request_is_taken_for_a_retry_where_none_was_refused(self):
        first, retries, holds = self.simulate(4.0, 30)
        self.assertEqual((first, retries, holds), ([], [], 0))

    def test_retry_is_given_a_longer_maximum_wait(self):
        for _ in range(9):
            self.dispatcher.offer(self.ticket(0, 0.0), 0.0)
        self.dispatcher.offer(self.ticket(77, 0.0), 0.0)
        refusals = self.dispatcher.pump(0.09)
        self.assertIn(77, [refusal.ticket.fingerprint for refusal in refusals])
        (hold,) = self.dispatcher.offer(self.ticket(77, 1.0), 1.0)
        self.assertIsInstance(hold, Hold)
        self.assertAlmostEqual(hold.ticket.patience, RETRY_WAIT_OBJECTIVES * self.OBJECTIVE)


if __name__ == "__main__":
    unittest.main()
