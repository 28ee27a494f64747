"""A read shows what the store held after it was asked for, and serves all that wait for it."""

import asyncio
import unittest
from unittest import mock

from railsail.configuration.repository import KIND as CONFIGURATION
from railsail.core.clock import Clock
from railsail.core.exceptions import StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.store.base import Listing, StoredObject, WatchEvent, WatchResult
from railsail.store.freshness import Freshness, Proof
from railsail.store.versions import to_version
from railsail.streams import latest, reader
from railsail.streams.latest import LatestPlaces, ReadFailed
from railsail.streams.reader import LatestPlacesReader
from railsail.streams.stored import PoolVersion
from railsail.upstreams.directory import KIND as UPSTREAM
from railsail.upstreams.evacuations import KIND as EVACUATION

KNOWN_VERSION = 10
# What the store of the fleet takes, with a waiting watch counted as one.
STORE_READS_PER_SECOND = 2_000
RECORD = {"pool": "model", "endpoint": "10.0.0.1:80", "software_version": "v2"}


class Store:
    """Answers watches with ``events`` once it is released; it has changes since ``forgotten``."""

    def __init__(self) -> None:
        self.version = KNOWN_VERSION
        self.events: dict[str, list[WatchEvent]] = {}
        self.forgotten = 0
        self.is_down = False
        # By how many versions watches are behind.
        self.lag = 0
        self.unknown_kind = ""
        # Whether a watch that is repeated is not behind.
        self.catches_up = False
        self.released = asyncio.Event()
        self.released.set()
        self.calls: list[tuple[str, int]] = []
        # All calls, also those that are not watches.
        self.count = 0
        # What the next list raises.
        self.problem: Exception | None = None
        self.places: StoredObject | None = None
        # Whether lists name the store's version.
        self.names_version = True

    async def list(self, kind: str) -> Listing:
        self.count += 1
        if self.problem is not None:
            await self.released.wait()
            problem, self.problem = self.problem, None
            raise problem
        if kind == UPSTREAM:
            events = self.events.get(kind, ())
            objects = tuple(StoredObject(kind, e.name, e.version, e.value) for e in events)
            return Listing(self.version if self.names_version else 0, objects)
        is_named = self.names_version and kind != self.unknown_kind
        return Listing(self.version if is_named else 0, ())

    async def get(self, kind: str, name: str) -> StoredObject:
        self.count += 1
        if kind == CONFIGURATION:
            return StoredObject(kind, name, self.version, {"version": 9, "objects": []})
        return self.places

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        (kind,) = kinds
        self.count += 1
        self.calls.append((kind, since))
        is_repeated = self.calls.count((kind, since)) > 1
        version = self.version - (0 if self.catches_up and is_repeated else self.lag)
        events = tuple(e for e in self.events.get(kind, ()) if e.version <= version)
        await self.released.wait()
        if self.is_down:
            raise StoreUnavailable("down")
        return WatchResult(version, events, expired=since < self.forgotten)

    def list_version(self, name: str = "i-1") -> None:
        self.version += 1
        event = WatchEvent(UPSTREAM, name, self.version, RECORD)
        self.events.setdefault(UPSTREAM, []).append(event)


class LatestPlacesTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.clock = Clock()
        self.freshness = Freshness(self.clock.monotonic)
        for kind in (UPSTREAM, CONFIGURATION):
            self.freshness.record(Proof(kind, KNOWN_VERSION, self.clock.monotonic()))
        self.reader = LatestPlacesReader(
            self.store, self.freshness, lambda: 1, self.clock, Metrics()
        )

    async def test_versions_and_configuration_that_have_changed_are_returned(self):
        self.store.list_version()
        self.store.version += 1
        self.store.events[CONFIGURATION] = [
            WatchEvent(CONFIGURATION, "head", self.store.version, {"version": 7, "objects": []})
        ]
        before = self.clock.monotonic()
        places = await self.reader.read()
        self.assertEqual(places.versions, {PoolVersion("model", "v2")})
        self.assertEqual(places.configuration, 7)
        self.assertGreaterEqual(places.read_at, before)

    async def test_removed_and_invalid_replicas_are_no_places(self):
        self.store.version += 2
        self.store.events[UPSTREAM] = [
            WatchEvent(UPSTREAM, "i-1", 11, None),
            WatchEvent(UPSTREAM, "i-2", 12, {}),
        ]
        self.assertEqual((await self.reader.read()).versions, frozenset())

    async def test_request_that_arrives_during_a_read_waits_for_the_next_one(self):
        self.store.released.clear()
        first = asyncio.ensure_future(self.reader.read())
        while not self.store.calls:
            await asyncio.sleep(0)
        self.store.list_version()
        second = [asyncio.ensure_future(self.reader.read()) for _ in range(3)]
        await asyncio.sleep(0.01)
        self.store.released.set()
        self.assertEqual((await first).versions, frozenset())
        for places in await asyncio.gather(*second):
            self.assertEqual(places.versions, {PoolVersion("model", "v2")})
        # Each read is one watch of replicas and one of the configuration.
        self.assertEqual(len(self.store.calls), 4)

    async def test_caller_that_leaves_does_not_end_the_read_of_the_others(self):
        self.store.released.clear()
        leaving, staying = (asyncio.ensure_future(self.reader.read()) for _ in range(2))
        await asyncio.sleep(0.01)
        leaving.cancel()
        self.store.released.set()
        self.assertIsInstance(await staying, LatestPlaces)

    async def test_all_that_wait_fail_with_a_read_that_fails(self):
        self.store.released.clear()
        self.store.is_down = True
        first = asyncio.ensure_future(self.reader.read())
        while not self.store.calls:
            await asyncio.sleep(0)
        second = asyncio.ensure_future(self.reader.read())
        await asyncio.sleep(0.01)
        self.store.released.set()
        self.assertIsInstance(await first, ReadFailed)
        self.assertIsInstance(await second, ReadFailed)
        self.assertIsInstance(await self.reader.read(), ReadFailed)
        self.assertEqual(len(self.store.calls), 2)

    async def test_store_is_read_again_a_moment_after_a_failure(self):
        self.store.is_down = True
        with mock.patch.object(reader, "FAILURE_SECONDS", 0.0):
            self.assertIsInstance(await self.reader.read(), ReadFailed)
            self.store.is_down = False
            self.assertIsInstance(await self.reader.read(), LatestPlaces)

    async def test_silent_store_is_waited_for_only_a_moment(self):
        self.store.released.clear()
        with mock.patch.object(reader, "READ_SECONDS", 0.01):
            self.assertIsInstance(await self.reader.read(), ReadFailed)

    async def test_changes_are_read_again_from_a_version_that_was_proved_a_while_ago(self):
        self.freshness.record(Proof(UPSTREAM, KNOWN_VERSION + 5, self.clock.monotonic() + 1))
        await self.reader.read()
        self.assertIn((UPSTREAM, KNOWN_VERSION), self.store.calls)

    async def test_replicas_are_listed_if_the_store_has_forgotten_their_changes(self):
        self.store_places()
        self.store.list_version()
        self.store.forgotten = self.store.version
        for _ in range(2):
            places = await self.reader.read()
            self.assertEqual(places.versions, {PoolVersion("model", "v2")})
            self.assertEqual(places.stored, {PoolVersion("model", "v0")})

    def store_places(self, era: int = 0) -> None:
        value = {"era": era, "hosts": {}, "versions": {"model": ["v0"]}}
        self.store.places = StoredObject("stream-origins", "places", 1, value)

    async def test_places_from_before_a_restore_of_the_store_show_nothing(self):
        self.store_places(era=1)
        self.assertIsInstance(await self.reader.read(), ReadFailed)

    async def test_store_that_was_restored_a_moment_ago_shows_nothing(self):
        self.freshness.record(Proof(UPSTREAM, to_version(1, 3), self.clock.monotonic() + 1))
        self.assertIsInstance(await self.reader.read(), ReadFailed)
        self.assertEqual(self.store.count, 0)

    async def test_changes_that_the_store_has_forgotten_are_reported(self):
        self.store.forgotten = KNOWN_VERSION + 1
        result = await self.reader.read()
        self.assertIsInstance(result, ReadFailed)
        self.assertTrue(result.history_lost)

    async def test_configuration_is_read_if_the_store_has_forgotten_its_changes(self):
        self.freshness.record(Proof(UPSTREAM, KNOWN_VERSION + 5, self.clock.monotonic() + 1))
        self.store_places()
        self.store.version = self.store.forgotten = KNOWN_VERSION + 5
        self.assertEqual((await self.reader.read()).configuration, 9)

    async def test_watch_that_was_answered_before_the_list_is_repeated(self):
        self.store.list_version()
        self.store.lag = 1
        self.store.catches_up = True
        places = await self.reader.read()
        self.assertEqual(places.versions, {PoolVersion("model", "v2")})
        self.assertEqual(len(self.store.calls), 4)

    async def test_watch_that_is_behind_the_store_shows_nothing(self):
        self.store.list_version()
        self.store.lag = 1
        self.assertIsInstance(await self.reader.read(), ReadFailed)

    async def test_watch_that_is_behind_a_store_without_evacuations_shows_nothing(self):
        self.store.unknown_kind = EVACUATION
        self.assertIsInstance(await self.reader.read(), LatestPlaces)
        self.store.list_version()
        self.store.lag = 1
        self.assertIsInstance(await self.reader.read(), ReadFailed)

    async def test_reads_go_on_after_an_answer_that_nobody_expects(self):
        patch = mock.patch.object(reader, "FAILURE_SECONDS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.store.problem = RecursionError("nested too deeply")
        self.store.released.clear()
        first = asyncio.ensure_future(self.reader.read())
        while not self.store.count:
            await asyncio.sleep(0)
        second = asyncio.ensure_future(self.reader.read())
        await asyncio.sleep(0.01)
        self.store.released.set()
        await asyncio.gather(first, second, return_exceptions=True)
        self.assertIsInstance(await self.reader.read(), LatestPlaces)

    async def test_answer_that_nobody_expects_is_a_failed_read(self):
        self.store.problem = RecursionError("nested too deeply")
        self.assertIsInstance(await self.reader.read(), ReadFailed)

    async def test_list_that_names_no_version_of_the_store_shows_nothing(self):
        # A store may have no kind of that name yet.
        self.store.list_version()
        self.store.names_version = False
        self.store.lag = 1
        self.assertIsInstance(await self.reader.read(), ReadFailed)

    async def test_reads_after_the_store_has_forgotten_its_history_keep_to_the_bound_on_calls(self):
        for kind in (UPSTREAM, CONFIGURATION):
            self.freshness.record(Proof(kind, KNOWN_VERSION + 5, self.clock.monotonic() + 1))
        self.store.version = self.store.forgotten = KNOWN_VERSION + 6
        self.freshness.record(Proof(UPSTREAM, KNOWN_VERSION + 6, self.clock.monotonic() + 2))
        self.store_places()
        await self.reader.read()
        before = self.store.count
        await self.reader.read()
        # READS_PER_SECOND rests on it.
        self.assertLessEqual(self.store.count - before, latest.CALLS_PER_READ)

    def test_all_reads_of_a_fleet_leave_room_for_other_reads_of_the_store(self):
        self.assertLess(reader.READS_PER_SECOND * latest.CALLS_PER_READ, STORE_READS_PER_SECOND)

    async def test_node_of_a_large_fleet_reads_for_a_peer_before_the_peer_stops_waiting(self):
        large = LatestPlacesReader(self.store, self.freshness, lambda: 390, self.clock, Metrics())
        await large.read()
        async with asyncio.timeout(large.longest_wait):
            await large.read()

    async def test_node_that_has_read_nothing_yet_makes_no_call(self):
        reader = LatestPlacesReader(
            self.store, Freshness(self.clock.monotonic), lambda: 1, self.clock, Metrics()
        )
        self.assertIsInstance(await reader.read(), ReadFailed)
        self.assertEqual(self.store.count, 0)


if __name__ == "__main__":
    unittest.main()
