"""A journal in the store: a head object with the newest records, and parts with archived ones.

Records are appended by conditional updates of the head object. Its version only rises, so that the
update of a writer that was paused in between is refused. Records are numbered from 0, and no number
is reused. Part N holds the ``part_size`` records from number N * ``part_size`` on: every writer
that archives it writes the same value, and the head need not list the parts.

The value of the head object is
``{"next": number of the next record, "first": number of the oldest part, "tail": [record, ...]}``.

A journal that cannot be read is never written: its records would be lost, and a writer that does
not know them would decide against them.
"""

import contextlib
import random
from dataclasses import dataclass, replace
from typing import Annotated, TypeVar

import msgspec

from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.store.base import Store, StoredObject

Record = dict[str, object]
Count = Annotated[int, msgspec.Meta(ge=0)]
T = TypeVar("T")


class UnreadableJournal(StoreUnavailable):
    """An object of a journal is missing, or is not what a writer of the journal wrote."""


class _StoredHead(msgspec.Struct, frozen=True):
    next: Count
    first: Count
    tail: list[Record]


class _StoredPart(msgspec.Struct, frozen=True):
    records: list[Record]


@dataclass(frozen=True)
class Head:
    """The head object at the store's ``version``, which is 0 if it does not exist yet.

    ``first_part`` is the number of the oldest part that is kept, and ``tail`` has the records that
    are not archived.
    """

    version: int = 0
    next_number: int = 0
    first_part: int = 0
    tail: tuple[Record, ...] = ()

    @property
    def tail_start(self) -> int:
        """Return the number of the first record of the tail."""
        return self.next_number - len(self.tail)


class Journal:
    """A client of one journal.

    Each call of the store is made once, and its errors are raised to the caller. Reading raises
    ``UnreadableJournal`` if another program has written one of the objects. If ``append`` raises
    ``StoreUnavailable``, the records may have been added nevertheless: read the head and search for
    them.
    """

    def __init__(self, store: Store, kind: str, name: str, part_size: int) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._part_size = part_size

    async def read_head(self) -> Head:
        """Read the head from the store."""
        stored = await self._store.get(self._kind, self._name)
        if stored is None:
            return Head()
        head = _convert(stored, _StoredHead)
        if head.next < len(head.tail):
            raise UnreadableJournal(f"{self._kind}/{self._name}: its tail is too long")
        return Head(stored.version, head.next, head.first, tuple(head.tail))

    def parts(self, head: Head) -> range:
        """Return the numbers of the archived parts that are kept."""
        return range(head.first_part, head.tail_start // self._part_size)

    async def read_part(self, number: int) -> tuple[Record, ...]:
        """Return the records of an archived part.

        Raise ``UnreadableJournal`` if there is none. If it was deleted in the meantime, the head no
        longer names it, and has to be read again.
        """
        name = self._part_name(number)
        stored = await self._store.get(self._kind, name)
        records = _convert(stored, _StoredPart).records if stored is not None else []
        if len(records) != self._part_size:
            raise UnreadableJournal(f"{self._kind}/{name}: it has {len(records)} records")
        return tuple(records)

    async def append(self, head: Head, records: list[Record]) -> Head:
        """Append ``records`` to the journal and return the new head.

        Full parts are archived before. Raise ``StoreConflict`` if the journal has changed since
        ``head`` was read.
        """
        while len(head.tail) >= self._part_size:
            head = await self._archive(head)
        changed = replace(
            head, next_number=head.next_number + len(records), tail=(*head.tail, *records)
        )
        return await self._write(changed)

    async def drop_parts(self, head: Head, first_part: int) -> Head:
        """Delete the parts before number ``first_part``, and return the new head."""
        old = range(head.first_part, first_part)
        head = await self._write(replace(head, first_part=first_part))
        for number in old:
            await self._delete(self._part_name(number))
        return head

    def _part_name(self, number: int) -> str:
        return f"{self._name}-{number}"

    async def _archive(self, head: Head) -> Head:
        number = head.tail_start // self._part_size
        value = {"records": list(head.tail[: self._part_size])}
        # A conflict means that a writer archived the part and then failed to write the head.
        with contextlib.suppress(StoreConflict):
            await self._store.put(self._kind, self._part_name(number), value, 0)
        return replace(head, tail=head.tail[self._part_size :])

    async def _write(self, head: Head) -> Head:
        value = {"next": head.next_number, "first": head.first_part, "tail": list(head.tail)}
        version = await self._store.put(self._kind, self._name, value, head.version)
        return replace(head, version=version)

    async def _delete(self, name: str) -> None:
        stored = await self._store.get(self._kind, name)
        if stored is not None:
            await self._store.delete(self._kind, name, stored.version)


def _convert(stored: StoredObject, shape: type[T]) -> T:
    try:
        return msgspec.convert(stored.value, shape)
    except msgspec.ValidationError as problem:
        raise UnreadableJournal(f"{stored.kind}/{stored.name}: {problem}") from None


class Backoff:
    """Exponential backoff with jitter; times are in seconds.

    Each delay is sampled between half and all of a bound, which doubles with each attempt up to
    ``maximum``. The first delay is between ``initial`` and twice as much.
    """

    def __init__(self, rng: random.Random, initial: float, maximum: float) -> None:
        self._rng = rng
        self._initial = initial
        self._maximum = maximum
        self._attempts = 0

    def pause(self) -> float:
        """Return the next delay."""
        self._attempts += 1
        ceiling = min(self._maximum, self._initial * 2**self._attempts)
        return self._rng.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Restart with the shortest delay."""
        self._attempts = 0
