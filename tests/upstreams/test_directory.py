"""What is known of replicas: refused records, new lives, cold times, evacuated domains."""

import unittest
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog, Kind
from railsail.store.base import Listing, StoredObject, WatchEvent
from railsail.store.versions import to_version
from railsail.upstreams import refused as module
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.merging import LEAVING_SECONDS
from railsail.upstreams.records import Listed
from railsail.upstreams.signs import Source

SPEC = {"pool": "lm", "endpoint": "127.0.0.1:1", "failure_domain": "a", "state": "live", "slots": 4}

# Now, in seconds since the Unix epoch, and when replicas started, in milliseconds.
WALL = 1_800_000_000.0
BORN = 1_799_999_000_000


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
            lambda news, source: flooded.append(news),
            self.events,
            lambda: self.now,
            lambda: WALL + 2.0,
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


class SignTests(DirectoryTestCase):
    """A replica that said that it leaves does not change its mind while it lives."""

    def sign(self, name: str = "r") -> None:
        self.directory.sign_leaving(name, Source.ANSWER, WALL)

    def leaves(self, directory: UpstreamDirectory | None = None) -> bool:
        return (directory or self.directory).get("r").leaving

    def hear(self, other: UpstreamDirectory, flooded: list) -> None:
        for news in flooded:
            other.received("n", news)

    def test_newer_record_of_the_same_life_does_not_take_it_back(self):
        for born in (0, BORN):
            with self.subTest(born=born):
                self.directory = self.make(self.flooded)
                self.see(1, born=born)
                self.sign()
                self.see(2, born=born, slots=9)
                self.assertTrue(self.leaves())

    def test_entry_that_lapsed_and_came_back_does_not_take_it_back(self):
        self.see(1)
        self.sign()
        self.directory.seen(WatchEvent("upstream", "r", 2, None))
        self.see(3)
        self.assertTrue(self.leaves())

    def test_replica_that_starts_again_under_its_name_gets_work(self):
        self.see(1, born=BORN)
        self.sign()
        self.see(2, born=BORN + 5000)
        self.assertFalse(self.leaves())

    def test_replica_without_a_start_that_has_another_address_gets_work(self):
        self.see(1)
        self.sign()
        self.see(2, endpoint="127.0.0.1:2")
        self.assertFalse(self.leaves())

    def test_record_of_a_former_life_from_an_older_copy_changes_nothing(self):
        told = []
        self.directory.on_rebirth(lambda before: told.append(before.name))
        self.see(1, born=BORN)
        self.see(2, born=BORN + 5000, slots=9)
        self.assertEqual(told, ["r"])
        self.see(to_version(1, 1), born=BORN)
        self.assertEqual((told, self.directory.get("r").slots), (["r"], 9))
        self.see(to_version(1, 2), born=BORN + 5000, slots=8)
        self.assertEqual((told, self.directory.get("r").slots), (["r"], 8))

    def test_replica_that_the_list_called_leaving_too_gets_work_long_after(self):
        self.see(1)
        self.see(2, state="leaving")
        self.sign()
        self.now += LEAVING_SECONDS + 1
        self.see(3)
        self.assertFalse(self.leaves())

    def test_older_copy_does_not_bring_back_what_the_list_called_leaving(self):
        for gone in (False, True):
            with self.subTest(gone=gone):
                self.directory = self.make(self.flooded)
                self.see(1, state="leaving")
                if gone:
                    self.directory.seen(WatchEvent("upstream", "r", 2, None))
                self.see(to_version(1, 1))
                self.assertTrue(self.leaves())

    def test_replica_that_the_list_calls_live_again_in_its_era_gets_work(self):
        self.see(1, state="leaving")
        self.see(2)
        self.assertFalse(self.leaves())

    def test_replica_without_a_start_gets_work_long_after(self):
        self.see(1)
        self.sign()
        self.now += LEAVING_SECONDS + 1
        self.assertTrue(self.leaves())
        self.see(2)
        self.assertFalse(self.leaves())

    def test_clock_of_a_node_that_is_behind_does_not_lose_a_sign(self):
        self.see(1, born=BORN)
        self.directory.sign_leaving("r", Source.ANSWER, BORN / 1000 - 60)
        self.assertTrue(self.leaves())

    def test_peers_hear_of_the_sign_and_of_the_new_life(self):
        self.see(1, born=BORN)
        self.sign()
        other = self.make([])
        self.hear(other, self.flooded)
        self.assertTrue(self.leaves(other))
        self.see(2, born=BORN + 5000)
        self.hear(other, self.flooded[-1:])
        self.assertFalse(self.leaves(other))
        self.assertEqual(other.digest, self.directory.digest)

    def test_late_sign_of_the_life_before_does_not_count(self):
        self.see(1, born=BORN)
        other = self.make(told := [])
        self.hear(other, self.flooded)
        self.see(2, born=BORN + 5000)
        other.sign_leaving("r", Source.MISDIRECTED, WALL + 60)
        self.directory.received("n", told[-1])
        self.assertFalse(self.leaves())

    def test_nodes_that_sign_and_see_a_new_life_in_any_order_agree(self):
        self.see(1, born=BORN)
        other = self.make(told := [])
        self.hear(other, self.flooded)
        self.sign()
        other.seen(WatchEvent("upstream", "r", 2, SPEC | {"born": BORN + 5000}))
        self.hear(other, list(self.flooded))
        self.hear(self.directory, list(told))
        self.hear(other, list(self.flooded))
        self.assertEqual((self.leaves(), self.leaves(other)), (False, False))
        self.assertEqual(other.digest, self.directory.digest)

    def test_sign_is_told_once_however_many_answers_bear_it(self):
        self.see(1)
        before = len(self.flooded)
        for _ in range(100):
            self.sign()
        self.assertEqual(len(self.flooded) - before, 1)

    def test_one_line_tells_source_and_age(self):
        self.see(1)
        self.sign()
        told = [e.facts for e in self.events if e.kind is Kind.UPSTREAM][-1]
        self.assertEqual((told["state"], told["source"]), ("leaving", "answer"))
        self.assertEqual(told["sign_age_ms"], 2000)

    def test_report_that_takes_its_own_word_back_is_believed(self):
        self.see(1)
        self.directory.sign_leaving("r", Source.LOAD, WALL)
        self.directory.withdraw("r", Source.LOAD, WALL + 1)
        self.assertFalse(self.leaves())


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
