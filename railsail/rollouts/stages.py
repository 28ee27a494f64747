"""The stages of a running rollout."""

import enum


class Stage(enum.IntEnum):
    """Which versions of a service receive new calls; nodes send the numbers.

    In ``HOLD`` the target version receives none. In ``CANARY`` a few of its replicas receive as
    many as the exposure bounds allow. In ``SHIFT`` it receives all calls that it has capacity for,
    and the other versions the rest. In ``DRAIN`` the other versions receive none, so that their
    calls in flight can finish.
    """

    HOLD = 0
    CANARY = 1
    SHIFT = 2
    DRAIN = 3
