"""What is known of replicas: refused records, new lives, cold times, evacuated domains."""

import unittest
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog, Kind
from railsail.store.base import Listing, StoredObject, WatchEvent
from railsail.upstreams import refused as module
from railsail.upstreams.directory import Listed, UpstreamDirectory

SPEC = {"pool": "lm", "endpoint": "127.0.0.1:1", "failure_domain": "a", "state": "live", "slots": 4}


class DirectoryTestCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.events = EventLog("n", Clock())
        self.flooded = []
        self.directory = self.make(self.flooded)
        self.changes = 0
        self.directory.on_change(self.count)

    def make(self, flooded: list) -> UpstreamDirectory:
        return UpstreamDirectory(
            lambda news, source: flooded.append(news), self.events, lambda: self.now
        )

    def count(self) -> None:
        self.changes += 1

    def see(self, version: int, name: str = "r", **changes) -> None:
        self.directory.seen(WatchEvent("upstream", name, version, SPEC | changes))


class RefusedRecordTests(DirectoryTestCase):
    """Others write records too: those that cannot be read name no replica to use."""

    def test_known_replica_whose_record_cannot_be_read_is_not_used(self):
        self.see(1)
        self.directory.seen(WatchEvent("upstream", "r", 2, {}))
        self.assertEqual(self.directory.get("r").listed, Listed.GONE)

    def test_it_is_used_again_when_it_writes_a_good_one(self):
        self.see(1)
        self.directory.seen(WatchEvent("upstream", "r", 2, {}))
        self.see(3)
        self.assertTrue(self.directory.takes_work(self.directory.get("r")))

    def test_bad_record_in_a_list_of_hundreds_hides_no_other(self):
        objects = [StoredObject("upstream", f"r{n}", n + 1, dict(SPEC)) for n in range(300)]
        objects[7] = StoredObject("upstream", "r7", 8, {"endpoint": 7})
        self.directory.listed(Listing(301, tuple(objects)))
        self.assertEqual(len(self.directory.of_pool("lm")), 299)

    def test_refused_record_is_told_of_once(self):
        with mock.patch.object(module, "get_logger") as logger:
            for version in range(1, 50):
                self.directory.seen(WatchEvent("upstream", "x", version, {}))
        self.assertEqual(logger.return_value.warning.call_count, 1)


class RebirthTests(DirectoryTestCase):
    def test_new_start_under_the_same_name_is_told(self):
        told = []
        self.directory.on_rebirth(lambda before: told.append(before.name))
        self.see(1, born=1000)
        self.see(2, born=1000)
        self.see(3, born=2000)
        self.assertEqual(told, ["r"])

    def test_first_record_with_a_start_is_no_new_start(self):
        told = []
        self.directory.on_rebirth(lambda before: told.append(before.name))
        self.see(1)
        self.see(2, born=2000)
        self.assertEqual(told, [])

    def test_peers_hear_of_the_start(self):
        self.see(1, born=1000)
        other = self.make([])
        other.received("n", self.directory.news())
        self.assertEqual(other.get("r").born, 1000)


class ColdTests(DirectoryTestCase):
    def test_cold_time_runs_from_when_the_record_came(self):
        self.see(1, cold=3000)
        self.assertAlmostEqual(self.directory.cold_seconds("r", 3.0), 3.0)
        self.now += 2.5
        self.assertAlmostEqual(self.directory.cold_seconds("r", 3.0), 0.5)

    def test_replica_that_was_always_warm_is_not_cold(self):
        self.see(1)
        self.assertLessEqual(self.directory.cold_seconds("r", 3.0), 0)

    def test_records_that_only_count_the_cold_time_down_change_nothing_else(self):
        self.see(1, cold=3000)
        before = self.changes
        self.see(2, cold=1800)
        self.see(3, cold=0)
        self.assertEqual(self.changes, before)
        self.see(4, cold=3000)
        self.assertEqual(self.changes, before + 1)

    def test_replicas_of_a_domain_that_was_taken_back_are_cold(self):
        self.see(1)
        evacuations = self.directory.evacuations
        evacuations.seen(WatchEvent("evacuation", "a", 2, {}))
        evacuations.seen(WatchEvent("evacuation", "a", 3, None))
        self.now += 1.0
        self.assertAlmostEqual(self.directory.cold_seconds("r", 3.0), 2.0)


class EvacuationTests(DirectoryTestCase):
    def setUp(self):
        super().setUp()
        self.see(1)
        self.evacuations = self.directory.evacuations

    def takes_work(self) -> bool:
        return self.directory.takes_work(self.directory.get("r"))

    def evacuate(self, version: int) -> None:
        self.evacuations.seen(WatchEvent("evacuation", "a", version, {}))

    def test_replicas_of_an_evacuated_domain_get_no_new_work(self):
        before = self.changes
        self.evacuate(2)
        self.assertFalse(self.takes_work())
        self.assertEqual(self.changes, before + 1)
        self.see(3, name="late")
        self.assertFalse(self.directory.takes_work(self.directory.get("late")))

    def test_domain_that_is_taken_back_gets_work_again(self):
        self.evacuate(2)
        self.evacuations.seen(WatchEvent("evacuation", "a", 3, None))
        self.assertTrue(self.takes_work())

    def test_older_list_does_not_end_an_evacuation(self):
        self.evacuate(5)
        self.evacuations.listed(Listing(4, ()))
        self.assertFalse(self.takes_work())
        self.evacuations.listed(Listing(6, ()))
        self.assertTrue(self.takes_work())

    def test_peers_hear_of_it_at_once_and_when_they_ask(self):
        self.evacuate(2)
        for news in (self.flooded[-1], self.directory.news()):
            other = self.make([])
            other.received("n", news)
            self.assertTrue(other.evacuations.active("a"))

    def test_nodes_that_know_other_evacuations_have_other_sums(self):
        before = self.directory.digest
        self.evacuate(2)
        self.assertNotEqual(self.directory.digest, before)

    def test_change_is_told(self):
        self.evacuate(2)
        told = [event.facts["state"] for event in self.events if event.kind is Kind.EVACUATION]
        self.assertEqual(told, ["evacuated"])


if __name__ == "__main__":
    unittest.main()
