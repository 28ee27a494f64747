"""How a rollout stands is written to the operator's object, on a condition."""

from railsail.core.logs import get_logger
from railsail.rollouts.book import KIND, RolloutBook
from railsail.rollouts.orders import Order, Rollout, State
from railsail.rollouts.stored import BadRollout, parse_rollout, status_value
from railsail.store.base import Store, StoredObject, WatchEvent


async def publish(store: Store, book: RolloutBook, order: Order, state: State) -> bool:
    """Write that ``order`` stands at ``state``; return false where the store has another order.

    Raise what the store raises; whoever calls again reads first, and writes on the version read.
    """
    stored = await store.get(KIND, order.service)
    if stored is None:
        return False
    found = _read(stored)
    if found is None or not _about(found, order):
        return False
    book.seen(WatchEvent(KIND, stored.name, stored.version, stored.value))
    if found.stored > order.version and found.written >= min(state, State.SUCCEEDED):
        # Both ends are final, whichever it is.
        return True
    if state is State.RUNNING and book.running(order.service) is None:
        # It has ended meanwhile, and an end is never taken back.
        return False
    value = status_value(state, stored.value["target_version"])
    version = await store.put_status(KIND, order.service, value, stored.version)
    book.status_stored(order, state, version)
    return True


def _read(stored: StoredObject) -> Rollout | None:
    try:
        return parse_rollout(stored.name, stored.version, stored.value)
    except BadRollout as problem:
        get_logger().warning("rollout refused", service=stored.name, reason=str(problem))
        return None


def _about(found: Rollout, order: Order) -> bool:
    left, right = found.order, order
    return (left.target_version, left.duration) == (right.target_version, right.duration)
