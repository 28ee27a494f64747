"""The calls that run at each replica, so that they are cancelled when the replica restarts.

A replica that was killed and restarts under its name knows nothing of earlier calls. If its machine
failed, no connection reports that, and a caller would wait until its deadline.
"""

import asyncio
from collections import defaultdict
from collections.abc import Coroutine

from railsail.upstreams.http import CutOff


class RunningCalls:
    """The running calls of each replica, which are cancelled if the replica restarts."""

    def __init__(self) -> None:
        self._running: defaultdict[str, set[asyncio.Task]] = defaultdict(set)
        self._cancelled: set[asyncio.Task] = set()

    async def run(self, replica: str, call: Coroutine[None, None, None]) -> None:
        """Run ``call``; raise ``CutOff`` if ``replica`` restarts in the meantime."""
        task = asyncio.ensure_future(call)
        self._running[replica].add(task)
        try:
            await task
        except asyncio.CancelledError:
            if task in self._cancelled:
                raise CutOff("the replica has started again") from None
            raise
        finally:
            self._forget(replica, task)

    def _forget(self, replica: str, task: asyncio.Task) -> None:
        self._cancelled.discard(task)
        self._running[replica].discard(task)
        if not self._running[replica]:
            del self._running[replica]

    def cancel(self, replica: str) -> None:
        """Cancel the calls to ``replica``, whose process is gone."""
        for task in self._running.get(replica, ()):
            self._cancelled.add(task)
            task.cancel()
