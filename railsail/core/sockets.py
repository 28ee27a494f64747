"""Connections to IP endpoints, and socket options that the libraries leave at their defaults."""

import asyncio
import socket
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

from railsail.core.exceptions import RailsailError

# A machine that loses power closes no connections. A connection is closed if its peer doesn't
# acknowledge sent bytes for this long, or doesn't answer keepalive probes while it is idle.
MAX_UNACKNOWLEDGED_MS = 4000
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 1
MAX_KEEPALIVE_PROBES = 3

Stream = TypeVar("Stream", bound=IOStream)


class CannotConnect(RailsailError):
    """The connection could not be made, so that nothing was sent.

    ``refused`` is True if the host answered that nothing listens at the port.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


async def open_stream(
    ip: str, port: int, timeout_seconds: float, kind: type[Stream] = IOStream
) -> Stream:
    """Return a new connection of type ``kind``.

    Raise ``CannotConnect`` if it can't be made within ``timeout_seconds``. ``ip`` must be an IP
    address. tornado's own client passes even an address to the resolver in a thread, which takes
    1.7 ms.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    detect_dead_peer(connection)
    stream = kind(connection)
    connected = stream.connect((ip, port))
    try:
        # After a long turn of the event loop the timeout and the established connection are found
        # together. ``asyncio.timeout`` would then report a timeout, although the host had answered.
        await asyncio.wait([connected], timeout=timeout_seconds)
        if not connected.done():
            raise TimeoutError
        await connected
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
    """Set the options that close ``connection`` some seconds after its peer has lost power."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        ("TCP_USER_TIMEOUT", MAX_UNACKNOWLEDGED_MS),
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_SECONDS),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_SECONDS),
        ("TCP_KEEPCNT", MAX_KEEPALIVE_PROBES),
    )
    for name, value in options:
        # Not every operating system has all options.
        if hasattr(socket, name):
            connection.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def peek(connection: socket.socket, size: int) -> bytes | None:
    """Return up to ``size`` bytes that have arrived on ``connection``, and leave them there.

    Return ``None`` if nothing has arrived. The end of a connection, also by an error, is empty.
    """
    try:
        return connection.recv(size, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
