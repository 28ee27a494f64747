"""One HTTP exchange over one connection, with an exact point of no return.

The library's client pools, retries and queues out of sight in some versions; here one connection
carries one request, by the library's own HTTP/1 codec. Until the first byte is written the request
has not run; from then on that is not known.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from railsail.conf.values import parse_endpoint
from railsail.core.exceptions import RailsailError
from railsail.core.sockets import CannotConnect, open_stream

CONNECT_SECONDS = 2.0
SILENT_SECONDS = 60.0
MOST_BODY_BYTES = 1 << 30
MOST_HEADER_BYTES = 64 << 10


class NotSent(RailsailError):
    """No byte of the request was written.

    ``refused`` says that nobody listens at the replica's port, though its host answers.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class CutOff(RailsailError):
    """The request was written at least in part, and no whole answer came."""


HeadListener = Callable[[int, HTTPHeaders], None]


def ignore_head(status: int, headers: HTTPHeaders) -> None:
    """Take no note of what an answer says of its replica."""


@dataclass(frozen=True)
class HttpRequest:
    """What is sent; ``endpoint`` is ``ip:port``.

    ``open_ended`` says that an answer without a length is whole when its connection was closed in
    order. ``connect_seconds`` bounds the time to connect. ``on_head`` hears status and headers of
    any answer before its receiver does, which may refuse it.
    """

    endpoint: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    open_ended: bool = False
    connect_seconds: float = CONNECT_SECONDS
    on_head: HeadListener = ignore_head


class Receiver(Protocol):
    """Where an exchange puts what comes back; awaiting it holds the sender back."""

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        """Take the status and the headers."""

    async def data(self, chunk: bytes) -> None:
        """Take a piece of the body."""


class _Delegate(HTTPMessageDelegate):
    def __init__(self, receiver: Receiver, stream: IOStream, on_head: HeadListener) -> None:
        self._receiver = receiver
        self._stream = stream
        self._on_head = on_head
        self.error: Exception | None = None
        self._loop = asyncio.get_running_loop()
        self.whole = False
        self.framed = False
        self.busy = False
        self.last = self._loop.time()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.framed = self.framed or start_line.code in (204, 304)
        self._on_head(start_line.code, headers)
        return self._guard(self._receiver.head(start_line.code, headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._guard(self._receiver.data(chunk))

    def finish(self) -> None:
        self.whole = True

    def on_connection_close(self) -> None:
        self.whole = False

    async def _guard(self, work: Awaitable[None]) -> None:
        # Time during which the caller holds us back is not silence of the upstream.
        self.busy = True
        try:
            await work
        except Exception as problem:
            # The library would log what is raised here, and hide it from whoever called.
            self.error = problem
            self._stream.close()
        finally:
            self.busy = False
            self.last = self._loop.time()

    def silent(self) -> bool:
        return not self.busy and self._loop.time() - self.last > SILENT_SECONDS


async def exchange(request: HttpRequest, receiver: Receiver) -> None:
    """Send ``request`` and put the whole answer into ``receiver``.

    Raise ``NotSent`` or ``CutOff``. Cancelling the task closes the connection.
    """
    stream = await _connect(request.endpoint, request.connect_seconds)
    try:
        await _exchange_on(stream, request, receiver)
    finally:
        stream.close()


async def _connect(endpoint: str, seconds: float) -> IOStream:
    target = parse_endpoint(endpoint)
    try:
        return await open_stream(target.ip, target.port, seconds)
    except CannotConnect as problem:
        reason = f"the replica cannot be connected to: {problem}"
        raise NotSent(reason, problem.refused) from None


async def _exchange_on(stream: IOStream, request: HttpRequest, receiver: Receiver) -> None:
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_header_size=MOST_HEADER_BYTES, max_body_size=MOST_BODY_BYTES
    )
    connection = HTTP1Connection(stream, is_client=True, params=parameters)
    delegate = _Delegate(receiver, stream, request.on_head)
    watch = asyncio.ensure_future(_close_when_silent(stream, delegate))
    try:
        start = RequestStartLine(request.method, request.path, "")
        connection.write_headers(start, _headers(request), request.body)
        connection.finish()
        await connection.read_response(delegate)
    except (OSError, StreamClosedError, ValueError) as problem:
        if delegate.error is not None:
            raise delegate.error from None
        raise CutOff(f"the connection to the replica broke: {problem}") from None
    finally:
        watch.cancel()
    if delegate.error is not None:
        raise delegate.error
    if not delegate.whole:
        raise CutOff("the replica closed before the end of its answer")
    if not delegate.framed and not (request.open_ended and stream.error is None):
        # A body that only ends with the connection may be cut short without a sign.
        raise CutOff("the replica gave no length of its answer")


def _headers(request: HttpRequest) -> HTTPHeaders:
    headers = HTTPHeaders({"Host": request.endpoint, "Connection": "close"})
    for name, value in request.headers.items():
        headers[name] = value
    if request.body or request.method not in ("GET", "HEAD"):
        headers["Content-Length"] = str(len(request.body))
    return headers


async def _close_when_silent(stream: IOStream, delegate: _Delegate) -> None:
    while not delegate.silent():
        await asyncio.sleep(SILENT_SECONDS / 10)
    stream.close()


class Collector:
    """A receiver that keeps a short answer in memory."""

    def __init__(self, most_bytes: int = 1 << 20) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = b""
        self._most_bytes = most_bytes

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        """Keep status and headers."""
        self.status = status
        self.headers = headers

    async def data(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        if len(self.body) + len(chunk) > self._most_bytes:
            raise ValueError("the answer is too long")
        self.body += chunk


async def fetch(
    request: HttpRequest, seconds: float, most_bytes: int = 1 << 20
) -> Collector | None:
    """Return a short answer, or ``None`` if none came within ``seconds``."""
    collector = Collector(most_bytes)
    with contextlib.suppress(NotSent, CutOff, TimeoutError):
        async with asyncio.timeout(seconds):
            await exchange(request, collector)
        return collector
    return None
