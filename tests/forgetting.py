"""Servers that forget idle connections, and reset what is sent on them next."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    transport.abort()


class _Forgetting(asyncio.StreamReaderProtocol):
    """Reset at once, before any task of the loop goes on, so that no test depends on its load."""

    def __init__(self, serve: Serve, forgotten: Callable[[asyncio.Transport], bool]) -> None:
        super().__init__(asyncio.StreamReader(), serve)
        self._forgotten = forgotten
        self._connection: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._connection = transport
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self._forgotten(self._connection):
            reset(self._connection)
        else:
            super().data_received(data)


async def start_forgetting_server(
    serve: Serve, ip: str, forgotten: Callable[[asyncio.Transport], bool]
) -> asyncio.Server:
    """Serve connections by ``serve`` at a free port, until ``forgotten`` says that of one."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Forgetting(serve, forgotten), ip, 0)
