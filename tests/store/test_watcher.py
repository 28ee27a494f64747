"""The store watcher: number of calls, reading in place of others, and failures."""

import asyncio
import random
import unittest
from collections import deque
from collections.abc import Callable
from unittest import mock

from railsail.core.clock import Clock, steady_seconds
from railsail.core.events import EventLog
from railsail.core.exceptions import StoreUnavailable
from railsail.store import outage as outage_module
from railsail.store import standby as standby_module
from railsail.store import watcher as watcher_module
from railsail.store.base import Listing, WatchEvent, WatchResult
from railsail.store.freshness import Freshness, Proof
from railsail.store.watcher import BATCH_SECONDS, StoreWatcher

KIND = "upstream"
GROUP_SIZE = 20


class GroupStore:
    """A store whose changes are made by the test, during a watch or between two watches."""

    watches_many = False

    def __init__(self) -> None:
        self.pending: deque[WatchEvent] = deque()
        self.watches = 0
        self._changed = asyncio.Event()

    def change(self, version: int) -> None:
        self.pending.append(WatchEvent(KIND, f"r{version}", version, {}))
        self._changed.set()

    async def list(self, kind: str) -> Listing:
        return Listing(0, ())

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        self.watches += 1
        while not self.pending:
            self._changed.clear()
            await self._changed.wait()
        events = tuple(self.pending)
        self.pending.clear()
        return WatchResult(events[-1].version, events)


def make_watcher(
    store: GroupStore,
    is_watcher: Callable[[], bool],
    seconds: float,
    freshness: Freshness | None = None,
) -> StoreWatcher:
    """Return a watcher of ``store`` in a fleet of nine nodes; watches wait ``seconds`` at most."""
    freshness = freshness or Freshness(steady_seconds)
    events = EventLog("n", Clock())
    return StoreWatcher(store, is_watcher, lambda: 9, seconds, freshness, events, random.Random(1))


class ChangeGroupTests(unittest.IsolatedAsyncioTestCase):
    async def test_group_of_changes_takes_few_calls_and_none_is_lost(self):
        store = GroupStore()
        seen: list[int] = []
        watcher = make_watcher(store, lambda: True, 30.0)
        watcher.follow(KIND, lambda listing: None, lambda event: seen.append(event.version))
        task = asyncio.ensure_future(watcher.run())
        while not store.watches:
            await asyncio.sleep(0)
        for version in range(1, GROUP_SIZE + 1):
            store.change(version)
            # Without the delay between watches, each change would end a watch of its own.
            for _ in range(10):
                await asyncio.sleep(0)
        while len(seen) < GROUP_SIZE:
            await asyncio.sleep(BATCH_SECONDS / 10)
        task.cancel()
        self.assertEqual(seen, list(range(1, GROUP_SIZE + 1)))
        self.assertLess(store.watches, GROUP_SIZE / 2)


class SlowListenerTests(unittest.IsolatedAsyncioTestCase):
    """A listener may apply a large change later; the node is not taken for outdated until then."""

    async def test_proof_is_recorded_as_soon_as_the_change_is_applied(self):
        store = GroupStore()
        applied = True
        freshness = Freshness(steady_seconds)
        watcher = make_watcher(store, lambda: True, 30.0, freshness)

        def seen(event: WatchEvent) -> None:
            nonlocal applied
            applied = False

        watcher.follow(KIND, lambda listing: None, seen, holds=lambda: applied)
        with mock.patch.object(watcher_module, "MEMBER_DISCOVERY_SECONDS", 0.0):
            task = asyncio.ensure_future(watcher.run())
            while not store.watches:
                await asyncio.sleep(0)
            store.change(7)
            while applied:
                await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            watcher.record_newest_proof(KIND)
            self.assertEqual(freshness.version(KIND), 0)
            applied = True
            watcher.record_newest_proof(KIND)
            task.cancel()
        self.assertEqual(freshness.version(KIND), 7)


class ListingTests(unittest.IsolatedAsyncioTestCase):
    """A node that does not watch lists ten times more rarely, because listings are large."""

    async def test_node_that_stops_watching_lists_as_rarely_as_the_others(self):
        store = GroupStore()
        is_watcher = True
        listings = []
        watcher = make_watcher(store, lambda: is_watcher, 0.05)
        watcher.follow(KIND, listings.append, lambda event: None)
        with (
            mock.patch.object(watcher_module, "LIST_INTERVAL_SECONDS", 1.0),
            mock.patch.object(watcher_module, "MEMBER_DISCOVERY_SECONDS", 0.0),
            mock.patch.object(watcher_module, "MAX_CHECK_INTERVAL_SECONDS", 0.01),
        ):
            task = asyncio.ensure_future(watcher.run())
            while not store.watches:
                await asyncio.sleep(0)
            is_watcher = False
            store.change(1)
            await asyncio.sleep(2.0)
            task.cancel()
        self.assertEqual(len(listings), 1)


class FailingListenerTests(unittest.IsolatedAsyncioTestCase):
    """A listener that fails on one object must not end the watch.

    Otherwise all nodes that watch fail on it, one after another.
    """

    async def test_changes_after_the_failure_are_delivered(self):
        store = GroupStore()
        seen: list[int] = []

        def on_event(event: WatchEvent) -> None:
            if event.version == 1:
                raise LookupError("an object that the listener cannot handle")
            seen.append(event.version)

        watcher = make_watcher(store, lambda: True, 30.0)
        watcher.follow(KIND, lambda listing: None, on_event)
        task = asyncio.ensure_future(watcher.run())
        store.change(1)
        store.change(2)
        async with asyncio.timeout(10.0):
            while not seen:
                await asyncio.sleep(0.01)
            store.change(3)
            while len(seen) < 2:
                await asyncio.sleep(0.01)
        task.cancel()
        self.assertEqual(seen, [2, 3])


class NonWatcherTests(unittest.IsolatedAsyncioTestCase):
    """A node that does not watch lists once, also if it chose itself to watch at first."""

    async def test_node_that_learns_of_other_members_does_not_watch_or_list_again(self):
        store = GroupStore()
        lists: list[Listing] = []
        is_watcher = [True]
        with mock.patch.object(watcher_module, "MEMBER_DISCOVERY_SECONDS", 0.05):
            watcher = make_watcher(store, lambda: is_watcher[0], 2.0)
            watcher.follow(KIND, lists.append, lambda event: None)
            task = asyncio.ensure_future(watcher.run())
            while not lists:
                await asyncio.sleep(0)
            is_watcher[0] = False
            await asyncio.sleep(0.5)
            task.cancel()
        self.assertEqual((len(lists), store.watches), (1, 0))


class FailingStore(GroupStore):
    """A store that records the versions that it is watched from, and refuses watches while down."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.lists = 0
        # The events that the next successful watch returns.
        self.events: tuple[WatchEvent, ...] = ()
        self.since: list[int] = []

    async def list(self, kind: str) -> Listing:
        self.lists += 1
        return await super().list(kind)

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        self.since.append(since)
        if self.down:
            raise StoreUnavailable("down")
        if not self.events:
            await asyncio.sleep(seconds)
        events, self.events = self.events, ()
        return WatchResult(since, events)


class StandbyReadTests(unittest.IsolatedAsyncioTestCase):
    """A node that leaves watching to others reads the store if their proofs do not arrive."""

    WATCH_SECONDS = 0.2
    # Long enough that no proof becomes too old during a test, also on a slow machine.
    LONG_WATCH_SECONDS = 300.0

    async def asyncSetUp(self) -> None:
        self.start_patch(mock.patch.object(watcher_module, "MEMBER_DISCOVERY_SECONDS", 0.0))
        self.start_patch(mock.patch.object(standby_module, "INITIAL_BACKOFF_SECONDS", 0.01))

    def start(self, watch_seconds: float) -> None:
        self.store = FailingStore()
        self.freshness = Freshness(steady_seconds)
        watcher = make_watcher(self.store, lambda: False, watch_seconds, self.freshness)
        self.seen: list[WatchEvent] = []
        watcher.follow(KIND, lambda listing: None, self.seen.append)
        task = asyncio.ensure_future(watcher.run())
        self.addCleanup(task.cancel)

    def start_patch(self, patch) -> None:
        patch.start()
        self.addCleanup(patch.stop)

    async def until(self, condition) -> None:
        async with asyncio.timeout(30.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_watch_starts_at_the_version_that_peers_proved_without_a_listing(self):
        self.start(self.WATCH_SECONDS)
        self.freshness.record(Proof(KIND, 77, steady_seconds()))
        await self.until(lambda: self.store.since)
        self.assertEqual((self.store.since[0], self.store.lists), (77, 1))
        await self.until(lambda: self.freshness.age(KIND) < self.WATCH_SECONDS / 2)

    async def test_node_does_not_watch_while_proofs_of_peers_are_recent(self):
        self.start(self.LONG_WATCH_SECONDS)
        self.freshness.record(Proof(KIND, 77, steady_seconds()))
        await asyncio.sleep(0.5)
        self.assertEqual(self.store.since, [])

    async def test_deletion_of_objects_that_expired_during_an_outage_is_ignored(self):
        """The objects are listed instead, once their writers have written them again."""
        self.start(self.WATCH_SECONDS)
        self.start_patch(
            mock.patch.object(outage_module, "OBJECT_EXPIRY_SECONDS", self.WATCH_SECONDS)
        )
        self.store.events = (WatchEvent(KIND, "r1", 5, None),)
        self.store.down = True
        await self.until(lambda: self.store.since)
        await asyncio.sleep(2 * self.WATCH_SECONDS)
        self.store.down = False
        await self.until(lambda: self.store.lists > 1)
        self.assertEqual(self.seen, [])

    async def test_failed_watch_is_retried_without_a_listing(self):
        self.start(self.WATCH_SECONDS)
        self.store.down = True
        await self.until(lambda: len(self.store.since) > 3)
        self.store.down = False
        await self.until(lambda: self.freshness.age(KIND) < self.WATCH_SECONDS / 2)
        self.assertEqual(self.store.lists, 1)


if __name__ == "__main__":
    unittest.main()
