"""The records of streams that were in the store when this node started."""

import asyncio
from array import array
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable

from railsail.core.clock import Clock
from railsail.store.base import StoredObject
from railsail.streams.origins import StreamOrigin
from railsail.streams.stored import BATCH_PREFIX, read_batch

_UNSIGNED_64_BITS = "Q"


class RecoveredRecords:
    """A lookup of the origins of streams, at 8 bytes a stream.

    There may be a hundred thousand of them if a large fleet is lost during a rollout.
    """

    def __init__(self, objects: Iterable[StoredObject] = ()) -> None:
        keys: defaultdict[StreamOrigin, set[int]] = defaultdict(set)
        for stored in objects:
            if stored.name.startswith(BATCH_PREFIX):
                for origin, found in read_batch(stored).items():
                    keys[origin].update(found)
        self._sorted_keys = {
            origin: array(_UNSIGNED_64_BITS, sorted(found)) for origin, found in keys.items()
        }

    def __len__(self) -> int:
        return sum(len(keys) for keys in self._sorted_keys.values())

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of stream ``key``, ``None`` unless there is exactly one."""
        found = [origin for origin, keys in self._sorted_keys.items() if _contains(keys, key)]
        return found[0] if len(found) == 1 else None


class RecordRecovery:
    """The stored records that this node reads once after its start.

    They are kept for as long as callers may return.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records = RecoveredRecords()
        self._read_at = 0.0
        # Set once the records are read or need not be waited for; ``None`` before the read starts.
        self._is_over: asyncio.Event | None = None

    def start(self) -> None:
        """Record that this node starts to read, so that requests wait for the result."""
        self._is_over = asyncio.Event()

    def finish(self, records: RecoveredRecords) -> None:
        """Take the records that were read."""
        self._records = records
        self._read_at = self._clock.monotonic()
        if self._is_over is not None:
            self._is_over.set()

    @property
    def is_over(self) -> bool:
        """Return True if the records are read."""
        return self._is_over is not None and self._is_over.is_set()

    async def wait(self, seconds: float) -> None:
        """Wait until the records are read, for ``seconds`` at most."""
        if self._is_over is None or self._is_over.is_set():
            return
        try:
            async with asyncio.timeout(seconds):
                await self._is_over.wait()
        except TimeoutError:
            # The store does not answer, and further requests need not wait for it.
            self._is_over.set()

    def expire(self, window: float) -> None:
        """Drop the records if they were read ``window`` seconds ago."""
        if len(self._records) and self._clock.monotonic() >= self._read_at + window:
            self._records = RecoveredRecords()

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of stream ``key``, ``None`` if it is not known from the store."""
        return self._records.find(key)

    def __len__(self) -> int:
        return len(self._records)


def _contains(keys: array, key: int) -> bool:
    index = bisect_left(keys, key)
    return index < len(keys) and keys[index] == key
