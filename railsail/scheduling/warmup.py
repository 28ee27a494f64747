"""How many calls a cold replica is given.

A replica that has just started, or has become cold again, sustains only few calls per second. It
crashes at a rate well above that, and restarts cold. If a third of a pool crashes in an overload
and restarts at once, its slots are empty. A dispatcher that fills them crashes the replicas again
and again, and the pool stays a third smaller for as long as the overload lasts.

Two dispatchers may serve one cell for a while, when one takes over from another, and parts of a
fleet that cannot reach each other have dispatchers of their own. A dispatcher therefore sends at
most half of what all nodes together may send, and of that only the part that corresponds to its
share of the fleet.
"""

import math

import msgspec

# Dispatchers that may serve one cell at the same time while one takes over from another.
MAX_DISPATCHERS = 2
# The bound on the calls of a cold replica holds for any window of this many seconds. An older call,
# which an earlier dispatcher may have granted, does not count.
BOUND_WINDOW_SECONDS = 1.0
# A call that is granted at most this many seconds after it was allowed does not delay the next one:
# a dispatcher checks its queue about this often.
MAX_LATENESS_SECONDS = 0.01


class WarmupBound(msgspec.Struct, frozen=True):
    """The load that a cold replica sustains.

    ``per_second`` is the number of calls that it sustains per second, 0 if there is no limit. All
    nodes together may send it ``overcommit`` times as many and ``slack`` more in any second. It
    stays cold for ``seconds`` after its start.
    """

    per_second: float = 0.0
    seconds: float = 0.0
    overcommit: float = 1.0
    slack: float = 0.0

    @property
    def rate(self) -> float:
        """Return the calls per second that one dispatcher for the whole fleet may send."""
        max_rate = self.per_second * self.overcommit + self.slack
        # Evenly spaced calls may exceed their rate by one in some window.
        return max(0.0, min(self.per_second, max_rate / MAX_DISPATCHERS - 1))


class Warmup:
    """Whether one replica is cold, and when it may be given its next call; times are in seconds."""

    def __init__(self) -> None:
        self.bound = WarmupBound()
        # The part of the fleet that this dispatcher serves, from 0 to 1.
        self.share = 1.0
        self._cold_until = -math.inf
        self._next_call_at = -math.inf

    def mark_cold(self, seconds: float, now: float) -> None:
        """Record that the replica stays cold for ``seconds`` more."""
        self._cold_until = max(self._cold_until, now + seconds)

    def is_cold(self, now: float) -> bool:
        """Return True if the replica is cold at ``now`` and its pool has a bound for that."""
        return now < self._cold_until and self.bound.per_second > 0

    def allows_call(self, now: float) -> bool:
        """Return True if the replica may be given a call at ``now``."""
        return not self.is_cold(now) or now >= self._next_call_at

    def call_started(self, now: float) -> None:
        """Record a call given at ``now``, whether or not the replica is cold yet."""
        rate = self.bound.rate * self.share
        if rate <= 0:
            return
        interval = 1 / rate
        if not self.is_cold(now):
            self._next_call_at = now + interval
        elif now > self._next_call_at - BOUND_WINDOW_SECONDS:
            self._next_call_at = max(self._next_call_at, now - MAX_LATENESS_SECONDS) + interval
