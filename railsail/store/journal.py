"""A journal in the store: one object that holds the newest records, and archived parts.

All records go through conditional updates of the one head object, whose versions only rise, so
that a writer that was paused cannot add to an old state: its update is refused. Positions are
counted from 0 and never given twice. A part holds ``part_size`` records from a multiple of that
on, so that whoever writes one writes the same, and the head need not list them.

The head: ``{"next": position, "first": number of the oldest part, "tail": [record, ...]}``.
"""

import contextlib
import random
from dataclasses import dataclass, replace

from railsail.core.exceptions import StoreConflict
from railsail.store.base import Store

Record = dict[str, object]


@dataclass(frozen=True)
class Head:
    """The head object at the store's ``version``, 0 if there is none yet."""

    version: int = 0
    next: int = 0
    first: int = 0
    tail: tuple[Record, ...] = ()

    @property
    def tail_start(self) -> int:
        """Return the position of the first record of the tail."""
        return self.next - len(self.tail)


class Journal:
    """Read and add to one journal.

    It makes each call once and raises what the store raises. After ``StoreUnavailable`` from
    ``append`` the records may have been added: read the head and look for them.
    """

    def __init__(self, store: Store, kind: str, name: str, part_size: int) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._part_size = part_size

    async def read_head(self) -> Head:
        """Return the head as it is now."""
        stored = await self._store.get(self._kind, self._name)
        return head_of(stored.version, stored.value) if stored else Head()

    def parts(self, head: Head) -> range:
        """Return the numbers of the archived parts that are kept."""
        return range(head.first, head.tail_start // self._part_size)

    async def read_part(self, number: int) -> tuple[Record, ...]:
        """Return the records of an archived part; none if it was deleted meanwhile."""
        stored = await self._store.get(self._kind, self._part_name(number))
        return tuple(stored.value["records"]) if stored else ()

    async def append(self, head: Head, records: list[Record]) -> Head:
        """Add ``records`` after ``head`` and return the new head.

        Raise ``StoreConflict`` if the journal has changed since ``head`` was read.
        """
        while len(head.tail) >= self._part_size:
            head = await self._archive(head)
        changed = replace(head, next=head.next + len(records), tail=(*head.tail, *records))
        return await self._write(changed)

    async def drop_parts(self, head: Head, first: int) -> Head:
        """Delete the parts before number ``first``, and return the new head."""
        old = range(head.first, first)
        head = await self._write(replace(head, first=first))
        for number in old:
            await self._delete(self._part_name(number))
        return head

    def _part_name(self, number: int) -> str:
        return f"{self._name}-{number}"

    async def _archive(self, head: Head) -> Head:
        number = head.tail_start // self._part_size
        value = {"records": list(head.tail[: self._part_size])}
        # A conflict means that the part was archived before, by a writer that then did not get to
        # write the head.
        with contextlib.suppress(StoreConflict):
            await self._store.put(self._kind, self._part_name(number), value, 0)
        return replace(head, tail=head.tail[self._part_size :])

    async def _write(self, head: Head) -> Head:
        value = {"next": head.next, "first": head.first, "tail": list(head.tail)}
        version = await self._store.put(self._kind, self._name, value, head.version)
        return replace(head, version=version)

    async def _delete(self, name: str) -> None:
        stored = await self._store.get(self._kind, name)
        if stored is not None:
            await self._store.delete(self._kind, name, stored.version)


def head_of(version: int, value: dict[str, object]) -> Head:
    """Return the head that ``value`` describes."""
    return Head(version, value["next"], value["first"], tuple(value["tail"]))


class Backoff:
    """Give growing pauses with full jitter, in seconds."""

    def __init__(self, rng: random.Random, first: float, most: float) -> None:
        self._rng = rng
        self._first = first
        self._most = most
        self._tries = 0

    def pause(self) -> float:
        """Return the next pause."""
        self._tries += 1
        ceiling = min(self._most, self._first * 2**self._tries)
        return self._rng.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Begin with short pauses again."""
        self._tries = 0
