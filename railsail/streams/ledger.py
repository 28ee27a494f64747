"""The places where streams may have begun, in the store, for nodes that start.

A few nodes write the object, by conditional updates and only when it changes. A place is added when
a node observes it, and removed once no caller can return to it any more. The object therefore never
lacks a place that daemons have used, except for the moment that a write takes.
"""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import get_logger
from railsail.store.base import Store, StoredObject
from railsail.store.journal import Backoff
from railsail.store.versions import era_of
from railsail.streams.history import OriginHistory
from railsail.streams.stored import (
    KIND,
    PLACES_NAME,
    Place,
    StoredPlaces,
    read_places,
    to_stored_places,
)

# The nodes that write the object. The first one writes at once. The others write what it has not
# written after this delay each, for when it is paused or cannot reach the store.
WRITERS = 3
DELAY_SECONDS = 1.0
# Interval at which a node checks whether places can be removed, and whether it has become a writer.
CHECK_SECONDS = 5.0
# For this long after a place can be removed, the other writers read what the first one has written.
# It may remove a place that is in use again, as long as it does not hear of that: a node that is
# out of step removes nothing after some five seconds, and checks every five seconds.
REMOVAL_SECONDS = 15.0
# A node that starts does not write in this time, in which it learns of the other members.
MEMBER_DISCOVERY_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0


class PlacesLedger:
    """Keeps the stored places up to date with ``history``.

    ``rank`` returns the position of this node among those that write, ``None`` if it is not among
    them. ``era`` returns the store generation.
    """

    def __init__(
        self,
        store: Store,
        history: OriginHistory,
        rank: Callable[[], int | None],
        era: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._history = history
        self._rank = rank
        self._era = era
        self._clock = clock
        self._backoff = Backoff(rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        self._changed = asyncio.Event()
        # The stored object when this node last read or wrote it, and its version.
        self._stored: StoredPlaces | None = None
        self._stored_places: frozenset[Place] = frozenset()
        self._version = 0
        # By stored place: when this node first knew that it is stored.
        self._stored_since: dict[Place, float] = {}
        # When this node last read or wrote the object.
        self._known_at = -math.inf
        # Since when a place of the history has not been stored, as far as known here.
        self._missing_since = math.inf
        # Until when the first writer may remove a place that was not in use a moment ago.
        self._removal_until = -math.inf

    def wake(self) -> None:
        """Check at once whether there are new places; call it when the history has changed."""
        self._changed.set()

    def loaded(self, stored: StoredObject | None) -> StoredPlaces | None:
        """Take over the object as it was read; return its value if it is complete."""
        places = read_places(stored) if stored is not None else None
        self._record(places, stored.version if stored is not None else 0)
        if places is None or places.era != era_of(stored.version):
            return None
        return places

    async def read(self) -> StoredPlaces | None:
        """Read the object, and return its value if it is complete; the store's errors propagate."""
        return self.loaded(await self._store.get(KIND, PLACES_NAME))

    async def run(self) -> None:
        """Write the changes of the history until cancelled."""
        await asyncio.sleep(MEMBER_DISCOVERY_SECONDS)
        while True:
            try:
                await self.update()
                self._backoff.reset()
            except StoreConflict:
                get_logger().info("the places of streams were written by another node")
                await self._reread()
                continue
            except StoreUnavailable as problem:
                get_logger().info("the places of streams could not be stored", reason=str(problem))
                await asyncio.sleep(self._backoff.pause())
                continue
            await self._wait()

    async def _reread(self) -> None:
        try:
            await self.read()
        except StoreUnavailable as problem:
            get_logger().info("the places of streams could not be read", reason=str(problem))
            await asyncio.sleep(self._backoff.pause())

    async def _wait(self) -> None:
        is_missing = math.isfinite(self._missing_since)
        try:
            async with asyncio.timeout(DELAY_SECONDS if is_missing else CHECK_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            pass
        self._changed.clear()

    async def update(self) -> None:
        """Write the object if that is due and this node is one of those that write it.

        Errors of the store propagate; after ``StoreConflict`` the object has to be read.
        """
        now = self._clock.monotonic()
        rank = self._rank()
        if rank is None or math.isinf(self._history.window):
            return
        if rank and self._may_have_been_removed(now):
            await self.read()
        if not self._is_outdated(now):
            self._missing_since = math.inf
            if rank or self._wanted(now) == self._stored_places:
                return
        self._missing_since = min(self._missing_since, now)
        if now < self._missing_since + rank * DELAY_SECONDS:
            return
        if rank or not self._version:
            # Another node may have written it.
            await self.read()
        await self._write(now)

    def _may_have_been_removed(self, now: float) -> bool:
        """Return True if the object may lack a place that it had when it was last read."""
        if self._wanted(now) < self._stored_places:
            self._removal_until = now + REMOVAL_SECONDS
        return self._known_at + CHECK_SECONDS <= now < self._removal_until

    def _is_outdated(self, now: float) -> bool:
        """Return True if the object lacks a place, or was restored from a copy."""
        if not self._history.places(now) <= self._stored_places:
            return True
        return self._stored is not None and self._stored.era != self._era()

    def _wanted(self, now: float) -> frozenset[Place]:
        """Return the places of the history, and stored ones to which callers may still return."""
        kept = {
            place
            for place in self._stored_places
            if not self._history.observed_whole_window(now)
            or now - self._stored_since[place] < self._history.window
        }
        return frozenset(self._history.places(now) | kept)

    async def _write(self, now: float) -> None:
        wanted = self._wanted(now)
        era = self._era()
        if not self._history.is_trusted(now):
            if self._stored is None:
                # The object would seem to be complete.
                return
            era = self._stored.era
        value = to_stored_places(wanted, era)
        if value == self._stored:
            return
        version = await self._store.put(
            KIND, PLACES_NAME, msgspec.to_builtins(value), self._version
        )
        self._record(value, version)

    def _record(self, stored: StoredPlaces | None, version: int) -> None:
        now = self._clock.monotonic()
        self._known_at = now
        self._stored = stored
        self._stored_places = stored.places if stored is not None else frozenset()
        self._stored_since = {
            place: self._stored_since.get(place, now) for place in self._stored_places
        }
        self._version = version
