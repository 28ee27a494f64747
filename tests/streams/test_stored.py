"""The objects in the store that say where streams began, and the lookup of their records."""

import unittest

import msgspec
from hypothesis import example, given, settings

from railsail.core.logs import configure_logs
from railsail.peers.records import OriginRecord
from railsail.store.base import StoredObject
from railsail.streams.origins import StreamOrigin
from railsail.streams.recovery import RecoveredRecords
from railsail.streams.stored import (
    BATCH_PREFIX,
    KIND,
    PLACES_NAME,
    HostPool,
    PoolVersion,
    pack_keys,
    read_batch,
    read_places,
    to_stored_batch,
    to_stored_places,
)
from tests.anyjson import near

V1 = StreamOrigin("model", "v1")
V2 = StreamOrigin("model", "v2")
PLACES = {HostPool("a.example", "model"), PoolVersion("model", "v1"), PoolVersion("model", "v2")}


def batch(number: int, keys_by_origin: dict) -> StoredObject:
    value = msgspec.to_builtins(to_stored_batch(keys_by_origin))
    return StoredObject(KIND, f"records-7-{number}", number, value)


class StoredTests(unittest.TestCase):
    def setUp(self):
        configure_logs("critical", "test")

    def test_places_are_read_as_they_were_written(self):
        value = msgspec.to_builtins(to_stored_places(PLACES, 3))
        places = read_places(StoredObject(KIND, PLACES_NAME, 1, value))
        self.assertEqual((places.era, places.places), (3, PLACES))

    def test_invalid_places_are_refused(self):
        for value in ({}, {"era": -1}, {"era": 0, "hosts": []}, {"era": 0, "versions": {"m": 1}}):
            self.assertIsNone(read_places(StoredObject(KIND, PLACES_NAME, 1, value)), value)

    def test_stream_is_found_in_any_batch(self):
        records = RecoveredRecords(
            [batch(0, {V1: [1, 2**62 - 1]}), batch(1, {V2: [0, 7], V1: [9]})]
        )
        found = {key: records.find(key) for key in (1, 2**62 - 1, 0, 7, 9, 8)}
        self.assertEqual(found, {1: V1, 2**62 - 1: V1, 0: V2, 7: V2, 9: V1, 8: None})
        self.assertEqual(len(records), 5)

    def test_stream_with_records_of_two_origins_has_none(self):
        records = RecoveredRecords([batch(0, {V1: [1]}), batch(1, {V2: [1]})])
        self.assertIsNone(records.find(1))

    def test_invalid_batch_does_not_hide_others(self):
        groups = [{"pool": "model", "software_version": "v1", "keys": "AAAA"}]
        invalid = [
            StoredObject(KIND, "records-7-8", 8, {"groups": groups}),
            StoredObject(KIND, "records-7-9", 9, {"groups": [{"pool": "model"}]}),
            StoredObject(KIND, PLACES_NAME, 10, {"groups": groups}),
        ]
        records = RecoveredRecords([*invalid, batch(1, {V2: [5]})])
        self.assertEqual((records.find(5), len(records)), (V2, 1))


class OddObjectTests(unittest.TestCase):
    """Another program may have written the objects; peers must be able to read what they hold."""

    def setUp(self):
        configure_logs("critical", "test")

    @settings(max_examples=300)
    @example({"era": 0, "versions": {"lm": ["v" * 257]}})
    @given(near({"era": 0, "hosts": {"h": ["lm"]}, "versions": {"lm": ["v1"]}}))
    def test_places_of_any_form_are_read_or_refused(self, value):
        found = read_places(StoredObject(KIND, PLACES_NAME, 1, value))
        for place in found.places if found is not None else ():
            msgspec.convert((place.pool, getattr(place, "software_version", "")), OriginRecord)

    @settings(max_examples=300)
    @example({"groups": [{"pool": "p" * 257, "software_version": "v1", "keys": ""}]})
    @given(near({"groups": [{"pool": "lm", "software_version": "v1", "keys": pack_keys([1])}]}))
    def test_records_of_any_form_are_read_or_refused(self, value):
        found = read_batch(StoredObject(KIND, f"{BATCH_PREFIX}1", 1, value))
        for origin in found:
            msgspec.convert((origin.pool, origin.software_version), OriginRecord)


if __name__ == "__main__":
    unittest.main()
