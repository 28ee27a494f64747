"""How many calls the target version of a rollout may receive.

By the deadline, a version that proves bad may have received the fraction ``share`` of all calls of
its service since the order, plus ``slack`` calls. Future calls are not counted in advance: the
bound at any time follows from the calls that have arrived by then.
"""

import math
from dataclasses import dataclass

# The fraction of ``share`` that the canary may use. The rest is left for the shift, in which the
# version receives all calls until the rollout is decided. At a share of 0.1, a quarter is five of
# 200 calls a second, enough for a verdict within seconds.
CANARY_SHARE = 0.25
# The fraction of ``slack`` that the canary may use, for services with few calls. Some of it is
# available at once, and the rest becomes available over the order's duration, since a version may
# turn bad later.
CANARY_SLACK = 0.4
INITIAL_CANARY_SLACK = 0.1
# A service with few calls needs a larger part of the bound for its canary. By the deadline the
# canary may use this many calls, provided that the calls of this many seconds are left for the
# shift.
SUFFICIENT_CANARY_CALLS = 80
SHIFT_RESERVE_SECONDS = 1.2
# The shift stays below the full bound, because calls are counted here before they reach a replica
# and a call may be sent twice.
SHIFT_SHARE = 0.95
SHIFT_SLACK = 0.8
# An allowance expires soon after its coordinator has gone, and well before the time by which a bad
# version must receive no more calls: collecting evidence and reaching a verdict take time, too.
MAX_VALID_SECONDS = 1.0
VALID_SHARE = 0.25


@dataclass(frozen=True)
class ExposureBounds:
    """The operator's bounds on the calls of the target version (see the module).

    No call may reach a version later than ``rollback_seconds`` after it is known to be bad.
    """

    share: float
    slack: float
    rollback_seconds: float = 5.0

    @property
    def valid_seconds(self) -> float:
        """Return for how many seconds a dispatcher may use an allowance that is not renewed."""
        return min(MAX_VALID_SECONDS, VALID_SHARE * self.rollback_seconds)

    def canary_calls(
        self, arrivals: int, rate: float = math.inf, elapsed_share: float = 1.0
    ) -> int:
        """Return how many calls the target may have received in the canary.

        Calls arrive at ``rate`` per second, and ``elapsed_share`` is the fraction of the order's
        duration that has passed.
        """
        elapsed_share = min(1.0, max(0.0, elapsed_share))
        over_time = (CANARY_SLACK - INITIAL_CANARY_SLACK) * elapsed_share
        slack = (INITIAL_CANARY_SLACK + over_time) * self.slack
        usual = CANARY_SHARE * self.share * arrivals + slack
        spare = self.shift_calls(arrivals) - SHIFT_RESERVE_SECONDS * rate
        return int(max(usual, min(SUFFICIENT_CANARY_CALLS * elapsed_share, spare)))

    def shift_calls(self, arrivals: int) -> int:
        """Return how many calls the target may have received in total before the deadline."""
        return int(SHIFT_SHARE * self.share * arrivals + SHIFT_SLACK * self.slack)
