"""The HTTP server for callers of routes: connections, requests and answers."""

import asyncio
import math
import resource
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass

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

from railsail.core.buffers import BufferFull, Buffers
from railsail.core.exceptions import RailsailError
from railsail.core.logs import get_logger
from railsail.core.responses import NO_CONTENT
from railsail.core.sockets import detect_dead_peer
from railsail.core.tasks import TaskSet
from railsail.routing.intake import Intake

# Share of the process's file descriptors that callers' connections may take. Without free
# descriptors a node can neither accept nor open connections. A node that refused 500 requests a
# second used up its 4,100 descriptors within eight seconds, since callers keep their connections
# open after a refusal.
CALLERS_DESCRIPTOR_SHARE = 0.25

# The turns of the event loop after which the end of a connection is known if it had arrived
# together with the request: one to read it, one to report it.
DISCONNECT_TURNS = 2

# A stopping node waits for a request that is being read until its caller has sent nothing for this
# long.
READ_SILENCE_SECONDS = 1.0


def most_connections(open_files: int) -> float:
    """Return how many callers' connections may be open before callers are asked to close them.

    ``open_files`` is the number of files that the process may open, 0 to ask the operating system.
    """
    allowed = open_files or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if allowed == resource.RLIM_INFINITY else CALLERS_DESCRIPTOR_SHARE * allowed


class ClientDisconnected(RailsailError):
    """The caller closed its connection."""


class AnswerNotStarted(RailsailError):
    """A piece of an answer's body was to be sent before its head."""


class ClientAnswer:
    """The answer to one request.

    ``status`` is 0 before an answer that this node frames. Once the answer has ``ended``, whole or
    broken off, nothing more may be sent. ``left`` is True once the caller has closed its
    connection, ``stopped`` once this node ends its requests. ``should_close`` returns whether the
    connection is to be closed after the answer. The answer to a ``HEAD`` request consists of its
    head alone. ``overloaded`` returns whether the request may have waited so long that its caller
    has disconnected.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        should_close: Callable[[], bool],
        method: str,
        overloaded: Callable[[], bool],
    ) -> None:
        self.started = False
        self.ended = False
        self.left = False
        self.stopped = False
        self.status = 0
        self._connection = connection
        self._should_close = should_close
        self._has_body = method != "HEAD"
        self._overloaded = overloaded

    async def notice_disconnect(self) -> None:
        """Let the event loop read the end of a connection that arrived together with the request.

        The task that serves the request is cancelled meanwhile if its caller has disconnected.
        """
        if self._overloaded():
            for _ in range(DISCONNECT_TURNS):
                await asyncio.sleep(0)

    async def start(self, status: int, headers: HTTPHeaders, chunk: bytes) -> None:
        """Send the status, the headers and the first ``chunk`` of the body.

        Without a ``Content-Length`` header the body continues until ``end`` is called.
        """
        await self._accepted(self._write_head(status, headers, chunk))

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body, and wait until the caller's connection has accepted it."""
        if not self.started:
            # The codec would send it without a head, which is no answer.
            raise AnswerNotStarted("a body without a head")
        await self._accepted(self._connection.write(chunk))

    def _write_head(self, status: int, headers: HTTPHeaders, chunk: bytes) -> Awaitable[None]:
        if self._should_close():
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        accepted = self._connection.write_headers(line, headers, chunk)
        # If the codec refuses the head, nothing was sent, and another answer can be.
        self.started = True
        self.status = status
        return accepted

    async def _accepted(self, write: Awaitable[None]) -> None:
        """Wait until the caller's connection has accepted what was written."""
        try:
            await write
        except StreamClosedError:
            self.left = True
            raise ClientDisconnected from None

    async def write_raw(self, data: bytes) -> None:
        """Send raw bytes of an answer that another node has framed.

        Such an answer is ended by ``close``.
        """
        self.started = True
        await self._accepted(self._write_raw(data))

    async def _write_raw(self, data: bytes) -> None:
        await self._connection.stream.write(data)

    def close(self) -> None:
        """Close the connection after an answer that another node has framed."""
        self.ended = True
        self._connection.close()

    def end(self) -> None:
        """End a complete body."""
        self.ended = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that no caller takes a partial answer for a complete one."""
        self.ended = True
        self._connection.close()

    async def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete answer."""
        headers["Content-Length"] = str(len(body))
        await self._send(status, headers, body if self._has_body else b"")

    async def send_head(self, status: int, headers: HTTPHeaders, length: int | None) -> None:
        """Send an answer without a body; ``length`` is the one that it names, ``None`` for none.

        To a ``HEAD`` request it is the length of the answer to a ``GET`` (RFC 9110, section 8.6).
        """
        if length is not None and status != NO_CONTENT:
            headers["Content-Length"] = str(length)
        await self._send(status, headers, b"")

    async def _send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        accepted = self._write_head(status, headers, body)
        # Ended before the wait, so that an end of this task does not leave the answer incomplete.
        self.end()
        await self._accepted(accepted)


Handler = Callable[
    [RequestStartLine, HTTPHeaders, bytes, ClientAnswer], Coroutine[None, None, None]
]
Refuser = Callable[[RequestStartLine, HTTPHeaders, ClientAnswer], Coroutine[None, None, None]]


class ClientServer(HTTPServerConnectionDelegate):
    """Server that accepts connections of callers and passes their requests to ``handler``.

    A request whose body does not fit into ``buffers`` is passed to ``refuse`` without it. While
    more than ``max_connections`` are open, each answer asks its caller to close its connection. So
    does it while the event loop is late: only new connections pass through ``intake``, and the
    balancer sends only these to other nodes.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refuser,
        buffers: Buffers,
        intake: Intake,
        max_connections: float = math.inf,
    ) -> None:
        self._handler = handler
        self._refuse = refuse
        self.buffers = buffers
        self._intake = intake
        self._max_connections = max_connections
        self._tasks = TaskSet()
        self._connections: set[object] = set()
        self._idle: dict[object, HTTP1Connection] = {}
        self._reading: set[_RequestReceiver] = set()
        self._running: set[_RunningRequest] = set()
        self._draining = False
        self._closing_idle = False
        self._stopped = False

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> "_RequestReceiver":
        """Return the delegate that receives the next request of a connection."""
        if self._closing_idle:
            request_conn.close()
            return _RequestReceiver(self, server_conn, request_conn)
        if server_conn not in self._connections:
            self._connections.add(server_conn)
            detect_dead_peer(request_conn.stream.socket)
        # Tornado disables TCP_NODELAY again after each answer.
        request_conn.stream.set_nodelay(True)
        self._idle[server_conn] = request_conn
        return _RequestReceiver(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._connections.discard(server_conn)
        self._idle.pop(server_conn, None)

    def leave(self) -> None:
        """From now on, ask callers in each answer to close their connections."""
        self._draining = True

    def close_idle(self) -> None:
        """From now on, close each connection while no request is being read or answered on it."""
        self._closing_idle = True
        for connection in list(self._idle.values()):
            # The head of a request may already have been read in this iteration of the event loop.
            # Tornado delivers it in the next one, and it has to be answered.
            if connection.stream.reading():
                connection.close()

    async def stop(self, seconds: float) -> None:
        """From now on, take no request; end those that run, and wait ``seconds`` for their answers.

        Requests that are not read completely are not answered.
        """
        self._stopped = True
        self.close_idle()
        for running in list(self._running):
            running.stop()
        await self._tasks.wait(seconds)

    @property
    def busy(self) -> int:
        """Return the number of requests that are read, or were read and are not answered yet.

        This includes requests whose head was read in this iteration of the event loop, but not
        those of callers that have sent nothing for a while.
        """
        loop_time = asyncio.get_running_loop().time()
        arriving = [each for each in self._reading if each.arrives(loop_time)]
        idle = [connection.stream for connection in self._idle.values()]
        read = [stream for stream in idle if not (stream.reading() or stream.closed())]
        return len(self._tasks) + len(read) + len(arriving)

    def request_started(self, server_conn: object, receiver: "_RequestReceiver") -> None:
        """Record that a request has started to arrive on a connection."""
        self._idle.pop(server_conn, None)
        self._reading.add(receiver)

    def reading_ended(self, receiver: "_RequestReceiver") -> None:
        """Record that a request was read completely, or that its connection was closed."""
        self._reading.discard(receiver)

    def _should_close(self) -> bool:
        return (
            self._draining
            or len(self._connections) > self._max_connections
            or self._intake.loop_late
        )

    def request_received(
        self, line: RequestStartLine, headers: HTTPHeaders, body: bytes, connection: HTTP1Connection
    ) -> "_RunningRequest":
        """Handle a request that was read completely, and return the running request."""
        answer = self._answer(line, connection)
        return self._run(answer, self._handler(line, headers, body, answer))

    def request_without_room(
        self, line: RequestStartLine, headers: HTTPHeaders, connection: HTTP1Connection
    ) -> "_RunningRequest":
        """Refuse a request that was read without keeping its body; return the running request."""
        answer = self._answer(line, connection)
        return self._run(answer, self._refuse(line, headers, answer))

    def _answer(self, line: RequestStartLine, connection: HTTP1Connection) -> ClientAnswer:
        return ClientAnswer(
            connection, self._should_close, line.method, lambda: self._intake.overloaded
        )

    def _run(self, answer: ClientAnswer, work: Coroutine[None, None, None]) -> "_RunningRequest":
        task = self._tasks.start(work)
        running = _RunningRequest(answer, task)
        self._running.add(running)
        task.add_done_callback(lambda done: self._handled(running))
        if self._stopped:
            # It has not begun, and its connection is closed.
            task.cancel()
        return running

    def _handled(self, running: "_RunningRequest") -> None:
        """Forget a request whose task has ended; close its connection if it has no answer."""
        self._running.discard(running)
        if not running.task.cancelled() and running.task.exception() is not None:
            get_logger().error("the handler of a request failed", exc_info=running.task.exception())
        if not running.answer.ended:
            running.answer.abort()


@dataclass(frozen=True)
class _RunningRequest:
    """A request that was read completely, and the task that handles it."""

    answer: ClientAnswer
    task: asyncio.Task

    def disconnect(self) -> None:
        """Cancel the request of a caller that closed its connection."""
        self.answer.left = True
        self.task.cancel()

    def stop(self) -> None:
        """Cancel the request of a node that stops, which still has to be answered."""
        self.answer.stopped = True
        self.task.cancel()


class _RequestReceiver(HTTPMessageDelegate):
    """Receiver of one request; the task that serves it is cancelled if the caller disconnects."""

    def __init__(
        self, server: ClientServer, server_conn: object, connection: HTTP1Connection
    ) -> None:
        self._server = server
        self._server_conn = server_conn
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._body: list[bytes] = []
        self._share = server.buffers.open()
        self._has_room = True
        self._running: _RunningRequest | None = None
        self._arrived_at = 0.0

    def arrives(self, now: float) -> bool:
        """Return True if a part of the request has arrived recently; ``now`` is loop time."""
        return now - self._arrived_at < READ_SILENCE_SECONDS

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._server.request_started(self._server_conn, self)
        self._line = start_line
        self._headers = headers
        self._arrived_at = asyncio.get_running_loop().time()

    def data_received(self, chunk: bytes) -> None:
        self._arrived_at = asyncio.get_running_loop().time()
        if not self._has_room:
            return
        try:
            self._share.resize(self._share.size + len(chunk))
        except BufferFull:
            # The rest is read and dropped: a connection that is closed with unread bytes is reset,
            # and the caller would not get the refusal.
            self._has_room = False
            self._release()
            return
        self._body.append(chunk)

    def _release(self) -> None:
        self._body.clear()
        self._share.release()

    def finish(self) -> None:
        self._server.reading_ended(self)
        self._connection.set_close_callback(self._disconnected)
        if not self._has_room:
            self._running = self._server.request_without_room(
                self._line, self._headers, self._connection
            )
            return
        body = b"".join(self._body)
        self._body.clear()
        self._running = self._server.request_received(
            self._line, self._headers, body, self._connection
        )
        self._running.task.add_done_callback(lambda task: self._share.release())

    def on_connection_close(self) -> None:
        self._server.reading_ended(self)
        if self._running is None:
            self._release()
        self._disconnected()

    def _disconnected(self) -> None:
        if self._running is not None:
            self._running.disconnect()
