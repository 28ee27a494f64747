"""Replicas whose answers are broken for a moment: their heads are none of HTTP."""

import asyncio
import random
from dataclasses import dataclass, field

from tests.heads import INVALID_HEADS
from tests.platform.standins import SEAL, Received, ReplicaStandin

# Two bytes, as many as the heads name; nothing else that a replica or a daemon sends has them.
BODY = b"##"
# RFC 9110, section 15: a status is a number from 100 to 599.
STATUSES = range(100, 600)
NOT_STATUSES = ("000", "001", "099", "600", "999")


@dataclass
class BrokenAnswers:
    """The replicas that send broken answers, until when, and the requests that got one.

    Times are those of the event loop.
    """

    rng: random.Random
    requests: set[str] = field(default_factory=set)
    _until: dict[str, float] = field(default_factory=dict)

    def begin(self, replica: ReplicaStandin, seconds: float) -> None:
        """Let a replica send broken answers for ``seconds``."""
        self._until[replica.name] = asyncio.get_running_loop().time() + seconds

    def is_due(self, replica: ReplicaStandin) -> bool:
        """Return True if the next answer of a replica is to be broken."""
        return asyncio.get_running_loop().time() < self._until.get(replica.name, 0.0)

    async def answer(self, replica: ReplicaStandin, received: Received, writer) -> None:
        """Send an answer with a random broken head, signed as a sound one is."""
        request_id = received.headers["Request-Id"]
        self.requests.add(request_id)
        status = self.rng.choice(NOT_STATUSES)
        bad_status = f"HTTP/1.1 {status} OK\r\nContent-Length: {len(BODY)}\r\n".encode()
        head = self.rng.choice([bad_status, self.rng.choice(list(INVALID_HEADS.values()))])
        fields = f"Request-Id: {request_id}\r\nResponse-Seal: {SEAL}-{replica.name}\r\n\r\n"
        writer.write(head + fields.encode() + BODY)
        await writer.drain()
