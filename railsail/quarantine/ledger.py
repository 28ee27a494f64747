"""The quarantine in the store, for nodes that cannot reach their peers and nodes that start.

One object holds the crashes of all requests that have at least two. A node that observed such a
crash adds it by a conditional update, so that nothing is lost if several nodes write at once. The
failure of a host adds nothing, since each of its requests has one crash only.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Annotated

import msgspec

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.fingerprints import fingerprint_name
from railsail.core.logs import get_logger
from railsail.core.tasks import TaskSet
from railsail.peers.base import Natural, Text
from railsail.quarantine.crashes import ReplicaCrash
from railsail.quarantine.service import Quarantine
from railsail.store.base import Listing, Store, StoredObject, WatchEvent
from railsail.store.journal import Backoff

KIND = "quarantine"
OBJECT_NAME = "requests"
# Requests with fewer crashes are not stored.
CRASHES_TO_STORE = 2
# The same for a node that cannot reach its peers: no other node learns of its crashes otherwise.
CRASHES_TO_STORE_ISOLATED = 1
# Crashes come in groups: a node waits this long before it writes, to store a group at once.
BATCH_SECONDS = 0.05
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# Duration of a watch of these objects. Peers send each other crashes at once, so that the watch
# only brings those that no peer sent. If a watch fails unnoticed, the watches of other nodes make
# up for it.
WATCH_SECONDS = 10.0
# Peers refuse records with more of them.
MAX_FINGERPRINTS = 5000


class StoredCrash(msgspec.Struct, frozen=True):
    """The crash of a replica; ``at`` is in milliseconds since the Unix epoch.

    ``life`` is the start id of the replica. ``requests`` and ``cleared`` have the fingerprints of
    requests and of parts of prompts.
    """

    replica: Text
    life: Natural
    at: Natural
    requests: Annotated[list[str], msgspec.Meta(max_length=MAX_FINGERPRINTS)]
    cleared: Annotated[list[str], msgspec.Meta(max_length=MAX_FINGERPRINTS)] = []


class StoredQuarantine(msgspec.Struct, frozen=True):
    """The value of the stored object: the crashes."""

    ends: list[StoredCrash] = []


class _AnyQuarantine(msgspec.Struct, frozen=True):
    """A value that is read crash by crash, since another program may have written one of them."""

    ends: list[object]


class CrashRequest(msgspec.Struct, frozen=True):
    """One request of a stored crash, and whether it is cleared of that crash."""

    replica: str
    start_id: int
    request: str
    cleared: bool


class QuarantineLedger:
    """Store the crashes that this node observed, and read those that others stored.

    ``isolated`` returns True if this node has too few peers to inform the others.
    """

    def __init__(
        self,
        store: Store,
        quarantine: Quarantine,
        isolated: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._isolated = isolated
        self._clock = clock
        self._backoff = Backoff(rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        self._written: set[CrashRequest] = set()
        self._tasks = TaskSet()
        self._writing = False
        quarantine.on_change(self._on_change)

    def stop(self) -> None:
        """Cancel pending writes."""
        self._tasks.cancel()

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the store."""
        for stored in listing.objects:
            self._read(stored.name, stored.value)
        if all(stored.name != OBJECT_NAME for stored in listing.objects):
            # A store that was restored from a backup may have lost the object.
            self._written = set()
            self._on_change()

    def seen(self, event: WatchEvent) -> None:
        """Apply a watch event of the store."""
        self._read(event.name, event.value)

    def _read(self, name: str, value: dict[str, object] | None) -> None:
        if name != OBJECT_NAME or value is None:
            return
        stored, crashes = self._readable(value)
        self._written = _crash_requests(stored)
        self._quarantine.merge(crashes, "")
        # With the crashes of others, one that this node observed may now be worth storing.
        self._on_change()

    def _readable(self, value: dict[str, object]) -> tuple[StoredQuarantine, list[ReplicaCrash]]:
        """Return what can be read of the stored object, none if another program replaced it."""
        try:
            items = msgspec.convert(value, _AnyQuarantine).ends
        except msgspec.ValidationError as problem:
            get_logger().warning("quarantine record refused", reason=str(problem))
            return StoredQuarantine(), []
        stored, crashes = [], []
        for item in items:
            try:
                crash = msgspec.convert(item, StoredCrash)
                crashes.append(self._from_stored(crash))
                stored.append(crash)
            except ValueError as problem:
                get_logger().warning("quarantine record refused", reason=str(problem))
        return StoredQuarantine(stored), crashes

    def _from_stored(self, crash: StoredCrash) -> ReplicaCrash:
        # The wall clocks of nodes differ, but no crash lies in the future.
        age = max(0.0, self._clock.wall() - crash.at / 1000)
        fingerprints = frozenset(_fingerprint(name) for name in crash.requests)
        cleared = frozenset(_fingerprint(name) for name in crash.cleared)
        at = self._clock.monotonic() - age
        return ReplicaCrash(crash.replica, crash.life, at, fingerprints, cleared)

    def _on_change(self) -> None:
        if not self._writing and self._has_unwritten():
            self._writing = True
            self._tasks.start(self._write_all())

    def _has_unwritten(self) -> bool:
        """Return True if the store lacks a crash or clearing that this node observed."""
        missing = _crash_requests(self._desired()) - self._written
        return any(
            (item.replica, item.start_id) in self._quarantine.observed_here for item in missing
        )

    def _desired(self) -> StoredQuarantine:
        """Return the value that the stored object should have."""
        min_crashes = CRASHES_TO_STORE_ISOLATED if self._isolated() else CRASHES_TO_STORE
        blamed = {suspect.fingerprint for suspect in self._quarantine.standings(min_crashes)}
        # Stored requests stay included, so that a later clearing of them is stored too.
        blamed |= {int(item.request, 16) for item in self._written}
        crashes = self._quarantine.table.crashes()
        stored = [crash for crash in crashes if crash.fingerprints & blamed]
        return StoredQuarantine([self._to_stored(crash, blamed) for crash in stored])

    def _to_stored(self, crash: ReplicaCrash, blamed: set[int]) -> StoredCrash:
        age = self._clock.monotonic() - crash.at
        return StoredCrash(
            crash.replica,
            crash.start_id,
            round((self._clock.wall() - age) * 1000),
            sorted(fingerprint_name(fp) for fp in crash.fingerprints & blamed),
            sorted(fingerprint_name(fp) for fp in crash.cleared & blamed),
        )

    async def _write_all(self) -> None:
        try:
            await asyncio.sleep(BATCH_SECONDS)
            while self._has_unwritten():
                await self._write()
        finally:
            self._writing = False

    async def _write(self) -> None:
        try:
            stored = await self._store.get(KIND, OBJECT_NAME)
            self._apply(stored)
            if not self._has_unwritten():
                return
            value = msgspec.to_builtins(self._desired())
            expected = stored.version if stored is not None else 0
            version = await self._store.put(KIND, OBJECT_NAME, value, expected)
            self._apply(StoredObject(KIND, OBJECT_NAME, version, value))
            self._backoff.reset()
        except StoreConflict:
            get_logger().info("quarantine was updated by another node at the same time")
        except StoreUnavailable as problem:
            get_logger().info("quarantine could not be stored", reason=str(problem))
            await asyncio.sleep(self._backoff.pause())

    def _apply(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._written = set()
        else:
            self._read(stored.name, stored.value)


def _fingerprint(name: str) -> int:
    """Return the fingerprint that is called ``name``; raise ``ValueError`` if there is none."""
    return msgspec.convert(int(name, 16), Natural)


def _crash_requests(stored: StoredQuarantine) -> set[CrashRequest]:
    """Return each pair of a crash and a request in ``stored``."""
    return {
        CrashRequest(crash.replica, crash.life, name, name in crash.cleared)
        for crash in stored.ends
        for name in crash.requests
    }
