"""The fairness bound of the queue, and cases that must not exceed it."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from railsail.scheduling.decisions import Grant, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket

SLOTS = 4
LARGEST = 100.0


def ticket(number: int, workspace: str = "a", **more) -> Ticket:
    values = {"rank": 0.0, "estimate": 10.0, "enqueued_at": 0.0, **more}
    return Ticket("entry", number, 1, workspace, **values)


class Simulation:
    """A dispatcher whose workspaces always have waiting tickets, run event by event."""

    def __init__(self, weights: dict[str, float], seed: int, replicas: int = 2) -> None:
        self.rng = random.Random(seed)
        self.weights = weights
        self.dispatcher = CellDispatcher(weights.__getitem__, self.rng)
        self.dispatcher.set_replicas({f"r{i}": SLOTS // replicas for i in range(replicas)})
        self.served = dict.fromkeys(weights, 0.0)
        self.running: dict[int, tuple[str, float]] = {}
        self.number = 0
        self.now = 0.0
        self.max_running = 0

    def fill(self, depth: int = 10) -> None:
        for name in self.weights:
            waiting = len(self.dispatcher.queue.tickets(name))
            for _ in range(depth - waiting):
                self.number += 1
                estimate = self.rng.uniform(1.0, LARGEST)
                offered = ticket(self.number, name, estimate=estimate, enqueued_at=self.now)
                self.start(self.dispatcher.offer(offered, self.now))

    def start(self, decisions: list) -> None:
        for grant in decisions:
            cost = self.rng.uniform(0.0, LARGEST)
            self.running[grant.ticket.number] = (grant.ticket.workspace, cost)
        self.max_running = max(self.max_running, len(self.running))

    def step(self) -> None:
        self.now += 1.0
        number = self.rng.choice(sorted(self.running))
        workspace, cost = self.running.pop(number)
        if self.rng.random() < 0.1:
            # The request is cancelled before it is complete.
            cost *= self.rng.random()
        self.served[workspace] += cost
        self.dispatcher.release(("entry", number), cost, self.now, CallResult.GOOD)
        self.start(self.dispatcher.pump(self.now))
        self.fill()

    def gap(self) -> float:
        shares = [self.served[name] / weight for name, weight in self.weights.items()]
        return max(shares) - min(shares)

    def bound(self) -> float:
        min_weight = min(self.weights.values())
        return 2 * (LARGEST + self.max_running * LARGEST) / min_weight


class BoundTests(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=5),
        st.integers(0, 10_000),
    )
    def test_gap_stays_below_the_stated_bound(self, weights, seed):
        named = {f"w{index}": weight for index, weight in enumerate(weights)}
        simulation = Simulation(named, seed)
        simulation.fill()
        for _ in range(300):
            simulation.step()
            self.assertLessEqual(simulation.gap(), simulation.bound())

    def test_gap_exceeds_the_bound_without_counters(self):
        # Checks the test above: without counters, the same arrivals exceed the bound.
        simulation = Simulation({"w0": 4.0, "w1": 0.5}, seed=3)
        simulation.dispatcher.queue.charge = lambda workspace, cost: None
        simulation.fill()
        for _ in range(1500):
            simulation.step()
        self.assertGreater(simulation.gap(), simulation.bound())

    @settings(max_examples=20, deadline=None, derandomize=True)
    @given(st.integers(0, 10_000))
    def test_workspace_with_a_small_weight_is_served(self, seed):
        simulation = Simulation({"heavy": 100.0, "light": 0.5}, seed)
        simulation.fill()
        for _ in range(1500):
            simulation.step()
        self.assertGreater(simulation.served["light"], 0.0)


class QueueTests(unittest.TestCase):
    def setUp(self):
        self.queue = FairQueue(lambda name: 1.0)

    def serve(self, count: int) -> list[str]:
        return [self.dequeue(self.queue.first_workspace()).workspace for _ in range(count)]

    def dequeue(self, workspace: str) -> Ticket:
        ticket = self.queue.head(workspace)
        self.queue.dequeue(ticket)
        return ticket

    def test_idle_workspace_gains_no_credit(self):
        for number in range(20):
            self.queue.push(ticket(number, "busy"))
        self.serve(10)
        for number in range(20, 40):
            self.queue.push(ticket(number, "returns"))
        served = self.serve(10)
        self.assertEqual(served.count("returns"), 5)

    def test_higher_rank_is_served_first_and_low_rank_ages(self):
        self.queue.push(ticket(1, rank=0.0, enqueued_at=0.0))
        self.queue.push(ticket(2, rank=1.0, enqueued_at=10.0))
        self.queue.push(ticket(3, rank=1.0, enqueued_at=40.0))
        order = [self.dequeue("a").number for _ in range(3)]
        self.assertEqual(order, [2, 1, 3])

    def test_removed_ticket_is_not_served(self):
        self.queue.push(ticket(1))
        self.queue.push(ticket(2))
        self.queue.remove(("entry", 1))
        self.assertEqual(self.dequeue("a").number, 2)
        self.assertEqual(len(self.queue), 0)

    def test_merge_bounds_how_far_a_workspace_is_behind(self):
        self.queue.push(ticket(1, "ahead"))
        self.queue.push(ticket(2, "behind"))
        self.queue.charge("ahead", 10.0)
        self.queue.merge([("ahead", 1e9)])
        lead = self.queue.counter("ahead") - self.queue.counter("behind")
        self.assertEqual(lead, self.queue.catch_up_bound)


class DispatcherTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = CellDispatcher(lambda name: 1.0, random.Random(1))
        self.dispatcher.set_replicas({"r0": 2, "r1": 2})

    def offer(self, number: int, **more) -> list:
        return self.dispatcher.offer(ticket(number, **more), 0.0)

    def fill(self) -> None:
        for number in range(100, 120):
            self.offer(number, workspace="filler")

    def test_repeated_ticket_is_granted_once(self):
        self.assertEqual(len(self.offer(1)), 1)
        self.assertEqual(self.offer(1), [])
        self.assertEqual(self.dispatcher.replicas["r0"].in_flight, 1 - self.other_in_flight())

    def other_in_flight(self) -> int:
        return self.dispatcher.replicas["r1"].in_flight

    def test_release_of_an_earlier_attempt_does_not_end_the_current_one(self):
        self.offer(1)
        again = ticket(1)
        again = Ticket(**{**vars(again), "attempt": 2})
        self.assertEqual(len(self.dispatcher.offer(again, 0.0)), 1)
        self.dispatcher.release_attempt(("entry", 1), 1, 0.0, 0.0, CallResult.NOTHING)
        self.assertIn(("entry", 1), self.dispatcher.flights)

    def test_draining_replica_is_given_no_calls(self):
        self.dispatcher.set_replicas({"r0": 2, "r1": 2}, leaving=["r0"])
        grants = [decision for number in range(6) for decision in self.offer(number)]
        self.assertEqual({grant.replica for grant in grants}, {"r1"})

    def test_urgent_ticket_is_granted_before_waiting_ones_or_refused(self):
        self.fill()
        decisions = [self.offer(number, workspace="u", urgent=True)[0] for number in range(6)]
        kinds = [type(decision) for decision in decisions]
        self.assertEqual(kinds, [Grant, Grant, Refusal, Refusal, Refusal, Refusal])

    def test_many_urgent_tickets_do_not_starve_other_workspaces(self):
        self.dispatcher.set_replicas({"r0": 1000})
        self.dispatcher.replicas["r1"] = self.dispatcher.replicas["r0"]
        self.fill()
        self.dispatcher.replicas["r0"].leaving = True
        self.offer(200, workspace="waits")
        self.dispatcher.replicas["r0"].leaving = False
        decisions = [self.offer(n, workspace="u", urgent=True)[0] for n in range(300, 330)]
        refused = [decision for decision in decisions if isinstance(decision, Refusal)]
        self.assertTrue(refused)

    def test_dropped_entry_frees_its_slots(self):
        self.fill()
        waiting = len(self.dispatcher.queue)
        self.assertTrue(waiting)
        self.dispatcher.drop_entry("entry", 1.0)
        self.assertEqual((len(self.dispatcher.queue), len(self.dispatcher.flights)), (0, 0))
        self.assertEqual(self.dispatcher.room(1.0), 4)


if __name__ == "__main__":
    unittest.main()
