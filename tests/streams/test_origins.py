"""Records of where streams began are kept by stream, and for a bounded time."""

import unittest
from unittest import mock

from railsail.streams import origins
from railsail.streams.origins import OriginTable, StreamOrigin, stream_key

V1, V2 = StreamOrigin("model", "v1"), StreamOrigin("model", "v2")
KEEP = 30.0


class KeyTests(unittest.TestCase):
    def test_request_of_another_workspace_has_another_key(self):
        keys = {stream_key("one", "r-1"), stream_key("two", "r-1"), stream_key("one", "r-2")}
        self.assertEqual(len(keys), 3)
        self.assertTrue(all(0 < key < 1 << 62 for key in keys))


class TableTests(unittest.TestCase):
    def setUp(self):
        self.table = OriginTable()

    def find(self, key: int, now: float) -> StreamOrigin | None:
        record = self.table.find(key, now)
        return record.origin if record is not None else None

    def test_record_is_kept_until_it_expires(self):
        self.table.record(1, V1, KEEP, 0.0)
        self.assertEqual(self.find(1, KEEP - 1), V1)
        self.assertIsNone(self.find(1, KEEP))

    def test_stream_keeps_its_origin_and_is_kept_longer_when_it_is_resumed(self):
        self.table.record(1, V1, KEEP, 0.0)
        self.table.record(1, V2, KEEP, 20.0)
        self.assertEqual(self.find(1, 20.0 + KEEP - 1), V1)
        self.assertEqual(self.table.find(1, 21.0).recorded_at, 0.0)

    def test_id_that_is_used_again_later_has_its_new_origin(self):
        self.table.record(1, V1, KEEP, 0.0)
        self.table.record(1, V2, KEEP, KEEP)
        self.assertEqual(self.find(1, KEEP + 1), V2)

    def test_number_of_records_is_bounded(self):
        with mock.patch.object(origins, "MAX_RECORDS", 3):
            for key in range(5):
                self.table.record(key, V1, KEEP, float(key))
        self.assertEqual(len(self.table), 3)
        self.assertIsNone(self.find(1, 5.0))
        self.assertEqual(self.find(2, 5.0), V1)

    def test_expired_records_are_dropped(self):
        for key in range(5):
            self.table.record(key, V1, KEEP, 0.0)
        self.table.record(9, V1, KEEP, KEEP + 1)
        self.assertEqual(len(self.table), 1)


if __name__ == "__main__":
    unittest.main()
