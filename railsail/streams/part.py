"""The part of a daemon that keeps in the store where streams began, and reads it after a start."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import get_logger
from railsail.core.parts import PARTS
from railsail.membership.placement import rank
from railsail.store.base import Listing
from railsail.store.journal import Backoff
from railsail.streams.archive import RecordArchive
from railsail.streams.ledger import WRITERS, PlacesLedger
from railsail.streams.recovery import RecoveredRecords
from railsail.streams.service import StreamOrigins
from railsail.streams.stored import BATCH_PREFIX, KIND, PLACES_NAME

if TYPE_CHECKING:
    from railsail.node import Node

NAME = "streams"
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# Mean interval at which a node that may have missed places reads them from the store.
PLACES_INTERVAL_SECONDS = 2.0
# Minimum interval at which records are listed that nodes wrote which are gone, so that they are
# deleted.
CLEAN_SECONDS = 600.0

T = TypeVar("T")


class StreamsPart:
    """Stores the origins of streams of a node that serves routes."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._origins = node.origins
        if self._origins is not None:
            self._build(self._origins)

    def _build(self, origins: StreamOrigins) -> None:
        node = self._node
        self._backoff = Backoff(node.rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        self._ledger = PlacesLedger(
            node.store,
            origins.history,
            self._writer_rank,
            lambda: node.watcher.era,
            node.clock,
            node.rng,
        )
        self._archive = RecordArchive(
            node.store,
            lambda: origins.candidates.writer_count,
            self._window,
            node.clock,
            node.rng,
            node.metrics,
        )
        origins.on_place(self._ledger.wake)
        origins.on_record(self._archive.add)

    def _window(self) -> float:
        """Return for how many seconds a record is needed."""
        return self._origins.history.window

    def _writer_rank(self) -> int | None:
        """Return the position of this node among those that write, ``None`` for all others."""
        ranked = rank("stream places", self._node.view.usable())[:WRITERS]
        own = self._node.hub.own.node
        return ranked.index(own) if own in ranked else None

    async def run(self) -> None:
        """Read what is stored, and keep it up to date until cancelled."""
        if self._origins is None:
            await asyncio.Event().wait()
            return
        self._origins.recovery.start()
        await asyncio.gather(
            self._recover(), self._ledger.run(), self._archive.run(), self._clean()
        )

    async def _recover(self) -> None:
        """Read what was stored while this node did not run or could not read the store."""
        self._take_over(await self._retried(lambda: self._node.store.list(KIND)))
        while True:
            # All nodes lack places after an outage of the store, and must not read them at once.
            await asyncio.sleep(self._node.rng.uniform(0.5, 1.5) * PLACES_INTERVAL_SECONDS)
            await self._origins.lacks_places.wait()
            stored = await self._retried(self._ledger.read)
            if stored is not None:
                self._origins.recover_places(stored.places)

    async def _retried(self, read: Callable[[], Awaitable[T]]) -> T:
        """Return the result of ``read`` as soon as the store answers."""
        while True:
            try:
                result = await read()
            except StoreUnavailable as problem:
                get_logger().info("the origins of streams cannot be read", reason=str(problem))
                await asyncio.sleep(self._backoff.pause())
                continue
            self._backoff.reset()
            return result

    def _take_over(self, listing: Listing) -> None:
        named = {stored.name: stored for stored in listing.objects}
        stored = self._ledger.loaded(named.get(PLACES_NAME))
        places = stored.places if stored is not None else frozenset()
        records = RecoveredRecords(listing.objects)
        get_logger().info("read the origins of streams", places=len(places), records=len(records))
        self._origins.recover_places(places)
        self._origins.recovery.finish(records)

    async def _clean(self) -> None:
        """Delete the records of nodes that are gone."""
        before: set[str] = set()
        while True:
            # What has not changed for as long as a record is needed has expired.
            window = self._window()
            await asyncio.sleep(
                max(CLEAN_SECONDS, window) if math.isfinite(window) else CLEAN_SECONDS
            )
            if self._writer_rank() != 0 or window != self._window():
                before = set()
                continue
            try:
                before = await self._delete_unchanged(before)
            except StoreUnavailable as problem:
                get_logger().info("old records of streams were not deleted", reason=str(problem))

    async def _delete_unchanged(self, before: set[str]) -> set[str]:
        """Delete the objects that had the same version ``before``; return those that are left."""
        listing = await self._node.store.list(KIND)
        left = set()
        for stored in listing.objects:
            if not stored.name.startswith(BATCH_PREFIX):
                continue
            identity = f"{stored.name}@{stored.version}"
            if identity not in before:
                left.add(identity)
                continue
            try:
                await self._node.store.delete(KIND, stored.name, stored.version)
            except StoreConflict:
                get_logger().info("an object with records of streams is in use", name=stored.name)
        return left

    def stop(self) -> None:
        """Do nothing: all work ends with ``run``."""


@PARTS.register(NAME)
def build(node: "Node") -> StreamsPart:
    """Return the part of ``node`` for the origins of streams."""
    return StreamsPart(node)
