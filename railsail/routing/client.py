"""The callers' side of routes: connections, requests as they come, answers as they are given."""

import asyncio
import math
import resource
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from railsail.core.exceptions import RailsailError
from railsail.core.sockets import detect_dead_peer
from railsail.core.tasks import TaskSet

# The part of the files that a process may open that connections of callers may take. A node that
# had none left could neither accept nor call: one that refused 500 requests a second came to its
# 4,100 within eight seconds, since callers keep the connections of refused requests.
CALLERS_SHARE = 0.25


def most_connections(open_files: int) -> float:
    """Return how many callers' connections may be open before callers are asked to close theirs.

    ``open_files`` are the files that the process may open, 0 to ask the system.
    """
    allowed = open_files or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if allowed == resource.RLIM_INFINITY else CALLERS_SHARE * allowed


class ClientLeft(RailsailError):
    """The caller closed its connection."""


class ClientAnswer:
    """The answer to one request; ``closing`` says whether its connection is closed after it."""

    def __init__(self, connection: HTTP1Connection, closing: Callable[[], bool]) -> None:
        self.started = False
        self._connection = connection
        self._closing = closing

    async def begin(self, status: int, headers: HTTPHeaders, chunk: bytes) -> None:
        """Send status, headers and the first ``chunk`` of a body.

        Without a ``Content-Length`` the body goes on until ``end``.
        """
        self.started = True
        if self._closing():
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        try:
            await self._connection.write_headers(line, headers, chunk)
        except StreamClosedError:
            raise ClientLeft from None

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body; return when the caller's connection took it."""
        try:
            await self._connection.write(chunk)
        except StreamClosedError:
            raise ClientLeft from None

    async def pass_on(self, data: bytes) -> None:
        """Send bytes of an answer that another node has framed; ``close`` ends it."""
        self.started = True
        try:
            await self._connection.stream.write(data)
        except StreamClosedError:
            raise ClientLeft from None

    def close(self) -> None:
        """Close the connection after an answer that another node has framed."""
        self._connection.close()

    def end(self) -> None:
        """End the body as a whole one."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that what was sent cannot be taken for a whole answer."""
        self._connection.close()

    async def give(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""
        headers["Content-Length"] = str(len(body))
        await self.begin(status, headers, body)
        self.end()


Handler = Callable[[RequestStartLine, HTTPHeaders, bytes, ClientAnswer], Awaitable[None]]


class ClientServer(HTTPServerConnectionDelegate):
    """Accept connections of callers, and hand their requests to ``handler``.

    While there are more than ``most_connections``, each answer asks its caller to close its own.
    """

    def __init__(self, handler: Handler, most_connections: float = math.inf) -> None:
        self._handler = handler
        self._most_connections = most_connections
        self._tasks = TaskSet()
        self._connections: set[object] = set()
        self._idle: dict[object, HTTP1Connection] = {}
        self._leaving = False
        self._closes_idle = False

    def start_request(self, server_conn: object, request_conn: HTTP1Connection) -> "_Message":
        """Make ready for the next request of a connection."""
        if self._closes_idle:
            request_conn.close()
            return _Message(self, server_conn, request_conn)
        if server_conn not in self._connections:
            self._connections.add(server_conn)
            detect_dead_peer(request_conn.stream.socket)
        # The library turns it off again after each answer.
        request_conn.stream.set_nodelay(True)
        self._idle[server_conn] = request_conn
        return _Message(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(server_conn)
        self._idle.pop(server_conn, None)

    def leave(self) -> None:
        """Tell callers with each answer from now on to close their connection."""
        self._leaving = True

    def close_idle(self) -> None:
        """Close connections from now on while no request is being read or answered on them."""
        self._closes_idle = True
        for connection in list(self._idle.values()):
            # The head of a request may have been read in this turn of the loop already; it is
            # handed over in the next one, and must be answered.
            if connection.stream.reading():
                connection.close()

    @property
    def busy(self) -> int:
        """Return how many requests were read and are not answered yet.

        Those whose head was read in this turn of the loop count too.
        """
        idle = [connection.stream for connection in self._idle.values()]
        read = [stream for stream in idle if not (stream.reading() or stream.closed())]
        return len(self._tasks) + len(read)

    def began(self, server_conn: object) -> None:
        """Take note that a request has begun to come."""
        self._idle.pop(server_conn, None)

    def _closing(self) -> bool:
        return self._leaving or len(self._connections) > self._most_connections

    def received(
        self, line: RequestStartLine, headers: HTTPHeaders, body: bytes, connection: HTTP1Connection
    ) -> asyncio.Task:
        """Serve a request that was read whole, and return the task that does."""
        answer = ClientAnswer(connection, self._closing)
        return self._tasks.start(self._handler(line, headers, body, answer))


class _Message(HTTPMessageDelegate):
    """One request; its task ends when the caller leaves."""

    def __init__(
        self, server: ClientServer, server_conn: object, connection: HTTP1Connection
    ) -> None:
        self._server = server
        self._server_conn = server_conn
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._body: list[bytes] = []
        self._task: asyncio.Task | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._server.began(self._server_conn)
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._body.append(chunk)

    def finish(self) -> None:
        self._connection.set_close_callback(self._left)
        self._task = self._server.received(
            self._line, self._headers, b"".join(self._body), self._connection
        )

    def on_connection_close(self) -> None:
        self._server.began(self._server_conn)
        self._left()

    def _left(self) -> None:
        if self._task is not None:
            self._task.cancel()
