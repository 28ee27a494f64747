"""Detect whether a replica whose call broke off has crashed, and which requests ran on it.

A lost connection is weak evidence: connections are reset, answers are cut short, and replicas lose
the network to some nodes. A replica has crashed if its port refuses connections right after a call
broke off, or if the replica reports that it has restarted since. A port that does not answer at all
says nothing about the process behind it.
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

# A port on which no process listens refuses within a round trip, which takes 40 ms between the
# regions of one fleet. Retries of the request wait for this first probe, so that it must not take
# much longer.
FIRST_LOOK_SECONDS = 0.05
# Delays before the second and the third probe, and the timeout of each. A process that is being
# killed may still accept connections shortly after it has closed its own, and an answer to a probe
# may be lost. A replica takes a second or more to restart, so that all probes come before that.
LATER_LOOKS_AFTER_SECONDS = (0.1, 0.3)
LATER_LOOK_SECONDS = 0.25
# Calls that broke off up to this long before are part of the same crash: all callers notice it
# within this time.
NOTED_SECONDS = 1.0


class EndObserver:
    """Check the replicas of calls that broke off, and report crashes to the quarantine.

    ``calls_on`` returns the fingerprints of the requests in flight on a replica that were sent no
    later than the given time.
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
        # By replica, when the call of each request broke off or its caller left.
        self._noted: dict[str, dict[int, float]] = {}
        self._checked: set[str] = set()
        # Replicas whose first probe since they broke off a call is running.
        self._first_looks: set[str] = set()
        directory.on_rebirth(self._reborn)

    def stop(self) -> None:
        """Cancel all checks."""
        self._tasks.cancel()

    def checks(self, request: int) -> bool:
        """Return True if a probe is running that may show a crash under ``request``."""
        return any(request in self._noted.get(replica, ()) for replica in self._first_looks)

    def broke_off(self, replica: str, request: int) -> None:
        """Record that ``replica`` broke off its answer to ``request``, and check the replica."""
        self._note(replica, request)
        if replica not in self._checked:
            self._first_looks.add(replica)
        self._start_check(replica)

    def given_up(self, replica: str, request: int) -> None:
        """Record that the caller of ``request`` left before ``replica`` started its answer.

        The call has ended and cannot break off any more, but the replica may still crash.
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
    """Return True if ``endpoint`` refuses a connection within ``seconds``."""
    target = parse_endpoint(endpoint)
    try:
        stream = await open_stream(target.ip, target.port, seconds)
    except CannotConnect as problem:
        return problem.refused
    stream.close()
    return False
