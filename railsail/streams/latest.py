"""Reads from the store which places streams may have begun in until now.

A proof that this node has all changes tells what was true when the proof was made. A stream that is
resumed may have begun after it, at a version that this node does not know yet. Only a read that is
started after the request has arrived shows all places where its stream may have begun.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from railsail.configuration.repository import HEAD
from railsail.configuration.repository import KIND as CONFIGURATION
from railsail.core.clock import Clock
from railsail.core.exceptions import StoreUnavailable
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.store.base import Store, StoredObject, WatchEvent, WatchResult
from railsail.store.freshness import Freshness
from railsail.streams.stored import PoolVersion
from railsail.upstreams.directory import KIND as UPSTREAM
from railsail.upstreams.evacuations import KIND as EVACUATION
from railsail.upstreams.invalidrecords import InvalidRecords
from railsail.upstreams.records import parse_record

# Maximum wait for the answers of the store.
READ_SECONDS = 0.4
# All nodes make this many reads a second together at most, of three calls each, so that the load of
# the store is bounded when many streams are resumed everywhere.
READS_PER_SECOND = 600
MIN_INTERVAL_SECONDS = 0.02
# After a read that failed, further ones fail at once for this time. Their callers are refused, or
# peers are asked, without another wait.
FAILURE_SECONDS = 0.25
# A change may be lost with a link between nodes, and arrive only when heartbeats have shown that it
# is missing. Changes are therefore read again from the version that was proved so long ago.
SETTLING_SECONDS = 8.0
# The shortest wait of a watch: the store returns what has changed at once.
WATCH_SECONDS = 0.001


@dataclass(frozen=True)
class LatestPlaces:
    """What the store held at some moment after ``read_at``, in seconds of the monotonic clock.

    ``versions`` are the software versions of replicas that have changed recently, and
    ``store_version`` is the store's version up to which these are complete. ``configuration`` is
    the version of the configuration if that has changed, else 0.
    """

    read_at: float
    store_version: int
    versions: frozenset[PoolVersion]
    configuration: int


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
        # The read whose calls are made, and the one that starts after it.
        self._running: asyncio.Task[LatestPlaces | ReadFailed] | None = None
        self._next: asyncio.Task[LatestPlaces | ReadFailed] | None = None
        self._started_at = -1.0
        self._failed: ReadFailed | None = None
        self._fails_until = 0.0

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
        interval = max(MIN_INTERVAL_SECONDS, self._fleet_size() / READS_PER_SECOND)
        await asyncio.sleep(max(0.0, self._started_at + interval - self._clock.monotonic()))
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
        # Lists are never outdated, but watches may be. This list is short, and says which version
        # the store has by now.
        listing = await self._store.list(EVACUATION)
        upstreams, configuration = await asyncio.gather(
            self._upstream_changes(), self._changed_configuration(listing.version)
        )
        if upstreams.expired:
            return ReadFailed("the store has forgotten changes", history_lost=True)
        if upstreams.version < listing.version:
            return ReadFailed("a watch of the store lags behind its lists")
        versions = self._versions(upstreams.events)
        return LatestPlaces(read_at, upstreams.version, versions, configuration)

    async def _upstream_changes(self) -> WatchResult:
        settled = self._freshness.settled_version(UPSTREAM, SETTLING_SECONDS)
        newest = self._freshness.version(UPSTREAM)
        result = await self._changes(UPSTREAM, settled)
        if result.expired and settled < newest:
            # The store may keep a shorter history.
            result = await self._changes(UPSTREAM, newest)
        return result

    async def _changed_configuration(self, latest: int) -> int:
        """Return the version of the configuration if it has changed, else 0.

        Changes up to the store's version ``latest`` count.
        """
        changes = await self._changes(CONFIGURATION, self._freshness.version(CONFIGURATION))
        if not changes.expired and changes.version >= latest:
            return max((_configuration_version(event) for event in changes.events), default=0)
        stored = await self._store.get(CONFIGURATION, HEAD)
        return _configuration_version(stored) if stored is not None else 0

    async def _changes(self, kind: str, since: int) -> WatchResult:
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
