"""A relay in front of each daemon's peer port, which can cut or delay the traffic between nodes.

A daemon dials from its own IP address, so that the relay can identify both ends of a connection.
The bytes of a direction that is cut are held back, as TCP does when the network drops packets, and
are forwarded when the cut is healed. The bytes of a direction with a delay arrive that much later,
in order. Silenced connections carry nothing any more and are not reset; new connections work.
"""

import asyncio
import contextlib

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.02
# Bounds the chunks in transit in one direction of a connection.
MAX_CHUNKS_IN_TRANSIT = 64


class Relay:
    """The relays of all daemons, with the directions that are cut or delayed."""

    def __init__(self) -> None:
        self._cut_directions: set[tuple[str, str]] = set()
        # The delay of each direction, in seconds.
        self._delays: dict[tuple[str, str], float] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        # Connections are numbered from 0. Those numbered below ``_first_unsilenced`` are silenced.
        self._connections = 0
        self._first_unsilenced = 0

    async def listen(self, ip: str, port: int, target: int) -> None:
        """Listen on ``ip:port``, and forward connections to ``ip:target``."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._track(asyncio.current_task())
            source = writer.get_extra_info("peername")[0]
            # asyncio logs an error for a server's task that is cancelled when the relay stops.
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(source, ip, target, reader, writer)

        self._servers.append(await asyncio.start_server(serve, ip, port))

    def cut(self, left: list[str], right: list[str], both: bool = True) -> None:
        """Cut the traffic from the IP addresses ``left`` to ``right``; if ``both``, also back."""
        for a in left:
            for b in right:
                self._cut_directions.add((a, b))
                if both:
                    self._cut_directions.add((b, a))

    def delay(self, left: list[str], right: list[str], seconds: float) -> None:
        """Delay the traffic between the IP addresses ``left`` and ``right``, in both directions.

        This applies to connections that are opened later.
        """
        for a in left:
            for b in right:
                self._delays[(a, b)] = self._delays[(b, a)] = seconds

    def heal(self) -> None:
        """End all cuts."""
        self._cut_directions.clear()

    def silence(self) -> None:
        """Silence all connections that are open now."""
        self._first_unsilenced = self._connections

    def stop(self) -> None:
        """Close all relays and their connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    def _track(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: str,
        ip: str,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = self._connections
        self._connections += 1
        try:
            while (source, ip) in self._cut_directions or (ip, source) in self._cut_directions:
                await asyncio.sleep(POLL_SECONDS)
            far_reader, far_writer = await asyncio.open_connection(ip, target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.wait(
                [
                    asyncio.ensure_future(self._pump(number, source, ip, reader, far_writer)),
                    asyncio.ensure_future(self._pump(number, ip, source, far_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        number: int,
        source: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._track(asyncio.current_task())
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_TRANSIT)
        delay = self._delays.get((source, target), 0.0)
        reading = asyncio.ensure_future(_read(reader, chunks, delay))
        try:
            while data := await _next_chunk(chunks):
                while (source, target) in self._cut_directions or number < self._first_unsilenced:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            reading.cancel()


async def _read(
    reader: asyncio.StreamReader, chunks: asyncio.Queue[tuple[float, bytes]], delay: float
) -> None:
    """Put the bytes that arrive into ``chunks``, with the time at which they are due.

    At the end of the stream, put an empty chunk.
    """
    loop = asyncio.get_running_loop()
    data = b"-"
    while data:
        try:
            data = await reader.read(CHUNK_BYTES)
        except OSError:
            data = b""
        await chunks.put((loop.time() + delay, data))


async def _next_chunk(chunks: asyncio.Queue[tuple[float, bytes]]) -> bytes:
    """Wait until the next chunk is due, and return it; it is empty at the end of the stream."""
    due, data = await chunks.get()
    wait = due - asyncio.get_running_loop().time()
    if wait > 0:
        await asyncio.sleep(wait)
    return data
