"""The registry of optional parts of a daemon, so that a new part needs changes to its package only.

A package registers a factory function in ``PARTS``. Once a node has built its own parts, it calls
each factory with itself as the argument. It runs the part that the factory returns, and stops it.
"""

from typing import Protocol

from railsail.core.registry import Registry


class Part(Protocol):
    """A part of a daemon that runs until it is cancelled."""

    async def run(self) -> None:
        """Run the part until cancelled."""

    def stop(self) -> None:
        """Start no more work; called when the daemon stops."""


PARTS: Registry = Registry("part of a daemon")
