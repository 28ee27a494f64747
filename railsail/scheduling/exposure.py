"""How many calls the dispatcher of one cell may send to the target version of a rollout.

The calls are spread over time, so that a sudden burst of one workspace does not use all of them.
They are sent in small groups to one replica, which then runs several at once and shows how its
version behaves under load.
"""

import math
from dataclasses import dataclass

from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage

# The calls that are left of a new allowance are spread over this many seconds.
PACE_SECONDS = 1.0
# This many calls are sent together.
GROUP_CALLS = 4


@dataclass(frozen=True)
class Allowance:
    """The calls that a coordinator of ``term`` allows a cell to send before ``until``.

    ``until`` is in seconds of the cell's clock. An allowance replaces those of the same term with a
    lower ``serial``, and all of an earlier term. ``calls`` is the limit for the whole term, over
    all stages. Canary calls go to ``replicas``, or to any replica of the target version if it is
    empty.
    """

    term: int
    serial: int
    stage: Stage
    calls: int
    until: float
    replicas: frozenset[str] = frozenset()


_NO_ALLOWANCE = Allowance(0, 0, Stage.HOLD, 0, -math.inf)


class Exposure:
    """The newest allowance of one order in one cell, and its use; times are in seconds."""

    def __init__(self, order: Order) -> None:
        self.order = order
        # Calls granted to the target version in the term of the newest allowance.
        self.exposed = 0
        self._allowance = _NO_ALLOWANCE
        self._rate = 0.0
        # The canary calls that may be sent now; ``_rate`` is added per second, up to a group.
        self._credit = float(GROUP_CALLS)
        self._credited_at = -math.inf
        self._in_group = False

    @property
    def target_version(self) -> str:
        """Return the version that traffic moves to."""
        return self.order.target_version

    @property
    def term(self) -> int:
        """Return the term of the newest allowance, 0 before the first one."""
        return self._allowance.term

    @property
    def unspent(self) -> int:
        """Return how many more calls the newest allowance permits."""
        return max(0, self._allowance.calls - self.exposed)

    def allow(self, allowance: Allowance, now: float) -> bool:
        """Apply an allowance; return True if it is newer than the current one."""
        current = self._allowance
        if (allowance.term, allowance.serial) <= (current.term, current.serial):
            return False
        # Calls that were resumed before the first allowance count towards its term.
        if current.term and allowance.term != current.term:
            self.exposed = 0
        self._refill_credit(now)
        self._allowance = allowance
        self._rate = self.unspent / PACE_SECONDS
        return True

    def stage(self, now: float) -> Stage:
        """Return the stage at ``now``: ``HOLD`` without a valid allowance.

        The stage is also ``HOLD`` when all allowed calls have been sent, so that the other versions
        serve the callers from then on.
        """
        is_valid = now < self._allowance.until and self.unspent > 0
        return self._allowance.stage if is_valid else Stage.HOLD

    def is_canary_replica(self, replica: str) -> bool:
        """Return True if canary calls may go to ``replica`` of the target version."""
        return not self._allowance.replicas or replica in self._allowance.replicas

    def is_canary_due(self, now: float) -> bool:
        """Return True if the next call should be a canary call.

        A group of calls is due as soon as the calls earned since the last one are enough for all of
        it.
        """
        if self.stage(now) is not Stage.CANARY:
            return False
        self._refill_credit(now)
        needed = 1 if self._in_group else min(GROUP_CALLS, self.unspent)
        self._in_group = self._credit >= needed
        return self._in_group

    def record_call(self, now: float) -> None:
        """Record a call granted to the target version, in any stage."""
        self.exposed += 1
        self._refill_credit(now)
        self._credit = max(0.0, self._credit - 1)

    def _refill_credit(self, now: float) -> None:
        # A resumed call may have been sent before the last update of the credit.
        if now <= self._credited_at:
            return
        earned = self._rate * (now - self._credited_at) if self._rate else 0.0
        self._credit = min(float(GROUP_CALLS), self._credit + earned)
        self._credited_at = now
