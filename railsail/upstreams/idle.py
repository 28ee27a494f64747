"""Which idle connections are kept, and which one is used or closed next; does no I/O."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

# Bounds the idle connections to one replica. A replica limits its connections from all nodes
# together, and a large fleet has a hundred nodes.
MOST_AT_PLACE = 1
# Bounds the idle connections of a node. Most of its file descriptors are needed for the connections
# of callers and for running requests.
MOST_IN_ALL = 256

Item = TypeVar("Item")


@dataclass(frozen=True)
class Place:
    """A replica and its endpoint ``ip:port``, which may be another replica's later."""

    replica: str
    endpoint: str


class IdleConnections(Generic[Item]):
    """Idle connections by place; the one that was used last is used next."""

    def __init__(self, most_at_place: int = MOST_AT_PLACE, most_in_all: int = MOST_IN_ALL) -> None:
        self._most_at_place = most_at_place
        self._most_in_all = most_in_all
        # Connections in the order in which they became idle.
        self._place_of: dict[Item, Place] = {}
        self._at: dict[Place, list[Item]] = {}

    def __len__(self) -> int:
        return len(self._place_of)

    def places(self) -> list[Place]:
        """Return the places that have idle connections."""
        return list(self._at)

    def put(self, place: Place, item: Item) -> list[Item]:
        """Keep ``item``; return the oldest items that have to be closed to make space for it."""
        self._place_of[item] = place
        self._at.setdefault(place, []).append(item)
        return list(self._remove_surplus(place))

    def _remove_surplus(self, place: Place) -> Iterator[Item]:
        if len(self._at[place]) > self._most_at_place:
            oldest = self._at[place][0]
            self.remove(oldest)
            yield oldest
        if len(self._place_of) > self._most_in_all:
            oldest = next(iter(self._place_of))
            self.remove(oldest)
            yield oldest

    def take(self, place: Place) -> Item | None:
        """Remove and return the connection to ``place`` that was used last."""
        items = self._at.get(place)
        if not items:
            return None
        item = items[-1]
        self.remove(item)
        return item

    def remove(self, item: Item) -> bool:
        """Remove ``item``; return True if it was kept."""
        place = self._place_of.pop(item, None)
        if place is None:
            return False
        items = self._at[place]
        items.remove(item)
        if not items:
            del self._at[place]
        return True

    def drop(self, place: Place) -> list[Item]:
        """Remove and return all connections to ``place``."""
        dropped = list(self._at.get(place, ()))
        for item in dropped:
            self.remove(item)
        return dropped
