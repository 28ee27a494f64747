"""Which idle connections are kept, and which one is used or closed next; does no I/O."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

# Bounds the idle connections to one replica. A replica limits its connections from all nodes
# together, and a large fleet has a hundred nodes.
MAX_IDLE_PER_REPLICA = 1
# Bounds the idle connections of a node. Most of its file descriptors are needed for the connections
# of callers and for running requests.
MAX_IDLE_CONNECTIONS = 256

Item = TypeVar("Item")


@dataclass(frozen=True)
class Place:
    """A replica and its endpoint ``ip:port``, which may be another replica's later."""

    replica: str
    endpoint: str


class IdleConnections(Generic[Item]):
    """Idle connections by replica; the one that was used last is used next."""

    def __init__(
        self, max_per_replica: int = MAX_IDLE_PER_REPLICA, max_total: int = MAX_IDLE_CONNECTIONS
    ) -> None:
        self._max_per_replica = max_per_replica
        self._max_total = max_total
        # Connections in the order in which they became idle.
        self._target_of: dict[Item, Place] = {}
        self._items_at: dict[Place, list[Item]] = {}

    def __len__(self) -> int:
        return len(self._target_of)

    def targets(self) -> list[Place]:
        """Return the replicas, with their endpoints, that have idle connections."""
        return list(self._items_at)

    def put(self, target: Place, item: Item) -> list[Item]:
        """Keep ``item``; return the oldest items that have to be closed to make space for it."""
        self._target_of[item] = target
        self._items_at.setdefault(target, []).append(item)
        return list(self._remove_surplus(target))

    def _remove_surplus(self, target: Place) -> Iterator[Item]:
        if len(self._items_at[target]) > self._max_per_replica:
            oldest = self._items_at[target][0]
            self.remove(oldest)
            yield oldest
        if len(self._target_of) > self._max_total:
            oldest = next(iter(self._target_of))
            self.remove(oldest)
            yield oldest

    def take(self, target: Place) -> Item | None:
        """Remove and return the connection to ``target`` that was used last, ``None`` for none."""
        items = self._items_at.get(target)
        if not items:
            return None
        item = items[-1]
        self.remove(item)
        return item

    def remove(self, item: Item) -> bool:
        """Remove ``item``; return True if it was kept."""
        target = self._target_of.pop(item, None)
        if target is None:
            return False
        items = self._items_at[target]
        items.remove(item)
        if not items:
            del self._items_at[target]
        return True

    def drop(self, target: Place) -> list[Item]:
        """Remove and return all connections to ``target``."""
        dropped = list(self._items_at.get(target, ()))
        for item in dropped:
            self.remove(item)
        return dropped
