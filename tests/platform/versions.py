"""Replicas of a software version that is good, or bad in one of the ways that versions are bad."""

import asyncio
import enum
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.platform.standins import SEAL, Received, ReplicaStandin, head

ERROR = "500 Internal Server Error"
# A route's requests have its name as the first part of their path.
BAD_ROUTE = "again"


class Fault(enum.StrEnum):
    """How a version is bad."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"
    LATER = "later"
    LOADED = "loaded"
    ROUTE = "route"


@dataclass
class SoftwareVersion:
    """Answer as replicas of one version do, and note when requests came and which went bad.

    An answer takes ``seconds``. Where the fault shows, ``share`` of the answers fail, or all take
    ``slowness`` times as long; ``LATER`` shows ``from_seconds`` after the first request, ``LOADED``
    where a replica runs two requests at once, and ``ROUTE`` on one route. All times are of the
    event loop.
    """

    name: str
    fault: Fault = Fault.NONE
    seconds: float = 0.03
    share: float = 0.5
    slowness: float = 10.0
    from_seconds: float = 3.0
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    arrivals: list[float] = field(default_factory=list)
    # When each bad answer was given.
    bad_answers: list[float] = field(default_factory=list)
    # The most requests that a replica ran at once.
    most_running: int = 0
    _running: Counter[str] = field(default_factory=Counter)

    async def script(self, replica: ReplicaStandin, request: Received, writer) -> None:
        """Answer a request."""
        self.arrivals.append(request.at)
        self._running[replica.name] += 1
        self.most_running = max(self.most_running, self._running[replica.name])
        try:
            shows = self._shows(replica, request)
            slow = shows and self.fault is Fault.SLOW
            await asyncio.sleep(self.seconds * (self.slowness if slow else 1.0))
            await replica.until_resumed()
            fails = shows and not slow and self.rng.random() < self.share
            if fails or slow:
                self.bad_answers.append(asyncio.get_running_loop().time())
            await _answer(replica, request, writer, ERROR if fails else "200 OK")
        finally:
            self._running[replica.name] -= 1

    def _shows(self, replica: ReplicaStandin, request: Received) -> bool:
        match self.fault:
            case Fault.NONE:
                return False
            case Fault.LATER:
                return request.at >= self.arrivals[0] + self.from_seconds
            case Fault.LOADED:
                return self._running[replica.name] > 1
            case Fault.ROUTE:
                return request.line.split()[1].startswith(f"/{BAD_ROUTE}/")
        return True


async def _answer(replica: ReplicaStandin, request: Received, writer, status: str) -> None:
    body = b"hello"
    sealed = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": str(len(body))}
    writer.write(head(request, status, **sealed) + body)
    await writer.drain()
