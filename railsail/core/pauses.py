"""Pauses of this process: it was stopped, suspended with its machine, or got no processor time.

A process receives nothing during a pause, so that it can't conclude from the silence that a peer is
dead. The time without a message counts from the end of the pause. State received before the pause
may be out of date.
"""

import math
from collections.abc import Callable

# An event loop that is this late was paused. Under load alone, even a long turn takes a fraction of
# this time.
PAUSE_SECONDS = 1.0


class Pauses:
    """The pauses of this process, of which listeners are notified.

    ``ended_at`` is the end of the last pause in seconds of the steady clock, or ``-math.inf``.
    """

    def __init__(self) -> None:
        self.ended_at = -math.inf
        self._listeners: list[Callable[[float], None]] = []

    def on_end(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` at the end of each pause with its length in seconds."""
        self._listeners.append(listener)

    def record(self, seconds: float, now: float) -> None:
        """Record that a pause of ``seconds`` ended at ``now``, and call the listeners."""
        self.ended_at = now
        for listener in self._listeners:
            listener(seconds)
