"""Which replica a prompt that shares its beginning goes to."""

import random
import unittest
from dataclasses import replace

from railsail.scheduling.placing import Placing, _preferred
from railsail.scheduling.room import ReplicaRoom
from railsail.scheduling.tickets import Ticket


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
        objective=0.4,
    )


class LongBeginningTests(unittest.TestCase):
    def setUp(self):
        self.placing = Placing(random.Random(3), True)
        self.rooms = [ReplicaRoom(name, 8) for name in "abcdef"]

    def choose(self, ticket: Ticket, now: float = 0.0) -> ReplicaRoom | None:
        return self.placing.choose(ticket, self.rooms, now)

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


if __name__ == "__main__":
    unittest.main()
