"""How many more calls a replica can take now.

Room is the reported limit less this dispatcher's own calls in flight and less the load of others.
Where a replica reports nothing, the limit is learnt by additive increase and multiplicative
decrease. Failures close a replica for a time that doubles; then one call tries it again.
"""

from collections import deque
from dataclasses import dataclass

LEAST_LIMIT = 1.0
FIRST_LIMIT = 4.0
MOST_LIMIT = 4096.0
DECREASE = 0.7
# A call that takes this many times the usual time says that the replica is too full.
SLOW_FACTOR = 3.0
FIRST_CLOSED_SECONDS = 0.5
MOST_CLOSED_SECONDS = 30.0
FAILURES_TO_CLOSE = 2
# Own calls are remembered this long, to tell them from foreign ones in a report that lags.
REPORT_LAG_SECONDS = 2.0
USUAL_TIME_GAIN = 0.1


@dataclass(frozen=True)
class LoadReport:
    """What a replica says of itself.

    ``slots`` is how many calls it works on at once, ``running`` and ``waiting`` are the calls it
    has; ``age`` is how old the figures are, in seconds.
    """

    slots: int
    running: int
    waiting: int
    leaving: bool = False
    age: float = 0.0


class ReplicaRoom:
    """The room of one replica, as one dispatcher sees it; ``slots`` of 0 means to learn it."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.in_flight = 0
        self.leaving = False
        self.foreign = 0
        self._slots = slots
        self._limit = FIRST_LIMIT
        self._failures = 0
        self._closed_until = 0.0
        self._closed_seconds = FIRST_CLOSED_SECONDS
        self._usual_time = 0.0
        self._recent: deque[tuple[float, int]] = deque()

    @property
    def limit(self) -> float:
        """Return how many calls the replica works on at once."""
        return float(self._slots) if self._slots else self._limit

    def overlap(self) -> int:
        """Return the calls queued at the replica, so that a round trip leaves no slot idle."""
        return max(1, int(self.limit) // 8)

    def room(self, now: float, extra: int = 0) -> int:
        """Return how many more calls fit at ``now``, with ``extra`` beyond the limit."""
        if self.leaving or now < self._closed_until:
            return 0
        if self._failures >= FAILURES_TO_CLOSE:
            # The replica was closed and is tried again, with one call at a time.
            return max(0, 1 - self.in_flight)
        return max(0, int(self.limit) + extra - self.in_flight - self.foreign)

    def fullness(self) -> float:
        """Return calls per slot, own and foreign; 1.0 is full."""
        return (self.in_flight + self.foreign) / max(self.limit, LEAST_LIMIT)

    def started(self, now: float) -> None:
        """Take note of a call granted."""
        self.in_flight += 1
        self._remember(now)

    def ended(self, now: float) -> None:
        """Take note of the end of a call, however it ended."""
        self._remember(now)
        self.in_flight = max(0, self.in_flight - 1)

    def succeeded(self, now: float, seconds: float) -> None:
        """Take note that a call was answered whole after ``seconds``."""
        self._failures = 0
        self._closed_seconds = FIRST_CLOSED_SECONDS
        if self._usual_time == 0.0:
            self._usual_time = seconds
        if seconds > SLOW_FACTOR * self._usual_time:
            self._limit = max(LEAST_LIMIT, self._limit * DECREASE)
        elif self.in_flight + 1 >= int(self._limit):
            self._limit = min(MOST_LIMIT, self._limit + 1 / self._limit)
        self._usual_time += USUAL_TIME_GAIN * (seconds - self._usual_time)

    def failed(self, now: float) -> None:
        """Take note that a call failed or was refused; enough of them close the replica."""
        self._limit = max(LEAST_LIMIT, self._limit * DECREASE)
        self._failures += 1
        if self._failures >= FAILURES_TO_CLOSE:
            self._closed_until = now + self._closed_seconds
            self._closed_seconds = min(self._closed_seconds * 2, MOST_CLOSED_SECONDS)

    def reported(self, now: float, report: LoadReport) -> None:
        """Take in a load report, which lags by its age.

        Whether the replica leaves is decided from all signs, not here: see ``leaving``.
        """
        if report.slots:
            self._slots = report.slots
        self._remember(now)
        since = now - report.age - REPORT_LAG_SECONDS
        while len(self._recent) > 1 and self._recent[1][0] <= since:
            self._recent.popleft()
        most_own = max(own for _, own in self._recent)
        self.foreign = max(0, report.running + report.waiting - most_own)

    def _remember(self, now: float) -> None:
        self._recent.append((now, self.in_flight))
