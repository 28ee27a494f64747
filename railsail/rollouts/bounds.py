"""How many calls the target version of a rollout may get.

Until its deadline, a version that proves bad may have received ``share`` of all calls of its
service since the order, and ``slack`` calls more. Calls that are still to come are not counted on:
what may be sent at any time follows from the calls that have arrived by then.
"""

from dataclasses import dataclass

# A canary that took all of the bound would leave nothing for the shift, in which the version gets
# all calls until the rollout is decided. A quarter of it is a fortieth of the traffic where the
# share is a tenth: five calls a second of two hundred, enough to be judged within seconds.
CANARY_SHARE = 0.25
# Of the slack, the canary takes its part at once: the first calls of a service that has few.
CANARY_SLACK = 0.4
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

    def canary_calls(self, arrivals: int) -> int:
        """Return how many calls the target may have got in the canary."""
        return int(CANARY_SHARE * self.share * arrivals + CANARY_SLACK * self.slack)

    def shift_calls(self, arrivals: int) -> int:
        """Return how many calls the target may have got in all before the deadline."""
        return int(SHIFT_SHARE * self.share * arrivals + SHIFT_SLACK * self.slack)
