"""The budget of repeats that the whole fleet keeps to, without a message about it.

A repeat is any call of a request beyond its first. The fleet may make ``ratio`` repeats for each
request of a pool plus ``slack`` within any window. Each daemon keeps to the ratio on its own
requests and to an even share of the slack, so that the sum over all daemons keeps to the whole.
A daemon that has just started does not know what its past self spent, and has no share of the
slack until a window has passed. Nothing rests on who can be reached at the moment: the share is
divided by all members known, those that are gone included.
"""

from collections import deque

import msgspec

# Arrivals at replicas are counted there, a little later than they are counted here.
WINDOW_MARGIN = 1.1
# Members that are not known yet may have a share as well.
SHARE_MARGIN = 0.8


class RetryBounds(msgspec.Struct, frozen=True):
    """Repeats allowed in ``window`` seconds: ``ratio`` for each request, and ``slack``."""

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """This daemon's part of the budget of one pool; times are seconds of a monotonic clock."""

    def __init__(self, bounds: RetryBounds, started_at: float) -> None:
        self._bounds = bounds
        self._window = bounds.window * WINDOW_MARGIN
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        # How many more repeats were allowed when one was asked for last.
        self.left = 0

    def request(self, now: float) -> None:
        """Take note of a request of a caller."""
        self._requests.append(now)
        _drop_before(self._requests, now - self._bounds.window)

    def allow(self, now: float, members: int) -> bool:
        """Say whether a repeat may be made now, in a fleet of ``members``, and count it if so."""
        _drop_before(self._requests, now - self._bounds.window)
        _drop_before(self._repeats, now - self._window)
        allowed = self._bounds.ratio * len(self._requests) * SHARE_MARGIN
        if now - self._started_at >= self._window:
            allowed += self._bounds.slack * SHARE_MARGIN / max(1, members)
        self.left = max(0, int(allowed) - len(self._repeats))
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()
