"""Versions over the generations of a store, and the detection of its outages."""

import unittest

from railsail.store.outage import OBJECT_EXPIRY_SECONDS, StoreOutage
from railsail.store.versions import era_of, revision_of, to_version


class VersionTests(unittest.TestCase):
    def test_version_of_the_first_generation_is_the_revision(self):
        self.assertEqual([to_version(0, number) for number in (0, 7, 132)], [0, 7, 132])

    def test_version_of_a_later_generation_is_higher_for_any_revision(self):
        self.assertGreater(to_version(1, 14), to_version(0, 132))
        self.assertGreater(to_version(2, 0), to_version(1, 1 << 39))

    def test_generation_and_revision_are_decoded(self):
        version = to_version(3, 99)
        self.assertEqual((era_of(version), revision_of(version)), (3, 99))

    def test_highest_version_fits_into_messages(self):
        self.assertLessEqual(to_version(999_999, (1 << 40) - 1), 1 << 62)


class OutageTests(unittest.TestCase):
    def setUp(self):
        self.outage = StoreOutage()
        self.outage.record_listing(5, 100.0)

    def test_one_failed_watch_is_no_outage(self):
        self.outage.record_failure(100.0, 108.0, max_wait=10.0)
        self.assertFalse(self.outage.record_listing(6, 108.3))

    def test_listing_after_long_failure_may_lack_objects(self):
        self.outage.record_failure(100.0, 108.0, max_wait=10.0)
        self.outage.record_failure(108.2, 109.0, max_wait=0.0)
        self.assertTrue(self.outage.record_listing(6, 108.0 + OBJECT_EXPIRY_SECONDS + 0.1))

    def test_watch_that_timed_out_counts_as_outage_since_its_start(self):
        self.outage.record_failure(100.0, 112.0, max_wait=10.0)
        self.assertTrue(self.outage.record_listing(6, 112.2))

    def test_next_listing_is_complete(self):
        self.outage.record_failure(100.0, 112.0, max_wait=10.0)
        self.outage.record_listing(6, 112.2)
        self.assertFalse(self.outage.record_listing(7, 115.0))

    def test_first_listing_of_a_new_generation_may_lack_objects(self):
        self.assertTrue(self.outage.record_listing(to_version(1, 2), 101.0))
        self.assertFalse(self.outage.record_listing(to_version(1, 9), 104.0))


if __name__ == "__main__":
    unittest.main()
