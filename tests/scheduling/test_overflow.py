"""What a region's cell passes on to others, and when it asks for theirs."""

import unittest

from railsail.scheduling.cells import Cell
from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.overflow import (
    ASK_PAUSE_SECONDS,
    LEAST_WAITED_SECONDS,
    MOST_ASKED,
    OFFER_SECONDS,
    PRESSED_SECONDS,
    REPEAT_SECONDS,
    Overflow,
)
from railsail.scheduling.tickets import Ticket

SOUTH = Cell("model", 1, 3, "south")
WEST = Cell("model", 2, 3, "west")
WAY = 0.04
NOW = 100.0


def ticket(number: int, waited: float = 0.05, workspace: str = "one", **more) -> Ticket:
    values = {"patience": 0.2, **more}
    return Ticket("entry", number, 1, workspace, 0.0, 1.0, NOW - waited, **values)


def queue(*tickets: Ticket) -> FairQueue:
    made = FairQueue(lambda workspace: 1.0)
    for each in tickets:
        made.push(each)
    return made


class NewsTests(unittest.TestCase):
    def setUp(self):
        self.overflow = Overflow()

    def test_cell_that_can_begin_what_waits_is_not_pressed(self):
        self.assertIsNone(self.overflow.news(5, 1, NOW))

    def test_pressure_is_told_once_and_again_while_it_lasts(self):
        self.assertEqual(self.overflow.news(5, 0, NOW), 5)
        self.assertIsNone(self.overflow.news(7, 0, NOW + 0.1))
        self.assertEqual(self.overflow.news(7, 0, NOW + 1.1 * REPEAT_SECONDS), 7)

    def test_its_end_is_told_when_it_has_lasted(self):
        self.overflow.news(5, 0, NOW)
        self.assertIsNone(self.overflow.news(0, 9, NOW + 0.5 * PRESSED_SECONDS))
        self.assertEqual(self.overflow.news(0, 9, NOW + 1.1 * PRESSED_SECONDS), 0)
        self.assertIsNone(self.overflow.news(0, 9, NOW + 2 * PRESSED_SECONDS))


class AskTests(unittest.TestCase):
    def setUp(self):
        self.overflow = Overflow()

    def test_nobody_is_asked_who_is_not_pressed(self):
        self.assertIsNone(self.overflow.wanted(0, 50, NOW))
        self.overflow.told(SOUTH, 0, NOW)
        self.assertIsNone(self.overflow.wanted(0, 50, NOW))

    def test_longest_queue_is_asked_for_a_part_of_what_is_spare(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.overflow.told(WEST, 9, NOW)
        self.assertEqual(self.overflow.wanted(0, 8, NOW), (WEST, 4))

    def test_own_tickets_go_first(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.assertIsNone(self.overflow.wanted(8, 8, NOW))

    def test_asking_is_bounded_in_number_and_time(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.assertEqual(self.overflow.wanted(0, 500, NOW), (SOUTH, MOST_ASKED))
        self.assertIsNone(self.overflow.wanted(0, 500, NOW + 0.5 * ASK_PAUSE_SECONDS))
        self.assertIsNotNone(self.overflow.wanted(0, 500, NOW + 1.1 * ASK_PAUSE_SECONDS))

    def test_cell_that_says_nothing_more_is_not_asked_for_ever(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.assertIsNone(self.overflow.wanted(0, 500, NOW + 2.1 * REPEAT_SECONDS))


class PassTests(unittest.TestCase):
    def setUp(self):
        self.overflow = Overflow()

    def passed(self, waiting: FairQueue, spare: int = 0, now: float = NOW) -> list[int]:
        return [t.number for t, _ in self.overflow.passed_on(waiting, spare, WAY, now)]

    def test_nothing_goes_where_nobody_asked(self):
        self.assertEqual(self.passed(queue(ticket(1))), [])

    def test_no_more_go_than_were_asked_for(self):
        waiting = queue(*(ticket(number) for number in range(5)))
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(len(self.passed(waiting)), 2)
        self.assertEqual(len(waiting), 3)
        self.assertEqual(self.passed(waiting), [])

    def test_what_was_asked_for_stands_for_a_moment(self):
        self.overflow.offered(SOUTH, 2, NOW - 0.5 * OFFER_SECONDS)
        self.assertEqual(self.passed(queue(ticket(1))), [1])
        self.assertEqual(self.passed(queue(ticket(2)), now=NOW + OFFER_SECONDS), [])

    def test_nothing_goes_while_it_could_begin_here(self):
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(self.passed(queue(ticket(1)), spare=1), [])

    def test_ticket_whose_time_would_end_on_its_way_stays(self):
        self.overflow.offered(SOUTH, 2, NOW)
        late = ticket(1, waited=0.2 - 0.9 * WAY)
        self.assertEqual(self.passed(queue(late, ticket(2, waited=0.1))), [2])

    def test_ticket_without_a_bound_goes(self):
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(self.passed(queue(ticket(1, waited=9.0, patience=0.0))), [1])

    def test_ticket_that_just_came_stays(self):
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(self.passed(queue(ticket(1, waited=0.5 * LEAST_WAITED_SECONDS))), [])

    def test_tickets_stay_in_their_regions(self):
        self.overflow.offered(SOUTH, 9, NOW)
        waiting = queue(ticket(1, regions=("west",)), ticket(2, regions=("west", "south")))
        self.assertEqual(self.passed(waiting), [2])

    def test_workspace_that_is_served_last_goes_first(self):
        waiting = queue(ticket(1, workspace="small"), ticket(2, workspace="large"))
        waiting.charge("large", 100.0)
        self.overflow.offered(SOUTH, 1, NOW)
        self.assertEqual(self.passed(waiting), [2])


if __name__ == "__main__":
    unittest.main()
