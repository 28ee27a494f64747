"""Which replicas are ejected, alone and beside others with similar error rates."""

import random
import unittest

from railsail.core.outcomes import Unknown
from railsail.scheduling.decisions import Flight, Grant
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult, GroupHealth, ReplicaHealth
from railsail.scheduling.tickets import Ticket


class ResultTests(unittest.TestCase):
    # Dispatchers would look for the crash of a replica that only stands still for a moment.
    def test_silence_counts_as_a_connection_that_broke(self):
        self.assertIs(CallResult.of(Unknown("silent", silent=True)), CallResult.SILENT)
        self.assertIs(CallResult.of(Unknown("broke", broke_off=True)), CallResult.BROKE_OFF)
        late = Unknown("no whole answer in time", timed_out=True)
        self.assertIs(CallResult.of(late), CallResult.ERROR)


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.health = ReplicaHealth()

    def fail(self, result: CallResult, others: GroupHealth, times: int = 2) -> None:
        for _ in range(times):
            self.health.call_failed(0.0, result, others)

    def test_errors_eject_a_replica_that_is_worse_than_the_others(self):
        self.fail(CallResult.ERROR, GroupHealth(0.0))
        self.assertTrue(self.health.is_ejected(0.1))

    def test_errors_do_not_eject_a_replica_whose_others_fail_as_often(self):
        self.fail(CallResult.ERROR, GroupHealth(0.4), times=3)
        self.assertFalse(self.health.is_ejected(0.1))

    def test_errors_eject_no_replica_where_too_few_are_in_service(self):
        self.fail(CallResult.ERROR, GroupHealth(0.0, can_eject=False), times=9)
        self.assertFalse(self.health.is_ejected(0.1))

    def test_unreachable_replica_is_ejected_whatever_the_others_do(self):
        self.fail(CallResult.UNREACHABLE, GroupHealth(1.0, can_eject=False))
        self.assertTrue(self.health.is_ejected(0.1))

    def test_start_of_a_good_answer_ends_the_ejection(self):
        self.fail(CallResult.ERROR, GroupHealth())
        self.assertTrue(self.health.can_probe)
        self.health.call_started()
        self.assertFalse(self.health.can_probe)
        self.health.answer_started()
        self.assertFalse(self.health.tripped)

    def test_earlier_calls_do_not_keep_an_ejected_replica_from_a_probe(self):
        for _ in range(30):
            self.health.call_started()
        self.fail(CallResult.ERROR, GroupHealth())
        self.assertTrue(self.health.can_probe)


class CellTests(unittest.TestCase):
    """A cell in which some of the calls of some replicas fail."""

    def setUp(self):
        self.rng = random.Random(5)
        self.dispatcher = CellDispatcher(lambda workspace: 1.0, self.rng, use_prefixes=False)
        self.dispatcher.set_replicas(dict.fromkeys("abcdef", 8))
        self.number = 0

    def simulate(self, failing: set[str], share: float, seconds: float) -> dict[str, int]:
        """Offer 200 calls of 50 ms per second, and return how many each replica was given."""
        granted = dict.fromkeys("abcdef", 0)
        ends: list[tuple[float, int, str]] = []
        for step in range(int(seconds * 200)):
            now = step / 200
            for ended, number, replica in [end for end in ends if end[0] <= now]:
                fails = replica in failing and self.rng.random() < share
                result = CallResult.ERROR if fails else CallResult.GOOD
                self.dispatcher.release(("e", number), 1.0, now, result)
                ends.remove((ended, number, replica))
            self.number += 1
            ticket = Ticket("e", self.number, 1, "one", 0.0, 1.0, now, urgent=True)
            for decision in self.dispatcher.offer(ticket, now):
                if isinstance(decision, Grant):
                    granted[decision.replica] += 1
                    ends.append((now + 0.05, self.number, decision.replica))
        return granted

    def test_cell_whose_replicas_all_fail_some_calls_continues_to_serve(self):
        granted = self.simulate(set("abcdef"), 0.45, 10.0)
        self.assertGreater(sum(granted.values()), 0.95 * 2000)

    def test_single_failing_replica_is_given_far_fewer_calls(self):
        granted = self.simulate({"a"}, 0.45, 10.0)
        self.assertLess(granted["a"], 0.5 * granted["b"])
        self.assertGreater(sum(granted.values()), 0.95 * 2000)


class SilenceTests(unittest.TestCase):
    """A replica that falls silent under several calls, beside others that answer."""

    def setUp(self):
        self.dispatcher = CellDispatcher(lambda workspace: 1.0, random.Random(5), False)
        self.dispatcher.set_replicas(dict.fromkeys("abcdef", 8))
        self.state = self.dispatcher.replicas["a"]
        self.number = 0

    def start(self, now: float, count: int = 1) -> list[int]:
        """Start ``count`` calls at the replica."""
        numbers = []
        for _ in range(count):
            self.number += 1
            numbers.append(self.number)
            self.dispatcher.resume_flight(("e", self.number), Flight(1, "one", "a", 1.0, now, 1))
        return numbers

    def end(self, now: float, *numbers: int, result: CallResult = CallResult.SILENT) -> None:
        for number in numbers:
            self.dispatcher.release(("e", number), 1.0, now, result)

    # Six calls that one silence ended would eject the replica for four seconds, although it goes on
    # a moment later.
    def test_silence_ejects_once_for_each_call_that_it_ends(self):
        self.end(1.0, *self.start(0.0, 6))
        self.assertEqual(self.state.room(1.4), 0)
        self.assertEqual(self.state.room(1.6), 1)
        (probe,) = self.start(1.6)
        self.dispatcher.answered(("e", probe), 1.7)
        self.assertEqual(self.state.room(1.7), 7)

    # The same for calls that could not connect while a link was cut for half a second.
    def test_outage_ejects_once_for_each_call_that_it_ends(self):
        numbers = self.start(0.0, 6)
        self.end(0.4, *numbers, result=CallResult.UNREACHABLE)
        self.assertEqual(self.state.room(0.8), 0)
        self.assertEqual(self.state.room(1.0), 1)

    # The same, if the last of the calls end after the ejection.
    def test_late_ends_of_the_calls_of_a_silence_eject_again(self):
        numbers = self.start(0.0, 6)
        self.end(1.0, *numbers[:2])
        self.end(1.6, *numbers[2:])
        self.assertEqual(self.state.room(1.6), 1)

    def test_replica_that_stays_silent_is_ejected_for_longer_each_time(self):
        self.end(1.0, *self.start(0.0, 6))
        now, waits = 1.5, []
        for _ in range(5):
            (probe,) = self.start(now)
            self.assertEqual(self.state.room(now), 0)
            ended = now + 1.0
            self.end(ended, probe)
            now = ended
            while not self.state.room(now):
                now += 0.125
            waits.append(now - ended)
        self.assertEqual(waits, [1.0, 2.0, 4.0, 4.0, 4.0])

    # A silence after the replica has gone on is another one.
    def test_second_silence_of_long_calls_ejects_no_more(self):
        numbers = self.start(0.0, 4)
        self.end(1.0, *numbers[:2])
        (probe,) = self.start(1.5)
        self.dispatcher.answered(("e", probe), 1.6)
        self.end(3.0, *numbers[2:])
        self.assertEqual(self.state.room(3.1), 0)


if __name__ == "__main__":
    unittest.main()
