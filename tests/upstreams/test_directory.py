"""The directory of replicas: invalid records, restarts, signals, cold times, evacuations."""

import unittest
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog, Kind
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.store.base import Listing, StoredObject, WatchEvent
from railsail.store.versions import to_version
from railsail.upstreams import invalidrecords as module
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.merging import MAX_LEAVING_SECONDS
from railsail.upstreams.records import Listed, parse_record
from railsail.upstreams.signs import Source

SPEC = {"pool": "lm", "endpoint": "127.0.0.1:1", "failure_domain": "a", "state": "live", "slots": 4}

# The current time in seconds, and the start of a replica in milliseconds, since the Unix epoch.
WALL = 1_800_000_000.0
BORN = 1_799_999_000_000


class DirectoryTestCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.events = EventLog("n", Clock())
        self.broadcasts = []
        self.directory = self.make(self.broadcasts)
        self.changes = 0
        self.directory.on_change(self.count)

    def make(self, broadcasts: list) -> UpstreamDirectory:
        return UpstreamDirectory(
            lambda update, source: broadcasts.append(update),
            self.events,
            lambda: self.now,
            lambda: WALL + 2.0,
        )

    def count(self) -> None:
        self.changes += 1

    def receive_record(self, version: int, name: str = "r", **changes) -> None:
        self.directory.seen(WatchEvent("upstream", name, version, SPEC | changes))


class InvalidRecordTests(DirectoryTestCase):
    """Programs other than replicas may write records, which may be invalid."""

    def test_known_replica_with_an_invalid_record_is_gone(self):
        self.receive_record(1)
        self.directory.seen(WatchEvent("upstream", "r", 2, {}))
        self.assertEqual(self.directory.get("r").listed, Listed.GONE)

    def test_replica_gets_work_again_after_a_valid_record(self):
        self.receive_record(1)
        self.directory.seen(WatchEvent("upstream", "r", 2, {}))
        self.receive_record(3)
        self.assertTrue(self.directory.takes_work(self.directory.get("r")))

    def test_invalid_record_in_a_list_does_not_hide_the_others(self):
        objects = [StoredObject("upstream", f"r{n}", n + 1, dict(SPEC)) for n in range(300)]
        objects[7] = StoredObject("upstream", "r7", 8, {"endpoint": 7})
        self.directory.listed(Listing(301, tuple(objects)))
        self.assertEqual(len(self.directory.of_pool("lm")), 299)

    def test_invalid_record_is_logged_once(self):
        with mock.patch.object(module, "get_logger") as logger:
            for version in range(1, 50):
                self.directory.seen(WatchEvent("upstream", "x", version, {}))
        self.assertEqual(logger.return_value.warning.call_count, 1)


class LongReasonTests(unittest.TestCase):
    def test_reasons_that_quote_long_values_take_little_memory(self):
        # A thousand names are remembered, and a value may have a megabyte.
        with mock.patch.object(module, "get_logger") as logger:
            records = module.InvalidRecords()
            for _ in range(2):
                value = SPEC | {"endpoint": "x" * 100_000}
                parse_record(WatchEvent("upstream", "r", 1, value), records)
        (call,) = logger.return_value.warning.call_args_list
        self.assertLess(len(call.kwargs["reason"]), 1000)
        self.assertLess(len(records._logged["r"]), 1000)


class PeerBoundsTests(DirectoryTestCase):
    """A record that peers refuse would hide those that are in the same message."""

    def test_evacuation_that_peers_would_refuse_hides_no_record(self):
        self.receive_record(1)
        names = ("a", "z" * 257, "b")
        objects = [StoredObject("evacuation", name, 2, {}) for name in names]
        self.directory.evacuations.listed(Listing(3, tuple(objects)))
        self.directory.evacuations.seen(WatchEvent("evacuation", "y" * 300, 4, {}))
        self.directory.evacuations.seen(WatchEvent("evacuation", "c", 5, {}))
        for update in (*self.broadcasts, self.directory.news()):
            decode_frame(join_frame(1, [encode_message(update)]))
        domains = [record.domain for record in self.directory.news().domains]
        self.assertEqual(domains, ["a", "b", "c"])


class RestartTests(DirectoryTestCase):
    def test_listeners_are_notified_of_a_restart(self):
        restarted = []
        self.directory.on_rebirth(lambda former: restarted.append(former.name))
        self.receive_record(1, born=1000)
        self.receive_record(2, born=1000)
        self.receive_record(3, born=2000)
        self.assertEqual(restarted, ["r"])

    def test_first_record_with_a_start_time_is_no_restart(self):
        restarted = []
        self.directory.on_rebirth(lambda former: restarted.append(former.name))
        self.receive_record(1)
        self.receive_record(2, born=2000)
        self.assertEqual(restarted, [])

    def test_peers_receive_the_start_time(self):
        self.receive_record(1, born=1000)
        other = self.make([])
        other.received("n", self.directory.news())
        self.assertEqual(other.get("r").born, 1000)


class SignalTests(DirectoryTestCase):
    """A replica that signalled that it is leaving stays so until it restarts."""

    def signal_leaving(self, name: str = "r") -> None:
        self.directory.sign_leaving(name, Source.ANSWER, WALL)

    def is_leaving(self, directory: UpstreamDirectory | None = None) -> bool:
        return (directory or self.directory).get("r").leaving

    def receive(self, other: UpstreamDirectory, broadcasts: list) -> None:
        for update in broadcasts:
            other.received("n", update)

    def test_newer_record_without_a_restart_does_not_clear_the_signal(self):
        for born in (0, BORN):
            with self.subTest(born=born):
                self.directory = self.make(self.broadcasts)
                self.receive_record(1, born=born)
                self.signal_leaving()
                self.receive_record(2, born=born, slots=9)
                self.assertTrue(self.is_leaving())

    def test_record_that_expired_and_was_written_again_does_not_clear_the_signal(self):
        self.receive_record(1)
        self.signal_leaving()
        self.directory.seen(WatchEvent("upstream", "r", 2, None))
        self.receive_record(3)
        self.assertTrue(self.is_leaving())

    def test_replica_that_restarts_gets_work(self):
        self.receive_record(1, born=BORN)
        self.signal_leaving()
        self.receive_record(2, born=BORN + 5000)
        self.assertFalse(self.is_leaving())

    def test_replica_without_a_start_time_gets_work_at_another_endpoint(self):
        self.receive_record(1)
        self.signal_leaving()
        self.receive_record(2, endpoint="127.0.0.1:2")
        self.assertFalse(self.is_leaving())

    def test_record_from_before_a_restart_in_a_restored_store_is_ignored(self):
        restarted = []
        self.directory.on_rebirth(lambda former: restarted.append(former.name))
        self.receive_record(1, born=BORN)
        self.receive_record(2, born=BORN + 5000, slots=9)
        self.assertEqual(restarted, ["r"])
        self.receive_record(to_version(1, 1), born=BORN)
        self.assertEqual((restarted, self.directory.get("r").slots), (["r"], 9))
        self.receive_record(to_version(1, 2), born=BORN + 5000, slots=8)
        self.assertEqual((restarted, self.directory.get("r").slots), (["r"], 8))

    def test_replica_that_was_also_listed_as_leaving_gets_work_long_after(self):
        self.receive_record(1)
        self.receive_record(2, state="leaving")
        self.signal_leaving()
        self.now += MAX_LEAVING_SECONDS + 1
        self.receive_record(3)
        self.assertFalse(self.is_leaving())

    def test_restored_store_does_not_bring_a_leaving_replica_back(self):
        for gone in (False, True):
            with self.subTest(gone=gone):
                self.directory = self.make(self.broadcasts)
                self.receive_record(1, state="leaving")
                if gone:
                    self.directory.seen(WatchEvent("upstream", "r", 2, None))
                self.receive_record(to_version(1, 1))
                self.assertTrue(self.is_leaving())

    def test_replica_listed_as_live_again_without_a_restored_store_gets_work(self):
        self.receive_record(1, state="leaving")
        self.receive_record(2)
        self.assertFalse(self.is_leaving())

    def test_replica_without_a_start_time_gets_work_long_after(self):
        self.receive_record(1)
        self.signal_leaving()
        self.now += MAX_LEAVING_SECONDS + 1
        self.assertTrue(self.is_leaving())
        self.receive_record(2)
        self.assertFalse(self.is_leaving())

    def test_signal_from_a_node_whose_clock_is_behind_counts(self):
        self.receive_record(1, born=BORN)
        self.directory.sign_leaving("r", Source.ANSWER, BORN / 1000 - 60)
        self.assertTrue(self.is_leaving())

    def test_peers_receive_the_signal_and_the_restart(self):
        self.receive_record(1, born=BORN)
        self.signal_leaving()
        other = self.make([])
        self.receive(other, self.broadcasts)
        self.assertTrue(self.is_leaving(other))
        self.receive_record(2, born=BORN + 5000)
        self.receive(other, self.broadcasts[-1:])
        self.assertFalse(self.is_leaving(other))
        self.assertEqual(other.digest, self.directory.digest)

    def test_late_signal_from_before_a_restart_does_not_count(self):
        self.receive_record(1, born=BORN)
        other = self.make(replies := [])
        self.receive(other, self.broadcasts)
        self.receive_record(2, born=BORN + 5000)
        other.sign_leaving("r", Source.MISDIRECTED, WALL + 60)
        self.directory.received("n", replies[-1])
        self.assertFalse(self.is_leaving())

    def test_nodes_that_receive_a_signal_and_a_restart_in_any_order_agree(self):
        self.receive_record(1, born=BORN)
        other = self.make(replies := [])
        self.receive(other, self.broadcasts)
        self.signal_leaving()
        other.seen(WatchEvent("upstream", "r", 2, SPEC | {"born": BORN + 5000}))
        self.receive(other, list(self.broadcasts))
        self.receive(self.directory, list(replies))
        self.receive(other, list(self.broadcasts))
        self.assertEqual((self.is_leaving(), self.is_leaving(other)), (False, False))
        self.assertEqual(other.digest, self.directory.digest)

    def test_signal_in_many_answers_is_broadcast_once(self):
        self.receive_record(1)
        before = len(self.broadcasts)
        for _ in range(100):
            self.signal_leaving()
        self.assertEqual(len(self.broadcasts) - before, 1)

    def test_event_has_source_and_age_of_the_signal(self):
        self.receive_record(1)
        self.signal_leaving()
        facts = [e.facts for e in self.events if e.kind is Kind.UPSTREAM][-1]
        self.assertEqual((facts["state"], facts["source"]), ("leaving", "answer"))
        self.assertEqual(facts["sign_age_ms"], 2000)

    def test_load_report_can_clear_its_own_signal(self):
        self.receive_record(1)
        self.directory.sign_leaving("r", Source.LOAD, WALL)
        self.directory.withdraw("r", Source.LOAD, WALL + 1)
        self.assertFalse(self.is_leaving())


class ColdTests(DirectoryTestCase):
    def test_cold_time_counts_from_when_the_record_was_received(self):
        self.receive_record(1, cold=3000)
        self.assertAlmostEqual(self.directory.cold_seconds("r", 3.0), 3.0)
        self.now += 2.5
        self.assertAlmostEqual(self.directory.cold_seconds("r", 3.0), 0.5)

    def test_replica_without_a_cold_time_is_not_cold(self):
        self.receive_record(1)
        self.assertLessEqual(self.directory.cold_seconds("r", 3.0), 0)

    def test_listeners_are_not_notified_of_a_cold_time_that_counts_down(self):
        self.receive_record(1, cold=3000)
        before = self.changes
        self.receive_record(2, cold=1800)
        self.receive_record(3, cold=0)
        self.assertEqual(self.changes, before)
        self.receive_record(4, cold=3000)
        self.assertEqual(self.changes, before + 1)

    def test_replicas_are_cold_after_an_evacuation(self):
        self.receive_record(1)
        evacuations = self.directory.evacuations
        evacuations.seen(WatchEvent("evacuation", "a", 2, {}))
        evacuations.seen(WatchEvent("evacuation", "a", 3, None))
        self.now += 1.0
        self.assertAlmostEqual(self.directory.cold_seconds("r", 3.0), 2.0)


class EvacuationTests(DirectoryTestCase):
    def setUp(self):
        super().setUp()
        self.receive_record(1)
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
        self.receive_record(3, name="late")
        self.assertFalse(self.directory.takes_work(self.directory.get("late")))

    def test_replicas_get_work_again_after_an_evacuation(self):
        self.evacuate(2)
        self.evacuations.seen(WatchEvent("evacuation", "a", 3, None))
        self.assertTrue(self.takes_work())

    def test_older_list_does_not_end_an_evacuation(self):
        self.evacuate(5)
        self.evacuations.listed(Listing(4, ()))
        self.assertFalse(self.takes_work())
        self.evacuations.listed(Listing(6, ()))
        self.assertTrue(self.takes_work())

    def test_peers_receive_an_evacuation_at_once_and_on_request(self):
        self.evacuate(2)
        for update in (self.broadcasts[-1], self.directory.news()):
            other = self.make([])
            other.received("n", update)
            self.assertTrue(other.evacuations.active("a"))

    def test_digest_covers_evacuations(self):
        before = self.directory.digest
        self.evacuate(2)
        self.assertNotEqual(self.directory.digest, before)

    def test_evacuation_is_logged(self):
        self.evacuate(2)
        states = [event.facts["state"] for event in self.events if event.kind is Kind.EVACUATION]
        self.assertEqual(states, ["evacuated"])


if __name__ == "__main__":
    unittest.main()
