"""What operators order, and how each rollout stands."""

import enum
from dataclasses import dataclass


class State(enum.IntEnum):
    """How a rollout stands; nodes send these numbers. ``NONE`` is that of a new order."""

    NONE = 0
    RUNNING = 1
    SUCCEEDED = 2
    ROLLED_BACK = 3

    @property
    def ended(self) -> bool:
        """Say whether the rollout has been decided."""
        return self in (State.SUCCEEDED, State.ROLLED_BACK)


@dataclass(frozen=True)
class Order:
    """Move the traffic of ``service`` to the replicas of ``target_version``.

    It is to be decided ``duration`` seconds after it was given. ``version`` is that of the stored
    object whose specification first held this order: it tells orders apart.
    """

    service: str
    version: int
    target_version: str
    duration: float

    def asks_same(self, other: "Order") -> bool:
        """Say whether ``other`` asks for the same, at whichever version it was read."""
        return (self.target_version, self.duration) == (other.target_version, other.duration)


@dataclass(frozen=True)
class Rollout:
    """An order and how it stands; ``gone`` says that the operator took the order away.

    ``state`` is about ``decided_version``, which is another than that of the order where the state
    is left from an earlier order. ``stored`` is the version of the stored object that was read
    last, which changes with the status too, and ``written`` the state of this order that its
    status tells. ``dropped`` names versions whose rollouts did not succeed before this order: they
    are not proved, and get no calls. ``in_use`` is the version that succeeded last, as far as it is
    known, by the order of version ``in_use_order``: a node that missed that end must not take it
    for one that did not succeed.
    """

    order: Order
    gone: bool = False
    state: State = State.NONE
    decided_version: str = ""
    stored: int = 0
    written: State = State.NONE
    dropped: frozenset[str] = frozenset()
    in_use: str = ""
    in_use_order: int = 0

    @property
    def current(self) -> State:
        """Return the state of this order, ``NONE`` where the state is that of an earlier one."""
        if self.decided_version != self.order.target_version:
            return State.NONE
        return self.state
