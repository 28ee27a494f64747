"""Tasks in the background, which the event loop alone would not keep alive."""

import asyncio
from collections.abc import Coroutine


class TaskSet:
    """Hold the tasks that one part has started, until they end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Run ``coroutine`` in the background, and return its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def wait(self, seconds: float) -> None:
        """Wait at most ``seconds`` for all tasks to end."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
