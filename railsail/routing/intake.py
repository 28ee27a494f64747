"""Start new connections a few at a time, so that requests in progress go on in between.

An event loop that reads all new requests before it goes on with those in progress delays every step
of these by the time that reading takes. Under more load than a node bears, the delay grows until
callers disconnect before any answer is ready. The node then works for disconnected callers only,
and does not recover, since they retry. So each turn of the loop starts a few new connections at
most; all others wait unread.

The newest connection is started first: its caller is the least likely to have disconnected. One
that has waited for too long is refused without parsing its request, which takes a tenth of the
time that another refusal takes (the order and the two bounds of the wait: Maurer, Fail at Scale,
ACM Queue, 2015).
"""

import asyncio
import math
import random
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError

from railsail.core.kernel import Kernel
from railsail.core.logs import get_logger
from railsail.core.retryafter import random_retry_after

# New connections that a turn of the event loop starts at most. Reading a request and refusing or
# forwarding it takes 1.5 to 4 ms of a core, so that a turn of a node with half a core stays under
# the lag above which a node is late.
STARTS_PER_TURN = 4
# A connection that waits for longer is refused; callers that nobody reads disconnect by then.
MAX_WAIT_SECONDS = 1.0
# Once connections have been waiting for this long without a break, the node has more callers than
# it bears. One that is not started soon will then not be started at all, and is refused while its
# caller has the time for a retry.
STANDING_SECONDS = 1.0
MAX_STANDING_WAIT_SECONDS = 0.1
# Maximum size of a request that is refused without parsing it. The rest of a larger one resets the
# connection, after which the caller retries as well.
MAX_REFUSED_BYTES = 128 << 10
# Minimum time between two log lines about refused connections.
LOG_INTERVAL_SECONDS = 1.0
_REFUSAL_BODY = b"this node is overloaded\n"


class _WaitingConnection(msgspec.Struct, frozen=True):
    """A connection that is accepted and not read; ``accepted_at`` is monotonic time in seconds."""

    accepted_at: float
    stream: IOStream
    start: Callable[[], None]


class Intake:
    """The connections of callers that are accepted and wait to be started.

    ``loop_late`` is True while the event loop is too late to serve all requests that arrive.
    """

    def __init__(self, kernel: Kernel) -> None:
        # An attribute, since reading it cannot fail: it is needed to send an answer.
        self.loop_late = False
        self._clock = kernel.clock
        self._rng: random.Random = kernel.rng
        self._metrics = kernel.metrics
        # In the order in which they were accepted.
        self._waiting: deque[_WaitingConnection] = deque()
        # When the first connection began to wait since none did.
        self._waiting_since = 0.0
        self._starts_left = STARTS_PER_TURN
        self._turn_scheduled = False
        self._refused_since = 0
        self._logged_at = -math.inf

    @property
    def waiting(self) -> int:
        """Return how many accepted connections are not started yet."""
        return len(self._waiting)

    @property
    def overloaded(self) -> bool:
        """Return True if a request may have waited so long that its caller has disconnected."""
        return bool(self._waiting) or self.loop_late

    def add(self, stream: IOStream, start: Callable[[], None]) -> None:
        """Call ``start``, which reads ``stream``, in this turn of the event loop or a later one."""
        self._schedule_turn()
        if self._starts_left and not self._waiting:
            self._starts_left -= 1
            start()
            return
        now = self._clock.monotonic()
        if not self._waiting:
            self._waiting_since = now
        self._waiting.append(_WaitingConnection(now, stream, start))

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        self._turn_scheduled = False
        self._starts_left = STARTS_PER_TURN
        self._refuse_expired()
        while self._waiting and self._starts_left:
            self._starts_left -= 1
            self._waiting.pop().start()
        if self._starts_left < STARTS_PER_TURN:
            self._schedule_turn()

    def _refuse_expired(self) -> None:
        now = self._clock.monotonic()
        is_standing = now - self._waiting_since > STANDING_SECONDS
        max_wait = MAX_STANDING_WAIT_SECONDS if is_standing else MAX_WAIT_SECONDS
        while self._waiting and now - self._waiting[0].accepted_at > max_wait:
            self._refuse(self._waiting.popleft())
        if self._refused_since and now - self._logged_at >= LOG_INTERVAL_SECONDS:
            get_logger().warning(
                "refused connections that waited too long, since this node is overloaded",
                refused_since=self._refused_since,
                waiting=len(self._waiting),
            )
            self._logged_at = now
            self._refused_since = 0

    def _refuse(self, connection: _WaitingConnection) -> None:
        if not _has_request(connection.stream):
            # There is nothing to refuse, and its caller may send a request at any time.
            connection.start()
            return
        _refuse_unparsed(connection.stream, random_retry_after(self._rng))
        self._metrics.refused_unparsed.inc({})
        self._refused_since += 1


def _has_request(stream: IOStream) -> bool:
    """Return True if something has arrived on ``stream``, the end of the connection included."""
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def _refuse_unparsed(stream: IOStream, retry_after: float) -> None:
    """Refuse what has arrived on ``stream`` as not run, and close it."""
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        f"Retry-After: {retry_after:.3f}\r\n"
        "Connection: close\r\n"
        "Content-Type: text/plain\r\n"
        f"Content-Length: {len(_REFUSAL_BODY)}\r\n\r\n"
    )
    try:
        # A connection that is closed with unread bytes is reset, and the refusal would be lost.
        stream.read_bytes(MAX_REFUSED_BYTES, partial=True)
        stream.write(head.encode() + _REFUSAL_BODY)
    except StreamClosedError:
        # The caller has disconnected and waits for no answer.
        return
    stream.close()


class GatedServer(HTTPServer):
    """An HTTP server whose new connections pass through an ``intake``."""

    def initialize(self, *args: Any, intake: Intake, **kwargs: Any) -> None:
        """Take the arguments of ``HTTPServer`` and the ``intake``."""
        super().initialize(*args, **kwargs)
        self._intake = intake

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Have the intake start a new connection."""
        start = super().handle_stream
        self._intake.add(stream, lambda: start(stream, address))
