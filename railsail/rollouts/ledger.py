"""The ledger of a rollout: who coordinates it, what may have been spent, and what was decided.

It is one object of the store for each service, which its holder changes by conditional writes
alone. Each write changes ``beat``, so that the others see that the holder lives.
"""

from collections.abc import Callable
from typing import Annotated

import msgspec

from railsail.core.logs import get_logger
from railsail.rollouts.orders import Order, State
from railsail.rollouts.stages import Stage
from railsail.store.base import Store, StoredObject

KIND = "rollout-ledger"
_MS = 1000

Count = Annotated[int, msgspec.Meta(ge=0)]


class Entry(msgspec.Struct, frozen=True):
    """The value of the object.

    ``holder`` coordinates in ``term``, which rises with each holder. ``order`` is the version of
    the order, which was first ``seen`` and has its deadline at ``ends``, both in milliseconds since
    the Unix epoch. ``reserved`` calls at most went to the target version, of ``arrivals`` calls at
    least. ``state`` is what was decided, and ``reason`` the figures that decided it.
    """

    holder: str
    term: Count
    beat: Count
    order: Count
    target_version: str
    duration: Count
    seen: Count
    ends: Count
    stage: Stage = Stage.HOLD
    reserved: Count = 0
    arrivals: Count = 0
    state: State = State.RUNNING
    reason: str = ""

    def same_order(self, order: Order) -> bool:
        """Say whether the entry is about ``order`` or one like it."""
        return (self.target_version, self.duration) == _terms(order)


def _terms(order: Order) -> tuple[str, int]:
    return (order.target_version, round(order.duration * _MS))


def taken(entry: Entry | None, order: Order, holder: str, wall: float, new: bool) -> Entry:
    """Return the entry with which ``holder`` takes over; a ``new`` order begins at ``wall``."""
    term = entry.term + 1 if entry is not None else 1
    beat = entry.beat + 1 if entry is not None else 1
    if entry is not None and not new:
        changes = {"holder": holder, "term": term, "beat": beat, "order": order.version}
        return msgspec.structs.replace(entry, stage=Stage.HOLD, **changes)
    target, duration = _terms(order)
    seen = round(wall * _MS)
    return Entry(holder, term, beat, order.version, target, duration, seen, seen + duration)


class Ledger:
    """Read and write the ledger of one service, each call once.

    After ``StoreUnavailable`` a write may take effect later, until the object has another version:
    ``unsure`` says so, and it is read before anything else is done. ``monotonic`` tells seconds.
    """

    def __init__(self, store: Store, service: str, monotonic: Callable[[], float]) -> None:
        self._store = store
        self._service = service
        self._monotonic = monotonic
        self._version = 0
        self.entry: Entry | None = None
        self.unsure = True
        # When this node first saw the present version.
        self.changed_at = monotonic()

    @property
    def age(self) -> float:
        """Return for how many seconds the entry has not changed, as seen here."""
        return self._monotonic() - self.changed_at

    async def read(self) -> None:
        """Read the entry; raise what the store raises."""
        stored = await self._store.get(KIND, self._service)
        self.unsure = False
        if stored is None:
            self._note(0, None)
        elif stored.version != self._version:
            self._note(stored.version, _read(stored))

    async def write(self, entry: Entry) -> None:
        """Write ``entry`` over the one that was read last; raise what the store raises."""
        self.unsure = True
        value = msgspec.to_builtins(entry)
        version = await self._store.put(KIND, self._service, value, self._version)
        self.unsure = False
        self._note(version, entry)

    def _note(self, version: int, entry: Entry | None) -> None:
        if version != self._version:
            self.changed_at = self._monotonic()
        self._version = version
        self.entry = entry


def _read(stored: StoredObject) -> Entry | None:
    try:
        return msgspec.convert(stored.value, Entry)
    except msgspec.ValidationError as problem:
        get_logger().warning("rollout ledger refused", service=stored.name, reason=str(problem))
        return None
