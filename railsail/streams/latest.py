"""Reads from the store which places streams may have begun in until now.

A proof that this node has all changes tells what was true when the proof was made. A stream that is
resumed may have begun after it, at a version that this node does not know yet. Only a read that is
started after the request has arrived shows all places where its stream may have begun.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from railsail.configuration.repository import HEAD
from railsail.configuration.repository import KIND as CONFIGURATION
from railsail.core.clock import Clock
from railsail.core.exceptions import StoreUnavailable
from railsail.store.base import Store, StoredObject, WatchEvent, WatchResult
from railsail.store.freshness import Freshness
from railsail.store.versions import era_of, revision_of
from railsail.store.watcher import as_event
from railsail.streams.stored import KIND as STORED_KIND
from railsail.streams.stored import PLACES_NAME, Place, PoolVersion, read_places
from railsail.upstreams.directory import KIND as UPSTREAM
from railsail.upstreams.evacuations import KIND as EVACUATION
from railsail.upstreams.invalidrecords import InvalidRecords
from railsail.upstreams.records import parse_record

# The calls of a read, unless the store answers a watch before the list.
CALLS_PER_READ = 4
# A change may be lost with a link between nodes, and arrive only when heartbeats have shown that it
# is missing. Changes are therefore read again from the version that was proved so long ago.
SETTLING_SECONDS = 8.0
# Changes may be lost with a store that is restored from a copy. The nodes that know them store the
# places again within this time.
RESTORED_SECONDS = 4.0
# The shortest wait of a watch: the store returns what has changed at once.
WATCH_SECONDS = 0.001


@dataclass(frozen=True)
class LatestPlaces:
    """What the store held at some moment after ``read_at``, in seconds of the monotonic clock.

    ``versions`` are the software versions of replicas that have changed recently. ``configuration``
    is the version of the configuration, 0 if it is none that this node may lack. ``stored`` are the
    places that nodes have stored, which include those that came and went without a trace here.
    """

    read_at: float
    versions: frozenset[PoolVersion]
    configuration: int
    stored: frozenset[Place] = frozenset()


@dataclass(frozen=True)
class ReadFailed:
    """The store could not be read; ``history_lost`` is set if it has forgotten some changes."""

    reason: str
    history_lost: bool = False


class LatestPlacesQuery:
    """The calls to the store of one read after the other."""

    def __init__(self, store: Store, freshness: Freshness, clock: Clock) -> None:
        self._store = store
        self._freshness = freshness
        self._clock = clock
        self._invalid_records = InvalidRecords()
        # Until when the store is not asked for changes that it has just forgotten.
        self._forgotten_until = 0.0
        # The newest version of the configuration in any read, and the store's version when the
        # configuration itself was read.
        self._configuration = 0
        self._configuration_read_at = 0

    async def run(self) -> LatestPlaces | ReadFailed:
        """Return the places that the store has now; its errors propagate."""
        read_at = self._clock.monotonic()
        for kind in (UPSTREAM, CONFIGURATION):
            if not self._freshness.version(kind):
                return ReadFailed(f"{kind}: this node has read nothing from which to go on")
        if self._freshness.seconds_since_restore() < RESTORED_SECONDS:
            return ReadFailed("the store was restored from a copy a moment ago")
        latest = asyncio.ensure_future(self._latest_version())
        version, upstreams, configuration, stored = await asyncio.gather(
            latest,
            self._repeated(latest, self._watch_upstreams),
            self._latest_configuration(latest),
            self._stored_places(),
        )
        if upstreams.expired:
            # The stored places have the versions of replicas that are not listed any more.
            if stored is None:
                return ReadFailed("the store has forgotten changes", history_lost=True)
            upstreams = await self._list_upstreams()
        if upstreams.version < version:
            return ReadFailed("a watch of the store lags behind its lists")
        return LatestPlaces(
            read_at, self._versions(upstreams.events), configuration, stored or frozenset()
        )

    async def _latest_version(self) -> int:
        """Return the store's version by now, from a short list.

        Lists are never outdated, but watches may be.
        """
        version = (await self._store.list(EVACUATION)).version
        if not revision_of(version):
            # The store does not know the kind, and names no version.
            version = (await self._store.list(UPSTREAM)).version
        if not revision_of(version):
            raise StoreUnavailable("the store does not name its version")
        return version

    async def _repeated(
        self, latest: asyncio.Future[int], watch: Callable[[], Awaitable[WatchResult]]
    ) -> WatchResult:
        """Return the result of ``watch``, which is repeated once if it lacks changes."""
        result = await watch()
        if not result.expired and result.version < await latest:
            # The store may have answered the watch before the list.
            result = await watch()
        return result

    async def _watch_upstreams(self) -> WatchResult:
        now = self._clock.monotonic()
        if now < self._forgotten_until:
            return WatchResult(0, (), expired=True)
        settled = self._freshness.settled_version(UPSTREAM, SETTLING_SECONDS)
        result = await self._watch(UPSTREAM, settled)
        if result.expired:
            self._forgotten_until = now + SETTLING_SECONDS
        return result

    async def _list_upstreams(self) -> WatchResult:
        """Return all replicas that are listed now, as changes."""
        listing = await self._store.list(UPSTREAM)
        return WatchResult(listing.version, tuple(as_event(found) for found in listing.objects))

    async def _latest_configuration(self, latest: asyncio.Future[int]) -> int:
        """Return the newest version of the configuration that this node has read here, or 0."""
        since = max(self._freshness.version(CONFIGURATION), self._configuration_read_at)
        changes = await self._repeated(latest, lambda: self._watch(CONFIGURATION, since))
        found: list[WatchEvent | StoredObject] = list(changes.events)
        if changes.expired or changes.version < await latest:
            stored = await self._store.get(CONFIGURATION, HEAD)
            found = [stored] if stored is not None else []
            self._configuration_read_at = await latest
        versions = (_configuration_version(each) for each in found)
        self._configuration = max(self._configuration, *versions, 0)
        return self._configuration

    async def _stored_places(self) -> frozenset[Place] | None:
        """Return the places that nodes have stored, ``None`` if there are none."""
        stored = await self._store.get(STORED_KIND, PLACES_NAME)
        places = read_places(stored) if stored is not None else None
        if places is None:
            return None
        if places.era != era_of(stored.version):
            raise StoreUnavailable("the stored places are from before the store was restored")
        return places.places

    async def _watch(self, kind: str, since: int) -> WatchResult:
        return await self._store.watch((kind,), since, WATCH_SECONDS)

    def _versions(self, events: tuple[WatchEvent, ...]) -> frozenset[PoolVersion]:
        records = (
            parse_record(event, self._invalid_records)
            for event in events
            if event.value is not None
        )
        return frozenset(
            PoolVersion(record.pool, record.software_version)
            for record in records
            if record is not None
        )


def _configuration_version(stored: WatchEvent | StoredObject) -> int:
    """Return the version of the configuration that is ``stored``, 0 for a deletion."""
    version = (stored.value or {}).get("version", 0)
    return version if isinstance(version, int) else 0
