"""The calls that run at each replica, so that they end with the life that they were sent to.

A replica that was killed and starts again under its name knows nothing of the calls before. Where
its machine went dark, no connection says so, and a caller would wait until its deadline.
"""

import asyncio
from collections import defaultdict
from collections.abc import Coroutine

from railsail.upstreams.http import CutOff


class RunningCalls:
    """Run calls, each at one replica, and end those of a replica that has started again."""

    def __init__(self) -> None:
        self._running: defaultdict[str, set[asyncio.Task]] = defaultdict(set)
        self._ended: set[asyncio.Task] = set()

    async def run(self, replica: str, call: Coroutine[None, None, None]) -> None:
        """Make ``call``, which ends with ``CutOff`` if ``replica`` starts again meanwhile."""
        task = asyncio.ensure_future(call)
        self._running[replica].add(task)
        try:
            await task
        except asyncio.CancelledError:
            if task in self._ended:
                raise CutOff("the replica has started again") from None
            raise
        finally:
            self._forget(replica, task)

    def _forget(self, replica: str, task: asyncio.Task) -> None:
        self._ended.discard(task)
        self._running[replica].discard(task)
        if not self._running[replica]:
            del self._running[replica]

    def end(self, replica: str) -> None:
        """End the calls at ``replica``, whose process is gone."""
        for task in self._running.get(replica, ()):
            self._ended.add(task)
            task.cancel()
