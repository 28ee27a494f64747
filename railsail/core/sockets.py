"""Options of sockets that the libraries leave at the system's defaults."""

import socket

# A machine without power says nothing: bytes that it does not acknowledge for so long end the
# connection, and so does its silence to a few probes on one that rests.
UNACKNOWLEDGED_MS = 4000
PROBE_AFTER_SECONDS = 5
PROBE_EVERY_SECONDS = 1
MOST_PROBES = 3


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
