"""The rollouts that operators order, and the state of each."""

import enum
from dataclasses import dataclass


class State(enum.IntEnum):
    """The state of a rollout; nodes send the numbers. ``NONE`` is the state of a new order."""

    NONE = 0
    RUNNING = 1
    SUCCEEDED = 2
    ROLLED_BACK = 3

    @property
    def ended(self) -> bool:
        """Return True if the rollout has been decided."""
        return self in (State.SUCCEEDED, State.ROLLED_BACK)


@dataclass(frozen=True)
class Order:
    """An operator's order to move the traffic of ``service`` to replicas of ``target_version``.

    The rollout is to be decided ``duration`` seconds after the order was given. ``version`` is the
    version of the stored object that first contained this order, and identifies the order.
    """

    service: str
    version: int
    target_version: str
    duration: float

    def is_equivalent(self, other: "Order") -> bool:
        """Return True if ``other`` requests the same, whichever version it was read at."""
        return (self.target_version, self.duration) == (other.target_version, other.duration)


@dataclass(frozen=True)
class Rollout:
    """An order and the state of its rollout.

    ``withdrawn`` is True once the operator has withdrawn the order. ``state`` refers to the
    software version ``decided_version``, which is not the target of the order if the state is left
    over from an earlier order.

    ``object_version`` is the version of the stored object that was last read; writing the status
    changes it, too. ``written_state`` is the state of this order according to that object's status.

    ``dropped`` holds the targets of earlier rollouts that did not succeed: they are unproven and
    receive no calls. ``in_use`` is the software version that succeeded last, as far as is known,
    under the order of version ``in_use_order``. Without it, a node that missed that success would
    drop the version.
    """

    order: Order
    withdrawn: bool = False
    state: State = State.NONE
    decided_version: str = ""
    object_version: int = 0
    written_state: State = State.NONE
    dropped: frozenset[str] = frozenset()
    in_use: str = ""
    in_use_order: int = 0

    @property
    def order_state(self) -> State:
        """Return the state of this order, ``NONE`` if ``state`` is that of an earlier order."""
        if self.decided_version != self.order.target_version:
            return State.NONE
        return self.state
