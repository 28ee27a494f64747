"""When this process stood still: stopped, suspended with its machine, or without a processor.

What it did not hear meanwhile, nobody failed to say: silence counts from the end of a pause on. And
what it heard before may be out of date.
"""

import math
from collections.abc import Callable

# A loop that is this late has not just much to do: a long turn takes a fraction of it.
PAUSE_SECONDS = 1.0


class Pauses:
    """Tell listeners of each pause when it has ended; times are in seconds of the steady clock."""

    def __init__(self) -> None:
        self.ended_at = -math.inf
        self._listeners: list[Callable[[float], None]] = []

    def on_end(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` with the length of each pause, in seconds, when it has ended."""
        self._listeners.append(listener)

    def ended(self, seconds: float, now: float) -> None:
        """Take note that a pause of ``seconds`` ended ``now``."""
        self.ended_at = now
        for listener in self._listeners:
            listener(seconds)
