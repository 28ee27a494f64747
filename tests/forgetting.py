"""Servers that drop connections silently, and reset them when the next bytes arrive.

They imitate servers, or firewalls, that forget idle connections.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    transport.abort()


class _Forgetting(asyncio.StreamReaderProtocol):
    """A protocol that resets forgotten connections as soon as data arrives.

    It does so before any task of the event loop runs, so that the tests don't depend on its load.
    """

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
    """Start a server at a free port of ``ip`` that handles connections with ``serve``.

    Data on a connection for which ``forgotten`` returns True is answered with a reset.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Forgetting(serve, forgotten), ip, 0)
