"""The stored places are complete, and written by one node at a time."""

import random
import unittest

from railsail.core.clock import ManualClock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import configure_logs
from railsail.store.versions import to_version
from railsail.streams.history import OriginHistory
from railsail.streams.ledger import CHECK_SECONDS, DELAY_SECONDS, REMOVAL_SECONDS, PlacesLedger
from railsail.streams.stored import KIND, PLACES_NAME
from tests.rollouts.base import FakeStore

HOST = "a.example"
WINDOW = 30.0


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        configure_logs("critical", "test")
        self.clock = ManualClock(1000.0)
        self.store = FakeStore()
        self.era = 0
        self.rank = 0
        self.start(first_start=True)

    def start(self, first_start: bool) -> None:
        """Start a node that sees version 1."""
        self.history = OriginHistory(first_start, self.clock.now)
        self.history.window = WINDOW
        self.history.observe_pools({HOST: {"model"}}, self.clock.now)
        self.see("v1")
        self.ledger = PlacesLedger(
            self.store,
            self.history,
            lambda: self.rank,
            lambda: self.era,
            self.clock,
            random.Random(1),
        )

    def see(self, *versions: str) -> None:
        self.history.observe_versions({"model": set(versions)}, self.clock.now)

    async def restart(self) -> bool:
        """Restart the node, let it read the store, and return whether it is certain."""
        self.start(first_start=False)
        places = await self.ledger.read()
        if places is not None:
            self.history.restore(places.places, self.clock.now)
        return self.history.is_complete(HOST, self.clock.now)

    def stored(self) -> list[str]:
        return self.store.objects[(KIND, PLACES_NAME)].value["versions"]["model"]

    def origins(self) -> list[str]:
        return sorted(o.software_version for o in self.history.origins(HOST, self.clock.now))


class WriteTests(LedgerTestCase):
    async def test_restarted_node_knows_versions_that_are_gone(self):
        self.see("v1", "v2")
        await self.ledger.update()
        self.assertTrue(await self.restart())
        self.assertEqual(self.origins(), ["v1", "v2"])

    async def test_nothing_is_written_without_a_change(self):
        await self.ledger.update()
        for _ in range(100):
            self.clock.advance(0.5)
            await self.ledger.update()
        self.assertEqual((self.store.writes, self.store.reads), (1, 1))

    async def test_version_is_removed_once_its_callers_have_returned(self):
        self.see("v1", "v2")
        await self.ledger.update()
        self.see("v2")
        self.clock.advance(WINDOW)
        await self.ledger.update()
        self.assertEqual(self.stored(), ["v1", "v2"])
        self.clock.advance(1.0)
        await self.ledger.update()
        self.assertEqual(self.stored(), ["v2"])

    async def test_version_that_another_node_added_is_not_removed_at_once(self):
        await self.ledger.update()
        self.clock.advance(WINDOW)
        value = {"era": 0, "hosts": {HOST: ["model"]}, "versions": {"model": ["v1", "v2"]}}
        self.store.set(KIND, PLACES_NAME, value)
        self.see("v1", "v3")
        with self.assertRaises(StoreConflict):
            await self.ledger.update()
        await self.ledger.read()
        await self.ledger.update()
        self.assertEqual(self.stored(), ["v1", "v2", "v3"])

    async def test_restarted_node_keeps_what_it_has_not_seen_itself(self):
        self.see("v1", "v2")
        await self.ledger.update()
        await self.restart()
        self.see("v1", "v3")
        self.clock.advance(1.0)
        await self.ledger.update()
        self.assertEqual(self.stored(), ["v1", "v2", "v3"])

    async def test_write_without_an_answer_is_written_again(self):
        await self.ledger.update()
        self.see("v1", "v2")
        self.store.holds_back = True
        with self.assertRaises(StoreUnavailable):
            await self.ledger.update()
        await self.ledger.update()
        self.assertEqual(self.stored(), ["v1", "v2"])

    async def test_others_write_what_the_first_node_has_not_written(self):
        self.rank = 2
        self.see("v1", "v2")
        await self.ledger.update()
        self.clock.advance(2 * DELAY_SECONDS - 0.1)
        await self.ledger.update()
        self.assertEqual(self.store.writes, 0)
        self.clock.advance(0.1)
        await self.ledger.update()
        self.assertEqual(self.stored(), ["v1", "v2"])

    async def test_others_write_nothing_that_is_stored(self):
        await self.ledger.update()
        self.start(first_start=True)
        self.rank = 1
        for _ in range(10):
            await self.ledger.update()
            self.clock.advance(DELAY_SECONDS)
        self.assertEqual((self.store.writes, self.store.reads), (1, 2))

    async def test_version_that_returns_is_stored_though_a_node_out_of_step_removed_it(self):
        """The others took it for stored for as long as nothing else changed."""
        self.see("v1", "v2")
        await self.ledger.update()
        self.rank = 1
        self.see("v1")
        self.clock.advance(WINDOW + 1.0)
        await self.ledger.update()
        self.see("v1", "v2")
        await self.ledger.update()
        # The first writer has not heard that the version is back, and is lost after that.
        value = {"era": 0, "hosts": {HOST: ["model"]}, "versions": {"model": ["v1"]}}
        self.store.set(KIND, PLACES_NAME, value)
        for _ in range(4):
            self.clock.advance(CHECK_SECONDS)
            await self.ledger.update()
        self.assertEqual(self.stored(), ["v1", "v2"])

    async def test_others_read_what_the_first_node_removes_for_a_moment_only(self):
        self.see("v1", "v2")
        await self.ledger.update()
        self.rank = 1
        self.see("v1")
        self.clock.advance(WINDOW + 1.0)
        await self.ledger.update()
        value = {"era": 0, "hosts": {HOST: ["model"]}, "versions": {"model": ["v1"]}}
        self.store.set(KIND, PLACES_NAME, value)
        before = self.store.reads
        for _ in range(100):
            self.clock.advance(0.5)
            await self.ledger.update()
        self.assertLessEqual(self.store.reads - before, REMOVAL_SECONDS / CHECK_SECONDS)
        self.assertEqual(self.store.writes, 1)

    async def test_node_that_is_not_among_the_writers_makes_no_call(self):
        self.rank = None
        await self.ledger.update()
        self.assertEqual((self.store.writes, self.store.reads), (0, 0))


class CertaintyTests(LedgerTestCase):
    async def test_object_is_not_created_by_a_node_that_may_have_missed_versions(self):
        self.start(first_start=False)
        await self.ledger.update()
        self.assertEqual(self.store.writes, 0)
        self.assertFalse(await self.restart())
        self.clock.advance(WINDOW)
        await self.ledger.update()
        self.assertTrue(await self.restart())

    async def test_copy_of_an_earlier_store_is_not_complete(self):
        await self.ledger.update()
        value = self.store.objects[(KIND, PLACES_NAME)].value
        self.store.version = to_version(1, 5)
        self.store.set(KIND, PLACES_NAME, value)
        self.era = 1
        self.assertFalse(await self.restart())
        # Nor is it if such a node adds what it sees.
        self.see("v1", "v2")
        await self.ledger.update()
        self.assertFalse(await self.restart())

    async def test_copy_of_an_earlier_store_is_completed_by_a_node_that_ran_before(self):
        self.see("v1", "v2")
        await self.ledger.update()
        self.store.version = to_version(1, 5)
        value = {"era": 0, "hosts": {HOST: ["model"]}, "versions": {"model": ["v1"]}}
        self.store.set(KIND, PLACES_NAME, value)
        self.era = 1
        with self.assertRaises(StoreConflict):
            await self.ledger.update()
        await self.ledger.read()
        await self.ledger.update()
        self.assertTrue(await self.restart())
        self.assertEqual(self.origins(), ["v1", "v2"])

    async def test_host_or_pool_that_is_not_stored_is_not_certain(self):
        await self.ledger.update()
        self.assertTrue(await self.restart())
        now = self.clock.now
        self.history.observe_pools({HOST: {"model"}, "b.example": {"model"}}, now)
        self.assertFalse(self.history.is_complete("b.example", now))
        self.history.observe_pools({HOST: {"desk"}}, now)
        self.assertFalse(self.history.is_complete(HOST, now))

    async def test_interruption_ends_what_was_read_before(self):
        await self.ledger.update()
        self.assertTrue(await self.restart())
        self.history.interrupt(self.clock.now)
        self.assertFalse(self.history.is_complete(HOST, self.clock.now))


if __name__ == "__main__":
    unittest.main()
