"""Room: reports that lag, failures, learnt limits."""

import unittest

from railsail.scheduling.room import LoadReport, ReplicaRoom


class RoomTests(unittest.TestCase):
    def test_own_calls_are_not_taken_for_foreign_ones(self):
        room = ReplicaRoom("r", 8)
        for _ in range(6):
            room.started(10.0)
        for _ in range(6):
            room.ended(10.5)
        # The report is as old as the time when the six calls ran.
        room.reported(11.0, LoadReport(8, 6, 0, age=0.8))
        self.assertEqual(room.room(11.0), 8)

    def test_foreign_calls_take_room(self):
        room = ReplicaRoom("r", 8)
        room.reported(5.0, LoadReport(8, 6, 1))
        self.assertEqual(room.room(5.0), 1)

    def test_failures_close_and_one_call_tries_again(self):
        room = ReplicaRoom("r", 8)
        room.failed(0.0)
        room.failed(0.0)
        self.assertEqual(room.room(0.1), 0)
        self.assertEqual(room.room(0.6), 1)
        room.started(0.6)
        self.assertEqual(room.room(0.6), 0)
        room.ended(0.7)
        room.succeeded(0.7, 0.1)
        self.assertEqual(room.room(0.7), 8)

    def test_closing_time_doubles(self):
        room = ReplicaRoom("r", 8)
        for moment in (0.0, 0.0, 1.0):
            room.failed(moment)
        self.assertEqual(room.room(1.9), 0)
        self.assertEqual(room.room(2.1), 1)

    def test_limit_is_learnt_where_nothing_is_reported(self):
        room = ReplicaRoom("r", 0)
        for _ in range(200):
            while room.room(0.0):
                room.started(0.0)
            room.ended(0.0)
            room.succeeded(0.0, 0.1)
        grown = room.limit
        self.assertGreater(grown, 8.0)
        room.succeeded(0.0, 10.0)
        self.assertLess(room.limit, grown)


if __name__ == "__main__":
    unittest.main()
