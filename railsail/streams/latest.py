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
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
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

# Maximum wait for the answers of the store.
READ_SECONDS = 0.5
# Calls of a read, unless the store has forgotten changes or answers a watch before the list.
CALLS_PER_READ = 4
# All nodes make this many reads a second together at most, so that the load of the store is bounded
# when many streams are resumed everywhere.
READS_PER_SECOND = 450
MIN_INTERVAL_SECONDS = 0.02
# After a read that failed, further ones fail at once for this time. Their callers are refused, or
# peers are asked, without another wait.
FAILURE_SECONDS = 0.25
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


class LatestPlacesReader:
    """Reads the store for the requests that wait, with one read for all of them.

    ``fleet_size`` returns the number of nodes.
    """

    def __init__(
        self,
        store: Store,
        freshness: Freshness,
        fleet_size: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._fleet_size = fleet_size
        self._clock = clock
        self._metrics = metrics
        self._invalid_records = InvalidRecords()
        # Until when the store is not asked for changes that it has just forgotten.
        self._forgotten_until = 0.0
        # The newest version of the configuration in any read, and the store's version when the
        # configuration itself was read.
        self._configuration = 0
        self._configuration_read_at = 0
        # The read whose calls are made, and the one that starts after it.
        self._running: asyncio.Task[LatestPlaces | ReadFailed] | None = None
        self._next: asyncio.Task[LatestPlaces | ReadFailed] | None = None
        self._started_at = -1.0
        self._failed: ReadFailed | None = None
        self._fails_until = 0.0

    @property
    def _interval(self) -> float:
        """Return the minimum of seconds between the starts of two reads of this node."""
        return max(MIN_INTERVAL_SECONDS, self._fleet_size() / READS_PER_SECOND)

    @property
    def longest_wait(self) -> float:
        """Return within how many seconds a read of a node of this fleet has a result."""
        return self._interval + READ_SECONDS

    async def read(self) -> LatestPlaces | ReadFailed:
        """Return the result of a read that is started after this call."""
        if self._failed is not None and self._clock.monotonic() < self._fails_until:
            return self._failed
        if self._next is None:
            self._next = asyncio.ensure_future(self._read_next(self._running))
        # Others wait for the same read when the caller of one request leaves.
        return await asyncio.shield(self._next)

    async def _read_next(
        self, running: asyncio.Task[LatestPlaces | ReadFailed] | None
    ) -> LatestPlaces | ReadFailed:
        if running is not None and not running.done():
            before = await asyncio.shield(running)
            if isinstance(before, ReadFailed):
                self._next = None
                return before
        starts_at = self._started_at + self._interval
        await asyncio.sleep(max(0.0, starts_at - self._clock.monotonic()))
        self._running, self._next = self._next, None
        self._started_at = self._clock.monotonic()
        return self._record(await self._read())

    def _record(self, result: LatestPlaces | ReadFailed) -> LatestPlaces | ReadFailed:
        self._failed = result if isinstance(result, ReadFailed) else None
        self._metrics.place_reads.inc({"result": "failed" if self._failed else "done"})
        if self._failed is not None:
            self._fails_until = self._clock.monotonic() + FAILURE_SECONDS
            get_logger().info(
                "it could not be read where streams may have begun", reason=self._failed.reason
            )
        return result

    async def _read(self) -> LatestPlaces | ReadFailed:
        try:
            async with asyncio.timeout(READ_SECONDS):
                return await self._read_places()
        except StoreUnavailable as problem:
            return ReadFailed(str(problem))
        except TimeoutError:
            return ReadFailed("the store did not answer in time")
        except Exception as problem:
            # The reads that wait for this one would fail with it, and so would all later ones.
            get_logger().exception("an answer of the store about replicas could not be read")
            return ReadFailed(f"{type(problem).__name__}: {problem}")

    async def _read_places(self) -> LatestPlaces | ReadFailed:
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
