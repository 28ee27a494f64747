"""Detect within a fraction of a second that a dispatcher does not respond.

A dispatcher with a long queue sends nothing for a while, and neither does one that is frozen,
partitioned or without power. A node that has sent a request and received nothing since sends a
probe, which a live dispatcher answers at once. While dispatchers respond to requests, no probes are
sent.

Silence is measured in checks, not in time. A process that was itself suspended, or had no CPU for a
while, made no checks in that time, and does not mistake its own pause for the silence of others.
"""

import enum

# How often a dispatcher that was sent a request is checked.
CHECK_INTERVAL_SECONDS = 0.1
# A dispatcher is silent if nothing has arrived by this check. TCP retransmits a lost packet sooner.
CHECKS_UNTIL_SILENT = 5


class CheckResult(enum.Enum):
    """What to do about a dispatcher that was sent a request."""

    RESPONDED = enum.auto()
    WAIT = enum.auto()
    PROBE = enum.auto()
    SILENT = enum.auto()


class SilenceDetector:
    """Tracks nodes that were sent a request and have sent nothing since; times are in seconds."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}
        self._checks: dict[str, int] = {}

    def request_sent(self, node: str, now: float, last_received: float) -> None:
        """Record that ``node`` was sent a request at ``now``.

        Its last message arrived at ``last_received``.
        """
        if self._requested_at.get(node, last_received) <= last_received:
            self._requested_at[node] = max(now, last_received)
            self._checks[node] = 0

    def check(self, node: str, last_received: float) -> CheckResult:
        """Return what to do about ``node``, whose last message arrived at ``last_received``.

        Call it every ``CHECK_INTERVAL_SECONDS`` until it returns ``RESPONDED`` or ``SILENT``.
        """
        requested_at = self._requested_at.get(node)
        if requested_at is None or last_received > requested_at:
            self.forget(node)
            return CheckResult.RESPONDED
        self._checks[node] += 1
        if self._checks[node] >= CHECKS_UNTIL_SILENT:
            self.forget(node)
            return CheckResult.SILENT
        return CheckResult.PROBE if self._checks[node] == 1 else CheckResult.WAIT

    def forget(self, node: str) -> None:
        """Drop the state of ``node``."""
        self._requested_at.pop(node, None)
        self._checks.pop(node, None)
