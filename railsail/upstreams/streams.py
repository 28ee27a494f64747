"""A connection to a replica that can be probed before it is used for another request."""

import fcntl
import socket
import struct
import termios

from tornado.iostream import IOStream

from railsail.core.sockets import peek

_COUNT = struct.Struct("i")


class UpstreamStream(IOStream):
    """A connection to a replica.

    ``connect_seconds`` is the time that it took to connect, at least a round trip. ``answers`` is
    the number of complete answers received on it, and ``answered_at`` the time of the last one on
    the monotonic clock.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        self.connect_seconds = 0.0
        self.answers = 0
        self.answered_at = 0.0
        self._sent_in_advance = 0

    @property
    def reused(self) -> bool:
        """Return True if an earlier request was answered on this connection."""
        return self.answers > 0

    def send_in_advance(self, data: bytes) -> None:
        """Send the first bytes of the next request, which the next ``write`` leaves out.

        They are sent in two segments, because the acknowledgement of a single one may be delayed by
        40 ms.
        """
        half = len(data) // 2
        super().write(data[:half])
        if not self.closed():
            super().write(data[half:])
        self._sent_in_advance = len(data)

    def write(self, data: bytes | memoryview) -> object:
        """Write ``data`` without the part that was already sent."""
        sent, self._sent_in_advance = self._sent_in_advance, 0
        return super().write(data[sent:])

    def is_idle(self) -> bool:
        """Return True if the connection is open and has no unread input."""
        if self.closed() or self._read_buffer_size:
            return False
        # A byte, or the end of the connection, would get in the way of the next answer.
        return peek(self.socket, 1) is None

    def acknowledged(self) -> bool:
        """Return True if the peer has acknowledged all bytes.

        It is also true if the operating system does not support the query.
        """
        if self.closed() or self.writing():
            return False
        try:
            reply = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(_COUNT.size))
        except OSError:
            return True
        return _COUNT.unpack(reply)[0] == 0
