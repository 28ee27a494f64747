"""Whether the replicas of the target version have capacity for all calls of a service.

While the target takes over calls, fewer are in flight on other versions, and their number no longer
shows how much capacity the target needs. So the number in flight at the start of the shift is
scaled with the arrival rate: by Little's law the two are proportional.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from railsail.rollouts.fleet import Replica

# Before the shift, the target's slots must exceed the calls in flight by this factor.
CAPACITY_MARGIN = 1.1


@dataclass(frozen=True)
class Load:
    """The load at the start of a shift: calls in flight on other versions, and arrivals per second.

    Both are 0 before the shift.
    """

    running: int = 0
    rate: float = 0.0

    def fits(
        self, targets: Sequence[Replica], others: Sequence[Replica], running: int, rate: float
    ) -> bool:
        """Return True if ``targets`` have capacity for all calls.

        ``running`` calls are in flight on other versions now, and calls arrive at ``rate`` per
        second. A replica that announces no slots takes any number of calls. If ``targets`` have at
        least as many slots as ``others``, they have capacity even while a flood of calls fills the
        others.
        """
        if any(replica.slots == 0 for replica in targets):
            return True
        slots = sum(replica.slots for replica in targets)
        return slots >= min(_max_concurrent_calls(others), self._required_slots(running, rate))

    def _required_slots(self, running: int, rate: float) -> float:
        if self.rate <= 0:
            return CAPACITY_MARGIN * running
        return max(running, self.running * rate / self.rate)


def _max_concurrent_calls(others: Sequence[Replica]) -> float:
    """Return how many calls ``others`` can run at once, infinite if that is not known.

    It is not known if one of them announces no slots or is cold: a cold replica can run few calls
    now, but soon as many as it has slots.
    """
    known = all(replica.slots and replica.warm for replica in others)
    return sum(replica.slots for replica in others) if known else math.inf
