"""Which parts of prompts are blamed for crashes of replicas, and what clears them."""

import unittest

from railsail.core.fingerprints import part_fingerprint
from railsail.quarantine.blame import (
    CRASHES_AMONG_OTHERS,
    CRASHES_TO_QUARANTINE,
    HOST_FAILURE_CRASHES,
    INITIAL_QUARANTINE_SECONDS,
    SIMULTANEOUS_SECONDS,
)
from railsail.quarantine.served import MAX_SERVED_PARTS
from railsail.quarantine.table import MAX_REQUESTS_PER_CRASH
from tests.quarantine.test_table import TableTestCase

BAD, OTHER_BAD, SHARED, NEW = (part_fingerprint(name) for name in ("bad", "bad2", "c0de", "beef"))
AT_ONCE = SIMULTANEOUS_SECONDS / 10


class PartTestCase(TableTestCase):
    def crash_times(self, count: int, *parts: int, after: float = 1.0) -> None:
        """Record ``count`` crashes under ``parts``, each under other requests."""
        for _ in range(count):
            self.crash(100 + self.number, *parts, after=after)

    def serve(self, part: int) -> None:
        self.now += AT_ONCE
        self.table.record_served(part, self.now)

    def is_doubtful(self, part: int) -> bool:
        return self.table.is_doubtful(self.table.status(part), self.now)


class BlameTests(PartTestCase):
    def test_part_of_different_requests_is_never_quarantined(self):
        self.crash_times(CRASHES_TO_QUARANTINE - 1, BAD)
        self.assertFalse(self.is_quarantined(BAD))
        self.crash_times(1, BAD)
        self.assertTrue(self.is_quarantined(BAD))

    def test_part_that_crashes_replicas_among_other_crashes_is_never_quarantined(self):
        for _ in range(CRASHES_AMONG_OTHERS - 1):
            self.crash_times(1, BAD)
            self.crash_times(1)
        self.assertFalse(self.is_quarantined(BAD))
        self.crash_times(1, BAD)
        self.assertTrue(self.is_quarantined(BAD))

    def test_later_crash_without_the_part_ends_its_quarantine(self):
        self.crash_times(CRASHES_TO_QUARANTINE, BAD)
        self.crash_times(5)
        self.assertTrue(self.is_quarantined(BAD))

    def test_two_bad_parts_in_turn_excuse_each_other(self):
        for _ in range(CRASHES_AMONG_OTHERS):
            self.crash_times(1, BAD, after=0.5)
            self.crash_times(1, OTHER_BAD, after=0.5)
        self.assertTrue(self.is_quarantined(BAD))
        self.assertTrue(self.is_quarantined(OTHER_BAD))

    def test_two_bad_parts_at_the_same_time_are_taken_for_a_host_failure(self):
        for _ in range(CRASHES_AMONG_OTHERS):
            self.crash_times(1, BAD, after=1.0)
            self.crash_times(1, BAD, after=AT_ONCE)
            self.crash_times(2, OTHER_BAD, after=AT_ONCE)
        self.assertTrue(self.is_quarantined(BAD))
        self.assertTrue(self.is_quarantined(OTHER_BAD))

    def test_burst_that_takes_down_all_replicas_is_taken_for_a_host_failure(self):
        self.crash_times(2 * HOST_FAILURE_CRASHES, SHARED, BAD, after=AT_ONCE)
        self.assertTrue(self.is_quarantined(BAD))

    def test_host_failure_is_certain_to_be_due_to_a_part(self):
        self.crash_times(4 * HOST_FAILURE_CRASHES, NEW, after=AT_ONCE / 10)
        self.assertTrue(self.is_doubtful(NEW))
        self.crash_times(1, NEW)
        self.assertFalse(self.is_doubtful(NEW))

    def test_host_failure_lengthens_the_quarantine(self):
        self.crash_times(4 * HOST_FAILURE_CRASHES, NEW, after=AT_ONCE / 10)
        self.now += INITIAL_QUARANTINE_SECONDS
        self.assertFalse(self.is_quarantined(NEW))

    def test_parts_are_left_out_of_a_crash_with_many_requests(self):
        requests = range(1000, 1000 + 2 * MAX_REQUESTS_PER_CRASH)
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(BAD, *requests)
        self.assertTrue(self.is_quarantined(BAD))


class ServedTests(PartTestCase):
    def test_frequent_part_is_blamed_for_replicas_that_crash_by_themselves(self):
        for _ in range(3 * CRASHES_AMONG_OTHERS):
            self.serve(SHARED)
            self.crash_times(1, SHARED)
        self.assertEqual(self.table.status(SHARED).ends, ())
        self.assertFalse(self.table.has_crashes(SHARED))

    def test_frequent_part_is_blamed_for_all_replicas_of_a_host(self):
        self.serve(SHARED)
        self.crash_times(4 * HOST_FAILURE_CRASHES, SHARED, after=AT_ONCE / 10)
        self.assertFalse(self.table.has_crashes(SHARED))

    def test_part_that_was_served_before_it_turned_bad_is_never_quarantined(self):
        self.serve(BAD)
        self.crash_times(CRASHES_TO_QUARANTINE + 1, BAD)
        self.assertTrue(self.is_quarantined(BAD))

    def test_quarantined_part_that_is_served_stays_quarantined(self):
        self.crash_times(CRASHES_TO_QUARANTINE, NEW)
        self.now += AT_ONCE
        cleared = self.table.record_served(NEW, self.now)
        self.assertEqual(len(cleared), CRASHES_TO_QUARANTINE)
        self.assertFalse(self.is_quarantined(NEW))
        self.crash_times(CRASHES_TO_QUARANTINE, NEW)
        self.assertFalse(self.is_quarantined(NEW))

    def test_crashes_before_a_part_was_served_count_after_it(self):
        self.crash_times(1, NEW)
        self.serve(NEW)
        self.crash_times(CRASHES_TO_QUARANTINE, NEW)
        self.assertFalse(self.is_quarantined(NEW))

    def test_served_parts_are_bounded(self):
        for number in range(MAX_SERVED_PARTS + 10):
            self.table.record_served(part_fingerprint(f"{number:x}"), self.now)
        self.assertEqual(len(self.table._served_parts), MAX_SERVED_PARTS)


class DoubtTests(PartTestCase):
    def test_part_that_always_came_with_the_bad_one_is_taken_for_certain(self):
        self.crash_times(CRASHES_TO_QUARANTINE, BAD, NEW)
        self.assertTrue(self.is_doubtful(BAD))
        self.assertTrue(self.is_doubtful(NEW))
        self.crash_times(1, BAD)
        self.assertFalse(self.is_doubtful(BAD))
        self.assertTrue(self.is_doubtful(NEW))

    def test_part_beside_two_bad_ones_is_taken_for_certain(self):
        for _ in range(CRASHES_AMONG_OTHERS):
            self.crash_times(1, BAD, NEW)
            self.crash_times(1, OTHER_BAD, NEW)
        self.assertTrue(self.is_doubtful(NEW))
        self.crash_times(1, BAD)
        self.crash_times(1, OTHER_BAD)
        self.assertFalse(self.is_doubtful(BAD))
        self.assertFalse(self.is_doubtful(OTHER_BAD))
        self.assertTrue(self.is_doubtful(NEW))

    def test_part_that_is_alone_is_taken_for_doubtful(self):
        self.crash_times(CRASHES_TO_QUARANTINE, BAD)
        self.assertFalse(self.is_doubtful(BAD))


if __name__ == "__main__":
    unittest.main()
