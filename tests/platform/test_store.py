"""The client of the platform's store, against a stand-in."""

import asyncio
import random
import unittest

from railsail.conf.values import Endpoint
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.platform.store import PlatformStore
from tests.platform.standins import LOOPBACK, PlatformStoreStandin

SERVER = {"service": "lm", "addr": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"}


class PlatformStoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = PlatformStoreStandin(page=2)
        self.addCleanup(self.standin.stop)
        endpoint = Endpoint(LOOPBACK, self.standin.port)
        self.store = PlatformStore([endpoint], Metrics(), random.Random(1))

    async def test_list_reads_all_pages(self):
        for number in range(5):
            self.standin.put("servers", f"i-{number}", SERVER)
        listing = await self.store.list("upstream")
        self.assertEqual([item.name for item in listing.objects], [f"i-{n}" for n in range(5)])
        self.assertEqual(listing.version, 5)
        self.assertEqual(len(self.standin.calls), 3)

    async def test_configuration_has_the_name_that_railsail_uses(self):
        self.assertIsNone(await self.store.get("configuration", "head"))
        self.standin.put("config", "main", {"version": 4})
        stored = await self.store.get("configuration", "head")
        self.assertEqual((stored.name, stored.value["version"]), ("head", 4))
        result = await self.store.watch(("configuration",), 0, 0.1)
        self.assertEqual([event.name for event in result.events], ["head"])

    async def test_watch_returns_changes_and_deletions(self):
        self.standin.put("servers", "i-1", SERVER)
        self.standin.remove("servers", "i-1")
        result = await self.store.watch(("upstream",), 0, 0.1)
        self.assertEqual([event.value is None for event in result.events], [False, True])
        self.assertEqual(result.version, 2)

    async def test_watch_of_a_forgotten_revision_is_expired(self):
        self.standin.put("servers", "i-1", SERVER)
        self.standin.forget_history()
        self.assertTrue((await self.store.watch(("upstream",), 0, 0.1)).expired)

    async def test_versions_rise_after_a_restore_although_revisions_go_back(self):
        self.standin.put("servers", "i-1", SERVER)
        copy = self.standin.copy()
        for slots in range(20):
            self.standin.put("servers", "i-1", SERVER | {"slots": slots})
        before = (await self.store.list("upstream")).objects[0].version
        self.standin.restore(copy)
        listing = await self.store.list("upstream")
        self.assertEqual((self.standin.revision, listing.objects[0].value["slots"]), (1, 4))
        self.assertGreater(listing.objects[0].version, before)
        self.assertGreaterEqual(listing.version, listing.objects[0].version)

    async def test_watch_from_an_earlier_generation_is_expired(self):
        self.standin.put("servers", "i-1", SERVER)
        copy = self.standin.copy()
        since = (await self.store.list("upstream")).version
        self.standin.restore(copy)
        self.standin.put("servers", "i-2", SERVER)
        self.assertTrue((await self.store.watch(("upstream",), since, 0.1)).expired)

    async def test_watch_continues_in_the_same_generation(self):
        self.standin.restore(self.standin.copy())
        since = (await self.store.list("upstream")).version
        self.standin.put("servers", "i-1", SERVER)
        result = await self.store.watch(("upstream",), since, 0.1)
        self.assertEqual([event.version for event in result.events], [result.version])
        self.assertGreater(result.version, since)

    async def test_rollout_status_is_read_and_replaced(self):
        order = {"service": "lm", "target_version": 3, "duration_s": 20}
        self.standin.put("rollouts", "lm", order)
        stored = await self.store.get("rollout", "lm")
        status = {"state": "running", "target_version": 3}
        version = await self.store.put_status("rollout", "lm", status, stored.version)
        again = await self.store.get("rollout", "lm")
        self.assertEqual((again.version, again.value["status"]), (version, status))
        self.assertEqual(self.standin.objects[("rollouts", "lm")]["spec"], order)
        # A write that changes nothing returns the same version.
        same = await self.store.put_status("rollout", "lm", status, version)
        self.assertEqual(same, version)
        with self.assertRaises(StoreConflict):
            await self.store.put_status("rollout", "lm", {"state": "succeeded"}, stored.version)

    async def test_invalid_status_does_not_hide_the_order(self):
        order = {"service": "lm", "target_version": "v2", "duration_s": 20}
        for status in ([], "running", {"state": 7}, {"target_version": {}}):
            self.standin.objects.clear()
            self.standin.put("rollouts", "lm", order)
            self.standin.put_status("rollouts", "lm", status)
            stored = await self.store.get("rollout", "lm")
            self.assertEqual(stored.value["target_version"], "v2")
            self.assertEqual(stored.value["status"], {"state": "", "target_version": ""})

    async def test_write_with_a_version_of_an_earlier_generation_is_a_conflict(self):
        value = {"ends": []}
        first = await self.store.put("quarantine", "requests", value, 0)
        self.standin.restore(self.standin.copy())
        stored = await self.store.get("quarantine", "requests")
        with self.assertRaises(StoreConflict):
            await self.store.put("quarantine", "requests", value, first)
        self.assertGreater(await self.store.put("quarantine", "requests", value, stored.version), 0)

    async def test_invalid_generation_is_unavailable(self):
        self.standin.era = "next"
        with self.assertRaises(StoreUnavailable):
            await self.store.list("upstream")

    async def test_store_that_refuses_calls_is_unavailable(self):
        self.standin.down = True
        with self.assertRaises(StoreUnavailable):
            await self.store.list("upstream")

    async def test_no_calls_are_made_while_the_store_asks_for_backoff(self):
        self.standin.down = True
        self.standin.retry_after = "0.3"
        for kind in ("upstream", "evacuation", "upstream"):
            with self.assertRaises(StoreUnavailable):
                await self.store.list(kind)
        self.assertEqual(len(self.standin.calls), 1)
        self.standin.down = False
        await asyncio.sleep(0.35)
        await self.store.list("upstream")

    async def test_invalid_configuration_is_unavailable(self):
        self.standin.put("config", "main", {"version": "x"})
        with self.assertRaises(StoreUnavailable):
            await self.store.get("configuration", "head")

    async def test_invalid_replica_does_not_hide_others(self):
        self.standin.put("servers", "i-1", {"addr": 7})
        self.standin.put("servers", "i-2", SERVER)
        listing = await self.store.list("upstream")
        self.assertEqual([bool(item.value) for item in listing.objects], [False, True])


if __name__ == "__main__":
    unittest.main()
