"""One HTTP exchange over one connection, which reports whether the request may have run.

Some versions of Tornado's client pool connections, retry or queue requests on their own. An
exchange here uses one connection and sends one request, through Tornado's HTTP/1 codec. Before its
whole head is written, the request has not run; after that, it may have.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from railsail.conf.values import parse_endpoint
from railsail.core.exceptions import RailsailError
from railsail.core.responses import check_head, has_body
from railsail.core.sockets import CannotConnect, open_stream
from railsail.upstreams.keepalive import MIN_ERROR_STATUS, idle_seconds, may_be_kept
from railsail.upstreams.streams import UpstreamStream

CONNECT_TIMEOUT_SECONDS = 2.0
# The connection to a replica that sends nothing for this long is closed.
MAX_SILENCE_SECONDS = 60.0
MAX_BODY_BYTES = 1 << 30
MAX_HEADER_BYTES = 64 << 10
# Bounds what an error quotes of an invalid answer.
MAX_REASON_CHARACTERS = 200
# A late answer to an earlier request on a connection is skipped up to this length.
MAX_FOREIGN_BYTES = 1 << 20


class NotSent(RailsailError):
    """No request was sent.

    ``refused`` is true if the host of the replica answered, but nothing listens at its port.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class CutOff(RailsailError):
    """The request was sent, at least in part, and no complete answer was received."""


class InvalidAnswer(CutOff):
    """The replica sent something that is not an answer by HTTP, on a connection that stood.

    Its process has not crashed, but the request may have run.
    """


class AnswerTooLong(CutOff):
    """The answer was ended because it is longer than what may be kept of it."""


HeadListener = Callable[[int, HTTPHeaders], None]


def ignore_head(status: int, headers: HTTPHeaders) -> None:
    """Do nothing with the head of an answer."""


def ignore_connection() -> None:
    """Do nothing when a connection stands."""


IdReader = Callable[[HTTPHeaders], str]


def read_no_id(headers: HTTPHeaders) -> str:
    """Return an empty id, for answers that do not name their request."""
    return ""


def is_delimited(headers: HTTPHeaders) -> bool:
    """Return True if an answer has a length or chunks, so that a truncated one is recognized."""
    return "Content-Length" in headers or "Transfer-Encoding" in headers


@dataclass(frozen=True)
class HttpRequest:
    """A request to send to ``endpoint``, which is ``ip:port``.

    If ``open_ended``, an answer without a length is complete when its connection was closed without
    an error. ``connect_seconds`` bounds the time to connect. ``on_connected`` is called when there
    is a connection, just before the request is sent; it may raise an error to prevent that.
    ``on_head`` is called with status and headers of any answer before its receiver, which may
    refuse the answer. The connection may be kept only for a request that names its ``replica`` and
    ``request_id``; ``read_id`` returns the id of the request that an answer belongs to, from the
    headers of the answer. The connection is closed if nothing arrives for ``max_silence`` seconds.
    ``server`` is what listens at the endpoint, as errors name it.
    """

    endpoint: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    open_ended: bool = False
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS
    on_connected: Callable[[], None] = ignore_connection
    on_head: HeadListener = ignore_head
    replica: str = ""
    request_id: str = ""
    read_id: IdReader = read_no_id
    max_silence: float = MAX_SILENCE_SECONDS
    server: str = "the replica"


class Receiver(Protocol):
    """The destination of an answer; an exchange awaits it, so a slow one slows the replica down."""

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        """Handle the status and the headers."""

    async def data(self, chunk: bytes) -> None:
        """Handle a chunk of the body."""


class Connections(Protocol):
    """A provider of connections for exchanges, which gets them back afterwards.

    ``max_idle_seconds`` is the maximum time for which a connection is kept idle.
    """

    max_idle_seconds: float

    def can_keep(self, request: HttpRequest) -> bool:
        """Return True if the connection of ``request`` may be kept."""

    async def acquire(self, request: HttpRequest) -> UpstreamStream:
        """Return a connection for ``request``; raise ``NotSent`` if there is none."""

    def release(self, request: HttpRequest, stream: UpstreamStream, seconds: float) -> None:
        """Take back a connection after a complete answer; it may be idle for ``seconds``."""

    def release_failed(
        self, request: HttpRequest, stream: UpstreamStream, problem: BaseException
    ) -> None:
        """Close the connection of an exchange that failed with ``problem``."""


class NewConnections:
    """Connections that are opened for one exchange each, and closed after it."""

    max_idle_seconds = 0.0

    def can_keep(self, request: HttpRequest) -> bool:
        """Return False: no connection is kept."""
        return False

    async def acquire(self, request: HttpRequest) -> UpstreamStream:
        """Return a new connection; raise ``NotSent`` if there is none."""
        return await connect(request)

    def release(self, request: HttpRequest, stream: UpstreamStream, seconds: float) -> None:
        """Close the connection."""
        stream.close()

    def release_failed(
        self, request: HttpRequest, stream: UpstreamStream, problem: BaseException
    ) -> None:
        """Close the connection."""
        stream.close()


NEW_CONNECTIONS = NewConnections()


class _Delegate(HTTPMessageDelegate):
    def __init__(
        self,
        request: HttpRequest,
        receiver: Receiver,
        stream: UpstreamStream,
        max_idle_seconds: float,
    ) -> None:
        self._request = request
        self._receiver = receiver
        self._stream = stream
        self._max_idle_seconds = max_idle_seconds
        self.error: Exception | None = None
        self._loop = asyncio.get_running_loop()
        self.complete = False
        self.delimited = False
        # The answer is a late one to an earlier request on this connection.
        self.foreign = False
        self._foreign_bytes = 0
        self.idle_seconds = 0.0
        self.receiver_busy = False
        self.last_progress_at = self._loop.time()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        if self.error is not None:
            # The connection is closed, but this head had arrived before.
            return None
        try:
            check_head(start_line, headers)
        except HTTPInputError as problem:
            reason = str(problem)[:MAX_REASON_CHARACTERS]
            self.fail(InvalidAnswer(f"the answer of {self._request.server} is invalid: {reason}"))
            return None
        self.delimited = is_delimited(headers) or not has_body(
            self._request.method, start_line.code
        )
        self.foreign = self._is_foreign(start_line.code, headers)
        if self.foreign:
            return None
        self.idle_seconds = 0.0
        if self.delimited and may_be_kept(start_line, headers):
            self.idle_seconds = idle_seconds(headers, self._max_idle_seconds)
        self._request.on_head(start_line.code, headers)
        return self._run_receiver(self._receiver.head(start_line.code, headers))

    def _is_foreign(self, status: int, headers: HTTPHeaders) -> bool:
        """Return True if an answer on a kept connection belongs to another request."""
        if not self._stream.reused:
            return False
        answered = self._request.read_id(headers)
        if not answered:
            # A replica may send an error before it has read the id, but not a success.
            return status < MIN_ERROR_STATUS
        return answered != self._request.request_id

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.error is not None:
            # The connection is closed, but a part of the body had arrived before.
            return None
        if not self.foreign:
            return self._run_receiver(self._receiver.data(chunk))
        self._foreign_bytes += len(chunk)
        if self._foreign_bytes > MAX_FOREIGN_BYTES:
            self._stream.close()
        return None

    def finish(self) -> None:
        self.complete = True
        if self._stream.writing() and not self.foreign:
            # The codec would wait until the rest of the request is written, which the replica may
            # never read.
            self._stream.close()

    def on_connection_close(self) -> None:
        self.complete = False

    def expect_another(self) -> None:
        """Prepare for the request's own answer after one that belonged to another request."""
        self.complete = False
        self.last_progress_at = self._loop.time()

    async def _run_receiver(self, work: Awaitable[None]) -> None:
        # While the receiver waits for a slow caller, the replica does not count as silent.
        self.receiver_busy = True
        try:
            await work
        except Exception as problem:
            self.fail(problem)
        finally:
            self.receiver_busy = False
            self.last_progress_at = self._loop.time()

    def fail(self, problem: Exception) -> None:
        """End the exchange with ``problem``."""
        # Tornado would log an exception raised by a delegate, and not pass it to the caller.
        self.error = problem
        self._stream.close()

    def raise_error(self) -> None:
        """Raise the error that ended the exchange, if there is one."""
        if self.error is None:
            return
        try:
            raise self.error from None
        finally:
            # The traceback refers to this object, which would keep the connection's buffers until
            # the garbage collector finds the cycle.
            self.error = None

    def silent(self) -> bool:
        return (
            not self.receiver_busy
            and self._loop.time() - self.last_progress_at > self._request.max_silence
        )


async def exchange(
    request: HttpRequest, receiver: Receiver, connections: Connections = NEW_CONNECTIONS
) -> None:
    """Send ``request`` and pass the whole answer to ``receiver``.

    Raise ``NotSent`` or ``CutOff`` if that fails, or the error that ``receiver`` raised. Cancelling
    the task closes the connection.
    """
    stream = await connections.acquire(request)
    max_idle = connections.max_idle_seconds if connections.can_keep(request) else 0.0
    try:
        request.on_connected()
        seconds = await _exchange_on(stream, request, receiver, max_idle)
    except BaseException as problem:
        connections.release_failed(request, stream, problem)
        raise
    connections.release(request, stream, seconds)


async def connect(request: HttpRequest) -> UpstreamStream:
    """Return a new connection for ``request``; raise ``NotSent`` if there is none."""
    target = parse_endpoint(request.endpoint)
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        stream = await open_stream(target.ip, target.port, request.connect_seconds, UpstreamStream)
    except CannotConnect as problem:
        reason = f"{request.server} cannot be connected to: {problem}"
        raise NotSent(reason, problem.refused) from None
    stream.connect_seconds = loop.time() - started
    return stream


async def _exchange_on(
    stream: UpstreamStream, request: HttpRequest, receiver: Receiver, max_idle: float
) -> float:
    """Make an exchange on ``stream``; return for how many seconds it may be idle afterwards."""
    delegate = _Delegate(request, receiver, stream, max_idle)
    silence_check = asyncio.ensure_future(_fail_when_silent(delegate, request))
    try:
        connection = _codec(stream)
        start = RequestStartLine(request.method, request.path, "")
        connection.write_headers(start, _headers(request, max_idle > 0), request.body)
        connection.finish()
        await connection.read_response(delegate)
        if delegate.foreign and delegate.complete:
            await _read_own_answer(stream, delegate)
    except (OSError, StreamClosedError, ValueError) as problem:
        delegate.raise_error()
        raise CutOff(f"the connection to {request.server} broke: {problem}") from None
    finally:
        silence_check.cancel()
    delegate.raise_error()
    _check_complete(stream, request, delegate)
    return delegate.idle_seconds


async def _read_own_answer(stream: UpstreamStream, delegate: _Delegate) -> None:
    # At most one late answer is skipped. The connection is not kept after it.
    delegate.expect_another()
    connection = _codec(stream)
    connection.finish()
    await connection.read_response(delegate)
    delegate.idle_seconds = 0.0


def _check_complete(stream: UpstreamStream, request: HttpRequest, delegate: _Delegate) -> None:
    if delegate.foreign:
        raise CutOff(f"{request.server} answered another request")
    if not delegate.complete:
        # The codec closes the connection, and raises an error only if that was closed before.
        raise InvalidAnswer(f"the answer of {request.server} is not valid by HTTP")
    if not delegate.delimited and not (request.open_ended and stream.error is None):
        # A body that ends with its connection may be truncated without any error.
        raise CutOff(f"{request.server} gave no length of its answer")


def _codec(stream: UpstreamStream) -> HTTP1Connection:
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
    )
    return HTTP1Connection(stream, is_client=True, params=parameters)


def first_line(request: HttpRequest) -> bytes:
    """Return the first line of ``request``, byte for byte as the codec writes it."""
    return f"{request.method} {request.path} HTTP/1.1\r\n".encode()


def _headers(request: HttpRequest, keep: bool) -> HTTPHeaders:
    headers = HTTPHeaders({"Host": request.endpoint})
    if not keep:
        headers["Connection"] = "close"
    for name, value in request.headers.items():
        headers[name] = value
    if request.body or request.method not in ("GET", "HEAD"):
        headers["Content-Length"] = str(len(request.body))
    return headers


async def _fail_when_silent(delegate: _Delegate, request: HttpRequest) -> None:
    while not delegate.silent():
        await asyncio.sleep(min(request.max_silence, MAX_SILENCE_SECONDS) / 10)
    # An answer without a length must not count as complete because its connection is closed here.
    delegate.fail(CutOff(f"{request.server} sent nothing for {request.max_silence:g} s"))
