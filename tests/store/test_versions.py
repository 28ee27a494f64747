"""Versions over the eras of a store, and how long it was away."""

import unittest

from railsail.store.absence import LAPSE_SECONDS, StoreAbsence
from railsail.store.versions import era_of, revision_of, to_version


class VersionTests(unittest.TestCase):
    def test_store_that_never_came_back_from_a_copy_gives_its_revisions(self):
        self.assertEqual([to_version(0, number) for number in (0, 7, 132)], [0, 7, 132])

    def test_later_era_is_newer_whatever_the_revision(self):
        self.assertGreater(to_version(1, 14), to_version(0, 132))
        self.assertGreater(to_version(2, 0), to_version(1, 1 << 39))

    def test_parts_read_back(self):
        version = to_version(3, 99)
        self.assertEqual((era_of(version), revision_of(version)), (3, 99))

    def test_versions_fit_into_messages(self):
        self.assertLessEqual(to_version(999_999, (1 << 40) - 1), 1 << 62)


class AbsenceTests(unittest.TestCase):
    def setUp(self):
        self.absence = StoreAbsence()
        self.absence.answered(5, 100.0)

    def test_watch_that_was_cut_is_no_absence(self):
        self.absence.failed(100.0, 108.0, waits=10.0)
        self.assertFalse(self.absence.answered(6, 108.3))

    def test_store_that_failed_for_long_may_lack_objects(self):
        self.absence.failed(100.0, 108.0, waits=10.0)
        self.absence.failed(108.2, 109.0, waits=0.0)
        self.assertTrue(self.absence.answered(6, 108.0 + LAPSE_SECONDS + 0.1))

    def test_watch_that_was_never_answered_tells_a_silent_store(self):
        self.absence.failed(100.0, 112.0, waits=10.0)
        self.assertTrue(self.absence.answered(6, 112.2))

    def test_next_listing_is_settled(self):
        self.absence.failed(100.0, 112.0, waits=10.0)
        self.absence.answered(6, 112.2)
        self.assertFalse(self.absence.answered(7, 115.0))

    def test_store_that_came_back_from_a_copy_may_lack_objects(self):
        self.assertTrue(self.absence.answered(to_version(1, 2), 101.0))
        self.assertFalse(self.absence.answered(to_version(1, 9), 104.0))


if __name__ == "__main__":
    unittest.main()
