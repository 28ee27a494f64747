"""Long computations in short slices, between which the event loop runs other tasks.

A computation is a generator that yields wherever it may be interrupted, and returns its result.
"""

import asyncio
import time
from collections.abc import Generator
from dataclasses import dataclass
from typing import Generic, TypeVar

# Longest time for which a computation keeps the event loop from other tasks, apart from the time
# between two of its yields.
SLICE_SECONDS = 0.004

T = TypeVar("T")
Steps = Generator[None, None, T]


@dataclass(frozen=True)
class Finished(Generic[T]):
    """The result of a computation that has ended."""

    value: T


def run_slice(steps: Steps[T]) -> Finished[T] | None:
    """Run ``steps`` for one slice; return the result, or ``None`` if the computation goes on."""
    ends_at = time.perf_counter() + SLICE_SECONDS
    while time.perf_counter() < ends_at:
        try:
            next(steps)
        except StopIteration as stop:
            return Finished(stop.value)
    return None


async def run_sliced(steps: Steps[T]) -> T:
    """Run ``steps`` to the end and return the result; other tasks run between the slices."""
    while (finished := run_slice(steps)) is None:
        await asyncio.sleep(0)
    return finished.value


def run_at_once(steps: Steps[T]) -> T:
    """Run ``steps`` to the end without interruption, and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
