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
CHECK_SECONDS = 0.1
# A dispatcher is silent if nothing has arrived by this check. TCP retransmits a lost packet sooner.
CHECKS_TO_LEAVE = 5


class Verdict(enum.Enum):
    """What to do about a dispatcher that was sent a request."""

    HEARD = enum.auto()
    WAIT = enum.auto()
    PROBE = enum.auto()
    SILENT = enum.auto()


class SilenceWatch:
    """Tracks nodes that were sent a request and have sent nothing since; times are in seconds."""

    def __init__(self) -> None:
        self._asked_at: dict[str, float] = {}
        self._checks: dict[str, int] = {}

    def asked(self, node: str, now: float, heard: float) -> None:
        """Record that ``node`` was sent a request; its last message arrived at ``heard``."""
        if self._asked_at.get(node, heard) <= heard:
            self._asked_at[node] = max(now, heard)
            self._checks[node] = 0

    def check(self, node: str, heard: float) -> Verdict:
        """Return what to do about ``node``, whose last message arrived at ``heard``.

        Call it every ``CHECK_SECONDS`` until it returns ``HEARD`` or ``SILENT``.
        """
        asked_at = self._asked_at.get(node)
        if asked_at is None or heard > asked_at:
            self.forget(node)
            return Verdict.HEARD
        self._checks[node] += 1
        if self._checks[node] >= CHECKS_TO_LEAVE:
            self.forget(node)
            return Verdict.SILENT
        return Verdict.PROBE if self._checks[node] == 1 else Verdict.WAIT

    def forget(self, node: str) -> None:
        """Drop the state of ``node``."""
        self._asked_at.pop(node, None)
        self._checks.pop(node, None)
