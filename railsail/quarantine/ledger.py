"""The same in the store, for nodes that cannot reach their peers, and for those that start anew.

One object holds the ends that matter: those under which at least two replicas ended. Whoever has
seen such an end itself adds it by a conditional update, so that nothing is lost where several write
at once. A crash that takes a host along writes nothing: its requests have one end each.
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
# Requests under which fewer replicas ended are not written down.
ENDS_TO_WRITE = 2
# A node that cannot reach its peers is the only one that can tell of what it sees.
ENDS_TO_WRITE_ALONE = 1
# News of ends come in groups; so many seconds are waited for the rest of a group.
GATHER_SECONDS = 0.05
FIRST_PAUSE_SECONDS = 0.1
MOST_PAUSE_SECONDS = 2.0
# A watch of these objects lasts so long. Peers tell each other at once; what only the store knows
# comes with the watch, and one that has died unnoticed is made good by those of other nodes.
WATCH_SECONDS = 10.0


class StoredEnd(msgspec.Struct, frozen=True):
    """The end of a replica; ``at`` is in milliseconds since the Unix epoch."""

    replica: str
    life: int
    at: int
    requests: list[str]


class StoredClearing(msgspec.Struct, frozen=True):
    """That no end before ``at``, in milliseconds since the Unix epoch, counts any more."""

    request: str
    at: int


class StoredQuarantine(msgspec.Struct, frozen=True):
    """The value of the object."""

    ends: list[StoredEnd] = []
    cleared: list[StoredClearing] = []


class QuarantineLedger:
    """Write what this node has seen, and read what others wrote.

    ``alone`` says whether this node has no peers that would tell others of it.
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
        self._written: set[tuple[str, int, str]] = set()
        self._cleared: dict[str, int] = {}
        self._tasks = TaskSet()
        self._writing = False
        quarantine.on_change(self._changed)

    def stop(self) -> None:
        """Write nothing any more."""
        self._tasks.cancel()

    def listed(self, listing: Listing) -> None:
        """Take in a listing of the store."""
        for stored in listing.objects:
            self._read(stored.name, stored.value)

    def seen(self, event: WatchEvent) -> None:
        """Take in a watch event of the store."""
        self._read(event.name, event.value)

    def _read(self, name: str, value: dict[str, object] | None) -> None:
        if name != NAME or value is None:
            return
        try:
            stored = msgspec.convert(value, StoredQuarantine)
            requests = {word: int(word, 16) for end in stored.ends for word in end.requests}
            cleared = {int(item.request, 16): self._moment(item.at) for item in stored.cleared}
        except (msgspec.ValidationError, ValueError) as problem:
            get_logger().warning("quarantine record refused", reason=str(problem))
            return
        self._written = _entries(stored)
        self._cleared = {item.request: item.at for item in stored.cleared}
        ends = [
            ReplicaEnd(
                end.replica,
                end.life,
                self._moment(end.at),
                frozenset(requests[word] for word in end.requests),
            )
            for end in stored.ends
        ]
        self._quarantine.merge(ends, cleared, "")
        # What others wrote may make that matter which only this node has seen.
        self._changed()

    def _moment(self, at: int) -> float:
        """Return a time of day as one of this node's clock; none is yet to come."""
        age = self._clock.wall() - at / 1000
        return self._clock.monotonic() - max(0.0, age)

    def _changed(self) -> None:
        if not self._writing and self._unwritten():
            self._writing = True
            self._tasks.start(self._write_all())

    def _unwritten(self) -> bool:
        """Say whether the store lacks anything that this node has seen itself."""
        wanted = self._wanted()
        missing = _entries(wanted) - self._written
        if any((replica, life) in self._quarantine.seen_here for replica, life, _ in missing):
            return True
        cleared = {item.request for item in wanted.cleared} - set(self._cleared)
        return any(int(word, 16) in self._quarantine.cleared_here for word in cleared)

    def _wanted(self) -> StoredQuarantine:
        """Return what this node would have the store hold."""
        least = ENDS_TO_WRITE_ALONE if self._alone() else ENDS_TO_WRITE
        standings = self._quarantine.standings(least)
        blamed = {standing.request for standing in standings}
        ends = {end.key: end for standing in standings for end in standing.ends}
        held = {int(word, 16) for _, _, word in self._written}
        cleared = {r: at for r, at in self._quarantine.table.cleared().items() if r in held}
        return StoredQuarantine(
            [self._to_stored(end, blamed) for end in ends.values()],
            [StoredClearing(fingerprint_name(r), self._time(at)) for r, at in cleared.items()],
        )

    def _to_stored(self, end: ReplicaEnd, blamed: set[int]) -> StoredEnd:
        requests = sorted(fingerprint_name(request) for request in end.requests & blamed)
        return StoredEnd(end.replica, end.life, self._time(end.at), requests)

    def _time(self, at: float) -> int:
        return round((self._clock.wall() - (self._clock.monotonic() - at)) * 1000)

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
            get_logger().info("quarantine written by another node meanwhile")
        except StoreUnavailable as problem:
            get_logger().info("quarantine not written yet", reason=str(problem))
            await asyncio.sleep(self._backoff.pause())

    def _take(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._written = set()
            self._cleared = {}
        else:
            self._read(stored.name, stored.value)


def _entries(stored: StoredQuarantine) -> set[tuple[str, int, str]]:
    return {(end.replica, end.life, word) for end in stored.ends for word in end.requests}
