"""Connections to IP endpoints, and options of sockets that libraries leave at the defaults."""

import asyncio
import socket
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

from railsail.core.exceptions import RailsailError

# A machine without power says nothing: bytes that it does not acknowledge for so long end the
# connection, and so does its silence to a few probes on one that rests.
UNACKNOWLEDGED_MS = 4000
PROBE_AFTER_SECONDS = 5
PROBE_EVERY_SECONDS = 1
MOST_PROBES = 3

Stream = TypeVar("Stream", bound=IOStream)


class CannotConnect(RailsailError):
    """There is no connection, and so nothing was sent.

    ``refused`` says that the host answered that nobody listens there.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


async def open_stream(ip: str, port: int, seconds: float, kind: type[Stream] = IOStream) -> Stream:
    """Return a new connection of ``kind``, made within ``seconds``; raise ``CannotConnect``.

    An IP number needs no resolver, which the library's own client asks in a thread: 1.7 ms.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    detect_dead_peer(connection)
    stream = kind(connection)
    try:
        async with asyncio.timeout(seconds):
            await stream.connect((ip, port))
    except (OSError, TimeoutError, StreamClosedError) as problem:
        stream.close()
        cause = getattr(problem, "real_error", None) or problem
        refused = isinstance(cause, ConnectionRefusedError)
        raise CannotConnect(type(problem).__name__, refused) from None
    except asyncio.CancelledError:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


def detect_dead_peer(connection: socket.socket) -> None:
    """Make ``connection`` end by itself within some seconds after its peer has lost power."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        ("TCP_USER_TIMEOUT", UNACKNOWLEDGED_MS),
        ("TCP_KEEPIDLE", PROBE_AFTER_SECONDS),
        ("TCP_KEEPINTVL", PROBE_EVERY_SECONDS),
        ("TCP_KEEPCNT", MOST_PROBES),
    )
    for name, value in options:
        # Not every system has all of them.
        if hasattr(socket, name):
            connection.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
