"""The records of streams that were in the store when this node started."""

from array import array
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable

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


def _contains(keys: array, key: int) -> bool:
    index = bisect_left(keys, key)
    return index < len(keys) and keys[index] == key
