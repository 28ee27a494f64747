"""How two records of a service's rollout are merged, with the same result on all nodes.

Each write of the status changes the version of the stored object, so that nodes may first read the
same order at different versions. They agree on the lowest of them. A status belongs to an order
only if it was written after the order was given. The first status of an order is ``running``, and
it is written before the order can end.
"""

from dataclasses import replace

from railsail.rollouts.orders import Rollout, State
from railsail.store.versions import era_of

# The number of dropped versions that a record in a message can hold. Older ones can be forgotten,
# because replicas of earlier versions are soon stopped.
MAX_DROPPED = 64


def merge(known: Rollout | None, candidate: Rollout) -> Rollout:
    """Return the record that results from both."""
    if known is None:
        return candidate
    newer, older = _by_age(known, candidate)
    merged = _merge(newer, older)
    in_use_order, in_use = max(_in_use(merged), _in_use(newer), _in_use(older))
    dropped = newer.dropped | older.dropped | _not_succeeded(older, older is known)
    dropped = _without_proven(dropped, merged, in_use)
    return replace(merged, in_use=in_use, in_use_order=in_use_order, dropped=dropped)


def _merge(newer: Rollout, older: Rollout) -> Rollout:
    if not _same_order(newer, older):
        return _without_leftover_state(newer, older)
    version = min(newer.order.version, older.order.version)
    return _with_furthest_state(replace(newer, order=replace(newer.order, version=version)), older)


def _not_succeeded(older: Rollout, was_known: bool) -> frozenset[str]:
    """Return the target version of the ``older`` record if its rollout did not succeed.

    A running order counts as replaced without success only if its record ``was_known`` when the
    next order came. A record that arrives later may date from before the order's end.
    """
    replaced = was_known and older.order_state is not State.SUCCEEDED
    if replaced or older.order_state is State.ROLLED_BACK:
        return frozenset({older.order.target_version})
    return frozenset()


def _without_proven(dropped: frozenset[str], merged: Rollout, in_use: str) -> frozenset[str]:
    """Return ``dropped`` without the target of the order and the version in use.

    If more than ``MAX_DROPPED`` are left, the last ones by name are kept.
    """
    proven = {merged.order.target_version, in_use}
    return frozenset(sorted(dropped - proven)[-MAX_DROPPED:])


def _in_use(rollout: Rollout) -> tuple[int, str]:
    """Return the version that succeeded last according to ``rollout``, with its order's version.

    The order's version comes first, so that the greatest pair is the latest success.
    """
    known = (rollout.in_use_order, rollout.in_use)
    if rollout.state is not State.SUCCEEDED:
        return known
    version = rollout.order.version
    if rollout.order_state is State.NONE:
        # The state is left over from an order before this one.
        version -= 1
    return max(known, (version, rollout.decided_version))


def _by_age(known: Rollout, candidate: Rollout) -> tuple[Rollout, Rollout]:
    if _age(candidate) > _age(known):
        return candidate, known
    return known, candidate


def _age(rollout: Rollout) -> tuple[int, bool, int, State, State]:
    # The order's version is compared, too: nodes that read different orders before the object was
    # deleted must agree on one.
    version = rollout.order.version
    return (
        rollout.object_version,
        rollout.withdrawn,
        version,
        rollout.written_state,
        rollout.state,
    )


def _same_order(newer: Rollout, older: Rollout) -> bool:
    """Return True if both are about the same order, which may since have been withdrawn."""
    if older.withdrawn and not newer.withdrawn:
        return False
    return newer.order.is_equivalent(older.order)


def _with_furthest_state(newer: Rollout, older: Rollout) -> Rollout:
    """Return ``newer`` with the more advanced state of the two records of the same order."""
    written_state = newer.written_state
    if newer.object_version == older.object_version:
        # A node that has read the object both before and after the order was given knows which
        # order the status belongs to. If it is left over, that node's record has the lower state.
        written_state = min(newer.written_state, older.written_state)
    pairs = ((newer, older), (older, newer))
    trusted = [
        one for one, other in pairs if not _has_leftover_state(one, other, newer.order.version)
    ]
    best = max(trusted, key=lambda rollout: rollout.order_state)
    return replace(
        newer, state=best.state, decided_version=best.decided_version, written_state=written_state
    )


def _has_leftover_state(rollout: Rollout, other: Rollout, version: int) -> bool:
    """Return True if the state of ``rollout`` is a status left over from an earlier order.

    That is so if the status was read together with the order, and ``other``, which was read at the
    same time or later, does not have it. The exception is a store that was restored from a copy,
    which may have lost the status of this order.
    """
    if rollout.order_state is not rollout.written_state or rollout.object_version > version:
        return False
    if era_of(other.object_version) > era_of(rollout.object_version):
        return False
    return (
        other.object_version >= rollout.object_version
        and other.written_state < rollout.written_state
    )


def _without_leftover_state(newer: Rollout, older: Rollout) -> Rollout:
    """Return ``newer`` without a state that is left over from the ``older`` order.

    An operator who orders the same version again means a new rollout.
    """
    is_leftover = newer.state is older.state and newer.decided_version == older.decided_version
    if newer.withdrawn or not is_leftover or newer.order_state is State.NONE:
        return newer
    return _not_started(newer)


def _not_started(rollout: Rollout) -> Rollout:
    return replace(rollout, state=State.NONE, decided_version="", written_state=State.NONE)
