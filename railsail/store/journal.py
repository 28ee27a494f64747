"""A journal in the store: a head object with the newest records, and parts with archived ones.

Records are appended by conditional updates of the head object. Its version only rises, so that the
update of a writer that was paused in between is refused. Records are numbered from 0, and no number
is reused. Part N holds the ``part_size`` records from number N * ``part_size`` on: every writer
that archives it writes the same value, and the head need not list the parts.

The value of the head object is
``{"next": number of the next record, "first": number of the oldest part, "tail": [record, ...]}``.
"""

import contextlib
import random
from dataclasses import dataclass, replace

from railsail.core.exceptions import StoreConflict
from railsail.store.base import Store

Record = dict[str, object]


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

    Each call of the store is made once, and its errors are raised to the caller. If ``append``
    raises ``StoreUnavailable``, the records may have been added nevertheless: read the head and
    search for them.
    """

    def __init__(self, store: Store, kind: str, name: str, part_size: int) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._part_size = part_size

    async def read_head(self) -> Head:
        """Read the head from the store."""
        stored = await self._store.get(self._kind, self._name)
        return _head_of(stored.version, stored.value) if stored else Head()

    def parts(self, head: Head) -> range:
        """Return the numbers of the archived parts that are kept."""
        return range(head.first_part, head.tail_start // self._part_size)

    async def read_part(self, number: int) -> tuple[Record, ...]:
        """Return the records of an archived part, none if it was deleted in the meantime."""
        stored = await self._store.get(self._kind, self._part_name(number))
        return tuple(stored.value["records"]) if stored else ()

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


def _head_of(version: int, value: dict[str, object]) -> Head:
    """Return the head that is stored as ``value``."""
    return Head(version, value["next"], value["first"], tuple(value["tail"]))


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
