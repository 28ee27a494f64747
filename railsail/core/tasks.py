"""Tasks in the background, which the event loop alone would not keep alive."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from railsail.core.logs import get_logger

# A part that has failed runs again so many seconds later: soon, but without a loop that only fails.
RESTART_SECONDS = 1.0


async def keep_running(run: Callable[[], Awaitable[None]], part: str) -> None:
    """Run a part of the daemon, and run it again where it fails.

    An input that no part expected reaches each node in turn; without this each would go on without
    that part, and nothing would say so.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            get_logger().exception("a part of this process failed and runs again", part=part)
            await asyncio.sleep(RESTART_SECONDS)


class TaskSet:
    """Hold the tasks that one part has started, until they end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

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
