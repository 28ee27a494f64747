"""A connection to a replica, with what must be known of it before it carries another request."""

import fcntl
import socket
import struct
import termios

from tornado.iostream import IOStream

_COUNT = struct.Struct("i")


class UpstreamStream(IOStream):
    """A connection to a replica.

    ``connect_seconds`` is how long it took to connect, at least a round trip; ``answers`` counts
    the whole answers that came on it, the last of them at ``answered_at`` of the monotonic clock.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        self.connect_seconds = 0.0
        self.answers = 0
        self.answered_at = 0.0
        self._ahead = 0

    @property
    def reused(self) -> bool:
        """Say whether the connection has carried a request before this one."""
        return self.answers > 0

    def send_ahead(self, data: bytes) -> None:
        """Send the first bytes of the next request already; its ``write`` leaves them out.

        They go in two segments: a single one is not acknowledged before 40 ms have passed.
        """
        half = len(data) // 2
        super().write(data[:half])
        if not self.closed():
            super().write(data[half:])
        self._ahead = len(data)

    def write(self, data: bytes | memoryview) -> object:
        """Write ``data`` without the part of it that was sent ahead."""
        ahead, self._ahead = self._ahead, 0
        return super().write(data[ahead:])

    def quiet(self) -> bool:
        """Say whether the connection is open and nothing has come that was not read."""
        if self.closed() or self._read_buffer_size:
            return False
        try:
            # Either a byte or the end of the connection; both are in the way of the next answer.
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def acknowledged(self) -> bool:
        """Say whether the peer has acknowledged all bytes; true where the system does not tell."""
        if self.closed() or self.writing():
            return False
        try:
            reply = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(_COUNT.size))
        except OSError:
            return True
        return _COUNT.unpack(reply)[0] == 0
