"""Cold replicas are given no more calls than they sustain, whichever dispatchers serve them."""

import random
import unittest

from railsail.scheduling.decisions import Grant
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult, GroupHealth
from railsail.scheduling.tickets import Ticket
from railsail.scheduling.warmup import Warmup, WarmupBound

BOUND = WarmupBound(per_second=18.0, seconds=3.0, overcommit=1.5, slack=5.0)
MAX_IN_A_SECOND = BOUND.per_second * BOUND.overcommit + BOUND.slack


def max_in_a_second(times: list[float]) -> int:
    return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


class WarmupTests(unittest.TestCase):
    def setUp(self):
        self.warmup = Warmup()
        self.warmup.bound = BOUND

    def calls(self, seconds: float, share: float = 1.0) -> list[float]:
        """Return when calls are allowed if a call is always waiting."""
        self.warmup.share = share
        times = []
        for step in range(int(seconds * 1000)):
            if self.warmup.allows_call(step / 1000):
                self.warmup.call_started(step / 1000)
                times.append(step / 1000)
        return times

    def test_cold_replica_is_given_calls_at_its_rate(self):
        self.warmup.mark_cold(3.0, 0.0)
        times = self.calls(3.0)
        self.assertLessEqual(2 * max_in_a_second(times), MAX_IN_A_SECOND)
        self.assertGreaterEqual(len(times), 2.8 * BOUND.rate)

    def test_two_dispatchers_together_stay_within_the_bound(self):
        self.assertLessEqual(2 * BOUND.rate, MAX_IN_A_SECOND)

    def test_part_of_a_fleet_gets_its_share_of_the_bound(self):
        self.warmup.mark_cold(10.0, 0.0)
        self.assertLessEqual(len(self.calls(10.0, share=0.1)), 18)

    def test_warm_replica_is_not_limited(self):
        self.assertEqual(len(self.calls(0.5)), 500)

    def test_pool_without_a_bound_has_no_cold_replicas(self):
        self.warmup.bound = WarmupBound()
        self.warmup.mark_cold(3.0, 0.0)
        self.assertEqual(len(self.calls(0.5)), 500)


class ColdReplicasTests(unittest.TestCase):
    """A third of a pool restarts cold in an overload; see ``railsail.scheduling.warmup``."""

    def setUp(self):
        self.dispatcher = CellDispatcher(lambda workspace: 1.0, random.Random(5))
        self.number = 0
        self.granted: dict[str, list[float]] = {}
        self.names = [f"r{n}" for n in range(9)]
        self.dispatcher.set_bound(BOUND)
        self.dispatcher.set_replicas(
            dict.fromkeys(self.names, 32), start_ids=dict.fromkeys(self.names, 1)
        )

    def overload(self, start: float, end: float, per_second: int = 600) -> None:
        now = start
        while now < end:
            self.number += 1
            ticket = Ticket("e", self.number, 1, "one", 0.0, 100.0, now, patience=0.05)
            self.record_grants(self.dispatcher.offer(ticket, now), now)
            now += 1 / per_second

    def record_grants(self, decisions, now: float) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                self.granted.setdefault(decision.replica, []).append(now)
                # Short calls, so that an unlimited replica could be given many in a second.
                self.dispatcher.answered(decision.ticket.key, now)
                self.dispatcher.release(decision.ticket.key, 100.0, now)

    def test_cold_replicas_are_not_overloaded(self):
        cold = self.names[:3]
        for name in cold:
            self.dispatcher.set_cold(name, 3.0, 0.0)
        self.overload(0.0, 3.0)
        for name in cold:
            self.assertLessEqual(2 * max_in_a_second(self.granted[name]), MAX_IN_A_SECOND)
            self.assertGreaterEqual(len(self.granted[name]), 40)

    def test_replicas_are_fully_used_after_the_cold_time(self):
        for name in self.names[:3]:
            self.dispatcher.set_cold(name, 3.0, 0.0)
        self.overload(3.1, 4.1)
        shares = [len(self.granted[name]) for name in self.names]
        self.assertGreater(min(shares), 40)

    def test_next_call_is_spaced_from_a_resumed_call(self):
        self.dispatcher.set_cold("r0", 3.0, 0.0)
        state = self.dispatcher.replicas["r0"]
        state.call_started(0.0)
        self.assertEqual(state.room(0.01), 0)

    def test_restarted_replica_is_empty_and_has_no_pending_answers(self):
        ticket = Ticket("e", 1, 1, "one", 0.0, 100.0, 0.0, prefix=7, prompt_tokens=900)
        (grant,) = self.dispatcher.offer(ticket, 0.0)
        name = grant.replica
        self.assertEqual(self.dispatcher.replicas[name].in_flight, 1)
        start_ids = dict.fromkeys(self.names, 1) | {name: 2}
        self.dispatcher.set_replicas(dict.fromkeys(self.names, 32), start_ids=start_ids)
        state = self.dispatcher.replicas[name]
        self.assertEqual(state.in_flight, 0)
        self.assertFalse(state.has_prefix(7))
        self.assertEqual(state.unread_seconds, 0.0)
        # A late message about a call to the earlier process changes nothing.
        self.dispatcher.answered(ticket.key, 0.1)
        self.dispatcher.release(ticket.key, 100.0, 0.1)
        self.assertEqual(state.in_flight, 0)

    def test_unreachable_replica_counts_as_cold_when_it_answers_again(self):
        state = self.dispatcher.replicas["r0"]
        for _ in range(2):
            state.call_failed(0.0, CallResult.UNREACHABLE, GroupHealth())
        state.call_started(1.0)
        state.answer_started(("e", 1), 1.0)
        self.assertTrue(state.warmup.is_cold(1.1))
        self.assertFalse(state.warmup.is_cold(1.0 + BOUND.seconds))

    def test_replica_that_answered_with_errors_does_not_count_as_cold(self):
        state = self.dispatcher.replicas["r0"]
        for _ in range(2):
            state.call_failed(0.0, CallResult.ERROR, GroupHealth())
        state.answer_started(("e", 1), 1.0)
        self.assertFalse(state.warmup.is_cold(1.1))


if __name__ == "__main__":
    unittest.main()
