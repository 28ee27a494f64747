"""When the callers of refused requests should retry.

Callers that are refused together must not retry together, or they are refused again. The dispatcher
of a cell therefore plans the retries by the prompt tokens that they bring, in steps of time. Each
caller gets the earliest step in which the replicas have prefill capacity to spare, or the step with
the fewest tokens if there is none before the caller would give up.
"""

import math
import random
from collections import deque

# Retries are planned in steps of this many seconds: shorter than an overload, longer than the
# differences between the times that retries take to reach the fleet.
STEP_SECONDS = 0.25
# No caller retries sooner than this, in seconds: what waits now has started by then.
MIN_RETRY_SECONDS = 0.5
# The part of the replicas' prefill capacity that is planned for retries; the rest is for first
# attempts. With twice as much, callers retried during the overload in which they were refused.
RETRY_SHARE = 0.1
# An overload has ended when no caller was refused for this many seconds.
OVERLOAD_PAUSE_SECONDS = 1.0
# An overload is expected to last as long again as it has lasted. The delay that follows from this
# is at most this part of the time within which the caller would retry.
MAX_EXTRAPOLATED_SHARE = 0.5


class RetrySchedule:
    """The retries that the callers of one cell were asked for, in prompt tokens per step."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._current_step = 0
        self._steps: deque[float] = deque()
        # When a caller was last refused, and since when refusals have come without a pause.
        self._last_refused_at = -math.inf
        self._overloaded_since = 0.0

    def _min_delay(self, within: float, now: float) -> float:
        """Return the minimum delay before the retry, in seconds, and record the refusal."""
        if now - self._last_refused_at > OVERLOAD_PAUSE_SECONDS:
            self._overloaded_since = now
        self._last_refused_at = now
        lasted = min(now - self._overloaded_since, MAX_EXTRAPOLATED_SHARE * within)
        return min(max(MIN_RETRY_SECONDS, lasted), within)

    def schedule(self, tokens: int, within: float, rate: float, now: float) -> float:
        """Plan a retry, and return after how many seconds its caller should make it.

        ``tokens`` is the length of its prompt. The caller would retry ``within`` this many seconds
        or not at all. The replicas prefill ``rate`` tokens a second. ``now`` is in seconds of the
        dispatcher's clock.
        """
        self._advance(now)
        step_count = max(1, int(within / STEP_SECONDS))
        min_delay = self._min_delay(within, now)
        first_step = min(int(min_delay / STEP_SECONDS), step_count - 1)
        while len(self._steps) < step_count:
            self._steps.append(0.0)
        step = self._choose_step(first_step, step_count, RETRY_SHARE * rate * STEP_SECONDS)
        self._steps[step] += max(1, tokens)
        delay = (step + self._rng.random()) * STEP_SECONDS
        return min(max(delay, min_delay), within)

    def _choose_step(self, first_step: int, step_count: int, capacity: float) -> int:
        steps = range(first_step, step_count)
        for step in steps:
            if self._steps[step] < capacity:
                return step
        return min(steps, key=lambda step: (self._steps[step], step))

    def _advance(self, now: float) -> None:
        current = int(now / STEP_SECONDS)
        while self._steps and self._current_step < current:
            self._steps.popleft()
            self._current_step += 1
        self._current_step = current
