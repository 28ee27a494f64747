"""Which replica a prompt that shares its beginning goes to."""

import random
import unittest
from dataclasses import replace

from railsail.scheduling.placing import HOME_WAIT, Placing, _preferred, look
from railsail.scheduling.room import FIRST_READ_RATE, LARGEST_SHARE, READ_SHARE, ReplicaRoom
from railsail.scheduling.tickets import Ticket

OBJECTIVE = 0.4
# What a replica may have unread before it is given one of the prompts below, which count as if they
# took no longer than a part of their objective.
MOST_UNREAD = round((READ_SHARE - LARGEST_SHARE) * OBJECTIVE * FIRST_READ_RATE)


def draft(number: int, prefix: int, now: float = 0.0) -> Ticket:
    """Return a ticket whose prompt shares a long beginning with others of the same ``prefix``."""
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


class LongBeginningTests(unittest.TestCase):
    def setUp(self):
        self.placing = Placing(random.Random(3), True)
        self.rooms = [ReplicaRoom(name, 8) for name in "abcdef"]

    def choose(self, ticket: Ticket, now: float = 0.0) -> ReplicaRoom | None:
        return self.placing.choose(ticket, look(self.rooms, now), now)

    def test_same_beginning_goes_to_the_same_replica(self):
        chosen = {self.choose(draft(number, 7)).name for number in range(20)}
        self.assertEqual(len(chosen), 1)

    def test_beginnings_are_spread_over_the_replicas(self):
        chosen = {self.choose(draft(prefix, prefix)).name for prefix in range(100)}
        self.assertEqual(chosen, set("abcdef"))

    def test_home_with_too_much_to_read_is_waited_for_while_others_read(self):
        for room in self.rooms:
            room.expect(("x", 1), 10_000, 0.0)
        home = _preferred(draft(1, 7), self.rooms)
        home.expect(("x", 2), 30_000, 0.0)
        self.assertIsNone(self.choose(draft(1, 7)))

    def test_prompts_that_cannot_wait_for_their_home_go_where_little_is_read(self):
        home = _preferred(draft(1, 7), self.rooms)
        home.expect(("x", 1), 60_000, 0.0)
        busy = next(room for room in self.rooms if room is not home)
        busy.expect(("x", 2), 10_000, 0.0)
        chosen = {self.choose(draft(number, 7)).name for number in range(30)}
        self.assertFalse({home.name, busy.name} & chosen)

    def fill_home(self, tokens: int) -> ReplicaRoom:
        """Let the replica of prefix 7 have a prompt of ``tokens`` to read, and return it."""
        home = _preferred(draft(1, 7), self.rooms)
        home.expect(("x", 1), tokens, 0.0)
        return home

    def test_home_that_lacks_little_time_is_waited_for_though_others_are_idle(self):
        # It reads 120,000 tokens a second: 2,400 more than it may have are gone after 20 ms.
        self.fill_home(MOST_UNREAD + 2_400)
        self.assertIsNone(self.choose(draft(1, 7)))

    def test_home_is_waited_for_a_tenth_of_the_objective_at_most(self):
        home = self.fill_home(MOST_UNREAD + 2_400)
        self.assertIsNone(self.choose(draft(1, 7), HOME_WAIT * OBJECTIVE - 0.021))
        self.assertIsNot(self.choose(draft(1, 7), HOME_WAIT * OBJECTIVE), home)

    def test_home_without_a_free_slot_is_waited_for_as_long(self):
        home = _preferred(draft(1, 7), self.rooms)
        home.in_flight = 9
        self.assertIsNone(self.choose(draft(1, 7)))
        self.assertIsNot(self.choose(draft(1, 7), HOME_WAIT * OBJECTIVE), None)

    def test_beginning_in_memory_may_join_a_longer_queue(self):
        home = self.fill_home(MOST_UNREAD + 5_000)
        home.keep_prefix(draft(1, 7))
        self.assertIs(self.choose(draft(1, 7)), home)

    def test_home_that_just_failed_the_request_is_not_waited_for(self):
        for room in self.rooms:
            room.expect(("x", 1), 4_000, 0.0)
        home = _preferred(draft(1, 7), self.rooms)
        chosen = self.choose(replace(draft(1, 7), avoid=home.name))
        self.assertIsNotNone(chosen)
        self.assertIsNot(chosen, home)

    def test_leaving_home_is_not_waited_for(self):
        home = _preferred(draft(1, 7), self.rooms)
        home.leaving = True
        self.assertIsNot(self.choose(draft(1, 7)), home)


class RegionTests(unittest.TestCase):
    """Requests that may run in some regions only are placed in no other."""

    def setUp(self):
        self.placing = Placing(random.Random(3), True)
        self.rooms = [ReplicaRoom(name, 8) for name in "abcdef"]
        for room in self.rooms[:3]:
            room.region = "north"
        for room in self.rooms[3:]:
            room.region = "south"

    def regions(self, **changes) -> set[str]:
        chosen = set()
        for prefix in range(60):
            ticket = replace(draft(prefix, prefix), **changes)
            room = self.placing.choose(ticket, look(self.rooms, 0.0), 0.0)
            chosen.add(room.region if room else "")
        return chosen

    def test_allowed_region_only(self):
        self.assertEqual(self.regions(regions=("south",)), {"south"})

    def test_also_where_its_own_replicas_are_full_or_just_failed_it(self):
        for room in self.rooms[3:]:
            room.started(0.0)
            room.expect(("x", 1), 10 * MOST_UNREAD, 0.0)
        self.assertEqual(self.regions(regions=("south",), avoid="d"), {""})

    def test_any_region_where_none_is_named(self):
        self.assertEqual(self.regions(), {"north", "south"})

    def test_region_that_no_replica_has(self):
        self.assertEqual(self.regions(regions=("-",)), {""})


if __name__ == "__main__":
    unittest.main()
