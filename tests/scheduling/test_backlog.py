"""The backlog of a cell tells whether waiting tickets could be placed."""

import random
import unittest

from railsail.scheduling.dispatcher import CellDispatcher
from tests.scheduling.test_fairqueue import ticket

SLOTS = 2


def prompt(number: int, **more) -> object:
    values = {"prompt_tokens": 40_000, "objective": 0.4, "patience": 0.08, **more}
    return ticket(number, **values)


class BacklogTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = CellDispatcher(lambda name: 1.0, random.Random(1))
        self.dispatcher.set_replicas({"r0": SLOTS})

    def test_empty_cell(self):
        backlog = self.dispatcher.backlog(0.0)
        self.assertEqual((backlog.waiting, backlog.free_slots), (0, SLOTS))

    def test_no_waiting_ticket_can_be_placed_behind_pending_prefill(self):
        for number in range(4):
            self.dispatcher.offer(prompt(number), 0.0)
        backlog = self.dispatcher.backlog(0.0)
        self.assertEqual((backlog.waiting, backlog.examined, backlog.placeable), (3, 3, 0))
        self.assertEqual(backlog.free_slots, SLOTS - 1)
        self.assertGreater(backlog.unread_ms, 300)

    def test_waiting_ticket_that_could_be_placed_is_counted(self):
        self.dispatcher.offer(prompt(1), 0.0)
        self.dispatcher.offer(prompt(2), 0.0)
        self.dispatcher.offer(prompt(3, prompt_tokens=0), 0.0)
        self.assertEqual(self.dispatcher.backlog(0.0).placeable, 1)


if __name__ == "__main__":
    unittest.main()
