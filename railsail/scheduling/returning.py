"""A dispatcher's record of the requests that it refused, by which it recognizes retries.

In an overload most requests are refused once. The retry of a refused request has missed its
objective already, so that nothing is lost by serving it after the requests that can still meet
theirs. But its caller will hardly retry again, so that it may wait for longer than they do.

A retry has the fingerprint of its first attempt, and it arrives at the time that the refusal named,
so that a refusal is remembered until shortly after that time. The deadline that a caller states is
no sign of a retry: in a load test of 62 nodes, whose callers had different deadlines, nine of ten
first attempts were taken for retries. All of them waited for longer, and 99 of 100 refusals came
0.6 s late.
"""

from collections import Counter, deque

# A retry may arrive this many seconds later than the refusal said: its caller needs time for a new
# connection, and the request needs time to reach the dispatcher.
RETRY_SLACK_SECONDS = 1.0
# Refusals that are remembered; the oldest are dropped when there are more. An overload of 2,000
# refusals a second whose callers retry after 4 s needs fewer.
MAX_REMEMBERED = 16_384
# A retry may wait for this many times its objective. A late answer is better than another refusal,
# but callers leave after a few objectives.
RETRY_WAIT_OBJECTIVES = 2.0


class RefusedCallers:
    """The recent refusals by fingerprint; times are in seconds of the dispatcher's clock."""

    def __init__(self) -> None:
        self._expected_retries: Counter[int] = Counter()
        self._expiries: deque[tuple[float, int]] = deque()

    def refused(self, fingerprint: int, come_back: float, now: float) -> None:
        """Record a refused request whose caller was asked to retry after ``come_back`` seconds."""
        if not fingerprint:
            return
        if len(self._expiries) >= MAX_REMEMBERED:
            self._forget_oldest()
        self._expected_retries[fingerprint] += 1
        self._expiries.append((now + come_back + RETRY_SLACK_SECONDS, fingerprint))

    def comes_back(self, fingerprint: int, now: float) -> bool:
        """Return True if a request that arrives now was refused before, and drop that refusal."""
        while self._expiries and self._expiries[0][0] < now:
            self._forget_oldest()
        if not self._expected_retries.get(fingerprint):
            return False
        self._drop_one(fingerprint)
        return True

    def _forget_oldest(self) -> None:
        _, fingerprint = self._expiries.popleft()
        if self._expected_retries.get(fingerprint):
            self._drop_one(fingerprint)

    def _drop_one(self, fingerprint: int) -> None:
        self._expected_retries[fingerprint] -= 1
        if not self._expected_retries[fingerprint]:
            del self._expected_retries[fingerprint]
