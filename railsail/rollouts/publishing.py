"""Writing the status of a rollout to the operator's object, by conditional writes."""

from railsail.core.exceptions import StoreConflict
from railsail.core.logs import get_logger
from railsail.rollouts.book import KIND, RolloutBook
from railsail.rollouts.orders import Order, Rollout, State
from railsail.rollouts.serialization import BadRollout, parse_rollout, status_value
from railsail.store.base import Store, StoredObject, WatchEvent


class StatusWriter:
    """Write the status of one order; errors of the store propagate, and the caller has to retry.

    The object's version after the last write is remembered, so that the end of a rollout takes one
    store call.
    """

    def __init__(self, store: Store, book: RolloutBook) -> None:
        self._store = store
        self._book = book
        self._version = 0
        # The target version as the operator wrote it, text or a number.
        self._target_version: object = ""

    async def write(self, order: Order, state: State) -> bool:
        """Write ``state`` as the status of ``order``; return False if it must not be written.

        That is so if the store has another order, or if ``state`` is running and the order has
        ended.
        """
        if self._version:
            try:
                await self._put(order, state)
                return True
            except StoreConflict:
                get_logger().info("rollout changed in the store", service=order.service)
                self._version = 0
        return await self._read_and_write(order, state)

    async def _read_and_write(self, order: Order, state: State) -> bool:
        stored = await self._store.get(KIND, order.service)
        found = _parse(stored) if stored is not None else None
        if stored is None or found is None or not found.order.is_equivalent(order):
            return False
        self._book.seen(WatchEvent(KIND, stored.name, stored.version, stored.value))
        if found.object_version > order.version and found.written_state >= min(
            state, State.SUCCEEDED
        ):
            # The object has this status, or an end, which is final.
            return True
        if state is State.RUNNING and self._book.running(order.service) is None:
            # The order has ended in the meantime, and an end is never reverted.
            return False
        self._version = stored.version
        self._target_version = stored.value["target_version"]
        await self._put(order, state)
        return True

    async def _put(self, order: Order, state: State) -> None:
        version, self._version = self._version, 0
        value = status_value(state, self._target_version)
        self._version = await self._store.put_status(KIND, order.service, value, version)
        self._book.record_status(order, state, self._version)


def _parse(stored: StoredObject) -> Rollout | None:
    try:
        return parse_rollout(stored.name, stored.version, stored.value)
    except BadRollout as problem:
        get_logger().warning("rollout refused", service=stored.name, reason=str(problem))
        return None
