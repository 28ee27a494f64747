"""Records of streams are written in batches, and none is lost while the store can be written."""

import random
import unittest

from railsail.core.clock import ManualClock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import configure_logs
from railsail.core.metrics import Metrics
from railsail.streams import archive
from railsail.streams.archive import RecordArchive
from railsail.streams.origins import StreamOrigin
from railsail.streams.recovery import RecoveredRecords
from tests.rollouts.base import FakeStore

V1 = StreamOrigin("model", "v1")
V2 = StreamOrigin("model", "v2")
WINDOW = 30.0


class DeletingStore(FakeStore):
    """A store whose objects can be deleted.

    With ``refuses_missing`` a write to an object that is gone fails as at the platform's store.
    """

    refuses_missing = False

    async def put(self, kind: str, name: str, value: dict, expected: int) -> int:
        if self.refuses_missing and expected and (kind, name) not in self.objects:
            raise StoreUnavailable("404")
        return await super().put(kind, name, value, expected)

    async def delete(self, kind: str, name: str, expected: int) -> None:
        if self.objects[(kind, name)].version != expected:
            raise StoreConflict("another version")
        del self.objects[(kind, name)]


class ArchiveTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        configure_logs("critical", "test")
        self.clock = ManualClock(1000.0)
        self.store = DeletingStore()
        self.archive = self.archive_of(1)

    def archive_of(self, seed: int) -> RecordArchive:
        return RecordArchive(
            self.store, lambda: 1, lambda: WINDOW, self.clock, random.Random(seed), Metrics()
        )

    def found(self, *keys: int) -> list[StreamOrigin | None]:
        records = RecoveredRecords(self.store.objects.values())
        return [records.find(key) for key in keys]

    async def test_all_that_is_added_takes_one_write(self):
        for key in range(100):
            self.archive.add(key, V1 if key % 2 else V2)
        await self.archive.update()
        await self.archive.update()
        self.assertEqual(self.found(0, 1, 99, 100), [V2, V1, V1, None])
        self.assertEqual(self.store.writes, 1)

    async def test_nodes_that_start_together_write_objects_of_their_own(self):
        for seed in range(3):
            archive_of_node = self.archive_of(seed)
            archive_of_node.add(seed, V1)
            await archive_of_node.update()
        self.assertEqual(self.found(0, 1, 2), [V1, V1, V1])

    async def test_records_are_kept_for_the_window(self):
        self.archive.add(1, V1)
        await self.archive.update()
        self.clock.advance(WINDOW - 1)
        self.archive.add(2, V2)
        await self.archive.update()
        self.assertEqual(self.found(1, 2), [V1, V2])

    async def test_object_that_has_expired_is_written_again(self):
        for key in range(5):
            self.archive.add(key, V1)
            await self.archive.update()
            self.clock.advance(WINDOW / 2)
        self.assertEqual(len(self.store.objects), 2)
        self.assertEqual(self.found(3, 4), [V1, V1])

    async def test_objects_that_have_expired_are_deleted_once_nothing_is_added(self):
        for key in range(3):
            self.archive.add(key, V1)
            await self.archive.update()
        self.clock.advance(WINDOW)
        for _ in range(3):
            await self.archive.update()
        self.assertEqual(self.store.objects, {})

    async def test_records_wait_while_the_store_cannot_be_written(self):
        self.archive.add(1, V1)
        self.store.holds_back = True
        with self.assertRaises(StoreUnavailable):
            await self.archive.update()
        self.archive.add(2, V2)
        await self.archive.update()
        # The write without an answer may take effect later.
        self.store.release()
        self.assertEqual(self.found(1, 2), [V1, V2])

    async def test_write_that_took_effect_without_an_answer_does_no_harm(self):
        self.archive.add(1, V1)
        await self.archive.update()
        self.clock.advance(WINDOW)
        self.archive.add(2, V2)
        self.store.loses_answer = True
        with self.assertRaises(StoreUnavailable):
            await self.archive.update()
        self.archive.add(3, V1)
        await self.archive.update()
        await self.archive.update()
        self.assertEqual(self.found(2, 3), [V2, V1])

    async def test_object_that_another_node_deleted_does_not_hold_records_up(self):
        self.archive.add(1, V1)
        await self.archive.update()
        self.clock.advance(WINDOW)
        self.store.objects.clear()
        self.store.refuses_missing = True
        self.archive.add(2, V2)
        with self.assertRaises(StoreUnavailable):
            await self.archive.update()
        await self.archive.update()
        self.assertEqual(self.found(2), [V2])

    async def test_number_of_waiting_records_is_bounded(self):
        self.addCleanup(setattr, archive, "MAX_WAITING", archive.MAX_WAITING)
        archive.MAX_WAITING = 3
        for key in range(5):
            self.archive.add(key, V1)
        await self.archive.update()
        self.assertEqual(self.found(0, 1, 2, 3, 4), [None, None, V1, V1, V1])


if __name__ == "__main__":
    unittest.main()
