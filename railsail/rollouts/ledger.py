"""The ledger of a rollout: who coordinates it, the calls reserved, and what was decided.

The store has one ledger object for each service. Its holder, the rollout's coordinator, changes it
by conditional writes only. Each write increments ``beat``, so that other nodes see that the holder
is alive.
"""

from collections.abc import Callable

import msgspec

from railsail.core.logs import get_logger
from railsail.peers.base import Natural, Text
from railsail.rollouts.orders import Order, State
from railsail.rollouts.stages import Stage
from railsail.store.base import Store, StoredObject

KIND = "rollout-ledger"
_MS_PER_SECOND = 1000

# The bounds of peer messages.
Count = Natural


class Entry(msgspec.Struct, frozen=True):
    """The value of the ledger object.

    ``holder`` is the node that coordinates in ``term``; the term increases with each takeover.
    ``beat`` increases with each write. ``order`` is the version of the order. A coordinator first
    read the order at ``seen``, and its deadline is ``ends``, both in milliseconds since the Unix
    epoch; ``duration`` is in milliseconds. At most ``reserved`` calls went to the target version,
    of at least ``arrivals`` calls of the service. ``state`` is the decision, and ``reason`` gives
    the figures behind it.
    """

    holder: Text
    term: Count
    beat: Count
    order: Count
    target_version: Text
    duration: Count
    seen: Count
    ends: Count
    stage: Stage = Stage.HOLD
    reserved: Count = 0
    arrivals: Count = 0
    state: State = State.RUNNING
    reason: str = ""

    def same_order(self, order: Order) -> bool:
        """Return True if the entry is about ``order`` or an order that requests the same."""
        return (self.target_version, self.duration) == _target_and_duration(order)


def _target_and_duration(order: Order) -> tuple[str, int]:
    return (order.target_version, round(order.duration * _MS_PER_SECOND))


def takeover_entry(
    entry: Entry | None, order: Order, holder: str, wall_time: float, new: bool
) -> Entry:
    """Return the entry with which ``holder`` takes over from ``entry``.

    ``new`` is True if ``entry`` is not about ``order``. The order then starts at ``wall_time``, in
    seconds since the Unix epoch, with nothing reserved.
    """
    term = entry.term + 1 if entry is not None else 1
    beat = entry.beat + 1 if entry is not None else 1
    if entry is not None and not new:
        changes = {"holder": holder, "term": term, "beat": beat, "order": order.version}
        return msgspec.structs.replace(entry, stage=Stage.HOLD, **changes)
    target, duration = _target_and_duration(order)
    seen = round(wall_time * _MS_PER_SECOND)
    return Entry(holder, term, beat, order.version, target, duration, seen, seen + duration)


class Ledger:
    """Read and write the ledger of one service; nothing is retried.

    A write that raised ``StoreUnavailable`` may still take effect until the version of the object
    changes. ``needs_read`` is then True: the ledger has to be read before anything else is done.
    ``monotonic`` returns the time in seconds.

    ``is_unreadable`` is True if another program has written the object. ``entry`` is then the last
    one that could be read here, so that the reserved calls and the decision are not forgotten.
    """

    def __init__(self, store: Store, service: str, monotonic: Callable[[], float]) -> None:
        self._store = store
        self._service = service
        self._monotonic = monotonic
        self._version = 0
        self.entry: Entry | None = None
        self.is_unreadable = False
        self.needs_read = True
        # When this node first read the current version of the object, or wrote it.
        self.changed_at = monotonic()

    @property
    def age(self) -> float:
        """Return the seconds since this node last saw the entry change."""
        return self._monotonic() - self.changed_at

    async def read(self) -> None:
        """Read the entry; errors of the store propagate."""
        stored = await self._store.get(KIND, self._service)
        self.needs_read = False
        if stored is None:
            self._record(0, None)
        elif stored.version != self._version:
            entry = _decode(stored)
            self._record(stored.version, entry or self.entry)
            self.is_unreadable = entry is None

    async def write(self, entry: Entry) -> None:
        """Replace the entry that was last read or written; errors of the store propagate.

        Raise ``StoreConflict`` if another node has changed the object since.
        """
        self.needs_read = True
        value = msgspec.to_builtins(entry)
        version = await self._store.put(KIND, self._service, value, self._version)
        self.needs_read = False
        self._record(version, entry)

    def _record(self, version: int, entry: Entry | None) -> None:
        if version != self._version:
            self.changed_at = self._monotonic()
        self._version = version
        self.entry = entry
        self.is_unreadable = False


def _decode(stored: StoredObject) -> Entry | None:
    try:
        return msgspec.convert(stored.value, Entry)
    except msgspec.ValidationError as problem:
        get_logger().warning("rollout ledger refused", service=stored.name, reason=str(problem))
        return None
