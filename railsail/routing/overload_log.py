"""Log what an overloaded node does with the requests of workspaces that overload it.

A log line per request would take processor time that an overloaded node lacks, so one line a second
counts all requests since the line before.
"""

import math
from collections import Counter

from railsail.core.events import Kind
from railsail.core.kernel import Kernel

# Minimum time between two log lines.
LOG_INTERVAL_SECONDS = 1.0


class OverloadLog:
    """Log of how many requests an overloaded node did not serve itself."""

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._events = kernel.events
        self._logged_at = -math.inf
        self._counts: Counter[str] = Counter()

    def forwarded(self) -> None:
        """Count a request that another node answered."""
        self._counts["forwarded_since"] += 1

    def refused(
        self, request_id: str, workspace: str, is_retry: bool, in_flight: int, limit: float
    ) -> None:
        """Count a request that was refused as not run, and log the counts if a line is due.

        ``is_retry`` is true if this node has refused the request before: free capacity at other
        nodes does not help callers that retry at the node that refused them. The node has
        ``in_flight`` requests, of at most ``limit``.
        """
        self._counts["requests_since"] += 1
        self._counts["came_back_since"] += is_retry
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._events.emit(
            Kind.ENDED,
            "refused, since this node is full",
            request_id,
            workspace,
            notable=True,
            held=in_flight,
            limit=round(limit),
            **self._counts,
        )
        self._logged_at = now
        self._counts.clear()
