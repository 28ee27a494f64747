"""Give every request that was read a final answer, whatever happens while it is served."""

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPHeaders

from railsail.core.clock import Clock
from railsail.core.logs import get_logger
from railsail.core.outcomes import Unknown
from railsail.routing.client import ClientAnswer, ClientDisconnected
from railsail.routing.error_answers import UNKNOWN_STATUS, ErrorAnswers
from railsail.routing.messages import IncomingRequest
from railsail.routing.outcome_recorder import OutcomeRecorder
from railsail.routing.protocol import RouteProtocol

Serve = Callable[[IncomingRequest, ClientAnswer], Awaitable[None]]

_FAILED = Unknown("this node failed while it served the request")


class AnswerGuard:
    """Guard around all that serves a request, which answers those that are left without an answer.

    Without an answer a caller would wait until its deadline, at one node after another. Such a
    request may have run, so that it is never answered as not run.
    """

    def __init__(
        self,
        protocol: RouteProtocol,
        error_answers: ErrorAnswers,
        recorder: OutcomeRecorder,
        clock: Clock,
    ) -> None:
        self._protocol = protocol
        self._error_answers = error_answers
        self._recorder = recorder
        self._clock = clock

    async def run(self, serve: Serve, incoming: IncomingRequest, client: ClientAnswer) -> None:
        """Await ``serve``, and answer the request itself if that fails."""
        try:
            await serve(incoming, client)
        except ClientDisconnected:
            return
        except Exception as problem:
            self._log(incoming, problem)
            await self._answer(incoming, client, _FAILED)

    def _log(self, incoming: IncomingRequest, problem: BaseException) -> None:
        get_logger().error(
            "failed to serve a request", request=self._request_id(incoming), exc_info=problem
        )

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
            return await self._error_answers.send(request_id, 0.0, outcome, client)
        except ClientDisconnected:
            raise
        except Exception as problem:
            get_logger().error(
                "failed to send an error answer", request=request_id, exc_info=problem
            )
        await client.send(UNKNOWN_STATUS, HTTPHeaders(), f"{outcome.detail}\n".encode())
        return UNKNOWN_STATUS
