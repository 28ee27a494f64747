"""The typed interface to the platform's object API.

Versions are whole numbers that rise with every write to any object, also when the store is restored
from an older copy (see ``railsail.store.versions``). A conditional write names the version that it
expects, 0 for an object that must not exist yet.
"""

from dataclasses import dataclass
from typing import Protocol

from railsail.core.registry import Registry

# The Unicode replacement character, which store clients put in place of bytes that are not UTF-8.
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
    """All objects of a kind, and the store's ``version`` when they were listed.

    ``settled`` is false just after an outage of the store: objects may have expired during the
    outage, or be missing from the copy that the store was restored from, and are about to be
    written again.
    """

    version: int
    objects: tuple[StoredObject, ...]
    settled: bool = True


@dataclass(frozen=True)
class WatchEvent:
    """A change of one object; ``value`` is ``None`` for a deletion."""

    kind: str
    name: str
    version: int
    value: dict[str, object] | None


@dataclass(frozen=True)
class WatchResult:
    """The changes that a watch returned, and the store's ``version`` up to which they are complete.

    ``expired`` means that the store no longer has all changes after the watched version, so that
    the objects must be listed again.
    """

    version: int
    events: tuple[WatchEvent, ...]
    expired: bool = False


class Store(Protocol):
    """A client of the object API.

    Every method raises ``StoreUnavailable`` if the store cannot be reached or refuses the call. A
    write that raises it may have taken effect nevertheless. ``put``, ``put_status`` and ``delete``
    raise ``StoreConflict`` if the object has another version than the expected one.
    ``watches_many`` is True if one watch may cover several kinds.
    """

    watches_many: bool

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it does not exist."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of ``kind``."""

    async def put(self, kind: str, name: str, value: dict[str, object], expected: int) -> int:
        """Write an object if its version is ``expected``, and return the new version."""

    async def put_status(
        self, kind: str, name: str, value: dict[str, object], expected: int
    ) -> int:
        """Replace the status of an object if its version is ``expected``; return the new version.

        The status of a rollout is what ``get`` and ``list`` return under the key ``status``.
        """

    async def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if its version is ``expected``."""

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        """Return changes of ``kinds`` after version ``since``; wait at most ``seconds`` for one."""


STORES: Registry[type] = Registry("store client")
