"""Plain HTTP services: any method, answers of known length, no streams to resume."""

from tornado.httputil import HTTPHeaders

from railsail.core.clock import steady_seconds
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from railsail.core.retryafter import asks_rest
from railsail.objects.kinds import UPSTREAM_KINDS, CostUnit
from railsail.upstreams.base import AnswerSink, UpstreamCall, UpstreamKind
from railsail.upstreams.http import CutOff, HttpRequest, InvalidAnswer, NotSent, exchange
from railsail.upstreams.refusals import read_refusal

_SERVER_ERROR = 500
# Longer answers are forwarded as they are received.
MAX_HELD_BYTES = 64 << 10


class _Answer:
    """The receiver of an answer.

    It forwards a short answer only once that is complete, so that nothing is sent to the caller if
    it breaks off. A long answer is forwarded as it is received.
    """

    def __init__(self, call: UpstreamCall, sink: AnswerSink) -> None:
        self._call = call
        self._sink = sink
        self._content_type = ""
        self._held = b""
        self.status = 0
        self.refused: NotRun | None = None
        self.foreign = False
        self.asked_rest = False

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.refused = read_refusal(status, headers)
        self.asked_rest = asks_rest(status, headers)
        self.foreign = headers.get("X-Request-Id", self._call.request_id) != self._call.request_id
        self._content_type = headers.get("Content-Type", "application/octet-stream")

    @property
    def can_forward(self) -> bool:
        return not (self.refused or self.foreign or self.status >= _SERVER_ERROR)

    async def data(self, chunk: bytes) -> None:
        if not self.can_forward:
            return
        if self._sink.started:
            await self._sink.write(chunk)
            return
        self._held += chunk
        if len(self._held) > MAX_HELD_BYTES:
            await self._forward(whole=False)

    async def finish(self) -> None:
        if not self._sink.started:
            await self._forward(whole=True)

    async def _forward(self, whole: bool) -> None:
        await self._sink.start(self.status, self._content_type, whole)
        await self._sink.write(self._held)
        self._held = b""


@UPSTREAM_KINDS.register("service")
class PlainService(UpstreamKind):
    """A plain HTTP service."""

    async def run(self, call: UpstreamCall, sink: AnswerSink) -> Outcome:
        """Make the call once; after an answer of 500 or above it is unknown whether it ran."""
        started = steady_seconds()
        answer = _Answer(call, sink)
        headers = {
            **call.headers,
            "X-Request-Id": call.request_id,
            "X-Workspace": call.workspace,
        }
        request = HttpRequest(
            call.endpoint, call.method, call.path, headers, call.body, on_head=call.on_head
        )
        try:
            await exchange(request, answer)
        except NotSent as problem:
            return NotRun(Reason.UNREACHABLE, str(problem))
        except InvalidAnswer as problem:
            return Unknown(str(problem), self._cost(call, started))
        except CutOff as problem:
            return Unknown(str(problem), self._cost(call, started), broke_off=True)
        if answer.refused is not None:
            return answer.refused
        if answer.foreign:
            return Unknown("the answer bore another request's id", self._cost(call, started))
        if answer.status >= _SERVER_ERROR:
            cost = self._cost(call, started)
            return Unknown(f"status {answer.status}", cost, asked_rest=answer.asked_rest)
        await answer.finish()
        return Completed(answer.status, self._cost(call, started))

    def _cost(self, call: UpstreamCall, started: float) -> float:
        if call.cost_unit is CostUnit.MILLISECONDS:
            return max(1.0, (steady_seconds() - started) * 1000)
        return 1.0
