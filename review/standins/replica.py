"""A stand-in of a replica: it registers itself, answers requests, and logs what it runs.

It answers 421 where ``Expect-Instance`` names another replica, and drops a request once its
connection closes. The behaviour is set by options:

- ``--pieces N --piece-seconds S``: the body of an answer has N pieces, S seconds apart.
- ``--unframed-every N``: each Nth answer lacks a length and ends with its connection.
- ``--stream``: the pieces are events with rising ids.

SIGTERM makes it state ``draining``; it goes on serving.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import time

from wire import call, json_response, read_message, request_bytes

CLOSE_CHECK_SECONDS = 0.02


class Replica:
    """One replica and its log."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.state = "ready"
        self.acknowledged = ""
        self.seq = 0
        self.running = 0
        self.taken = 0
        self.log = open(options.log, "a", buffering=1)  # noqa: SIM115

    def note(self, event: str, **facts: object) -> None:
        """Write one line to the log."""
        line = {"at": time.time(), "replica": self.options.id, "event": event, **facts}
        self.log.write(json.dumps(line) + "\n")

    async def beat(self) -> None:
        """Write the entry in the store once."""
        self.seq += 1
        spec = {
            "service": self.options.service,
            "addr": self.options.address,
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
        }
        request = request_bytes(
            "POST", f"/servers/{self.options.id}", {}, json.dumps(spec).encode()
        )
        stored = await call(self.options.owners, request, 1.0) is not None
        if stored and self.acknowledged != spec["state"]:
            self.acknowledged = spec["state"]
            self.note("acknowledged", state=spec["state"])

    async def run(self) -> None:
        """Serve, and write the entry at each heartbeat."""
        ip, port = self.options.address.split(":")
        await asyncio.start_server(self.serve, ip, int(port), limit=1 << 22)
        self.changed = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self.drain)
        while True:
            await self.beat()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), self.options.heartbeat)
            self.changed.clear()

    def drain(self) -> None:
        """State that the replica drains."""
        self.state = "draining"
        self.changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        try:
            while (message := await read_message(reader)) is not None and message.complete:
                if not await self.answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, message, reader, writer) -> bool:
        """Answer one request; return True if the connection stays open."""
        target = message.line.split(" ")[1]
        if target == "/healthz":
            healthy = 200 if self.state == "ready" else 503
            writer.write(json_response(healthy, {}))
            await writer.drain()
            return True
        expected = message.headers.get("expect-instance", self.options.id)
        if expected != self.options.id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.options.id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return True
        running = asyncio.ensure_future(self.run_request(message, writer))
        closed = asyncio.ensure_future(_wait_until_closed(reader))
        await asyncio.wait([running, closed], return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            running.cancel()
            self.running -= 1
            self.note("dropped", id=message.headers.get("request-id", ""))
            return False
        closed.cancel()
        return running.result()

    async def run_request(self, message, writer) -> bool:
        """Run one request and send its answer; return True if the connection stays open."""
        options = self.options
        request_id = message.headers.get("request-id", "")
        self.running += 1
        self.taken += 1
        unframed = bool(options.unframed_every) and self.taken % options.unframed_every == 0
        pieces = [self.piece(request_id, number) for number in range(options.pieces)]
        self.note(
            "run",
            id=request_id,
            line=message.line,
            tenant=message.headers.get("tenant", ""),
            bytes=sum(map(len, pieces)),
            framed=not unframed,
        )
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Seal: {options.id}.{request_id}",
        ]
        if options.stream:
            head.append("Content-Type: text/event-stream")
        if unframed:
            head.append("Connection: close")
        else:
            head.append(f"Content-Length: {sum(map(len, pieces))}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for piece in pieces:
            await asyncio.sleep(options.piece_seconds)
            writer.write(piece)
            await writer.drain()
        self.running -= 1
        self.note("end", id=request_id)
        return not unframed

    def piece(self, request_id: str, number: int) -> bytes:
        """Return one piece of the answer to a request."""
        text = f"{request_id} piece {number + 1} of {self.options.pieces}"
        return (
            f"id: {number + 1}\ndata: {text}\n\n".encode()
            if self.options.stream
            else f"{text}\n".encode()
        )


async def _wait_until_closed(reader: asyncio.StreamReader) -> None:
    # Reading would take the first byte of the next request away.
    while not reader.at_eof():
        await asyncio.sleep(CLOSE_CHECK_SECONDS)


def main() -> None:
    """Run a replica until it is killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "address", "zone", "owners", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--heartbeat", type=float, default=1.2)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--pieces", type=int, default=1)
    parser.add_argument("--piece-seconds", type=float, default=0.0)
    parser.add_argument("--unframed-every", type=int, default=0)
    parser.add_argument("--stream", action="store_true")
    asyncio.run(Replica(parser.parse_args()).run())


if __name__ == "__main__":
    main()
