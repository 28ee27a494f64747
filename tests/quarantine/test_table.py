"""Which request is blamed for crashes of replicas, and what clears it."""

import random
import unittest

from railsail.quarantine.table import (
    ENDS_TO_HOLD,
    HOLD_SECONDS,
    KEPT_SECONDS,
    MOMENT_SECONDS,
    MOST_ENDS,
    MOST_HOLD_SECONDS,
    MOST_SERVED,
    SERVED_SECONDS,
    QuarantineTable,
    ReplicaEnd,
)

HARMFUL, OTHER, POPULAR = 7, 8, 9


class TableTestCase(unittest.TestCase):
    def setUp(self):
        self.table = QuarantineTable()
        self.now = 1000.0
        self.number = 0

    def end(self, *requests: int, after: float = 1.0) -> None:
        """Record the crash of a replica that ran ``requests``, ``after`` seconds from now."""
        self.now += after
        self.number += 1
        end = ReplicaEnd(f"i-{self.number}", 0, self.now, frozenset(requests))
        self.table.ended(end, self.now)

    def held(self, request: int) -> bool:
        return self.table.standing(request).held_until > self.now


class BlameTests(TableTestCase):
    def test_request_is_quarantined_after_three_crashes(self):
        for number in range(ENDS_TO_HOLD):
            self.assertFalse(self.held(HARMFUL))
            self.end(HARMFUL, 100 + number, 200 + number)
        self.assertTrue(self.held(HARMFUL))
        self.assertFalse(self.held(100))

    def test_crash_reported_several_times_counts_once(self):
        end = ReplicaEnd("i-1", 0, self.now, frozenset([HARMFUL]))
        for _ in range(ENDS_TO_HOLD):
            self.table.ended(end, self.now)
        self.assertEqual(len(self.table.standing(HARMFUL).ends), 1)

    def test_each_restart_of_a_replica_counts_as_a_crash_of_its_own(self):
        for life in range(ENDS_TO_HOLD):
            self.now += 1.0
            self.table.ended(ReplicaEnd("i-1", life + 1, self.now, frozenset([HARMFUL])), self.now)
        self.assertTrue(self.held(HARMFUL))

    def test_popular_request_that_was_just_served_is_not_blamed(self):
        self.table.served(POPULAR, self.now)
        for number in range(ENDS_TO_HOLD + 2):
            self.end(POPULAR, 100 + number)
        self.assertEqual(self.table.standing(POPULAR).ends, ())

    def test_request_that_was_served_too_long_ago_is_blamed(self):
        self.table.served(POPULAR, self.now)
        self.end(POPULAR, after=SERVED_SECONDS + 1.0)
        self.assertEqual(len(self.table.standing(POPULAR).ends), 1)

    def test_served_request_is_cleared_of_all_earlier_crashes(self):
        for _ in range(ENDS_TO_HOLD):
            self.end(POPULAR)
        self.assertTrue(self.held(POPULAR))
        cleared = self.table.served(POPULAR, self.now + 0.1)
        self.assertEqual(len(cleared), ENDS_TO_HOLD)
        self.assertFalse(self.held(POPULAR))

    def test_host_failure_blames_no_request_that_ran_on_some_of_its_replicas_only(self):
        for number in range(10):
            shared = (POPULAR,) if number % 2 else ()
            self.end(100 + number, *shared, after=0.001)
        self.assertEqual(self.table.standing(POPULAR).ends, ())

    def test_request_that_ran_on_all_replicas_of_a_failure_is_blamed(self):
        for number in range(ENDS_TO_HOLD):
            self.end(HARMFUL, 100 + number, after=MOMENT_SECONDS / 10)
        self.assertTrue(self.held(HARMFUL))

    def test_two_harmful_requests_at_the_same_time_are_both_quarantined(self):
        for _ in range(ENDS_TO_HOLD):
            self.end(HARMFUL, after=1.0)
            self.end(OTHER, after=0.01)
        self.assertTrue(self.held(HARMFUL))
        self.assertTrue(self.held(OTHER))


class TimeTests(TableTestCase):
    def test_each_further_crash_doubles_the_quarantine(self):
        for _ in range(ENDS_TO_HOLD):
            self.end(HARMFUL)
        self.now += HOLD_SECONDS
        self.assertFalse(self.held(HARMFUL))
        self.end(HARMFUL)
        self.now += HOLD_SECONDS * 2 - 1.0
        self.assertTrue(self.held(HARMFUL))

    def test_quarantine_has_a_maximum_duration(self):
        for _ in range(20):
            self.end(HARMFUL)
        left = self.table.standing(HARMFUL).held_until - self.now
        self.assertEqual(left, MOST_HOLD_SECONDS)

    def test_old_crashes_are_forgotten(self):
        self.end(HARMFUL)
        self.end(OTHER, after=KEPT_SECONDS + 1.0)
        self.assertFalse(self.table.known(HARMFUL))


class BoundTests(TableTestCase):
    def test_table_is_bounded_and_keeps_the_crashes_of_quarantined_requests(self):
        for _ in range(ENDS_TO_HOLD):
            self.end(HARMFUL)
        self.now += 2 * MOMENT_SECONDS
        for number in range(2 * MOST_ENDS):
            self.end(10_000 + number, after=0.01)
        self.assertLessEqual(len(self.table.ends()), MOST_ENDS)
        self.assertTrue(self.held(HARMFUL))

    def test_full_tables_converge(self):
        """If each accepted what the other had dropped, they would exchange updates for ever."""
        tables = [QuarantineTable(), QuarantineTable()]
        ends = [
            ReplicaEnd(f"i-{n}", 0, self.now + n, frozenset([n])) for n in range(MOST_ENDS + 20)
        ]
        for end in ends:
            tables[0].merge(end, self.now + 500.0)
        for end in reversed(ends):
            tables[1].merge(end, self.now + 500.0)
        self.assertEqual(tables[0].digest, tables[1].digest)
        told = [tables[1].merge(end, self.now + 500.0) for end in tables[0].ends()]
        self.assertEqual([end for end in told if end is not None], [])

    def test_served_requests_are_bounded(self):
        for number in range(MOST_SERVED + 10):
            self.table.served(number + 1, self.now)
        self.assertEqual(len(self.table._served_at), MOST_SERVED)


class MergeTests(unittest.TestCase):
    def test_order_and_repeats_of_updates_do_not_matter(self):
        rng = random.Random(7)
        ends = [
            ReplicaEnd(f"i-{n % 9}", n % 2, 1000.0 + n, frozenset(rng.sample(range(1, 20), 5)))
            for n in range(30)
        ]
        digests = set()
        standings = set()
        for _ in range(5):
            rng.shuffle(ends)
            table = QuarantineTable()
            for end in [*ends, *ends[:10]]:
                table.merge(end, 1100.0)
            table.clear(3, 1100.0)
            digests.add(table.digest)
            standings.add(tuple((s.request, len(s.ends)) for s in table.standings()))
        self.assertEqual((len(digests), len(standings)), (1, 1))

    def test_table_whose_crashes_expired_has_the_digest_of_an_empty_one(self):
        table = QuarantineTable()
        table.merge(ReplicaEnd("i-1", 0, 1000.0, frozenset([HARMFUL])), 1000.0)
        table.clear(HARMFUL, 1001.0)
        self.assertNotEqual(table.digest, 0)
        table.merge(ReplicaEnd("i-2", 0, 9000.0, frozenset()), 9000.0)
        table.merge(ReplicaEnd("i-3", 0, 99_000.0, frozenset()), 99_000.0)
        table._drop(("i-3", 0))
        self.assertEqual(table.digest, 0)


if __name__ == "__main__":
    unittest.main()
