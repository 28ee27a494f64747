"""How many calls a cold replica is given.

A replica that has just started, or has lost its warmth, bears few calls in a second and falls over
well above that, to come back cold once more. The load that this answers: a third of a pool crashes
under a flood and comes back at once. Whoever then fills the empty slots loses the replicas again
and again, and the pool stays a third smaller for as long as the flood lasts.

Two dispatchers may serve one cell for a while, when one takes over from another, and parts of a
fleet that cannot reach each other dispatch each for itself. So a dispatcher gives out at most half
of what all nodes together may send, and of that only the part that its share of the fleet is.
"""

import math

import msgspec

# Dispatchers that may serve one cell at the same time while one takes over from another.
DISPATCHERS_AT_ONCE = 2
# What a cold replica bears is counted in any window of so many seconds; older calls, which another
# dispatcher's books may name, count no more.
BOUND_WINDOW_SECONDS = 1.0
# A call that is given so late after it was allowed does not put off those after it: a dispatcher
# looks at its queue about as often.
LATE_SECONDS = 0.01


class WarmupBound(msgspec.Struct, frozen=True):
    """What a cold replica bears.

    ``per_second`` are the calls that it bears in a second, 0 where any number. All nodes together
    may send it ``over`` times as many and ``slack`` more in any second. It stays cold for
    ``seconds`` after it has started.
    """

    per_second: float = 0.0
    seconds: float = 0.0
    over: float = 1.0
    slack: float = 0.0

    @property
    def rate(self) -> float:
        """Return the calls a second that one dispatcher of the whole fleet may send."""
        most = self.per_second * self.over + self.slack
        # Calls at even distances may be one more than their rate in some window.
        return max(0.0, min(self.per_second, most / DISPATCHERS_AT_ONCE - 1))


class Warmup:
    """Whether one replica is cold, and when it may be given its next call; times in seconds."""

    def __init__(self) -> None:
        self.bound = WarmupBound()
        # The part of the fleet that this dispatcher decides for, from 0 to 1.
        self.share = 1.0
        self._until = -math.inf
        self._next_at = -math.inf

    def cold_for(self, seconds: float, now: float) -> None:
        """Take note that the replica is cold, and will be for ``seconds`` more."""
        self._until = max(self._until, now + seconds)

    def cold(self, now: float) -> bool:
        """Say whether the replica bears few calls at ``now``."""
        return now < self._until and self.bound.per_second > 0

    def allows(self, now: float) -> bool:
        """Say whether the replica may be given a call at ``now``."""
        return not self.cold(now) or now >= self._next_at

    def started(self, now: float) -> None:
        """Take note of a call given at ``now``, whether the replica is cold or not yet."""
        rate = self.bound.rate * self.share
        if rate <= 0:
            return
        gap = 1 / rate
        if not self.cold(now):
            self._next_at = now + gap
        elif now > self._next_at - BOUND_WINDOW_SECONDS:
            self._next_at = max(self._next_at, now - LATE_SECONDS) + gap
