"""Reads of the latest places, one for all requests that wait at a node."""

import asyncio
from collections.abc import Callable

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreUnavailable
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.store.base import Store
from railsail.store.freshness import Freshness
from railsail.streams.latest import LatestPlaces, LatestPlacesQuery, ReadFailed

# Maximum wait for the answers of the store.
READ_SECONDS = 0.5
# All nodes make this many reads a second together at most, so that the load of the store is bounded
# when many streams are resumed everywhere.
READS_PER_SECOND = 450
MIN_INTERVAL_SECONDS = 0.02
# After a read that failed, further ones fail at once for this time. Their callers are refused, or
# peers are asked, without another wait.
FAILURE_SECONDS = 0.25


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
        self._query = LatestPlacesQuery(store, freshness, clock)
        self._fleet_size = fleet_size
        self._clock = clock
        self._metrics = metrics
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
                return await self._query.run()
        except StoreUnavailable as problem:
            return ReadFailed(str(problem))
        except TimeoutError:
            return ReadFailed("the store did not answer in time")
        except Exception as problem:
            # The reads that wait for this one would fail with it, and so would all later ones.
            get_logger().exception("an answer of the store about replicas could not be read")
            return ReadFailed(f"{type(problem).__name__}: {problem}")
