"""Tell the log what a full node does with the requests of a workspace that crowds it.

A line for each would take the time that is missing, so that one a second tells of all since the
last one.
"""

import math
from collections import Counter

from railsail.core.events import Kind
from railsail.core.kernel import Kernel

# Seconds between two lines.
TELL_SECONDS = 1.0


class OverloadLog:
    """Count the requests that a full node did not serve itself, and tell of them each second."""

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._events = kernel.events
        self._told_at = -math.inf
        self._counts: Counter[str] = Counter()

    def forwarded(self) -> None:
        """Take note of a request that another node answered."""
        self._counts["forwarded_since"] += 1

    def refused(
        self, request_id: str, workspace: str, came_back: bool, held: int, limit: float
    ) -> None:
        """Take note of a request that was refused as not run.

        ``came_back`` says that this node had refused it before: callers that come back to the node
        that refused them are not helped by other nodes. The node held ``held`` requests, of at most
        ``limit``.
        """
        self._counts["requests_since"] += 1
        self._counts["came_back_since"] += came_back
        now = self._clock.monotonic()
        if now - self._told_at < TELL_SECONDS:
            return
        self._events.emit(
            Kind.ENDED,
            "refused, since this node is full",
            request_id,
            workspace,
            notable=True,
            held=held,
            limit=round(limit),
            **self._counts,
        )
        self._told_at = now
        self._counts.clear()
