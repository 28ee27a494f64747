"""A journal in the store: one object that holds the newest records, and archived parts.

All records go through conditional updates of the one head object, whose versions only rise, so
that a writer that was paused cannot add to an old state: its update is refused. Positions are
counted from 0 and never given twice. Archived parts are named by the positions they hold, so that
whoever writes one writes the same bytes.

The head: ``{"next": position, "tail": [record, ...], "parts": [[start, end, written_at], ...]}``.
"""

import contextlib
import random
from dataclasses import dataclass, replace

from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.store.base import Store

Record = dict[str, object]


@dataclass(frozen=True)
class Part:
    """An archived range of positions, ``start`` included and ``end`` not."""

    start: int
    end: int
    written_at: float

    @property
    def suffix(self) -> str:
        """Return the end of the name of the object that holds the part."""
        return f"{self.start}-{self.end}"


@dataclass(frozen=True)
class Head:
    """The head object at the store's ``version``, 0 if there is none yet."""

    version: int = 0
    next: int = 0
    tail: tuple[Record, ...] = ()
    parts: tuple[Part, ...] = ()

    @property
    def tail_start(self) -> int:
        """Return the position of the first record of the tail."""
        return self.next - len(self.tail)


class Journal:
    """Read and add to one journal.

    It makes each call once and raises what the store raises. After ``StoreUnavailable`` from
    ``append`` the records may have been added: read the head and look for them.
    """

    def __init__(self, store: Store, kind: str, name: str, tail_limit: int) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._tail_limit = tail_limit

    async def read_head(self) -> Head:
        """Return the head as it is now."""
        stored = await self._store.get(self._kind, self._name)
        return head_of(stored.version, stored.value) if stored else Head()

    async def read_part(self, part: Part) -> tuple[Record, ...]:
        """Return the records of an archived part; none if it was deleted meanwhile."""
        stored = await self._store.get(self._kind, f"{self._name}-{part.suffix}")
        return tuple(stored.value["records"]) if stored else ()

    async def append(self, head: Head, records: list[Record], now: float) -> Head:
        """Add ``records`` after ``head`` and return the new head.

        Raise ``StoreConflict`` if the journal has changed since ``head`` was read.
        """
        if len(head.tail) + len(records) > self._tail_limit and head.tail:
            head = await self._archive(head, now)
        changed = replace(head, next=head.next + len(records), tail=(*head.tail, *records))
        return await self._write(changed)

    async def drop_parts(self, head: Head, before: float) -> Head:
        """Delete the parts that were written before the time ``before``; return the new head."""
        old = [part for part in head.parts if part.written_at < before]
        if not old:
            return head
        kept = tuple(part for part in head.parts if part.written_at >= before)
        head = await self._write(replace(head, parts=kept))
        for part in old:
            await self._delete(f"{self._name}-{part.suffix}")
        return head

    async def _archive(self, head: Head, now: float) -> Head:
        part = Part(head.tail_start, head.next, now)
        value = {"records": list(head.tail)}
        # A conflict means that the same positions were archived before, by a writer that then did
        # not get to write the head.
        with contextlib.suppress(StoreConflict):
            await self._store.put(self._kind, f"{self._name}-{part.suffix}", value, 0)
        return replace(head, tail=(), parts=(*head.parts, part))

    async def _write(self, head: Head) -> Head:
        version = await self._store.put(self._kind, self._name, _plain(head), head.version)
        return replace(head, version=version)

    async def _delete(self, name: str) -> None:
        stored = await self._store.get(self._kind, name)
        if stored is not None:
            await self._store.delete(self._kind, name, stored.version)


def head_of(version: int, value: dict[str, object]) -> Head:
    """Return the head that ``value`` describes."""
    parts = tuple(Part(*item) for item in value.get("parts", []))
    return Head(version, value.get("next", 0), tuple(value.get("tail", [])), parts)


def _plain(head: Head) -> dict[str, object]:
    parts = [[part.start, part.end, part.written_at] for part in head.parts]
    return {"next": head.next, "tail": list(head.tail), "parts": parts}


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


__all__ = ["Backoff", "Head", "Journal", "Part", "Record", "StoreUnavailable", "head_of"]
