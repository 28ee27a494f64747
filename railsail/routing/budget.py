"""A retry budget for the whole fleet that needs no messages between nodes.

A retry is any call of a request after its first. For each pool, the fleet may make ``ratio``
retries per request plus ``slack`` retries in any window. Each daemon applies the ratio to its own
requests and takes an equal share of the slack, so that the sum over all daemons stays within the
bound. A daemon that has just started does not know what its previous process spent, and has no
share of the slack until one window has passed. The share does not depend on which nodes can be
reached: the slack is divided by the number of all known members, including dead ones.
"""

from collections import deque

import msgspec

# Factor on the window: replicas count a call a little later than this daemon does.
WINDOW_MARGIN = 1.1
# Factor on what this daemon may spend: members that it does not know yet may have a share as well.
SHARE_MARGIN = 0.8


class RetryBounds(msgspec.Struct, frozen=True):
    """The bound on retries: ``ratio`` per request plus ``slack``, in any ``window`` seconds."""

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """This daemon's part of the retry budget of one pool.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self, bounds: RetryBounds, started_at: float) -> None:
        self._bounds = bounds
        self._window = bounds.window * WINDOW_MARGIN
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        # Retries left at the last decision, including the one that was decided on.
        self.remaining = 0

    def record_request(self, now: float) -> None:
        """Record a request of a caller."""
        self._requests.append(now)
        _drop_before(self._requests, now - self._bounds.window)

    def allow(self, now: float, fleet_size: int) -> bool:
        """Return True and count a retry if the budget allows one now.

        ``fleet_size`` is the number of nodes in the fleet.
        """
        if not self.has_room(now, fleet_size):
            return False
        self._retries.append(now)
        return True

    def has_room(self, now: float, fleet_size: int) -> bool:
        """Return True if the budget allows a retry now, without counting one."""
        _drop_before(self._requests, now - self._bounds.window)
        _drop_before(self._retries, now - self._window)
        allowed = self._bounds.ratio * len(self._requests) * SHARE_MARGIN
        if now - self._started_at >= self._window:
            allowed += self._bounds.slack * SHARE_MARGIN / max(1, fleet_size)
        self.remaining = max(0, int(allowed) - len(self._retries))
        return len(self._retries) + 1 <= allowed


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()
