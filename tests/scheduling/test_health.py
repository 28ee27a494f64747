"""Which replicas are closed, alone and beside others that do as badly."""

import random
import unittest

from railsail.scheduling.decisions import Grant
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult, Peers, ReplicaHealth
from railsail.scheduling.tickets import Ticket


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.health = ReplicaHealth()

    def fail(self, result: CallResult, peers: Peers, times: int = 2) -> None:
        for _ in range(times):
            self.health.failed(0.0, result, peers)

    def test_errors_close_a_replica_that_does_worse_than_the_others(self):
        self.fail(CallResult.ERROR, Peers(0.0))
        self.assertTrue(self.health.closed(0.1))

    def test_errors_do_not_close_a_replica_among_others_that_fail_as_often(self):
        self.fail(CallResult.ERROR, Peers(0.4), times=3)
        self.assertFalse(self.health.closed(0.1))

    def test_errors_close_nothing_where_too_few_others_are_open(self):
        self.fail(CallResult.ERROR, Peers(0.0, may_close=False), times=9)
        self.assertFalse(self.health.closed(0.1))

    def test_replica_out_of_reach_is_closed_whatever_the_others_do(self):
        self.fail(CallResult.UNREACHABLE, Peers(1.0, may_close=False))
        self.assertTrue(self.health.closed(0.1))

    def test_answer_that_begins_well_opens_a_replica_before_it_ends(self):
        self.fail(CallResult.ERROR, Peers())
        self.assertTrue(self.health.wants_trial)
        self.health.started()
        self.assertFalse(self.health.wants_trial)
        self.health.begun()
        self.assertFalse(self.health.tripped)

    def test_calls_from_before_do_not_keep_a_closed_replica_from_being_tried(self):
        for _ in range(30):
            self.health.started()
        self.fail(CallResult.ERROR, Peers())
        self.assertTrue(self.health.wants_trial)


class CellTests(unittest.TestCase):
    """A cell whose replicas fail a part of their calls."""

    def setUp(self):
        self.rng = random.Random(5)
        self.dispatcher = CellDispatcher(lambda workspace: 1.0, self.rng, use_prefixes=False)
        self.dispatcher.set_replicas(dict.fromkeys("abcdef", 8))
        self.number = 0

    def play(self, failing: set[str], share: float, seconds: float) -> dict[str, int]:
        """Offer 200 calls a second of 50 ms each, and return how many each replica got."""
        got = dict.fromkeys("abcdef", 0)
        ends: list[tuple[float, int, str]] = []
        for step in range(int(seconds * 200)):
            now = step / 200
            for ended, number, replica in [end for end in ends if end[0] <= now]:
                bad = replica in failing and self.rng.random() < share
                result = CallResult.ERROR if bad else CallResult.GOOD
                self.dispatcher.release(("e", number), 1.0, now, result)
                ends.remove((ended, number, replica))
            self.number += 1
            ticket = Ticket("e", self.number, 1, "one", 0.0, 1.0, now, urgent=True)
            for decision in self.dispatcher.offer(ticket, now):
                if isinstance(decision, Grant):
                    got[decision.replica] += 1
                    ends.append((now + 0.05, self.number, decision.replica))
        return got

    def test_cell_whose_replicas_all_fail_at_times_goes_on_serving(self):
        got = self.play(set("abcdef"), 0.45, 10.0)
        self.assertGreater(sum(got.values()), 0.95 * 2000)

    def test_one_replica_that_fails_at_times_gets_far_less_than_the_others(self):
        got = self.play({"a"}, 0.45, 10.0)
        self.assertLess(got["a"], 0.5 * got["b"])
        self.assertGreater(sum(got.values()), 0.95 * 2000)


if __name__ == "__main__":
    unittest.main()
