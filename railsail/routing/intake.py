"""Start new connections a few at a time, so that requests in progress go on in between.

An event loop that reads all new requests before it goes on with those in progress delays every step
of these by the time that reading takes. Under more load than a node bears, the delay grows until
callers disconnect before any answer is ready. The node then works for disconnected callers only,
and does not recover, since they retry. So each turn of the loop starts a few new connections at
most; all others wait unread.

Workspaces take turns, so that one whose callers flood this node leaves others their share. Of one
workspace the newest connection is started first: its caller is the least likely to have
disconnected. One that has waited for too long is refused without parsing its request, which takes
less than a tenth of the time that another refusal takes (the order and the two bounds of the wait:
Maurer, Fail at Scale, ACM Queue, 2015).
"""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from railsail.core.kernel import Kernel
from railsail.core.logs import get_logger
from railsail.core.retryafter import random_retry_after
from railsail.routing.unparsed import has_arrived, read_key, refuse_unparsed
from railsail.routing.waiting import WaitingConnection, WaitingConnections

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
# Minimum time between two log lines about refused connections.
LOG_INTERVAL_SECONDS = 1.0


class Intake:
    """The connections of callers that are accepted and wait to be started.

    ``loop_late`` is True while the event loop is too late to serve all requests that arrive.
    ``workspace_of`` returns the workspace of a bearer key, ``None`` for an unknown one.
    """

    def __init__(self, workspace_of: Callable[[str], str | None], kernel: Kernel) -> None:
        self._workspace_of = workspace_of
        # An attribute, since reading it cannot fail: it is needed to send an answer.
        self.loop_late = False
        self._clock = kernel.clock
        self._rng: random.Random = kernel.rng
        self._metrics = kernel.metrics
        self._waiting = WaitingConnections()
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

    @property
    def standing(self) -> bool:
        """Return True if connections have been waiting for a while without a break."""
        waited = self._clock.monotonic() - self._waiting_since
        return bool(self._waiting) and waited > STANDING_SECONDS

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
        self._waiting.add(self._read_workspace(stream), WaitingConnection(now, stream, start))

    def _read_workspace(self, stream: IOStream) -> str:
        """Return the workspace of the request that has arrived on ``stream``, empty if unknown."""
        return self._workspace_of(read_key(stream)) or ""

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
            self._waiting.pop_next().start()
        if self._starts_left < STARTS_PER_TURN:
            self._schedule_turn()

    def _refuse_expired(self) -> None:
        now = self._clock.monotonic()
        max_wait = MAX_STANDING_WAIT_SECONDS if self.standing else MAX_WAIT_SECONDS
        for connection in self._waiting.pop_accepted_before(now - max_wait):
            self._refuse(connection)
        if self._refused_since and now - self._logged_at >= LOG_INTERVAL_SECONDS:
            get_logger().warning(
                "refused connections that waited too long, since this node is overloaded",
                refused_since=self._refused_since,
                waiting=len(self._waiting),
            )
            self._logged_at = now
            self._refused_since = 0

    def _refuse(self, connection: WaitingConnection) -> None:
        if not has_arrived(connection.stream):
            # There is nothing to refuse, and its caller may send a request at any time.
            connection.start()
            return
        refuse_unparsed(connection.stream, random_retry_after(self._rng))
        self._metrics.refused_unparsed.inc({})
        self._refused_since += 1


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
