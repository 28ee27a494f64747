"""Which replica a prompt with a shared prefix goes to."""

import random
import unittest
from dataclasses import replace

from railsail.scheduling.room import (
    INITIAL_PREFILL_RATE,
    MAX_OWN_PREFILL_SHARE,
    PREFILL_SHARE,
    ReplicaState,
)
from railsail.scheduling.selection import (
    OWNER_WAIT_SHARE,
    ReplicaSelector,
    _highest_score,
    find_available,
)
from railsail.scheduling.tickets import Ticket

OBJECTIVE = 0.4
# The largest pending prefill, in tokens, with which a replica is still given one of the prompts
# below. The prefill of such a prompt counts only as ``MAX_OWN_PREFILL_SHARE`` of its objective.
MAX_PENDING_PREFILL = round(
    (PREFILL_SHARE - MAX_OWN_PREFILL_SHARE) * OBJECTIVE * INITIAL_PREFILL_RATE
)


def shared_prompt(number: int, prefix: int, now: float = 0.0) -> Ticket:
    """Return a ticket whose prompt shares a long prefix with others of the same ``prefix``."""
    return Ticket(
        "e",
        number,
        1,
        "one",
        0.0,
        1.0,
        now,
        prefix=prefix,
        prompt_tokens=12_000,
        shared_tokens=5_000,
        objective=OBJECTIVE,
    )


class LongPrefixTests(unittest.TestCase):
    def setUp(self):
        self.selector = ReplicaSelector(random.Random(3), True)
        self.states = [ReplicaState(name, 8) for name in "abcdef"]

    def choose(self, ticket: Ticket, now: float = 0.0) -> ReplicaState | None:
        return self.selector.choose(ticket, find_available(self.states, now), now)

    def test_same_prefix_goes_to_the_same_replica(self):
        chosen = {self.choose(shared_prompt(number, 7)).name for number in range(20)}
        self.assertEqual(len(chosen), 1)

    def test_prefixes_are_spread_over_the_replicas(self):
        chosen = {self.choose(shared_prompt(prefix, prefix)).name for prefix in range(100)}
        self.assertEqual(chosen, set("abcdef"))

    def test_ticket_waits_for_a_busy_owner_while_others_are_busy(self):
        for state in self.states:
            state.record_pending(("x", 1), 10_000, 0.0)
        owner = _highest_score(shared_prompt(1, 7), self.states)
        owner.record_pending(("x", 2), 30_000, 0.0)
        self.assertIsNone(self.choose(shared_prompt(1, 7)))

    def test_ticket_that_cannot_wait_for_the_owner_goes_to_a_nearly_idle_replica(self):
        owner = _highest_score(shared_prompt(1, 7), self.states)
        owner.record_pending(("x", 1), 60_000, 0.0)
        busy = next(state for state in self.states if state is not owner)
        busy.record_pending(("x", 2), 10_000, 0.0)
        chosen = {self.choose(shared_prompt(number, 7)).name for number in range(30)}
        self.assertFalse({owner.name, busy.name} & chosen)

    def fill_owner(self, tokens: int) -> ReplicaState:
        """Add a prompt of ``tokens`` to the pending prefill of the owner of prefix 7.

        Return the owner.
        """
        owner = _highest_score(shared_prompt(1, 7), self.states)
        owner.record_pending(("x", 1), tokens, 0.0)
        return owner

    def test_ticket_waits_for_an_owner_that_is_free_soon_though_others_are_idle(self):
        # It prefills 120,000 tokens a second: the 2,400 too many are done after 20 ms.
        self.fill_owner(MAX_PENDING_PREFILL + 2_400)
        self.assertIsNone(self.choose(shared_prompt(1, 7)))

    def test_ticket_waits_for_the_owner_a_tenth_of_its_objective_at_most(self):
        owner = self.fill_owner(MAX_PENDING_PREFILL + 2_400)
        self.assertIsNone(self.choose(shared_prompt(1, 7), OWNER_WAIT_SHARE * OBJECTIVE - 0.021))
        self.assertIsNot(self.choose(shared_prompt(1, 7), OWNER_WAIT_SHARE * OBJECTIVE), owner)

    def test_ticket_waits_as_long_for_an_owner_without_a_free_slot(self):
        owner = _highest_score(shared_prompt(1, 7), self.states)
        owner.in_flight = 9
        self.assertIsNone(self.choose(shared_prompt(1, 7)))
        self.assertIsNot(self.choose(shared_prompt(1, 7), OWNER_WAIT_SHARE * OBJECTIVE), None)

    def test_cached_prefix_may_join_a_longer_queue(self):
        owner = self.fill_owner(MAX_PENDING_PREFILL + 5_000)
        owner.record_prefix(shared_prompt(1, 7))
        self.assertIs(self.choose(shared_prompt(1, 7)), owner)

    def test_ticket_does_not_wait_for_an_owner_that_just_failed_it(self):
        for state in self.states:
            state.record_pending(("x", 1), 4_000, 0.0)
        owner = _highest_score(shared_prompt(1, 7), self.states)
        chosen = self.choose(replace(shared_prompt(1, 7), avoid=owner.name))
        self.assertIsNotNone(chosen)
        self.assertIsNot(chosen, owner)

    def test_ticket_does_not_wait_for_a_draining_owner(self):
        owner = _highest_score(shared_prompt(1, 7), self.states)
        owner.leaving = True
        self.assertIsNot(self.choose(shared_prompt(1, 7)), owner)


class RegionTests(unittest.TestCase):
    """Requests that may run only in some regions are placed in no other."""

    def setUp(self):
        self.selector = ReplicaSelector(random.Random(3), True)
        self.states = [ReplicaState(name, 8) for name in "abcdef"]
        for state in self.states[:3]:
            state.region = "north"
        for state in self.states[3:]:
            state.region = "south"

    def regions(self, **changes) -> set[str]:
        chosen = set()
        for prefix in range(60):
            ticket = replace(shared_prompt(prefix, prefix), **changes)
            state = self.selector.choose(ticket, find_available(self.states, 0.0), 0.0)
            chosen.add(state.region if state else "")
        return chosen

    def test_ticket_goes_to_its_allowed_region_only(self):
        self.assertEqual(self.regions(regions=("south",)), {"south"})

    def test_ticket_leaves_its_region_neither_when_full_nor_after_a_failure(self):
        for state in self.states[3:]:
            state.call_started(0.0)
            state.record_pending(("x", 1), 10 * MAX_PENDING_PREFILL, 0.0)
        self.assertEqual(self.regions(regions=("south",), avoid="d"), {""})

    def test_ticket_without_regions_goes_to_any_region(self):
        self.assertEqual(self.regions(), {"north", "south"})

    def test_ticket_of_a_region_without_replicas_goes_nowhere(self):
        self.assertEqual(self.regions(regions=("-",)), {""})


if __name__ == "__main__":
    unittest.main()
