"""The stages that a running rollout passes through."""

import enum


class Stage(enum.IntEnum):
    """Which version of a service new calls go to; nodes send these numbers.

    ``HOLD`` sends the target version nothing. ``CANARY`` sends it as many calls as are allowed, on
    few replicas. ``SHIFT`` sends it all calls that it has room for, and the rest to the others.
    ``DRAIN`` sends the other versions nothing, so that what runs there ends.
    """

    HOLD = 0
    CANARY = 1
    SHIFT = 2
    DRAIN = 3
