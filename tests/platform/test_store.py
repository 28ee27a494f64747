"""The client of the platform's store, against a stand-in."""

import random
import unittest

from railsail.conf.values import Endpoint
from railsail.core.exceptions import StoreUnavailable
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

    async def test_list_of_several_pages(self):
        for number in range(5):
            self.standin.put("servers", f"i-{number}", SERVER)
        listing = await self.store.list("upstream")
        self.assertEqual([item.name for item in listing.objects], [f"i-{n}" for n in range(5)])
        self.assertEqual(listing.version, 5)
        self.assertEqual(len(self.standin.calls), 3)

    async def test_configuration_has_the_products_name(self):
        self.assertIsNone(await self.store.get("configuration", "head"))
        self.standin.put("config", "main", {"version": 4})
        stored = await self.store.get("configuration", "head")
        self.assertEqual((stored.name, stored.value["version"]), ("head", 4))
        result = await self.store.watch(("configuration",), 0, 0.1)
        self.assertEqual([event.name for event in result.events], ["head"])

    async def test_watch_tells_changes_and_what_is_gone(self):
        self.standin.put("servers", "i-1", SERVER)
        self.standin.remove("servers", "i-1")
        result = await self.store.watch(("upstream",), 0, 0.1)
        self.assertEqual([event.value is None for event in result.events], [False, True])
        self.assertEqual(result.version, 2)

    async def test_forgotten_history_asks_for_a_list(self):
        self.standin.put("servers", "i-1", SERVER)
        self.standin.forget_history()
        self.assertTrue((await self.store.watch(("upstream",), 0, 0.1)).expired)

    async def test_store_that_refuses_or_cannot_be_read_is_unavailable(self):
        self.standin.down = True
        with self.assertRaises(StoreUnavailable):
            await self.store.list("upstream")

    async def test_configuration_that_cannot_be_read_is_unavailable(self):
        self.standin.put("config", "main", {"version": "x"})
        with self.assertRaises(StoreUnavailable):
            await self.store.get("configuration", "head")

    async def test_replica_that_cannot_be_read_does_not_hide_others(self):
        self.standin.put("servers", "i-1", {"addr": 7})
        self.standin.put("servers", "i-2", SERVER)
        listing = await self.store.list("upstream")
        self.assertEqual([bool(item.value) for item in listing.objects], [False, True])


if __name__ == "__main__":
    unittest.main()
