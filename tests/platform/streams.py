"""Streams whose events name the software version of the replica that wrote them."""

import asyncio
import contextlib
import random
import re
from dataclasses import dataclass, field

from tests.platform.standins import BREAK_SECONDS, SEAL, Received, ReplicaStandin, head

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass
class StreamingVersion:
    """The script of the replicas of one software version, whose streams have ``events`` events.

    The events are ``pause`` seconds apart. With ``breaks_first``, the first stream of each replica
    breaks off after ``interrupt_after`` events, and so does a ``break_share`` of all streams. With
    ``holds``, streams stop there for good, but not those that are resumed. With ``pause_after``, a
    replica pauses after so many events of a stream, the first ``most_pauses`` times.
    """

    name: str
    events: int = 6
    pause: float = 0.0
    break_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    interrupt_after: int = 2
    breaks_first: bool = False
    holds: bool = False
    pause_after: int | None = None
    most_pauses: int = 1
    received: list[Received] = field(default_factory=list)
    _broken_at: set[str] = field(default_factory=set)

    async def script(self, replica: ReplicaStandin, request: Received, writer) -> None:
        """Write a stream, from the event after ``Last-Event-Id``."""
        # Callers leave in the middle of a stream.
        with contextlib.suppress(ConnectionError):
            await self._write(replica, request, writer)

    async def _write(self, replica: ReplicaStandin, request: Received, writer) -> None:
        self.received.append(request)
        await replica.until_resumed()
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        writer.write(head(request, Response_Seal=f"{SEAL}-{replica.name}", **kind))
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        breaks = self.breaks_first and replica.name not in self._broken_at
        breaks = breaks or self.rng.random() < self.break_share
        holds = self.holds and first == 0
        for number in range(first, self.events):
            if number - first == self.interrupt_after and (breaks or holds):
                await self._interrupt(replica, breaks, writer)
                return
            await asyncio.sleep(self.pause)
            if number - first == self.pause_after and self.most_pauses:
                self.most_pauses -= 1
                replica.pause()
            await replica.until_resumed()
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _interrupt(self, replica: ReplicaStandin, breaks: bool, writer) -> None:
        if not breaks:
            await asyncio.sleep(3600)
        self._broken_at.add(replica.name)
        # The events before the break are read before it.
        await asyncio.sleep(BREAK_SECONDS)
        writer.transport.close()


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Return the number and the software version of each event."""
    return [(int(number), version.decode()) for number, version in EVENT.findall(body)]


def versions_of(body: bytes) -> set[str]:
    """Return the software versions that wrote events."""
    return {version for _, version in events_of(body)}
