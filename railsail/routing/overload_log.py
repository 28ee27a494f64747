"""Log what an overloaded node does with the requests of workspaces that overload it.

A log line per request would take processor time that an overloaded node lacks, so one line a second
counts all requests since the line before. Requests whose callers disconnect are counted apart: a
node that works only for these is busy and answers nobody.
"""

import math
from collections import Counter
from collections.abc import Callable

import msgspec

from railsail.core.events import Kind
from railsail.core.kernel import Kernel

# Minimum time between two log lines.
LOG_INTERVAL_SECONDS = 1.0


class NodeLoad(msgspec.Struct, frozen=True):
    """The load of a node that refuses a request, by which it shows what it has run out of.

    It serves ``held`` requests of at most ``limit``, and forwards ``forwarding`` of at most
    ``forwarding_limit``. Its event loop lags by ``lag_ms``.
    """

    held: int
    limit: int
    forwarding: int
    forwarding_limit: int
    lag_ms: int


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

    def forward_abandoned(self) -> None:
        """Count a request whose caller disconnected while another node had it."""
        self._counts["forward_abandoned_since"] += 1

    def refusal_abandoned(self) -> None:
        """Count a refusal that did not reach its caller, which had disconnected."""
        self._counts["refusal_abandoned_since"] += 1

    def refused(
        self, request_id: str, workspace: str, is_retry: bool, load: Callable[[], NodeLoad]
    ) -> None:
        """Count a request that was refused as not run, and log the counts if a line is due.

        ``is_retry`` is true if this node has refused the request before: free capacity at other
        nodes does not help callers that retry at the node that refused them. ``load`` returns the
        load of this node.
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
            **msgspec.structs.asdict(load()),
            **self._counts,
        )
        self._logged_at = now
        self._counts.clear()
