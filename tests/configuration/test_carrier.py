"""A configuration that cannot be applied at once is applied later.

Guards against a node that keeps an old configuration: it received a new head once, could not read
the snapshot from the store at that moment, and did not retry until the next change or listing, up
to ten minutes later. It also dropped updates of peers whose earlier changes it lacked. The only
trace of either was an old ``configuration`` in the log lines of its requests.
"""

import asyncio
import random
import unittest
from unittest import mock

import msgspec

from railsail.configuration import carrier as carrier_module
from railsail.configuration.carrier import ConfigurationCarrier
from railsail.configuration.changes import Change, OperationRecord, Snapshot, encode
from railsail.configuration.repository import HEAD, KIND, ConfigurationRepository, Head
from railsail.core.clock import Clock, steady_seconds
from railsail.core.events import EventLog
from railsail.core.exceptions import StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.peers.messages import ConfigurationNews, StateRequest
from railsail.store.base import StoredObject, WatchEvent
from railsail.store.freshness import Freshness

BASE = 7


def gold(weight: float) -> dict[str, object]:
    return {"kind": "priorityclass", "name": "gold", "weight": weight}


def change(version: int) -> Change:
    operation = OperationRecord("priorityclass", "gold", gold(float(version)))
    return Change(version, f"c{version}", "test", 0.0, (operation,))


class FailingStore:
    """A store with one snapshot, which fails for some calls."""

    def __init__(self, failures: int) -> None:
        self.failures = failures

    async def get(self, kind: str, name: str) -> StoredObject:
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("turned away")
        value = msgspec.to_builtins(Snapshot(BASE, (gold(1.0),)))
        return StoredObject(kind, name, 1, value)


class CarrierTests(unittest.IsolatedAsyncioTestCase):
    def carrier(self, failures: int = 0) -> ConfigurationCarrier:
        clock = Clock()
        self.requested: list[tuple[str, StateRequest]] = []
        self.broadcast: list[ConfigurationNews] = []
        rng = random.Random(1)
        return ConfigurationCarrier(
            ConfigurationRepository(FailingStore(failures), clock, rng),
            lambda update, source: self.broadcast.append(update),
            lambda node, message: self.requested.append((node, message)),
            Freshness(steady_seconds),
            60.0,
            EventLog("n", clock),
            Metrics(),
            rng,
        )

    def seen(self, carrier: ConfigurationCarrier, version: int, base: int = BASE) -> None:
        changes = tuple(change(number) for number in range(base + 1, version + 1))
        value = msgspec.to_builtins(Head(version, base, changes))
        carrier.seen(WatchEvent(KIND, HEAD, version, value))

    async def until(self, condition) -> None:
        async with asyncio.timeout(30.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_head_whose_snapshot_could_not_be_read_becomes_active_later(self):
        carrier = self.carrier(failures=3)
        with mock.patch.object(carrier_module, "INITIAL_BACKOFF_SECONDS", 0.01):
            self.seen(carrier, BASE + 2)
            self.assertFalse(carrier.caught_up())
            await self.until(lambda: carrier.catalog.version == BASE + 2)
        self.assertTrue(carrier.caught_up())

    async def test_newest_of_several_heads_becomes_active(self):
        carrier = self.carrier(failures=1)
        with mock.patch.object(carrier_module, "INITIAL_BACKOFF_SECONDS", 0.01):
            self.seen(carrier, BASE + 1)
            self.seen(carrier, BASE + 2)
            await self.until(lambda: carrier.catalog.version == BASE + 2)
        self.assertEqual(self.broadcast[-1].version, BASE + 2)

    async def test_older_head_does_not_replace_a_newer_one(self):
        carrier = self.carrier(failures=1)
        with mock.patch.object(carrier_module, "INITIAL_BACKOFF_SECONDS", 0.01):
            self.seen(carrier, BASE + 2)
            self.seen(carrier, BASE + 1)
            await self.until(carrier.caught_up)
        self.assertEqual(carrier.catalog.version, BASE + 2)

    async def test_head_without_a_snapshot_becomes_active_at_once(self):
        carrier = self.carrier()
        self.seen(carrier, 2, base=0)
        self.assertEqual(carrier.catalog.version, 2)
        self.assertTrue(carrier.caught_up())

    async def test_invalid_head_stays_pending_until_a_newer_one_arrives(self):
        carrier = self.carrier()
        carrier.seen(WatchEvent(KIND, HEAD, 1, {"version": 3, "changes": "none"}))
        self.assertFalse(carrier.caught_up())
        self.seen(carrier, 4, base=0)
        self.assertEqual(carrier.catalog.version, 4)
        self.assertTrue(carrier.caught_up())

    async def test_newer_head_is_read_though_the_one_before_turns_out_to_be_invalid(self):
        carrier = self.carrier()
        asked, answered = asyncio.Event(), asyncio.Event()

        async def get(store: FailingStore, kind: str, name: str) -> StoredObject:
            asked.set()
            await answered.wait()
            return StoredObject(kind, name, 1, {"version": "none"})

        with mock.patch.object(FailingStore, "get", get):
            self.seen(carrier, BASE + 1)
            await asked.wait()
            self.seen(carrier, BASE + 2, base=0)
            answered.set()
            await self.until(lambda: carrier.catalog.version == BASE + 2)
        self.assertTrue(carrier.caught_up())

    async def test_missing_changes_before_an_update_are_requested_from_its_sender(self):
        carrier = self.carrier()
        self.seen(carrier, 2, base=0)
        carrier.received("a", ConfigurationNews(3, 4, encode([change(4)])))
        self.assertEqual(self.requested, [("a", StateRequest(2))])
        self.assertEqual(carrier.catalog.version, 2)


if __name__ == "__main__":
    unittest.main()
