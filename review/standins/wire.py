"""A minimal HTTP/1.1 codec for the stand-ins, which depends on the standard library only."""

import asyncio
import json
from dataclasses import dataclass, field

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}


@dataclass
class Message:
    """One HTTP message; ``complete`` is False if its connection ended before its body did."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, ``None`` if the connection ends before it begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as problem:
        if not problem.partial:
            return None
        raise
    line, *rest = head.decode("latin-1").strip().split("\r\n")
    message = Message(line, dict(_split(each) for each in rest))
    try:
        await _read_body(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False
    return message


def _split(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.strip().lower(), value.strip()


async def _read_body(reader: asyncio.StreamReader, message: Message) -> None:
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return
    length = int(message.headers.get("content-length", "0"))
    while len(message.body) < length:
        data = await reader.read(length - len(message.body))
        if not data:
            raise asyncio.IncompleteReadError(message.body, length)
        message.body += data


def json_response(status: int, body: object) -> bytes:
    """Return an answer with a JSON body."""
    data = json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


async def call(address: str, request: bytes, seconds: float) -> Message | None:
    """Make one call on a new connection; return the answer, ``None`` if there is none."""
    ip, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
            writer.write(request)
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    headers = {"Host": "stand-in"} | headers
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
