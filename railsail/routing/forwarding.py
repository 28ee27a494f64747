"""Forward requests that this node has no time for to other nodes, and return their answers.

All callers of a workspace may reach the same node, whose processor time would then limit what the
workspace gets of the whole fleet. Forwarding a request costs a node a fraction of serving it, since
the answer is copied to the caller without being parsed. The other node serves the request like one
of its own: it sends a ticket to the same dispatchers, and refuses the request if there is no
capacity.

A request is sent to at most one other node. Once it was sent, only the answer of that node counts:
if there is none, the outcome is unknown.
"""

import asyncio

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    RequestStartLine,
    parse_response_start_line,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from railsail.conf.values import parse_endpoint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, Unknown
from railsail.core.responses import check_start_line
from railsail.core.sockets import CannotConnect, open_stream
from railsail.gateway.concurrency import ConcurrencyLimit
from railsail.membership.table import Member
from railsail.routing.client import ClientAnswer
from railsail.routing.targets import ForwardTargets

# Nodes of a fleet reach each other within a few milliseconds. One that takes longer than this to
# accept a connection is gone, or has no time either.
CONNECT_SECONDS = 0.25
# Nodes that are tried, one after the other, until one accepts a connection.
MAX_TARGETS = 2
# The other node sends its final answer by the deadline; this node waits this much longer for it.
GRACE_SECONDS = 0.2
# Maximum size of a piece of an answer that is copied at once.
CHUNK_BYTES = 64 << 10
MAX_HEAD_BYTES = 64 << 10
# The version of the configuration by which a request is forwarded. Another node may not have it
# yet, and must not handle the request by an older one than its caller has seen in force.
CONFIGURATION = "Railsail-Configuration"
MAX_VERSION_DIGITS = 20


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A request to forward: its request line, headers and body.

    ``deadline_at`` is when its final answer is due, in seconds of the monotonic clock. It may run
    only in ``regions``, or in any region if there are none. ``configuration`` is the version by
    which it is forwarded.
    """

    line: RequestStartLine
    headers: HTTPHeaders
    body: bytes
    deadline_at: float
    regions: tuple[str, ...] = ()
    configuration: int = 0


class Forwarder:
    """Forwards requests to other nodes, as many at a time as ``limit`` allows."""

    def __init__(self, targets: ForwardTargets, limit: ConcurrencyLimit, kernel: Kernel) -> None:
        self._targets = targets
        self._limit = limit
        self._clock = kernel.clock
        self.total = 0

    @property
    def limit(self) -> float:
        """Return how many requests may be forwarded at a time now."""
        return self._limit.limit

    async def forward(
        self, request: ForwardedRequest, client: ClientAnswer
    ) -> Completed | Unknown | None:
        """Have another node answer ``request``, and return the outcome.

        Return ``None`` if the request was sent to no node.
        """
        if self._limit.full(self.total) or not self._targets.can_serve(request.regions):
            return None
        self.total += 1
        try:
            return await self._forward(request, client)
        finally:
            self.total -= 1

    async def _forward(
        self, request: ForwardedRequest, client: ClientAnswer
    ) -> Completed | Unknown | None:
        for _ in range(MAX_TARGETS):
            target = self._targets.choose(self._clock.monotonic())
            if target is None:
                return None
            stream = await self._connect(target)
            if stream is not None:
                return await self._exchange(target, stream, request, client)
        return None

    async def _connect(self, target: Member) -> IOStream | None:
        ip = parse_endpoint(target.node).ip
        try:
            return await open_stream(ip, target.forward_port, CONNECT_SECONDS)
        except CannotConnect:
            # Its neighbours report to the fleet, and log, that a node is gone.
            self._targets.connect_failed(target.node, self._clock.monotonic())
            return None

    async def _exchange(
        self, target: Member, stream: IOStream, request: ForwardedRequest, client: ClientAnswer
    ) -> Completed | Unknown:
        self._targets.request_started(target.node)
        remaining = request.deadline_at + GRACE_SECONDS - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                _send(stream, request)
                status = await _copy_answer(stream, client)
        except TimeoutError:
            return Unknown(f"{target.node} gave no whole answer in time", timed_out=True)
        except HTTPInputError as problem:
            return Unknown(f"the answer of {target.node} is invalid: {problem}")
        finally:
            stream.close()
            self._targets.request_ended(target.node)
        if not client.started:
            return Unknown(f"{target.node} took the request and gave no answer")
        if stream.error is not None:
            return Unknown(f"{target.node} broke off its answer: {stream.error}")
        client.close()
        return Completed(status, 0.0)


def _send(stream: IOStream, request: ForwardedRequest) -> None:
    headers = request.headers.copy()
    # The connection carries a single request, so that its end marks the end of the answer and
    # nothing has to be parsed to find it. The other node answers with ``Connection: close`` too, so
    # that the caller sends no further request on its own connection.
    headers["Connection"] = "close"
    headers["Content-Length"] = str(len(request.body))
    headers[CONFIGURATION] = str(request.configuration)
    connection = HTTP1Connection(stream, is_client=True)
    connection.write_headers(request.line, headers, request.body)


def take_configuration(headers: HTTPHeaders) -> int:
    """Remove from the ``headers`` of a forwarded request by which version it was; return that.

    Return 0 if they do not name it.
    """
    text = headers.pop(CONFIGURATION, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS
    return int(text) if is_number else 0


async def _copy_answer(stream: IOStream, client: ClientAnswer) -> int:
    """Copy all that arrives to the caller, and return the status of the answer, 0 if none came.

    Raise ``HTTPInputError`` if what arrives does not start an answer; nothing of it is copied.
    """
    status = 0
    try:
        # Some clients take a head that ends with its connection for a whole one, without a body.
        head = await stream.read_until(b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES)
        line = parse_response_start_line(head.partition(b"\r\n")[0].decode("latin-1"))
        check_start_line(line)
        status = line.code
        await client.write_raw(head)
        while True:
            await client.write_raw(await stream.read_bytes(CHUNK_BYTES, partial=True))
    except (StreamClosedError, UnsatisfiableReadError):
        return status
