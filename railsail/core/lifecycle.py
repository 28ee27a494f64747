"""The lifecycle of a daemon: starting, ready, draining, stopped."""

import enum
from collections.abc import Callable

from railsail.core.exceptions import RailsailError


class State(enum.StrEnum):
    """The states, in the order in which a daemon passes through them."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


_ORDER = list(State)


class Lifecycle:
    """The current state, which only moves forward."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self._listeners: list[Callable[[State], None]] = []

    def on_change(self, listener: Callable[[State], None]) -> None:
        """Call ``listener`` with each new state."""
        self._listeners.append(listener)

    def advance(self, state: State) -> None:
        """Move to ``state``; raise ``RailsailError`` if it comes before the current state."""
        if _ORDER.index(state) < _ORDER.index(self.state):
            raise RailsailError(f"cannot go from {self.state} back to {state}")
        if state is self.state:
            return
        self.state = state
        for listener in self._listeners:
            listener(state)
