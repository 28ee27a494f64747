"""What the dispatcher of one cell may send to the target version of a rollout.

Calls are spread over the time that they are meant for, so that no sudden burst of one workspace
takes them all. They go out in small groups to one replica, which then runs several at once and
shows what load does to its version.
"""

import math
from dataclasses import dataclass

from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage

# Calls that were allowed and not sent yet are spread over so many seconds.
PACE_SECONDS = 1.0
# So many calls go out together.
GROUP_CALLS = 4


@dataclass(frozen=True)
class Allowance:
    """What a coordinator of ``term`` lets a cell send until ``until``, by the cell's clock.

    It replaces those of a lower ``serial``. In all, ``calls`` calls may be sent in the term, at
    whichever stage. Canary calls go to ``replicas``, to any of the target version where none are
    named.
    """

    term: int
    serial: int
    stage: Stage
    calls: int
    until: float
    replicas: frozenset[str] = frozenset()


_NONE = Allowance(0, 0, Stage.HOLD, 0, -math.inf)


class Exposure:
    """Follow the allowances of one order in one cell; times are in seconds."""

    def __init__(self, order: Order) -> None:
        self.order = order
        # Calls granted to the target version in the term of the newest allowance.
        self.exposed = 0
        self._allowance = _NONE
        self._rate = 0.0
        self._credit = float(GROUP_CALLS)
        self._credited_at = -math.inf
        self._in_group = False

    @property
    def target_version(self) -> str:
        """Return the version that traffic is to move to."""
        return self.order.target_version

    @property
    def term(self) -> int:
        """Return the term of the newest allowance, 0 before the first one."""
        return self._allowance.term

    @property
    def unspent(self) -> int:
        """Return how many more calls the newest allowance lets the cell send."""
        return max(0, self._allowance.calls - self.exposed)

    def allow(self, allowance: Allowance, now: float) -> bool:
        """Take in an allowance, and return whether it is newer than the one before."""
        held = self._allowance
        if (allowance.term, allowance.serial) <= (held.term, held.serial):
            return False
        # Calls that were resumed before the first allowance count in its term.
        if held.term and allowance.term != held.term:
            self.exposed = 0
        self._earn(now)
        self._allowance = allowance
        self._rate = self.unspent / PACE_SECONDS
        return True

    def stage(self, now: float) -> Stage:
        """Return the stage at ``now``; without an allowance that lasts it is ``HOLD``.

        So it is where all allowed calls were sent: callers are served by the other versions then.
        """
        lasts = now < self._allowance.until and self.unspent > 0
        return self._allowance.stage if lasts else Stage.HOLD

    def names(self, replica: str) -> bool:
        """Say whether canary calls may go to ``replica`` of the target version."""
        return not self._allowance.replicas or replica in self._allowance.replicas

    def due(self, now: float) -> bool:
        """Say whether the next call should be a canary call."""
        if self.stage(now) is not Stage.CANARY:
            return False
        self._earn(now)
        needed = 1 if self._in_group else min(GROUP_CALLS, self.unspent)
        self._in_group = self._credit >= needed
        return self._in_group

    def sent(self, now: float) -> None:
        """Take note of a call granted to the target version, in whichever stage."""
        self.exposed += 1
        self._earn(now)
        self._credit = max(0.0, self._credit - 1)

    def _earn(self, now: float) -> None:
        # A call that is resumed was sent earlier than what is known already.
        if now <= self._credited_at:
            return
        earned = self._rate * (now - self._credited_at) if self._rate else 0.0
        self._credit = min(float(GROUP_CALLS), self._credit + earned)
        self._credited_at = now
