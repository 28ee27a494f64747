"""Give every request that was read a final answer, whatever happens while it is served."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPHeaders

from railsail.core.clock import Clock
from railsail.core.logs import get_logger
from railsail.core.outcomes import Unknown
from railsail.objects.kinds import Route
from railsail.routing.client import ClientAnswer, ClientDisconnected
from railsail.routing.error_answers import UNKNOWN_STATUS, ErrorAnswers
from railsail.routing.messages import IncomingRequest
from railsail.routing.outcome_recorder import OutcomeRecorder
from railsail.routing.protocol import RouteProtocol

Serve = Callable[[IncomingRequest, ClientAnswer], Awaitable[None]]

# The parts that serve a request answer it by its deadline, and at most this much later if they wait
# for another node. The guard answers requests that are still without an answer then.
GRACE_SECONDS = 0.3
# The end of a request is worked out once it has taken this long, which most requests do not.
CALM_SECONDS = 0.25
# Maximum wait for a caller to accept an answer of the guard. The rest of it is sent after that.
SEND_SECONDS = 1.0

_FAILED = Unknown("this node failed while it served the request")
_STOPPED = Unknown("this node stopped before there was an answer")
_LATE = Unknown("this node had no answer in time", timed_out=True)


class AnswerGuard:
    """Guard around all that serves a request, which answers those that are left without an answer.

    Without an answer a caller would wait until its deadline, at one node after another. Such a
    request may have run, so that it is never answered as not run. ``find_route`` returns the route
    of a host and a path, ``None`` if there is none.
    """

    def __init__(
        self,
        protocol: RouteProtocol,
        find_route: Callable[[str, str], Route | None],
        error_answers: ErrorAnswers,
        recorder: OutcomeRecorder,
        clock: Clock,
    ) -> None:
        self._protocol = protocol
        self._find_route = find_route
        self._error_answers = error_answers
        self._recorder = recorder
        self._clock = clock

    async def run(self, serve: Serve, incoming: IncomingRequest, client: ClientAnswer) -> None:
        """Await ``serve``, and answer the request itself if that fails or takes too long."""
        timeout = asyncio.timeout(None)
        try:
            await self._serve_in(timeout, serve, incoming, client)
        except ClientDisconnected:
            return
        except (Exception, asyncio.CancelledError) as problem:
            if client.left:
                raise
            outcome = _outcome_of(client, timeout)
            if outcome is not _STOPPED:
                self._log(incoming, outcome, problem)
            await self._answer(incoming, client, outcome)

    async def _serve_in(
        self,
        timeout: asyncio.Timeout,
        serve: Serve,
        incoming: IncomingRequest,
        client: ClientAnswer,
    ) -> None:
        loop = asyncio.get_running_loop()
        set_end = loop.call_later(CALM_SECONDS, self._set_end, timeout, incoming)
        try:
            async with timeout:
                await serve(incoming, client)
        finally:
            set_end.cancel()

    def _set_end(self, timeout: asyncio.Timeout, incoming: IncomingRequest) -> None:
        origin = self._protocol.read_origin(incoming.headers)
        route = self._find_route(origin.host, incoming.path)
        limits = [origin.deadline, route.timeout if route is not None else 0.0]
        seconds = min((limit for limit in limits if limit), default=0.0)
        if seconds:
            left = incoming.received_at + seconds + GRACE_SECONDS - self._clock.monotonic()
            timeout.reschedule(asyncio.get_running_loop().time() + left)

    def _log(self, incoming: IncomingRequest, outcome: Unknown, problem: BaseException) -> None:
        # The traceback of a request that took too long ends where it waited.
        get_logger().error(outcome.detail, request=self._request_id(incoming), exc_info=problem)

    def _request_id(self, incoming: IncomingRequest) -> str:
        try:
            return self._protocol.read_origin(incoming.headers).request_id
        except Exception as problem:
            get_logger().error("cannot read the id of a request", exc_info=problem)
            return ""

    async def _answer(
        self, incoming: IncomingRequest, client: ClientAnswer, outcome: Unknown
    ) -> None:
        request_id = self._request_id(incoming)
        try:
            status = await self._send(request_id, client, outcome)
        except ClientDisconnected:
            return
        seconds = self._clock.monotonic() - incoming.received_at
        self._recorder.record_outcome(request_id, None, outcome, status, seconds)

    async def _send(self, request_id: str, client: ClientAnswer, outcome: Unknown) -> int:
        """Answer the request unless it is answered, and return the status that the caller got."""
        if client.ended:
            return client.status
        try:
            async with asyncio.timeout(SEND_SECONDS):
                return await self._error_answers.send(request_id, 0.0, outcome, client)
        except (Exception, asyncio.CancelledError) as problem:
            if client.left:
                raise
            if client.ended:
                return client.status
            get_logger().error(
                "failed to send an error answer", request=request_id, exc_info=problem
            )
        async with asyncio.timeout(SEND_SECONDS):
            await client.send(UNKNOWN_STATUS, HTTPHeaders(), f"{outcome.detail}\n".encode())
        return UNKNOWN_STATUS


def _outcome_of(client: ClientAnswer, timeout: asyncio.Timeout) -> Unknown:
    if client.stopped:
        return _STOPPED
    return _LATE if timeout.expired() else _FAILED
