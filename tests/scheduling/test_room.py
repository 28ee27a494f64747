"""The free slots of a replica: reports that lag, failures and learnt limits."""

import unittest

from railsail.scheduling.health import CallResult, GroupHealth
from railsail.scheduling.room import (
    OVERDUE_SECONDS,
    REORDER_SECONDS,
    SILENT_SECONDS,
    LoadReport,
    ReplicaState,
)
from railsail.scheduling.tickets import Ticket, TicketKey


def ticket(number: int = 1, tokens: int = 1000, **more) -> Ticket:
    values = {"enqueued_at": 0.0, "prompt_tokens": tokens, "objective": 0.4, **more}
    return Ticket("entry", number, 1, "one", 0.0, 1.0, **values)


class PrefillTests(unittest.TestCase):
    """How fast a replica prefills prompts, and whether it would start another answer in time."""

    def setUp(self):
        self.state = ReplicaState("r", 48)

    def learn(self) -> None:
        """Answer with 30 ms of base latency and a prefill rate of 100,000 tokens a second."""
        for number in range(600):
            tokens = 100 if number % 2 else 10_000
            self.state.record_pending(("e", number), tokens, float(number))
            self.state.answer_started(("e", number), number + 0.03 + tokens / 100_000)

    def test_prefill_rate_is_learnt_without_the_base_latency(self):
        self.learn()
        self.assertAlmostEqual(self.state.prefill_rate, 100_000, delta=10_000)

    def test_pending_prefill_and_waited_time_count(self):
        self.learn()
        self.state.record_pending(("e", 0), 100, 1000.0)
        # This ticket has waited far longer than its objective.
        self.assertFalse(self.state.can_answer_in_time(ticket(), 1000.0))
        fresh = ticket(enqueued_at=1000.0)
        self.assertTrue(self.state.can_answer_in_time(fresh, 1000.0))
        self.state.record_pending(("e", 1), 100_000, 1000.0)
        self.assertFalse(self.state.can_answer_in_time(fresh, 1000.0))
        self.state.drop_pending(("e", 1))
        self.assertTrue(self.state.can_answer_in_time(fresh, 1000.0))

    def test_prompt_too_large_for_its_objective_is_accepted_beside_others(self):
        self.learn()
        self.state.record_pending(("e", 1), 5_000, 1000.0)
        large = ticket(tokens=60_000, enqueued_at=1000.0)
        self.assertTrue(self.state.can_answer_in_time(large, 1000.0))
        self.state.record_pending(("e", 2), 30_000, 1000.0)
        self.assertFalse(self.state.can_answer_in_time(large, 1000.0))

    def test_idle_replica_takes_any_prompt(self):
        self.assertTrue(self.state.can_answer_in_time(ticket(tokens=10_000_000), 1000.0))

    def test_request_without_prompt_or_objective_is_always_accepted(self):
        self.state.record_pending(("e", 1), 10_000_000, 0.0)
        self.assertTrue(self.state.can_answer_in_time(ticket(tokens=0), 0.0))
        self.assertTrue(self.state.can_answer_in_time(ticket(objective=0.0), 0.0))

    def test_cached_prefix_is_not_prefilled_again(self):
        shared = ticket(tokens=10_000, prefix=7, shared_tokens=9_000)
        self.assertEqual(self.state.uncached_tokens(shared), 10_000)
        self.state.record_prefix(shared)
        self.assertEqual(self.state.uncached_tokens(shared), 1_000)

    def test_silent_replica_is_given_no_calls_until_it_answers(self):
        keys: list[TicketKey] = [("e", 1), ("e", 2)]
        for key in keys:
            self.state.record_pending(key, 100, 0.0)
        self.assertGreater(self.state.room(0.7), 0)
        self.assertEqual(self.state.room(0.9), 0)
        self.state.answer_started(keys[0], 1.0)
        self.assertGreater(self.state.room(1.5), 0)
        self.assertEqual(self.state.room(1.9), 0)


class AcknowledgedPrefillTests(unittest.TestCase):
    """The start of an answer shows that the prompts granted before it were prefilled."""

    def setUp(self):
        self.state = ReplicaState("r", 48)
        self.state.record_pending(("late", 1), 60_000, 10.0)
        self.state.record_pending(("prompt", 1), 1_000, 10.1)

    def unread_tokens(self) -> int:
        return round(self.state.unread_seconds * self.state.prefill_rate)

    def test_later_answer_acknowledges_an_earlier_prompt(self):
        self.state.answer_started(("prompt", 1), 10.2)
        self.assertEqual(self.unread_tokens(), 0)

    def test_answer_acknowledges_no_prompt_granted_with_it_or_later(self):
        self.state.record_pending(("other", 1), 2_000, 10.1 - REORDER_SECONDS / 2)
        self.state.record_pending(("other", 2), 3_000, 10.15)
        self.state.answer_started(("prompt", 1), 10.2)
        self.assertEqual(self.unread_tokens(), 5_000)

    def test_call_that_ends_without_an_answer_acknowledges_nothing(self):
        self.state.drop_pending(("prompt", 1))
        self.assertEqual(self.unread_tokens(), 60_000)

    def test_late_report_of_an_acknowledged_prompt_changes_nothing(self):
        self.state.answer_started(("prompt", 1), 10.2)
        rate = self.state.prefill_rate
        self.state.answer_started(("late", 1), 11.0)
        self.assertEqual((self.unread_tokens(), self.state.prefill_rate), (0, rate))

    def test_overdue_prompt_counts_again_and_is_acknowledged_no_more(self):
        self.state.answer_started(("prompt", 1), 10.2)
        overdue_at = 10.0 + OVERDUE_SECONDS + 0.1
        self.state.record_pending(("prompt", 2), 1_000, overdue_at)
        self.assertEqual(self.unread_tokens(), 61_000)
        self.state.answer_started(("prompt", 2), overdue_at + 0.1)
        self.assertEqual(self.unread_tokens(), 60_000)
        self.state.drop_pending(("late", 1))
        self.assertEqual(self.unread_tokens(), 0)

    def test_acknowledged_call_without_an_answer_still_shows_silence(self):
        self.state.answer_started(("prompt", 1), 10.2)
        self.assertTrue(self.state.serves(10.2 + SILENT_SECONDS / 2))
        self.assertFalse(self.state.serves(10.2 + SILENT_SECONDS + 0.1))


class FreeSlotsTests(unittest.TestCase):
    def test_own_calls_in_a_late_report_are_not_counted_as_those_of_others(self):
        state = ReplicaState("r", 8)
        for _ in range(6):
            state.call_started(10.0)
        for _ in range(6):
            state.call_ended(10.5)
        # The report dates from the time when the six calls were running.
        state.apply_report(11.0, LoadReport(8, 6, 0, age=0.8))
        self.assertEqual(state.room(11.0), 8)

    def test_calls_of_others_use_slots(self):
        state = ReplicaState("r", 8)
        state.apply_report(5.0, LoadReport(8, 6, 1))
        self.assertEqual(state.room(5.0), 1)

    def test_failures_eject_a_replica_and_a_single_call_probes_it(self):
        state = ReplicaState("r", 8)
        state.call_failed(0.0, CallResult.ERROR, GroupHealth())
        state.call_failed(0.0, CallResult.ERROR, GroupHealth())
        self.assertEqual(state.room(0.1), 0)
        self.assertEqual(state.room(0.6), 1)
        state.call_started(0.6)
        self.assertEqual(state.room(0.6), 0)
        state.call_ended(0.7)
        state.call_succeeded(0.7, 0.1)
        self.assertEqual(state.room(0.7), 8)

    def test_ejection_time_doubles(self):
        state = ReplicaState("r", 8)
        for moment in (0.0, 0.0, 1.0):
            state.call_failed(moment, CallResult.ERROR, GroupHealth())
        self.assertEqual(state.room(1.9), 0)
        self.assertEqual(state.room(2.1), 1)

    def test_limit_is_learnt_without_reports(self):
        state = ReplicaState("r", 0)
        for _ in range(200):
            while state.room(0.0):
                state.call_started(0.0)
            state.call_ended(0.0)
            state.call_succeeded(0.0, 0.1)
        grown = state.limit
        self.assertGreater(grown, 8.0)
        state.call_succeeded(0.0, 10.0)
        self.assertLess(state.limit, grown)


if __name__ == "__main__":
    unittest.main()
