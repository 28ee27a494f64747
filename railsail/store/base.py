"""The typed interface to the platform's object API.

Versions are whole numbers given by the platform; they rise with every write to any object, also
where the store comes back from an older copy (see ``railsail.store.versions``). A conditional write
names the version that it expects, 0 for an object that must not exist yet.
"""

from dataclasses import dataclass
from typing import Protocol

from railsail.core.registry import Registry

# What store clients put into a text in place of bytes that are no text.
UNREADABLE = "\ufffd"


@dataclass(frozen=True)
class StoredObject:
    """One object at one version; ``value`` is plain JSON data."""

    kind: str
    name: str
    version: int
    value: dict[str, object]


@dataclass(frozen=True)
class Listing:
    """All objects of a kind, and the platform's ``version`` at that moment.

    ``settled`` is false where the store has just come back: objects may have lapsed meanwhile, or
    be missing from the copy that it came back from, and be written again in a moment.
    """

    version: int
    objects: tuple[StoredObject, ...]
    settled: bool = True


@dataclass(frozen=True)
class WatchEvent:
    """A change after the watched version; ``value`` is ``None`` for a deletion."""

    kind: str
    name: str
    version: int
    value: dict[str, object] | None


@dataclass(frozen=True)
class WatchResult:
    """What a watch returned; ``expired`` means that changes were missed and a list is needed."""

    version: int
    events: tuple[WatchEvent, ...]
    expired: bool = False


class Store(Protocol):
    """A client of the object API.

    Every method raises ``StoreUnavailable`` when no answer came. A write that raises it may have
    taken effect all the same. ``put``, ``put_status`` and ``delete`` raise ``StoreConflict`` when
    the object has another version than the one expected. ``watches_many`` says that one watch may
    be about several kinds at once.
    """

    watches_many: bool

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if there is none."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of ``kind``."""

    async def put(self, kind: str, name: str, value: dict[str, object], expected: int) -> int:
        """Write an object if its version is ``expected``, and return the new version."""

    async def put_status(
        self, kind: str, name: str, value: dict[str, object], expected: int
    ) -> int:
        """Replace the status of an object if its version is ``expected``; return the new one.

        The status of a rollout is the value of ``status`` in what ``get`` and ``list`` return.
        """

    async def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if its version is ``expected``."""

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        """Wait at most ``seconds`` for changes of ``kinds`` after version ``since``."""


STORES: Registry[type] = Registry("store client")
