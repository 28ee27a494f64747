"""A replica that keeps connections, and may forget or close those that are idle."""

import asyncio

from tests.forgetting import start_forgetting_server
from tests.platform.standins import LOOPBACK, Received, ReplicaStandin


class KeepingReplica(ReplicaStandin):
    """A replica that serves one request after the other on a connection."""

    opened = 0
    # Resets a connection when something comes on it after its first answer.
    forgets = False

    async def start(self) -> None:
        self._answered: set[asyncio.Transport] = set()
        self._idle: set[asyncio.StreamWriter] = set()
        self._server = await start_forgetting_server(self._serve, LOOPBACK, self._forgotten)
        self.port = self._server.sockets[0].getsockname()[1]

    def _forgotten(self, transport: asyncio.Transport) -> bool:
        return self.forgets and transport in self._answered

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self._writers.add(writer)
        try:
            await self._serve_all(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            self._idle.discard(writer)
            writer.close()

    async def _serve_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            text = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *rest = text.strip().split("\r\n")
            headers = dict(item.split(": ", 1) for item in rest)
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
            self._idle.discard(writer)
            await self.until_resumed()
            request = Received(line, headers, body, asyncio.get_running_loop().time())
            self.received.append(request)
            await self.script(self, request, writer)
            self._answered.add(writer.transport)
            self._idle.add(writer)

    def close_idle(self) -> None:
        """Close the connections on which no request runs."""
        for writer in list(self._idle):
            writer.close()
