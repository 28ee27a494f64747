"""A replica as a process of its own.

Usage: python3 replica.py ID PORT LOG [PART_SECONDS]

It serves one request at a time on each connection, and writes a line to LOG for each request that
it runs. ``Response-Seal`` holds the length and a digest of the whole body that belongs to the
request, so that a caller can tell whether it got all of it. The first part of the path after the
route's prefix says how it answers:

- ``short``: a short body with a length.
- ``large``: a body of 4 MB with a length.
- ``parts``: a body without a length, in 40 parts, which ends with its connection.
- ``events``: a stream of 40 events in chunks, from the one after ``Last-Event-Id`` on.
"""

import asyncio
import hashlib
import json
import socket
import sys
import time
from contextlib import suppress

PARTS = 40
LARGE_BYTES = 4 << 20


class Replica:
    """The state of one replica: its id, and where it logs."""

    def __init__(self, name: str, log_path: str, part_seconds: float) -> None:
        self._name = name
        self._log = open(log_path, "a", buffering=1)  # noqa: SIM115
        self._part_seconds = part_seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until either side closes it."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await self._serve_next(reader, writer):
                pass
        writer.close()

    async def _serve_next(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.strip().split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (field.partition(":") for field in rest)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        _, target, _ = line.split(" ")
        if target in ("/report", "/healthz"):
            self._write_report(writer, target)
            await writer.drain()
            return True
        if headers.get("expect-instance", self._name) != self._name:
            writer.write(self._head("421 Misdirected Request", headers, {"Content-Length": "0"}))
            await writer.drain()
            return True
        run = {"at": time.time(), "replica": self._name, "id": headers.get("request-id", "")}
        run |= {"target": target, "tenant": headers.get("tenant"), "body": len(body)}
        self._log.write(json.dumps(run) + "\n")
        kind = target.strip("/").split("/")[1]
        return await getattr(self, f"_{kind}")(headers, writer)

    def _write_report(self, writer: asyncio.StreamWriter, target: str) -> None:
        report = {"stage": "both", "models": [], "busy": False, "seq": 1, "queued": 0}
        report |= {"running": 0, "kv_used": 0, "kv_total": 100_000, "handles": 0}
        data = json.dumps(report).encode() if target == "/report" else b""
        fields = {"Instance-Id": self._name, "Content-Length": str(len(data))}
        writer.write(self._head("200 OK", {}, fields) + data)

    def _head(self, status: str, request: dict[str, str], fields: dict[str, str]) -> bytes:
        lines = [f"HTTP/1.1 {status}"]
        if "request-id" in request:
            lines.append(f"Request-Id: {request['request-id']}")
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _seal(self, body: bytes) -> str:
        return f"{self._name}.{len(body)}.{hashlib.sha256(body).hexdigest()[:16]}"

    async def _whole(
        self, request: dict[str, str], writer: asyncio.StreamWriter, body: bytes
    ) -> bool:
        fields = {"Response-Seal": self._seal(body), "Content-Length": str(len(body))}
        writer.write(self._head("200 OK", request, fields) + body)
        await writer.drain()
        return True

    async def _short(self, request: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        return await self._whole(request, writer, f"answered by {self._name}".encode())

    async def _large(self, request: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        return await self._whole(request, writer, b"0123456789abcdef" * (LARGE_BYTES // 16))

    async def _parts(self, request: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        parts = [f"part {number} of {PARTS}\n".encode() for number in range(1, PARTS + 1)]
        fields = {"Response-Seal": self._seal(b"".join(parts)), "Connection": "close"}
        writer.write(self._head("200 OK", request, fields))
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self._part_seconds)
        return False

    async def _events(self, request: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        first = int(request.get("last-event-id") or "0") + 1
        fields = {"Response-Seal": self._name, "Content-Type": "text/event-stream"}
        fields["Transfer-Encoding"] = "chunked"
        writer.write(self._head("200 OK", request, fields))
        for number in range(first, PARTS + 1):
            event = f"id: {number}\ndata: {self._name} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self._part_seconds)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main() -> None:
    """Serve until killed."""
    name, port, log_path = sys.argv[1:4]
    part_seconds = float(sys.argv[4]) if len(sys.argv) > 4 else 0.05
    replica = Replica(name, log_path, part_seconds)
    server = await asyncio.start_server(
        replica.serve, "127.0.0.1", int(port), family=socket.AF_INET
    )
    async with server:
        await server.serve_forever()


asyncio.run(main())
