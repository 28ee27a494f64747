"""Records of streams in the store, written in batches by the nodes that keep them."""

import asyncio
import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.store.base import Store
from railsail.store.journal import Backoff
from railsail.streams.origins import StreamOrigin
from railsail.streams.stored import BATCH_PREFIX, KIND, to_stored_batch

# All nodes that write records make this many writes a second together, so that the load of the
# store does not grow with the fleet. Each writes at equal distances, which are not shorter than the
# minimum. What was not written when all nodes are lost cannot be resumed.
WRITES_PER_SECOND = 40
MIN_WRITE_SECONDS = 0.1
# Records that wait while the store cannot be written; the oldest are dropped beyond this number.
MAX_WAITING = 50_000
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
_ID_BITS = 64


@dataclass(frozen=True)
class WrittenBatch:
    """An object that this node wrote, with records that are needed until ``expires_at``."""

    name: str
    version: int
    expires_at: float


class RecordArchive:
    """Writes records of streams to the store.

    ``writers`` returns how many nodes do so, at most. ``window`` returns for how many seconds a
    record is needed. Objects are written again with new records once theirs have expired, so that a
    batch takes one call.
    """

    def __init__(
        self,
        store: Store,
        writers: Callable[[], int],
        window: Callable[[], float],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._writers = writers
        # Start times are not unique: the processes of a fleet that returns start together.
        self._prefix = f"{BATCH_PREFIX}{rng.getrandbits(_ID_BITS):016x}-"
        self._window = window
        self._clock = clock
        self._metrics = metrics
        self._backoff = Backoff(rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        self._waiting: dict[int, StreamOrigin] = {}
        self._written: deque[WrittenBatch] = deque()
        self._next_number = 0

    def add(self, key: int, origin: StreamOrigin) -> None:
        """Store the origin of stream ``key`` with the next batch."""
        self._waiting[key] = origin
        if len(self._waiting) > MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]
            self._metrics.stored_streams.inc({"result": "dropped"})

    @property
    def _interval(self) -> float:
        """Return the seconds between two writes of this node."""
        return max(MIN_WRITE_SECONDS, self._writers() / WRITES_PER_SECOND)

    async def run(self) -> None:
        """Write what is added until cancelled, and delete what has expired."""
        while True:
            await asyncio.sleep(self._interval)
            try:
                await self.update()
                self._backoff.reset()
            except StoreUnavailable as problem:
                get_logger().info("records of streams could not be stored", reason=str(problem))
                await asyncio.sleep(self._backoff.pause())

    async def update(self) -> None:
        """Write what was added, or else delete an object that has expired.

        Raise ``StoreUnavailable`` if the store cannot be written; the records wait then.
        """
        if self._waiting:
            await self._write()
        elif self._has_expired():
            await self._delete_oldest()

    def _has_expired(self) -> bool:
        return bool(self._written) and self._written[0].expires_at <= self._clock.monotonic()

    async def _write(self) -> None:
        batch = self._waiting
        self._waiting = {}
        slot = self._written.popleft() if self._has_expired() else None
        if slot is None:
            slot = WrittenBatch(f"{self._prefix}{self._next_number}", 0, 0.0)
            self._next_number += 1
        groups: defaultdict[StreamOrigin, list[int]] = defaultdict(list)
        for key, origin in batch.items():
            groups[origin].append(key)
        value = msgspec.to_builtins(to_stored_batch(groups))
        try:
            version = await self._store.put(KIND, slot.name, value, slot.version)
        except StoreConflict:
            # An earlier write of which no answer arrived was done. The object is left to expire.
            get_logger().info("an object with records of streams has changed", name=slot.name)
            self._waiting = batch | self._waiting
            return
        except StoreUnavailable:
            # It may have been done, or may be done later, so that the object is not used again.
            self._waiting = batch | self._waiting
            raise
        expires_at = self._clock.monotonic() + self._window()
        self._written.append(WrittenBatch(slot.name, version, expires_at))
        self._metrics.stored_streams.add({"result": "stored"}, len(batch))

    async def _delete_oldest(self) -> None:
        oldest = self._written.popleft()
        try:
            await self._store.delete(KIND, oldest.name, oldest.version)
        except StoreConflict:
            get_logger().info("an object with records of streams has changed", name=oldest.name)
