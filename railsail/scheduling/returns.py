"""When callers that are refused should come back.

Callers that are refused together must not come back together, or they are refused again. So the
dispatcher of a cell writes down what it has told callers to bring back and when, and sends each to
the earliest time at which the replicas have reading to spare. Where they have none to spare within
the time that the caller would wait, it is sent to the emptiest part of it.
"""

import math
import random
from collections import deque

# Returns are planned in steps of this many seconds: shorter than what a burst lasts, longer than
# the spread of the way back to the fleet.
STEP_SECONDS = 0.25
# Nobody is sent back sooner than this, in seconds: what waits now is begun by then.
SOONEST_SECONDS = 0.5
# The part of what the replicas read that is planned for returns; the rest is for those that come
# for the first time. With twice as much, callers came back into the overload that had refused them.
RETURN_SHARE = 0.1
# An overload that paused for longer than this, in seconds, has ended.
PAUSE_SECONDS = 1.0
# Nobody is sent back later than this part of the time that it would wait because of how long an
# overload has lasted.
MOST_SOONEST_SHARE = 0.5


class ReturnPlan:
    """What callers were told to bring back to one cell, in tokens to read, by step of time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._first = 0
        self._steps: deque[float] = deque()
        # When a caller was refused last, and since when callers have been without a pause.
        self._refused_at = -math.inf
        self._since = 0.0

    def _soonest(self, within: float, now: float) -> float:
        """Return the least time to come back after, in seconds.

        An overload that has lasted for a while is expected to last as long again.
        """
        if now - self._refused_at > PAUSE_SECONDS:
            self._since = now
        self._refused_at = now
        lasted = min(now - self._since, MOST_SOONEST_SHARE * within)
        return min(max(SOONEST_SECONDS, lasted), within)

    def promise(self, tokens: int, within: float, rate: float, now: float) -> float:
        """Return after how many seconds a caller with ``tokens`` to read should come back.

        It comes back ``within`` so many seconds or not at all; the replicas read ``rate`` tokens a
        second; ``now`` is in seconds of the dispatcher's clock.
        """
        self._advance(now)
        latest = max(1, int(within / STEP_SECONDS))
        least = self._soonest(within, now)
        soonest = min(int(least / STEP_SECONDS), latest - 1)
        while len(self._steps) < latest:
            self._steps.append(0.0)
        step = self._choose(soonest, latest, RETURN_SHARE * rate * STEP_SECONDS)
        self._steps[step] += max(1, tokens)
        after = (step + self._rng.random()) * STEP_SECONDS
        return min(max(after, least), within)

    def _choose(self, soonest: int, latest: int, room: float) -> int:
        steps = range(soonest, latest)
        for step in steps:
            if self._steps[step] < room:
                return step
        return min(steps, key=lambda step: (self._steps[step], step))

    def _advance(self, now: float) -> None:
        current = int(now / STEP_SECONDS)
        while self._steps and self._first < current:
            self._steps.popleft()
            self._first += 1
        self._first = current
