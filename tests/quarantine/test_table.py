"""Which request is blamed for crashes of replicas, and what clears it."""

import random
import unittest

from railsail.quarantine.blame import (
    CRASHES_TO_QUARANTINE,
    INITIAL_QUARANTINE_SECONDS,
    MAX_QUARANTINE_SECONDS,
    SIMULTANEOUS_SECONDS,
)
from railsail.quarantine.crashes import ReplicaCrash
from railsail.quarantine.served import MAX_SERVED, RECENTLY_SERVED_SECONDS
from railsail.quarantine.table import CRASH_RETENTION_SECONDS, MAX_CRASHES, QuarantineTable

HARMFUL, OTHER, POPULAR = 7, 8, 9


class TableTestCase(unittest.TestCase):
    def setUp(self):
        self.table = QuarantineTable()
        self.now = 1000.0
        self.number = 0

    def crash(self, *requests: int, after: float = 1.0) -> None:
        """Record the crash of a replica that ran ``requests``, ``after`` seconds from now."""
        self.now += after
        self.number += 1
        crash = ReplicaCrash(f"i-{self.number}", 0, self.now, frozenset(requests))
        self.table.record_crash(crash, self.now)

    def is_quarantined(self, request: int) -> bool:
        return self.table.status(request).held_until > self.now


class BlameTests(TableTestCase):
    def test_request_is_quarantined_after_three_crashes(self):
        for number in range(CRASHES_TO_QUARANTINE):
            self.assertFalse(self.is_quarantined(HARMFUL))
            self.crash(HARMFUL, 100 + number, 200 + number)
        self.assertTrue(self.is_quarantined(HARMFUL))
        self.assertFalse(self.is_quarantined(100))

    def test_crash_reported_several_times_counts_once(self):
        crash = ReplicaCrash("i-1", 0, self.now, frozenset([HARMFUL]))
        for _ in range(CRASHES_TO_QUARANTINE):
            self.table.record_crash(crash, self.now)
        self.assertEqual(len(self.table.status(HARMFUL).ends), 1)

    def test_each_restart_of_a_replica_counts_as_a_crash_of_its_own(self):
        for start_id in range(CRASHES_TO_QUARANTINE):
            self.now += 1.0
            self.table.record_crash(
                ReplicaCrash("i-1", start_id + 1, self.now, frozenset([HARMFUL])), self.now
            )
        self.assertTrue(self.is_quarantined(HARMFUL))

    def test_popular_request_that_was_just_served_is_not_blamed(self):
        self.table.record_served(POPULAR, self.now)
        for number in range(CRASHES_TO_QUARANTINE + 2):
            self.crash(POPULAR, 100 + number)
        self.assertEqual(self.table.status(POPULAR).ends, ())

    def test_request_that_was_served_too_long_ago_is_blamed(self):
        self.table.record_served(POPULAR, self.now)
        self.crash(POPULAR, after=RECENTLY_SERVED_SECONDS + 1.0)
        self.assertEqual(len(self.table.status(POPULAR).ends), 1)

    def test_served_request_is_cleared_of_all_earlier_crashes(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(POPULAR)
        self.assertTrue(self.is_quarantined(POPULAR))
        cleared = self.table.record_served(POPULAR, self.now + 0.1)
        self.assertEqual(len(cleared), CRASHES_TO_QUARANTINE)
        self.assertFalse(self.is_quarantined(POPULAR))

    def test_host_failure_blames_no_request_that_ran_on_some_of_its_replicas_only(self):
        for number in range(10):
            shared = (POPULAR,) if number % 2 else ()
            self.crash(100 + number, *shared, after=0.001)
        self.assertEqual(self.table.status(POPULAR).ends, ())

    def test_request_that_ran_on_all_replicas_of_a_failure_is_blamed(self):
        for number in range(CRASHES_TO_QUARANTINE):
            self.crash(HARMFUL, 100 + number, after=SIMULTANEOUS_SECONDS / 10)
        self.assertTrue(self.is_quarantined(HARMFUL))

    def test_two_harmful_requests_at_the_same_time_are_both_quarantined(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(HARMFUL, after=1.0)
            self.crash(OTHER, after=0.01)
        self.assertTrue(self.is_quarantined(HARMFUL))
        self.assertTrue(self.is_quarantined(OTHER))


class TimeTests(TableTestCase):
    def test_each_further_crash_doubles_the_quarantine(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(HARMFUL)
        self.now += INITIAL_QUARANTINE_SECONDS
        self.assertFalse(self.is_quarantined(HARMFUL))
        self.crash(HARMFUL)
        self.now += INITIAL_QUARANTINE_SECONDS * 2 - 1.0
        self.assertTrue(self.is_quarantined(HARMFUL))

    def test_quarantine_has_a_maximum_duration(self):
        for _ in range(20):
            self.crash(HARMFUL)
        remaining_seconds = self.table.status(HARMFUL).held_until - self.now
        self.assertEqual(remaining_seconds, MAX_QUARANTINE_SECONDS)

    def test_old_crashes_are_forgotten(self):
        self.crash(HARMFUL)
        self.crash(OTHER, after=CRASH_RETENTION_SECONDS + 1.0)
        self.assertFalse(self.table.has_crashes(HARMFUL))


class BoundTests(TableTestCase):
    def test_table_is_bounded_and_keeps_the_crashes_of_quarantined_requests(self):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(HARMFUL)
        self.now += 2 * SIMULTANEOUS_SECONDS
        for number in range(2 * MAX_CRASHES):
            self.crash(10_000 + number, after=0.01)
        self.assertLessEqual(len(self.table.crashes()), MAX_CRASHES)
        self.assertTrue(self.is_quarantined(HARMFUL))

    def test_full_tables_converge(self):
        """If each accepted what the other had dropped, they would exchange updates for ever."""
        tables = [QuarantineTable(), QuarantineTable()]
        crashes = [
            ReplicaCrash(f"i-{n}", 0, self.now + n, frozenset([n])) for n in range(MAX_CRASHES + 20)
        ]
        for crash in crashes:
            tables[0].merge(crash, self.now + 500.0)
        for crash in reversed(crashes):
            tables[1].merge(crash, self.now + 500.0)
        self.assertEqual(tables[0].digest, tables[1].digest)
        merged = [tables[1].merge(crash, self.now + 500.0) for crash in tables[0].crashes()]
        self.assertEqual([crash for crash in merged if crash is not None], [])

    def test_served_requests_are_bounded(self):
        for number in range(MAX_SERVED + 10):
            self.table.record_served(number + 1, self.now)
        self.assertEqual(len(self.table._served_requests), MAX_SERVED)


class MergeTests(unittest.TestCase):
    def test_order_and_repeats_of_updates_do_not_matter(self):
        rng = random.Random(7)
        crashes = [
            ReplicaCrash(f"i-{n % 9}", n % 2, 1000.0 + n, frozenset(rng.sample(range(1, 20), 5)))
            for n in range(30)
        ]
        digests = set()
        suspects = set()
        for _ in range(5):
            rng.shuffle(crashes)
            table = QuarantineTable()
            for crash in [*crashes, *crashes[:10]]:
                table.merge(crash, 1100.0)
            table.clear(3, 1100.0)
            digests.add(table.digest)
            suspects.add(tuple((s.fingerprint, len(s.ends)) for s in table.suspects()))
        self.assertEqual((len(digests), len(suspects)), (1, 1))

    def test_table_whose_crashes_expired_has_the_digest_of_an_empty_one(self):
        table = QuarantineTable()
        table.merge(ReplicaCrash("i-1", 0, 1000.0, frozenset([HARMFUL])), 1000.0)
        table.clear(HARMFUL, 1001.0)
        self.assertNotEqual(table.digest, 0)
        table.merge(ReplicaCrash("i-2", 0, 9000.0, frozenset()), 9000.0)
        table.merge(ReplicaCrash("i-3", 0, 99_000.0, frozenset()), 99_000.0)
        table._drop(("i-3", 0))
        self.assertEqual(table.digest, 0)


if __name__ == "__main__":
    unittest.main()
