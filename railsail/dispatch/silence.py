"""Notice within a fraction of a second that a dispatcher has fallen silent.

A dispatcher whose queue is long says nothing for a while, and so does one that is frozen, cut off
or without power. Whoever asked one for something and has heard nothing since sends it a probe,
which a dispatcher that lives answers at once. Nothing is sent while dispatchers answer anyway.

Silence is counted in checks, not in time: a process that was itself stopped, or had no processor
for a while, has made no checks meanwhile, and does not take its own pause for others' silence.
"""

import enum

# A dispatcher that was asked for something is checked after so many seconds, again and again.
CHECK_SECONDS = 0.1
# It is left at this check without a word of it; a lost packet is sent again before.
CHECKS_TO_LEAVE = 5


class Verdict(enum.Enum):
    """What is to be done about a dispatcher that was asked for something."""

    HEARD = enum.auto()
    WAIT = enum.auto()
    PROBE = enum.auto()
    SILENT = enum.auto()


class SilenceWatch:
    """Remember which nodes were asked, and have not been heard since; times are in seconds."""

    def __init__(self) -> None:
        self._asked_at: dict[str, float] = {}
        self._checks: dict[str, int] = {}

    def asked(self, node: str, now: float, heard: float) -> None:
        """Take note that ``node``, last heard at ``heard``, was asked for something."""
        if self._asked_at.get(node, heard) <= heard:
            self._asked_at[node] = max(now, heard)
            self._checks[node] = 0

    def check(self, node: str, heard: float) -> Verdict:
        """Say what is to be done about ``node``, which was last heard at ``heard``.

        To be called every ``CHECK_SECONDS`` until it says ``HEARD`` or ``SILENT``.
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
        """Forget what ``node`` was asked."""
        self._asked_at.pop(node, None)
        self._checks.pop(node, None)
