"""Replicas that crash when they begin to write an answer to a prompt with a certain part."""

import asyncio
from collections.abc import Container
from dataclasses import dataclass

from tests.platform.standins import SEAL, Received, ReplicaStandin, Script, head

# From the start of an answer to the crash of its replica.
CRASH_SECONDS = 0.03
PIECES = 5
PORT_RETRY_SECONDS = 0.05
TEXT = "token"


@dataclass(frozen=True)
class AnswerShape:
    """What an answer looks like on the wire.

    Without ``has_length`` it has neither a length nor chunks, and ends with its connection. A
    ``stream`` consists of events; any other answer is a text.
    """

    has_length: bool = True
    stream: bool = False


def shared_parts(request: Received) -> list[str]:
    """Return the ids of the parts of a prompt that other prompts may share."""
    parts = request.headers.get("Prompt-Prefix", "").split(",")
    return [part.partition(":")[0].strip() for part in parts][:-1]


def piece(number: int, shape: AnswerShape) -> bytes:
    """Return a piece of a sound answer."""
    text = f"{TEXT}-{number}"
    return f"id: {number}\ndata: {text}\n\n".encode() if shape.stream else f"{text};".encode()


def sound_body(shape: AnswerShape) -> bytes:
    """Return the body of a sound answer."""
    return b"".join(piece(number, shape) for number in range(PIECES))


def crashing_on(parts: Container[str], shape: AnswerShape, seconds: float) -> Script:
    """Answer in ``seconds``; crash soon after an answer to a prompt with one of ``parts`` begins.

    A stream with such a part breaks off inside an event.
    """

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        is_bad = any(part in parts for part in shared_parts(request))
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1 if shape.stream else 0
        if is_bad:
            # It crashes also if the caller has left by then.
            asyncio.get_running_loop().call_later(CRASH_SECONDS, replica.crash)
        writer.write(_head(replica, request, shape))
        if is_bad:
            writer.write(_framed(piece(first, shape)[:-2], shape))
            await asyncio.sleep(3600)
        for number in range(first, PIECES):
            await asyncio.sleep(seconds / PIECES)
            writer.write(_framed(piece(number, shape), shape))
        if shape.stream and shape.has_length:
            writer.write(b"0\r\n\r\n")

    return script


def _head(replica: ReplicaStandin, request: Received, shape: AnswerShape) -> bytes:
    fields = {"Response_Seal": f"{SEAL}-{replica.name}"}
    if shape.stream:
        fields["Content_Type"] = "text/event-stream"
        if shape.has_length:
            fields["Transfer_Encoding"] = "chunked"
    elif shape.has_length:
        fields["Content_Length"] = str(len(sound_body(shape)))
    if not shape.has_length:
        fields["Connection"] = "close"
    return head(request, **fields)


def _framed(data: bytes, shape: AnswerShape) -> bytes:
    if shape.stream and shape.has_length:
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"
    return data


async def restarted(replica: ReplicaStandin, name: str) -> ReplicaStandin:
    """Return a new process, with a new name, at the address of a replica that crashed."""
    again = ReplicaStandin(name, replica.script, port=replica.port, crashed=replica.crashed)
    again.closes_in_order = replica.closes_in_order
    while True:
        try:
            await again.start()
            return again
        except OSError:
            # An outgoing connection may have taken the port in the meantime.
            await asyncio.sleep(PORT_RETRY_SECONDS)
