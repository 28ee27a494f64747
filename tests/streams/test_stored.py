"""The objects in the store that say where streams began, and the lookup of their records."""

import unittest

import msgspec

from railsail.core.logs import configure_logs
from railsail.store.base import StoredObject
from railsail.streams.origins import StreamOrigin
from railsail.streams.recovery import RecoveredRecords
from railsail.streams.stored import (
    KIND,
    PLACES_NAME,
    HostPool,
    PoolVersion,
    read_places,
    to_stored_batch,
    to_stored_places,
)

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


if __name__ == "__main__":
    unittest.main()
