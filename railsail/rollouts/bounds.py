"""How many calls the target version of a rollout may get.

Until its deadline, a version that proves bad may have received ``share`` of all calls of its
service since the order, and ``slack`` calls more. Calls that are still to come are not counted on:
what may be sent at any time follows from the calls that have arrived by then.
"""

import math
from dataclasses import dataclass

# A canary that took all of the bound would leave nothing for the shift, in which the version gets
# all calls until the rollout is decided. A quarter of it is a fortieth of the traffic where the
# share is a tenth: five calls a second of two hundred, enough to be judged within seconds.
CANARY_SHARE = 0.25
# Of the slack, the canary takes a part, for services that have few calls. Some of it is taken at
# once and the rest over the time of the order, since a version may turn bad later.
CANARY_SLACK = 0.4
CANARY_SLACK_AT_ONCE = 0.1
# A service with few calls needs a larger part of the bound for its canary: by the deadline it may
# take so many calls, as far as all calls of so many seconds are left for the shift.
ENOUGH_CALLS = 80
KEPT_SECONDS = 1.2
# Calls arrive elsewhere later than they are counted here, and a call may be sent twice.
SHIFT_SHARE = 0.95
SHIFT_SLACK = 0.8
# An allowance lapses soon where its coordinator is gone, and well before a version that is bad must
# get nothing more: evidence and a verdict take their time too.
MOST_VALID_SECONDS = 1.0
VALID_SHARE = 0.25


@dataclass(frozen=True)
class ExposureBounds:
    """The operator's bounds; see the module.

    A version that is known to be bad gets nothing more after ``rollback`` seconds.
    """

    share: float
    slack: float
    rollback: float = 5.0

    @property
    def valid_seconds(self) -> float:
        """Return for how long a dispatcher may act on an allowance without another one."""
        return min(MOST_VALID_SECONDS, VALID_SHARE * self.rollback)

    def canary_calls(self, arrivals: int, rate: float = math.inf, elapsed: float = 1.0) -> int:
        """Return how many calls the target may have got in the canary.

        Calls come at ``rate`` a second, and a part ``elapsed`` of the order's time is over.
        """
        elapsed = min(1.0, max(0.0, elapsed))
        over_time = (CANARY_SLACK - CANARY_SLACK_AT_ONCE) * elapsed
        slack = (CANARY_SLACK_AT_ONCE + over_time) * self.slack
        usual = CANARY_SHARE * self.share * arrivals + slack
        spare = self.shift_calls(arrivals) - KEPT_SECONDS * rate
        return int(max(usual, min(ENOUGH_CALLS * elapsed, spare)))

    def shift_calls(self, arrivals: int) -> int:
        """Return how many calls the target may have got in all before the deadline."""
        return int(SHIFT_SHARE * self.share * arrivals + SHIFT_SLACK * self.slack)
