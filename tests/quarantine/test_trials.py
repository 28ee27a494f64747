"""Which tickets a dispatcher lets run while it is in doubt what crashes replicas."""

import random
import unittest

from railsail.core.events import EventLog
from railsail.core.fingerprints import part_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.quarantine.blame import CRASHES_TO_QUARANTINE, MAX_MOMENTS_TO_TRY_TOGETHER
from railsail.quarantine.crashes import ReplicaCrash
from railsail.quarantine.service import Quarantine
from railsail.quarantine.trials import TRIAL_SECONDS, Trials
from railsail.scheduling.decisions import SURVIVAL_SECONDS, Flight
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket
from tests.quarantine.test_service import Hub, Links

BAD, NEW = part_fingerprint("bad"), part_fingerprint("beef")


class Detector:
    """Remembers the calls that it was told of."""

    def __init__(self) -> None:
        self.broken: list[tuple[int, ...]] = []
        self.survivors: list[int] = []
        self.abandoned: list[tuple[int, ...]] = []

    def record_broken_call(self, replica: str, fingerprints, survivors) -> None:
        self.broken.append(fingerprints)
        self.survivors += survivors

    def record_abandoned_call(self, replica: str, fingerprints: tuple[int, ...]) -> None:
        self.abandoned.append(fingerprints)


class TrialsTestCase(unittest.TestCase):
    def setUp(self) -> None:
        links = Links()
        self.clock = links.clock
        kernel = Kernel(self.clock, random.Random(1), EventLog("a", self.clock), Metrics())
        self.quarantine = Quarantine(lambda update, source: None, Hub(links, "a"), kernel)
        self.detector = Detector()
        self.trials = Trials(self.quarantine, self.detector, self.clock)
        self.dispatcher = CellDispatcher(lambda workspace: 1.0, random.Random(1))
        self.number = 0

    def crash(self, *parts: int, after: float = 1.0) -> None:
        self.clock.advance(after)
        self.number += 1
        ran = frozenset([100 + self.number, *parts])
        self.quarantine.record_crash(
            ReplicaCrash(f"i-{self.number}", 0, self.clock.monotonic(), ran)
        )

    def ticket(self, *parts: int) -> Ticket:
        self.number += 1
        return Ticket("e", self.number, 1, "w", 0.0, 1.0, 0.0, fingerprint=self.number, parts=parts)

    def refusal_seconds(self, *parts: int) -> float:
        return self.trials.refusal_seconds(self.dispatcher, self.ticket(*parts))

    def run_ticket(self, *parts: int) -> Flight:
        ticket = self.ticket(*parts)
        now = self.clock.monotonic()
        flight = Flight(1, "w", "i", 1.0, now, 1, ticket.fingerprint, parts=parts)
        self.dispatcher.flights[ticket.key] = flight
        return flight


class TicketTests(TrialsTestCase):
    def test_dispatcher_runs_tickets_with_a_quarantined_part(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(BAD)
        self.assertGreater(self.refusal_seconds(BAD), TRIAL_SECONDS)
        self.assertEqual(self.refusal_seconds(NEW), 0.0)

    def test_requests_with_several_parts_in_doubt_crash_replica_after_replica(self):
        for _ in range(MAX_MOMENTS_TO_TRY_TOGETHER - 1):
            self.crash(BAD, NEW)
        self.assertEqual(self.refusal_seconds(BAD, NEW), 0.0)
        self.crash(BAD, NEW)
        self.assertGreater(self.refusal_seconds(BAD, NEW), TRIAL_SECONDS)
        self.assertEqual(self.refusal_seconds(NEW), 0.0)

    def test_parts_of_all_requests_are_held_back_after_the_failure_of_a_host(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(BAD, NEW, after=0.0)
        self.assertEqual(len(self.quarantine.table.quarantined(self.clock.monotonic())), 2)
        self.assertEqual(self.refusal_seconds(BAD, NEW), 0.0)
        self.trials.ended(self.run_ticket(BAD, NEW), CallResult.GOOD)
        self.dispatcher.flights.clear()
        self.assertEqual(self.quarantine.table.quarantined(self.clock.monotonic()), [])

    def test_two_parts_are_on_trial_at_the_same_time(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(BAD, NEW)
        flight = self.run_ticket(NEW)
        self.assertEqual(self.refusal_seconds(BAD), TRIAL_SECONDS)
        self.assertEqual(self.refusal_seconds(NEW), TRIAL_SECONDS)
        self.trials.ended(flight, CallResult.GOOD)
        self.dispatcher.flights.clear()
        self.assertEqual(self.refusal_seconds(NEW), 0.0)
        self.assertGreater(self.refusal_seconds(BAD), TRIAL_SECONDS)

    def test_ticket_that_was_placed_before_is_refused_while_it_runs(self):
        ticket = self.ticket(BAD)
        self.dispatcher.flights[ticket.key] = self.run_ticket(BAD)
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(BAD)
        self.assertEqual(self.trials.refusal_seconds(self.dispatcher, ticket), 0.0)


class EvidenceTests(TrialsTestCase):
    def setUp(self) -> None:
        super().setUp()
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(NEW)
        self.flight = self.run_ticket(NEW)

    def is_held(self) -> bool:
        return self.quarantine.refusal([NEW]) is not None

    def test_answer_that_is_rejected_clears_the_parts(self):
        self.trials.ended(self.flight, CallResult.REJECTED)
        self.assertTrue(self.is_held())

    def test_answer_that_broke_off_clears_the_parts(self):
        self.flight.begun_at = self.clock.monotonic()
        self.trials.ended(self.flight, CallResult.BROKE_OFF)
        self.assertTrue(self.is_held())
        self.assertEqual(self.detector.broken, [self.flight.fingerprints])

    # A replica that stands still for a moment would count as one that broke its answers off, and
    # hold back their retries until it was probed.
    def test_replica_that_fell_silent_counts_as_one_that_broke_off(self):
        self.trials.ended(self.flight, CallResult.SILENT)
        self.assertTrue(self.is_held())
        self.assertEqual(self.detector.broken, [])
        self.assertEqual(self.detector.abandoned, [self.flight.fingerprints])

    def test_caller_that_leaves_as_the_answer_begins_hides_the_crash(self):
        self.flight.begun_at = self.clock.monotonic()
        self.flight.unread = 0
        self.trials.ended(self.flight, CallResult.CALLER_LEFT)
        self.assertTrue(self.is_held())
        self.assertEqual(self.detector.abandoned, [self.flight.fingerprints])

    def test_answer_that_was_written_for_long_is_blamed_for_the_crash(self):
        self.flight.begun_at = self.clock.monotonic()
        self.flight.unread = 0
        self.clock.advance(SURVIVAL_SECONDS)
        self.trials.ended(self.flight, CallResult.BROKE_OFF)
        self.assertEqual(self.detector.broken, [(self.flight.fingerprint,)])
        self.assertEqual(self.detector.survivors, [NEW])

    def test_end_that_a_paused_entry_reports_late_clears_the_parts(self):
        self.flight.begun_at = self.clock.monotonic()
        self.clock.advance(10 * SURVIVAL_SECONDS)
        self.trials.ended(self.flight, CallResult.BROKE_OFF)
        self.assertTrue(self.is_held())

    def test_long_answer_on_trial_holds_up_all_others(self):
        self.quarantine.lift(NEW)
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(BAD, NEW)
        flight = self.run_ticket(NEW)
        self.assertEqual(self.refusal_seconds(NEW), TRIAL_SECONDS)
        flight.begun_at = self.clock.monotonic()
        self.clock.advance(SURVIVAL_SECONDS)
        self.dispatcher.flights = {("e", 0): flight}
        self.assertEqual(self.refusal_seconds(NEW), 0.0)


if __name__ == "__main__":
    unittest.main()
