"""Notice within a fraction of a second that a dispatcher has fallen silent.

A dispatcher whose queue is long says nothing for a while, and so does one that is frozen, cut off
or without power. Whoever asked one for something and has heard nothing since sends it a probe,
which a dispatcher that lives answers at once. Nothing is sent while dispatchers answer anyway.
"""

import enum

# A dispatcher that was asked for something is probed after so many seconds without a word of it.
PROBE_SECONDS = 0.1
# One that is still silent after so many seconds is left. A lost packet is sent again before.
SILENT_SECONDS = 0.5


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
        self._probed: set[str] = set()

    def asked(self, node: str, now: float, heard: float) -> None:
        """Take note that ``node``, last heard at ``heard``, was asked for something."""
        if self._asked_at.get(node, heard) <= heard:
            self._asked_at[node] = max(now, heard)
            self._probed.discard(node)

    def check(self, node: str, now: float, heard: float) -> Verdict:
        """Say what is to be done about ``node`` now; ``PROBE`` is said once."""
        asked_at = self._asked_at.get(node)
        if asked_at is None or heard > asked_at:
            self.forget(node)
            return Verdict.HEARD
        quiet = now - asked_at
        if quiet >= SILENT_SECONDS:
            self.forget(node)
            return Verdict.SILENT
        if quiet >= PROBE_SECONDS and node not in self._probed:
            self._probed.add(node)
            return Verdict.PROBE
        return Verdict.WAIT

    def forget(self, node: str) -> None:
        """Forget what ``node`` was asked."""
        self._asked_at.pop(node, None)
        self._probed.discard(node)
