"""Background tasks. The event loop alone keeps only weak references to tasks."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from railsail.core.logs import get_logger

# The delay before a failed part restarts, so that a part that always fails doesn't run in a tight
# loop.
RESTART_DELAY_SECONDS = 1.0


async def keep_running(run: Callable[[], Awaitable[None]], part: str) -> None:
    """Run a part of the daemon, and restart it whenever it fails.

    An unexpected input usually reaches all nodes, one after the other. Without the restart each of
    them would continue without that part, and nothing would report it.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            get_logger().exception("a part of this process failed and will restart", part=part)
            await asyncio.sleep(RESTART_DELAY_SECONDS)


class TaskSet:
    """References to the running tasks of one part."""

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
        """Wait up to ``seconds`` for all tasks to end."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
