"""A version that appears beside another one is held for a moment, and no other."""

import math
import unittest

from railsail.scheduling.newversions import HOLD_SECONDS, NewVersions


class NewVersionsTests(unittest.TestCase):
    def setUp(self):
        self.versions = NewVersions()

    def held(self, now: float) -> set[str]:
        return {name for name, until in self.versions.held("p").items() if now < until}

    def test_first_version_is_not_held(self):
        self.versions.observe("p", {"v1": 5}, 0.0)
        self.assertEqual(self.versions.held("p"), {})

    def test_later_version_is_held_from_its_first_replica_on(self):
        self.versions.observe("p", {"v1": 5}, 0.0)
        self.versions.observe("p", {"v1": 5, "v2": 9}, 10.0)
        self.versions.observe("p", {"v1": 5, "v2": 9}, 10.5)
        self.assertEqual(self.held(10.9), {"v2"})
        self.assertEqual(self.held(10.0 + HOLD_SECONDS), set())

    def test_version_that_comes_back_is_not_held_again(self):
        self.versions.observe("p", {"v1": 5, "v2": 5}, 0.0)
        self.versions.observe("p", {"v1": 5}, 10.0)
        self.versions.observe("p", {"v1": 5, "v2": 5}, 20.0)
        self.assertEqual(self.held(20.1), set())

    def test_new_process_holds_the_younger_of_two_versions(self):
        self.versions.observe("p", {"v1": 5, "v2": 9}, 0.0)
        self.assertEqual(self.held(0.5), {"v2"})

    def test_version_that_is_all_there_is_serves(self):
        self.versions.observe("p", {"v1": 5}, 0.0)
        self.versions.observe("p", {"v2": 9}, 10.0)
        self.assertEqual(self.versions.held("p"), {})

    def test_pools_are_told_apart(self):
        self.versions.observe("p", {"v1": 5}, 0.0)
        self.versions.observe("q", {"v2": 5}, 0.0)
        self.assertEqual(self.held(0.1), set())
        self.assertEqual(self.versions.held("r"), {})

    def test_oldest_has_no_end_of_a_hold(self):
        self.versions.observe("p", {"v1": 5, "v2": 9}, 0.0)
        self.assertEqual(self.versions.held("p")["v1"], -math.inf)
