"""The callers' HTTP interface; ``docs/ref/callers.md`` describes it."""

import asyncio
import json
from collections.abc import Callable

from tornado.web import Application, RequestHandler

from railsail.configuration.held import Held
from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Reason, Unknown
from railsail.gateway.callers import Callers, bearer_key
from railsail.gateway.requests import BadRequest, CallerRequest, read_request
from railsail.gateway.serve import Conflict, Replay, Result, Server
from railsail.gateway.sink import CallerDisconnected, CallerSink

REQUEST_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Railsail-Outcome"
REASON_HEADER = "X-Railsail-Reason"
_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_POOL: 404,
    Reason.QUEUE_FULL: 429,
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_CONFLICT_STATUS = 409


class CallHandler(RequestHandler):
    """Handler of one request of a caller."""

    def initialize(self, gateway: "Gateway") -> None:
        """Store the gateway that this handler belongs to."""
        self._gateway = gateway
        self._task: asyncio.Task | None = None
        self._sink: CallerSink | None = None
        self._id = gateway.new_id()
        self._received_at = 0.0
        self._pool = ""

    def check_xsrf_cookie(self) -> None:
        """Do nothing: callers authenticate by bearer keys, not by cookies."""

    async def _handle(self) -> None:
        self._task = asyncio.current_task()
        try:
            result = await self._serve()
        except asyncio.CancelledError:
            # The caller disconnected, so that there is nobody to answer.
            self._gateway.record_end(self._id, "", "", "caller-left")
            return
        except CallerDisconnected:
            self._gateway.record_end(self._id, "", "", "caller-left")
            return
        await self._finish_with(result)

    get = post = put = patch = delete = head = options = _handle

    async def _serve(self) -> Result:
        key = bearer_key(self.request.headers.get("Authorization", ""))
        workspace = self._gateway.callers.workspace_of(key)
        if workspace is None:
            return self._gateway.callers.refusal_of(key) or self._unauthorized()
        try:
            request = read_request(
                self.request.method,
                self.request.path,
                self.request.query,
                self.request.headers,
                self.request.body,
            )
        except BadRequest as problem:
            return problem.outcome
        return await self._serve_read(workspace, request)

    def _unauthorized(self) -> NotRun:
        if not self._gateway.callers.configured_version:
            return NotRun(Reason.NO_CONFIGURATION, "this node has no configuration yet")
        return self._gateway.active_configuration().refusal(
            Reason.UNAUTHORIZED, "the bearer key is not known"
        )

    async def _serve_read(self, workspace: str, request: CallerRequest) -> Result:
        gateway = self._gateway
        self._sink = CallerSink(self, keep=bool(request.key))
        self._received_at = gateway.clock.monotonic()
        self._pool = request.pool
        result = await gateway.server.serve(self._id, workspace, request, self._sink)
        gateway.record_end(self._id, workspace, request.pool, _outcome_name(result), str(result))
        return result

    async def start(self, status: int, content_type: str, whole: bool) -> None:
        """Send the status and headers of an answer."""
        self.request.connection.stream.set_nodelay(True)
        self._gateway.metrics.first_byte.observe(
            {"pool": self._pool}, self._gateway.clock.monotonic() - self._received_at
        )
        self._gateway.events.emit(Kind.FIRST_BYTE, "", self._id)
        self.set_status(status)
        self.set_header("Content-Type", content_type)
        self.set_header(REQUEST_HEADER, self._id)
        self.set_header(OUTCOME_HEADER, "completed" if whole else "streaming")
        await self.flush()

    async def send(self, chunk: bytes) -> None:
        """Send a piece of the body."""
        self.write(chunk)
        await self.flush()

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        if self._task is not None:
            self._task.cancel()

    async def _finish_with(self, result: Result) -> None:
        if self._sink is not None and self._sink.started:
            self._finish_started(result)
            return
        self.set_header(REQUEST_HEADER, self._id)
        self.set_header(OUTCOME_HEADER, _outcome_name(result))
        if isinstance(result, Replay):
            self.set_status(result.answer.status)
            self.set_header("Content-Type", result.answer.content_type)
            self.set_header(REQUEST_HEADER, result.answer.request)
            self.write(result.answer.body)
        else:
            self._write_error(result)
        await self.finish()

    def _finish_started(self, result: Result) -> None:
        if isinstance(result, Completed):
            self.finish()
            return
        # The answer is not complete: the connection is closed without the end of the body, so that
        # no client takes a partial answer for a complete one.
        self.request.connection.stream.close()

    def _write_error(self, result: Result) -> None:
        status, reason, detail = _describe(result)
        self.set_status(status)
        self.set_header(REASON_HEADER, reason)
        if isinstance(result, NotRun) and status in (_NOT_RUN_STATUS, 429):
            self.set_header("Retry-After", str(max(1, round(result.retry_after))))
        body = {
            "error": {
                "outcome": _outcome_name(result),
                "reason": reason,
                "message": detail,
                "request_id": self._id,
            }
        }
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(body))


def _outcome_name(result: Result) -> str:
    names = {
        Completed: "completed",
        Replay: "completed",
        NotRun: "not-run",
        Unknown: "unknown",
        Conflict: "unknown",
    }
    return names[type(result)]


def _describe(result: Result) -> tuple[int, str, str]:
    if isinstance(result, NotRun):
        return _STATUS.get(result.reason, _NOT_RUN_STATUS), str(result.reason), result.detail
    if isinstance(result, Conflict):
        return _CONFLICT_STATUS, "key-claimed", result.detail
    if isinstance(result, Unknown):
        return _UNKNOWN_STATUS, "not-known", result.detail
    return _UNKNOWN_STATUS, "empty-answer", "the upstream sent no answer"


class Gateway:
    """What all handlers of callers' requests share."""

    def __init__(
        self,
        server: Server,
        active_configuration: Callable[[], Held],
        kernel: Kernel,
        new_id: Callable[[], str],
    ) -> None:
        self.server = server
        self.active_configuration = active_configuration
        self.callers = Callers()
        self.clock = kernel.clock
        self.events = kernel.events
        self.metrics = kernel.metrics
        self.new_id = new_id

    def record_end(
        self, request_id: str, workspace: str, pool: str, outcome: str, detail: str = ""
    ) -> None:
        """Count a request that has ended, and record its end on the time line."""
        self.metrics.requests.inc({"pool": pool, "outcome": outcome})
        self.events.emit(Kind.ENDED, detail or outcome, request_id, workspace)

    def application(self) -> Application:
        """Return the Tornado application."""
        rules = [(r"/.*", CallHandler, {"gateway": self})]
        return Application(rules, log_function=lambda handler: None)
