"""Find out whether a replica whose call broke off has ended, and what ran on it.

A connection that ends says little: connections are reset, answers are cut short, and replicas are
cut off from some nodes. A replica has ended if its port refuses connections just after it broke off
a call, or if it says that it has started again since. A port that does not answer at all says
nothing of the process behind it.
"""

import asyncio
from collections.abc import Callable

from railsail.conf.values import parse_endpoint
from railsail.core.kernel import Kernel
from railsail.core.sockets import CannotConnect, open_stream
from railsail.core.tasks import TaskSet
from railsail.quarantine.service import Quarantine
from railsail.quarantine.table import ReplicaEnd
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.records import Upstream

# A port that nobody listens at refuses within a round trip: 40 ms between the regions of one fleet.
# Repeats of the request wait for the first look, so that it must not take much longer.
FIRST_LOOK_SECONDS = 0.05
# A process that is being killed may accept for a moment after it has closed its connections, and
# answers may be lost: so long after the first look are two more, each of so many seconds at most. A
# replica takes a second or more to come back.
LATER_LOOKS_AFTER_SECONDS = (0.1, 0.3)
LATER_LOOK_SECONDS = 0.25
# Calls that broke off so long before belong to the same end: their callers notice within this time.
NOTED_SECONDS = 1.0


class EndObserver:
    """Watch the calls that break off; ``calls_on`` gives the requests that run on a replica.

    Its second argument leaves out those that were sent after that time.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        directory: UpstreamDirectory,
        calls_on: Callable[[str, float], set[int]],
        kernel: Kernel,
    ) -> None:
        self._quarantine = quarantine
        self._directory = directory
        self._calls_on = calls_on
        self._clock = kernel.clock
        self._tasks = TaskSet()
        # When each request broke off or was given up, by replica.
        self._noted: dict[str, dict[int, float]] = {}
        self._checked: set[str] = set()
        # Replicas that are looked at for the first time since they broke off a call.
        self._first_looks: set[str] = set()
        directory.on_rebirth(self._reborn)

    def stop(self) -> None:
        """End all checks."""
        self._tasks.cancel()

    def checks(self, request: int) -> bool:
        """Say whether it will be known in a moment if a replica has ended under ``request``."""
        return any(request in self._noted.get(replica, ()) for replica in self._first_looks)

    def broke_off(self, replica: str, request: int) -> None:
        """Take note that ``replica`` broke off its answer to ``request``."""
        self._note(replica, request)
        if replica not in self._checked:
            self._first_looks.add(replica)
        self._start_check(replica)

    def given_up(self, replica: str, request: int) -> None:
        """Take note that the caller of ``request`` left before ``replica`` began its answer.

        Nobody waits for an answer that would break off; the replica may end all the same.
        """
        self._note(replica, request)
        self._start_check(replica)

    def _start_check(self, replica: str) -> None:
        upstream = self._directory.get(replica)
        if upstream is not None and replica not in self._checked:
            self._checked.add(replica)
            self._tasks.start(self._check(upstream))

    def _note(self, replica: str, request: int) -> None:
        now = self._clock.monotonic()
        for name, noted in list(self._noted.items()):
            if name not in self._checked and max(noted.values()) < now - NOTED_SECONDS:
                del self._noted[name]
        self._noted.setdefault(replica, {})[request] = now

    async def _check(self, upstream: Upstream) -> None:
        try:
            if await self._has_ended(upstream):
                self._ended(upstream)
        finally:
            self._first_looks.discard(upstream.name)
            self._checked.discard(upstream.name)

    async def _has_ended(self, upstream: Upstream) -> bool:
        endpoint = upstream.endpoint
        if upstream.name in self._first_looks and await refuses(endpoint, FIRST_LOOK_SECONDS):
            return True
        self._first_looks.discard(upstream.name)
        for pause in LATER_LOOKS_AFTER_SECONDS:
            await asyncio.sleep(pause)
            if await refuses(endpoint, LATER_LOOK_SECONDS):
                return True
        return False

    def _reborn(self, before: Upstream) -> None:
        self._ended(before)

    def _ended(self, upstream: Upstream) -> None:
        now = self._clock.monotonic()
        noted = self._noted.pop(upstream.name, {})
        ran = {request for request, at in noted.items() if at >= now - NOTED_SECONDS}
        broke_off_at = min(noted.values(), default=now)
        ran |= self._calls_on(upstream.name, broke_off_at)
        if ran:
            end = ReplicaEnd(upstream.name, upstream.born, broke_off_at, frozenset(ran))
            self._quarantine.ended(end)


async def refuses(endpoint: str, seconds: float) -> bool:
    """Say whether nobody listens at ``endpoint``, as its host answers within ``seconds``."""
    target = parse_endpoint(endpoint)
    try:
        stream = await open_stream(target.ip, target.port, seconds)
    except CannotConnect as problem:
        return problem.refused
    stream.close()
    return False
