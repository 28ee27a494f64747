"""Parts of a daemon that enter themselves, so that a new one touches its own package only.

A package registers a function under its name in ``PARTS``; the daemon calls it with itself once its
own parts are built, runs the part that it returns, and stops it.
"""

from typing import Protocol

from railsail.core.registry import Registry


class Part(Protocol):
    """A part of a daemon that runs until it is cancelled."""

    async def run(self) -> None:
        """Do the work of the part until cancelled."""

    def stop(self) -> None:
        """Start nothing any more."""


PARTS: Registry = Registry("part of a daemon")
