"""While a service moves to another software version, calls run only on permitted versions."""

import random
import unittest
from collections import Counter

from railsail.core.outcomes import Reason
from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage
from railsail.scheduling.decisions import Flight, Grant, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.exposure import Allowance
from railsail.scheduling.health import CallResult
from railsail.scheduling.room import LONG_PREFIX_TOKENS
from railsail.scheduling.tickets import Ticket

ORDER = Order("model", 7, "v2", 12.0)
OLD = [f"old{n}" for n in range(3)]
NEW = [f"new{n}" for n in range(3)]
VERSIONS = dict.fromkeys(OLD, "v1") | dict.fromkeys(NEW, "v2")
CANARIES = frozenset(NEW[:1])
MANY = 1 << 40


class RolloutTestCase(unittest.TestCase):
    slots = 8

    def setUp(self):
        self.dispatcher = self.cell()
        self.number = 0
        self.serial = 0

    def cell(self, order: Order | None = ORDER) -> CellDispatcher:
        dispatcher = CellDispatcher(lambda workspace: 1.0, random.Random(3))
        dispatcher.set_replicas(dict.fromkeys([*OLD, *NEW], self.slots))
        dispatcher.set_order(order, start=1)
        dispatcher.set_versions(VERSIONS, {})
        return dispatcher

    def allow(
        self, stage: Stage, calls: int = MANY, now: float = 0.0, valid: float = 100.0
    ) -> None:
        self.serial += 1
        allowance = Allowance(1, self.serial, stage, calls, now + valid, CANARIES)
        self.dispatcher.versions.exposure.allow(allowance, now)

    def ticket(self, now: float, workspace: str = "one", **fields) -> Ticket:
        self.number += 1
        return Ticket("e", self.number, 1, workspace, 0.0, 10.0, now, **fields)

    def offer(self, now: float, workspace: str = "one", **fields) -> str:
        """Offer a ticket, and return the replica that it was bound to, empty if it waits."""
        ticket = self.ticket(now, workspace, **fields)
        for decision in self.dispatcher.offer(ticket, now):
            if isinstance(decision, Grant) and decision.ticket.key == ticket.key:
                return decision.replica
        return ""

    def end(self, now: float, result: CallResult = CallResult.GOOD) -> None:
        """End the newest call."""
        self.dispatcher.release(("e", self.number), 10.0, now, result)

    def serve(self, count: int, start: float, gap: float = 0.01, **fields) -> Counter:
        """Offer ``count`` tickets that end at once; count the calls of each version."""
        served: Counter[str] = Counter()
        for step in range(count):
            replica = self.offer(start + step * gap, **fields)
            served[VERSIONS.get(replica, "none")] += 1
            self.end(start + step * gap)
        return served


class StageTests(RolloutTestCase):
    def test_target_is_given_no_calls_without_an_allowance(self):
        self.assertEqual(self.serve(200, 0.0), {"v1": 200})

    def test_all_versions_serve_without_an_order(self):
        self.dispatcher = self.cell(order=None)
        served = self.serve(200, 0.0)
        self.assertGreater(min(served["v1"], served["v2"]), 50)

    def test_named_canary_is_given_the_allowed_calls(self):
        self.allow(Stage.CANARY, 20)
        served: Counter[str] = Counter()
        for step in range(200):
            served[self.offer(step * 0.02)] += 1
            self.end(step * 0.02)
        self.assertEqual(served["new0"], 20)
        self.assertEqual(served["new1"] + served["new2"], 0)

    def test_canary_calls_run_together(self):
        self.allow(Stage.CANARY, 20)
        max_in_flight = 0
        for step in range(100):
            self.offer(step * 0.004)
            state = self.dispatcher.replicas["new0"]
            max_in_flight = max(max_in_flight, state.in_flight)
            # Each call takes four steps.
            self.dispatcher.release(("e", self.number - 3), 10.0, step * 0.004, CallResult.GOOD)
        self.assertGreaterEqual(max_in_flight, 2)

    def test_calls_of_a_group_go_to_a_single_canary(self):
        allowance = Allowance(1, 1, Stage.CANARY, 8, 100.0, frozenset(NEW))
        self.dispatcher.versions.exposure.allow(allowance, 0.0)
        bound = [self.offer(step * 0.001) for step in range(4)]
        self.assertEqual(len(set(bound)), 1)
        self.assertIn(bound[0], NEW)

    def test_idle_canaries_take_turns(self):
        allowance = Allowance(1, 1, Stage.CANARY, 30, 100.0, frozenset(NEW))
        self.dispatcher.versions.exposure.allow(allowance, 0.0)
        self.serve(200, 0.0, gap=0.05)
        calls = Counter(key.replica for key, tally in self.dispatcher.tallies.items())
        self.assertEqual(set(calls), {"", *NEW})
        for key, tally in self.dispatcher.tallies.items():
            self.assertTrue(not key.replica or tally.answers == 10, key)

    def test_shift_sends_no_more_calls_than_allowed(self):
        self.allow(Stage.SHIFT, 5)
        self.assertEqual(self.serve(50, 0.0), {"v2": 5, "v1": 45})

    def test_others_serve_after_the_allowed_calls_of_a_drain(self):
        self.allow(Stage.DRAIN, 5)
        self.assertEqual(self.serve(50, 0.0), {"v2": 5, "v1": 45})

    def test_target_is_given_no_calls_after_the_allowance_expires(self):
        self.allow(Stage.SHIFT, valid=1.0)
        self.assertEqual(set(self.serve(50, 0.0)), {"v2"})
        self.assertEqual(self.serve(50, 1.0), {"v1": 50})

    def test_shift_fills_the_target_first(self):
        self.allow(Stage.SHIFT)
        bound = [VERSIONS.get(self.offer(0.0), "none") for _ in range(5 * self.slots)]
        target = len(NEW) * (self.slots + 1)
        self.assertEqual(bound[:target], ["v2"] * target)
        self.assertEqual(set(bound[target:]), {"v1"})

    def test_drain_sends_no_calls_to_the_others(self):
        self.allow(Stage.DRAIN)
        bound = Counter(VERSIONS.get(self.offer(0.0), "none") for _ in range(60))
        self.assertEqual(bound["v1"], 0)
        self.assertEqual(bound["v2"], len(NEW) * (self.slots + 1))

    def test_end_of_the_order_removes_all_limits(self):
        self.dispatcher.set_order(None, start=2)
        self.assertIsNone(self.dispatcher.tallies)
        self.assertGreater(self.serve(100, 0.0)["v2"], 20)

    def test_each_dispatcher_needs_its_own_allowance(self):
        self.allow(Stage.CANARY, 20)
        first, self.dispatcher = self.dispatcher, self.cell()
        self.assertEqual(self.serve(100, 0.0), {"v1": 100})
        self.dispatcher = first
        self.assertEqual(self.serve(200, 0.0, gap=0.05)["v2"], 20)


class CanaryTicketTests(RolloutTestCase):
    def test_retry_of_a_canary_failure_goes_to_the_others(self):
        self.allow(Stage.CANARY, 100)
        for step in range(50):
            replica = self.offer(step * 0.1, avoid="new0")
            self.assertEqual(VERSIONS[replica], "v1")
            self.end(step * 0.1)

    def test_retry_at_the_shift_goes_to_the_others(self):
        self.allow(Stage.SHIFT)
        self.assertEqual(self.serve(30, 0.0, avoid="new1"), {"v1": 30})

    def test_retry_of_a_refused_request_is_no_canary_call(self):
        self.allow(Stage.CANARY, 100)
        self.assertEqual(self.serve(30, 0.0, returned=True), {"v1": 30})

    def test_overloading_workspace_does_not_use_all_canary_calls(self):
        self.allow(Stage.CANARY, 40)
        exposed: Counter[str] = Counter()
        for step in range(1000):
            now = step * 0.002
            workspace = "quiet" if step % 10 == 0 else "flood"
            if VERSIONS.get(self.offer(now, workspace)) == "v2":
                exposed[workspace] += 1
            self.end(now)
        self.assertEqual(exposed.total(), 40)
        self.assertGreater(exposed["quiet"], 0)
        self.assertGreater(exposed["flood"], 0)

    def test_excluded_canary_is_given_no_calls(self):
        self.allow(Stage.CANARY, 100)
        self.assertEqual(self.serve(30, 0.0, excluded=("new0",)), {"v1": 30})


class PrefixOwnerTests(RolloutTestCase):
    def owners(self, start: float) -> dict[int, str]:
        """Return the replica that a prompt with each of some long prefixes goes to."""
        found = {}
        for prefix in range(1, 40):
            now = start + prefix
            fields = {"prefix": prefix, "objective": 1.0, "returned": True}
            tokens = {"prompt_tokens": 2 * LONG_PREFIX_TOKENS, "shared_tokens": LONG_PREFIX_TOKENS}
            found[prefix] = self.offer(now, **fields, **tokens)
            self.end(now + 0.1)
        return found

    def test_prefix_owners_among_the_others_stay_until_the_shift(self):
        only_old = CellDispatcher(lambda workspace: 1.0, random.Random(3))
        only_old.set_replicas(dict.fromkeys(OLD, self.slots))
        dispatcher, self.dispatcher = self.dispatcher, only_old
        before = self.owners(0.0)
        self.dispatcher = dispatcher
        self.assertEqual(self.owners(100.0), before)
        self.allow(Stage.CANARY, 1000, now=200.0)
        self.assertEqual(self.owners(200.0), before)
        self.allow(Stage.SHIFT, now=300.0)
        self.assertTrue(set(self.owners(300.0).values()) <= set(NEW))
        self.allow(Stage.HOLD, now=400.0)
        self.assertEqual(self.owners(400.0), before)


class FreeSlotsTests(RolloutTestCase):
    def fill_others(self) -> None:
        for name in OLD:
            for _ in range(self.slots + 1):
                self.number += 1
                flight = Flight(1, "one", name, 10.0, 0.0)
                self.dispatcher.resume_flight(("e", self.number), flight)

    def test_urgent_ticket_is_refused_where_only_held_replicas_are_free(self):
        self.fill_others()
        # Twice as many urgent tickets may be queued at a replica.
        self.fill_others()
        decisions = self.dispatcher.offer(self.ticket(0.0, urgent=True), 0.0)
        self.assertIsInstance(decisions[0], Refusal)
        self.assertIs(decisions[0].reason, Reason.NO_ROOM)

    def test_slots_of_held_replicas_are_not_free(self):
        self.assertEqual(self.dispatcher.room(0.0), len(OLD) * self.slots)
        self.fill_others()
        self.assertEqual(self.dispatcher.room(0.0), 0)
        self.assertEqual(self.offer(0.0), "")

    def test_shift_counts_the_free_slots_of_both_versions(self):
        self.allow(Stage.SHIFT)
        self.assertEqual(self.dispatcher.room(0.0), len(VERSIONS) * self.slots)

    def test_new_version_is_held_without_an_order(self):
        self.dispatcher = self.cell(order=None)
        self.dispatcher.set_versions(VERSIONS, {"v2": 1.0})
        self.assertEqual(self.serve(50, 0.0), {"v1": 50})
        self.assertGreater(self.serve(50, 1.0)["v2"], 5)

    def test_order_ends_the_hold_of_its_version(self):
        self.dispatcher.set_versions(VERSIONS, {"v2": 1.0})
        self.allow(Stage.SHIFT)
        self.assertEqual(self.serve(5, 0.0), {"v2": 5})


class HealthTests(RolloutTestCase):
    def test_failures_on_trial_do_not_eject_the_canary(self):
        self.allow(Stage.CANARY, 100)
        failed = 0
        for step in range(400):
            replica = self.offer(step * 0.01)
            failing = VERSIONS.get(replica) == "v2"
            failed += failing
            self.end(step * 0.01, CallResult.ERROR if failing else CallResult.GOOD)
        self.assertGreater(failed, 30)
        self.assertFalse(self.dispatcher.replicas["new0"].health.tripped)

    def test_failures_of_the_target_do_not_hide_a_faulty_other_replica(self):
        self.allow(Stage.SHIFT)
        for step in range(60):
            self.offer(step * 0.01)
            self.end(step * 0.01, CallResult.ERROR)
        self.allow(Stage.HOLD, now=1.0)
        ejected = False
        for step in range(60):
            replica = self.offer(1.0 + step * 0.01)
            sick = replica == "old0"
            self.end(1.0 + step * 0.01, CallResult.ERROR if sick else CallResult.GOOD)
            ejected |= self.dispatcher.replicas["old0"].health.tripped
        self.assertTrue(ejected)

    def test_unreachable_canary_is_ejected(self):
        self.allow(Stage.CANARY, 100)
        for step in range(100):
            replica = self.offer(step * 0.01)
            failing = replica == "new0"
            self.end(step * 0.01, CallResult.UNREACHABLE if failing else CallResult.GOOD)
        self.assertTrue(self.dispatcher.replicas["new0"].health.tripped)


class EvidenceTests(RolloutTestCase):
    def tallies(self) -> dict:
        return {
            (key.route, key.software_version, key.replica): tally
            for key, tally in self.dispatcher.tallies.items()
        }

    def test_sums_by_route_version_and_target_replica(self):
        self.allow(Stage.CANARY, 4)
        for step in range(20):
            now = step * 0.01
            replica = self.offer(now, route=5 if step % 2 else 6)
            self.dispatcher.answered(("e", self.number), now + 0.010)
            failed = replica == "new0"
            self.end(now + 0.100, CallResult.BROKE_OFF if failed else CallResult.GOOD)
        found = self.tallies()
        self.assertEqual(self.dispatcher.tallies.arrivals, 20)
        self.assertEqual(self.dispatcher.versions.exposure.exposed, 4)
        target = [tally for key, tally in found.items() if key[1] == "v2"]
        self.assertEqual({key[2] for key in found if key[1] == "v2"}, {"new0"})
        self.assertEqual(sum(tally.answers for tally in target), 4)
        self.assertEqual(sum(tally.failed for tally in target), 4)
        others = [found[(route, "v1", "")] for route in (5, 6)]
        self.assertEqual(sum(tally.answers for tally in others), 16)
        self.assertEqual(sum(tally.failed for tally in others), 0)
        # 10 ms lie in class 6, 100 ms in class 13.
        self.assertEqual(sum(tally.first[6] for tally in others), 16)
        self.assertEqual(sum(tally.whole[13] for tally in others), 16)

    def test_backoff_and_lost_connections_are_no_answers(self):
        for result in (CallResult.NOTHING, CallResult.UNREACHABLE):
            self.offer(0.0)
            self.end(0.1, result)
        self.assertEqual(self.tallies(), {})
        self.assertEqual(self.dispatcher.tallies.arrivals, 2)

    def test_caller_that_left_early_is_not_counted(self):
        self.serve_in(0.1)
        self.offer(50.0)
        self.end(50.1, CallResult.CALLER_LEFT)
        self.assertEqual(self.tallies()[(0, "v1", "")].answers, 20)

    def test_caller_that_left_late_counts_as_a_slow_answer(self):
        self.serve_in(0.1)
        self.allow(Stage.SHIFT, now=50.0)
        replica = self.offer(50.0)
        self.end(50.9, CallResult.CALLER_LEFT)
        tally = self.tallies()[(0, "v2", replica)]
        self.assertEqual((tally.answers, tally.failed), (1, 0))
        self.assertEqual(sum(tally.first[19:]), 1)

    # Six calls that one silence of a canary ended were enough to roll back a good version.
    def test_silence_of_a_replica_counts_for_each_of_its_calls(self):
        self.allow(Stage.CANARY)
        numbers = self.start_canary_calls(6, 0.0)
        for number in numbers[:3]:
            self.dispatcher.release(("e", number), 10.0, 1.1, CallResult.SILENT)
        for number in numbers[3:]:
            self.dispatcher.release(("e", number), 10.0, 1.3, CallResult.SILENT)
        tally = self.tallies()[(0, "v2", "new0")]
        self.assertEqual((tally.answers, tally.failed), (1, 1))

    def test_calls_that_are_given_to_a_silent_replica_later_count_again(self):
        self.allow(Stage.CANARY)
        for started in (0.0, 2.0, 4.0):
            (number,) = self.start_canary_calls(1, started)
            self.dispatcher.release(("e", number), 10.0, started + 1.1, CallResult.SILENT)
        self.assertEqual(self.tallies()[(0, "v2", "new0")].failed, 3)

    def test_calls_that_hang_beside_answers_count_each(self):
        self.allow(Stage.CANARY)
        numbers = self.start_canary_calls(6, 0.0)
        for step in range(3):
            self.dispatcher.answered(("e", numbers[step]), 1.1 + step)
            self.dispatcher.release(("e", numbers[3 + step]), 10.0, 1.5 + step, CallResult.SILENT)
        self.assertEqual(self.tallies()[(0, "v2", "new0")].failed, 3)

    def start_canary_calls(self, count: int, now: float) -> list[int]:
        """Start ``count`` calls at the first canary, and return their numbers."""
        numbers = []
        for _ in range(count):
            self.number += 1
            numbers.append(self.number)
            self.dispatcher.resume_flight(
                ("e", self.number), Flight(1, "one", "new0", 10.0, now, 1)
            )
        return numbers

    def serve_in(self, seconds: float) -> None:
        for step in range(20):
            self.offer(float(step))
            self.end(step + seconds)

    def test_resumed_call_is_counted_for_its_version(self):
        flight = Flight(1, "one", "new1", 10.0, 0.0)
        self.dispatcher.resume_flight(("other", 1), flight)
        self.assertEqual(self.dispatcher.versions.exposure.exposed, 1)
        self.dispatcher.release(("other", 1), 10.0, 1.0, CallResult.ERROR)
        self.assertEqual(self.tallies()[(0, "v2", "new1")].failed, 1)

    def test_new_order_starts_new_tallies(self):
        self.serve(5, 0.0)
        self.dispatcher.set_order(Order("model", 9, "v2", 12.0), start=44)
        self.assertEqual(self.tallies(), {})
        self.assertEqual(self.dispatcher.tallies.start, 44)

    def test_repeated_order_keeps_tallies_and_allowance(self):
        self.allow(Stage.CANARY, 20)
        self.serve(5, 0.0)
        self.dispatcher.set_order(ORDER, start=44)
        self.assertEqual(self.dispatcher.tallies.start, 1)
        self.assertIs(self.dispatcher.versions.exposure.stage(1.0), Stage.CANARY)
