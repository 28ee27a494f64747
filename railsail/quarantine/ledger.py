"""The quarantine in the store, for nodes that cannot reach their peers and nodes that start.

One object holds the crashes of requests with at least two of them. A node that observed such a
crash adds it by a conditional update, so that nothing is lost if several nodes write at once. The
failure of a host adds nothing, since each of its requests has one crash only.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.fingerprints import fingerprint_name
from railsail.core.logs import get_logger
from railsail.core.tasks import TaskSet
from railsail.quarantine.service import Quarantine
from railsail.quarantine.table import ReplicaEnd
from railsail.store.base import Listing, Store, StoredObject, WatchEvent
from railsail.store.journal import Backoff

KIND = "quarantine"
NAME = "requests"
# Requests with fewer crashes are not stored.
ENDS_TO_WRITE = 2
# The same for a node that cannot reach its peers: no other node learns of its crashes otherwise.
ENDS_TO_WRITE_ALONE = 1
# Crashes come in groups: a node waits this long before it writes, to store a group at once.
GATHER_SECONDS = 0.05
FIRST_PAUSE_SECONDS = 0.1
MOST_PAUSE_SECONDS = 2.0
# Duration of a watch of these objects. Peers send each other crashes at once, so that the watch
# only brings those that no peer sent. A watch that fails unnoticed is made up for by other nodes'.
WATCH_SECONDS = 10.0


class StoredEnd(msgspec.Struct, frozen=True):
    """The crash of a replica; ``at`` is in milliseconds since the Unix epoch.

    ``life`` is the start id of the replica.
    """

    replica: str
    life: int
    at: int
    requests: list[str]
    cleared: list[str] = []


class StoredQuarantine(msgspec.Struct, frozen=True):
    """The value of the stored object: the crashes."""

    ends: list[StoredEnd] = []


class Entry(msgspec.Struct, frozen=True):
    """One request of a stored crash, and whether it is cleared of that crash."""

    replica: str
    life: int
    request: str
    cleared: bool


class QuarantineLedger:
    """Store the crashes that this node observed, and read those that others stored.

    ``alone`` returns True if this node has too few peers to inform the others.
    """

    def __init__(
        self,
        store: Store,
        quarantine: Quarantine,
        alone: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._alone = alone
        self._clock = clock
        self._backoff = Backoff(rng, FIRST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
        self._written: set[Entry] = set()
        self._tasks = TaskSet()
        self._writing = False
        quarantine.on_change(self._changed)

    def stop(self) -> None:
        """Cancel pending writes."""
        self._tasks.cancel()

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the store."""
        for stored in listing.objects:
            self._read(stored.name, stored.value)
        if all(stored.name != NAME for stored in listing.objects):
            # A store that was restored from a backup may have lost the object.
            self._written = set()
            self._changed()

    def seen(self, event: WatchEvent) -> None:
        """Apply a watch event of the store."""
        self._read(event.name, event.value)

    def _read(self, name: str, value: dict[str, object] | None) -> None:
        if name != NAME or value is None:
            return
        try:
            stored = msgspec.convert(value, StoredQuarantine)
            ends = [self._from_stored(end) for end in stored.ends]
        except (msgspec.ValidationError, ValueError) as problem:
            get_logger().warning("quarantine record refused", reason=str(problem))
            return
        self._written = _entries(stored)
        self._quarantine.merge(ends, "")
        # With the crashes of others, a request of this node's may now have enough to be stored.
        self._changed()

    def _from_stored(self, end: StoredEnd) -> ReplicaEnd:
        # The wall clocks of nodes differ, but no crash lies in the future.
        age = max(0.0, self._clock.wall() - end.at / 1000)
        requests = frozenset(int(word, 16) for word in end.requests)
        cleared = frozenset(int(word, 16) for word in end.cleared)
        at = self._clock.monotonic() - age
        return ReplicaEnd(end.replica, end.life, at, requests, cleared)

    def _changed(self) -> None:
        if not self._writing and self._unwritten():
            self._writing = True
            self._tasks.start(self._write_all())

    def _unwritten(self) -> bool:
        """Return True if the store lacks a crash or clearing that this node observed."""
        missing = _entries(self._wanted()) - self._written
        return any((entry.replica, entry.life) in self._quarantine.seen_here for entry in missing)

    def _wanted(self) -> StoredQuarantine:
        """Return the value that the stored object should have."""
        least = ENDS_TO_WRITE_ALONE if self._alone() else ENDS_TO_WRITE
        blamed = {standing.request for standing in self._quarantine.standings(least)}
        # Stored requests stay included, so that a later clearing of them is stored too.
        blamed |= {int(entry.request, 16) for entry in self._written}
        ends = [end for end in self._quarantine.table.ends() if end.requests & blamed]
        return StoredQuarantine([self._to_stored(end, blamed) for end in ends])

    def _to_stored(self, end: ReplicaEnd, blamed: set[int]) -> StoredEnd:
        age = self._clock.monotonic() - end.at
        return StoredEnd(
            end.replica,
            end.life,
            round((self._clock.wall() - age) * 1000),
            sorted(fingerprint_name(request) for request in end.requests & blamed),
            sorted(fingerprint_name(request) for request in end.cleared & blamed),
        )

    async def _write_all(self) -> None:
        try:
            await asyncio.sleep(GATHER_SECONDS)
            while self._unwritten():
                await self._write()
        finally:
            self._writing = False

    async def _write(self) -> None:
        try:
            stored = await self._store.get(KIND, NAME)
            self._take(stored)
            if not self._unwritten():
                return
            value = msgspec.to_builtins(self._wanted())
            expected = stored.version if stored is not None else 0
            version = await self._store.put(KIND, NAME, value, expected)
            self._take(StoredObject(KIND, NAME, version, value))
            self._backoff.reset()
        except StoreConflict:
            get_logger().info("quarantine was updated by another node at the same time")
        except StoreUnavailable as problem:
            get_logger().info("quarantine could not be stored", reason=str(problem))
            await asyncio.sleep(self._backoff.pause())

    def _take(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._written = set()
        else:
            self._read(stored.name, stored.value)


def _entries(stored: StoredQuarantine) -> set[Entry]:
    """Return each pair of a crash and a request in ``stored``."""
    return {
        Entry(end.replica, end.life, word, word in end.cleared)
        for end in stored.ends
        for word in end.requests
    }
