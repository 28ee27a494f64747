"""Whether replicas of the target version have room for all calls of a service.

While the target takes calls over, those that run on other versions become fewer, and tell no more
what the target must have room for. So the calls that ran when the shift began are followed by how
many come a second: by Little's law, as many more or fewer run at once.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from railsail.rollouts.fleet import Replica

# Before the shift, the target must have this much more room than the calls that run.
ROOM_MARGIN = 1.1


@dataclass(frozen=True)
class Load:
    """The calls that ran on other versions when a shift began, at ``rate`` new ones a second."""

    running: int = 0
    rate: float = 0.0

    def fits(
        self, targets: Sequence[Replica], others: Sequence[Replica], running: int, rate: float
    ) -> bool:
        """Say whether ``targets`` have room for all calls.

        ``running`` calls run on other versions now, and ``rate`` come a second. Replicas that tell
        no slots take any. A target that is no smaller than the ``others`` always has room: what
        they bear it bears as well, also while a flood fills them.
        """
        if any(replica.slots == 0 for replica in targets):
            return True
        slots = sum(replica.slots for replica in targets)
        return slots >= min(_most(others), self._needed(running, rate))

    def _needed(self, running: int, rate: float) -> float:
        if self.rate <= 0:
            return ROOM_MARGIN * running
        return max(running, self.running * rate / self.rate)


def _most(others: Sequence[Replica]) -> float:
    """Return how many calls ``others`` bear at once, infinite where that is not known.

    Cold ones bear little now, and soon all that their slots tell.
    """
    known = all(replica.slots and replica.warm for replica in others)
    return sum(replica.slots for replica in others) if known else math.inf
