"""A version that appears beside another one is held for a moment, and no other version is."""

import unittest

from railsail.scheduling.newversions import HOLD_SECONDS, MAX_VERSIONS, RECENT_SECONDS, NewVersions


class NewVersionsTests(unittest.TestCase):
    def setUp(self):
        self.versions = NewVersions()

    def held_versions(self, now: float) -> set[str]:
        return {name for name, until in self.versions.held("p").items() if now < until}

    def test_first_version_is_not_held(self):
        self.versions.observe("p", {"v1": 0.0}, 0.0)
        self.assertEqual(self.versions.held("p"), {})

    def test_later_version_is_held_from_its_first_replica(self):
        self.versions.observe("p", {"v1": 50.0}, 0.0)
        self.versions.observe("p", {"v1": 60.0, "v2": 0.1}, 10.0)
        self.versions.observe("p", {"v1": 60.5, "v2": 0.6}, 10.5)
        self.assertEqual(self.held_versions(10.9), {"v2"})
        self.assertEqual(self.held_versions(10.0 + HOLD_SECONDS), set())

    def test_version_that_returns_is_not_held_again(self):
        self.versions.observe("p", {"v1": 50.0, "v2": 50.0}, 0.0)
        self.versions.observe("p", {"v1": 60.0}, 10.0)
        self.versions.observe("p", {"v1": 70.0, "v2": 0.1}, 20.0)
        self.assertEqual(self.held_versions(20.1), set())

    def test_first_observation_of_several_versions_holds_none(self):
        self.versions.observe("p", {"v1": 50.0, "v2": 2.0, "v3": 1.0}, 0.0)
        self.assertEqual(self.held_versions(0.1), set())

    def test_version_that_has_run_for_a_while_is_not_held(self):
        self.versions.observe("p", {"v1": 50.0}, 0.0)
        self.versions.observe("p", {"v1": 50.1, "v2": RECENT_SECONDS}, 0.1)
        self.assertEqual(self.held_versions(0.2), set())

    def test_only_version_of_a_pool_is_not_held(self):
        self.versions.observe("p", {"v1": 50.0}, 0.0)
        self.versions.observe("p", {"v2": 0.1}, 10.0)
        self.assertEqual(self.versions.held("p"), {})

    def test_pools_are_independent(self):
        self.versions.observe("p", {"v1": 50.0}, 0.0)
        self.versions.observe("q", {"v2": 0.1}, 0.0)
        self.assertEqual(self.held_versions(0.1), set())
        self.assertEqual(self.versions.held("r"), {})

    def test_number_of_remembered_versions_is_bounded(self):
        for number in range(MAX_VERSIONS + 5):
            self.versions.observe("p", {"old": 50.0, f"v{number}": 0.0}, float(number))
        self.assertLessEqual(len(self.versions.held("p")), MAX_VERSIONS)
