"""A stand-in of a model replica: slots, prompts read one after the other, streams."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.platform.standins import SEAL, Received, ReplicaStandin, head

# Requests that wait for a slot; of more, each is turned away.
MOST_WAITING = 8
EVENTS = 4
# A token made counts as so many read.
MADE_WEIGHT = 2


@dataclass(frozen=True)
class Begun:
    """A run that began to answer: whose it is, when, and what it counts in tokens."""

    workspace: str
    at: float
    tokens: int


@dataclass
class EngineStandin:
    """The script of one replica; ``on_begun`` is told of each run when its first event comes."""

    on_begun: Callable[[Begun], None]
    slots: int = 32
    # Prompt tokens read in a second, and seconds that one token takes to be made.
    read_rate: float = 112_000.0
    step: float = 0.0065
    _slots: asyncio.Semaphore = field(init=False)
    _reading: asyncio.Lock = field(default_factory=asyncio.Lock)
    _kept: set[str] = field(default_factory=set)
    _waiting: int = 0

    def __post_init__(self) -> None:
        self._slots = asyncio.Semaphore(self.slots)

    async def __call__(
        self, replica: ReplicaStandin, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request."""
        if self._waiting >= MOST_WAITING:
            refusal = head(request, "503 Service Unavailable", Content_Length="0", Not_Run="1")
            writer.write(refusal)
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            # Callers leave in the middle of an answer.
            with contextlib.suppress(ConnectionError):
                await self._run(replica, request, writer)
        finally:
            self._slots.release()

    async def _run(
        self, replica: ReplicaStandin, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        prompt, made = (int(part) for part in request.headers["Token-Count"].split(","))
        async with self._reading:
            await asyncio.sleep(self._unread(request, prompt) / self.read_rate)
        tokens = prompt + MADE_WEIGHT * made
        workspace = request.headers["Tenant"]
        self.on_begun(Begun(workspace, asyncio.get_running_loop().time(), tokens))
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        writer.write(head(request, Response_Seal=f"{SEAL}-{replica.name}", **kind))
        for number in range(EVENTS):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(made * self.step / EVENTS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _unread(self, request: Received, prompt: int) -> int:
        """Return how many tokens of a prompt are not in memory, and keep its beginning."""
        digest, _, tokens = request.headers["Prompt-Prefix"].partition(":")
        kept = digest in self._kept
        self._kept.add(digest)
        return prompt - int(tokens) if kept else prompt
