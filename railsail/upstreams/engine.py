"""Model engines: the OpenAI-style interface, with streams that can be resumed and cancelled.

Beyond that interface, an engine numbers the events of a stream (the field ``id:``), echoes
``X-Request-Id``, honours ``X-Priority``, and serves ``GET /v1/streams/ID?after=N`` to resume a
stream, ``POST /v1/streams/ID/cancel``, and ``GET /v1/load``. See ``docs/ref/upstreams.md``.
"""

import asyncio
import json

from tornado.httputil import HTTPHeaders

from railsail.core.buffers import BufferFull
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from railsail.core.retryafter import asks_rest
from railsail.objects.kinds import UPSTREAM_KINDS
from railsail.scheduling.room import LoadReport
from railsail.upstreams.base import AnswerSink, UpstreamCall, UpstreamKind
from railsail.upstreams.collector import Collector, fetch
from railsail.upstreams.http import (
    AnswerTooLong,
    CutOff,
    HeadListener,
    HttpRequest,
    InvalidAnswer,
    NotSent,
    exchange,
)
from railsail.upstreams.refusals import read_refusal
from railsail.upstreams.sse import BadStream, EventSplitter, StreamEvent

# Attempts at one stream: the call itself, and resumes with linear backoff.
MAX_ATTEMPTS = 4
RESUME_BACKOFF_SECONDS = 0.2
# Bounds requests for load reports and cancellations.
CONTROL_CALL_SECONDS = 2.0
MAX_ANSWER_BYTES = 16 << 20
EVENT_STREAM = "text/event-stream"
_SERVER_ERROR = 500
# No answer has as many tokens, and no engine as many slots or calls. Larger numbers are errors of
# the engine, and would be out of the bounds of peer messages.
MAX_COUNT = 1_000_000_000


class _ForeignAnswer(CutOff):
    """The answer or event belongs to another request."""


class _StreamAnswer:
    """The receiver of one stream, across resumes.

    It forwards each event once and in order, and checks that the events belong to the call.
    """

    def __init__(self, call: UpstreamCall, sink: AnswerSink) -> None:
        self._call = call
        self._sink = sink
        self._splitter = EventSplitter()
        self.next_number = 0
        self.done = False
        self.cost = 0.0
        self.status = 0
        self.refused: NotRun | None = None
        self.plain_answer = Collector(MAX_ANSWER_BYTES, call.buffers)
        # The bytes of an event that is not complete.
        self._share = call.buffers.open(self._drop_partial_event)

    @property
    def is_event_stream(self) -> bool:
        """Return True if the answer is an event stream, not an error with a plain body."""
        return self.plain_answer.headers.get("Content-Type", "").startswith(EVENT_STREAM)

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.refused = read_refusal(status, headers)
        self.release()
        self.plain_answer = Collector(MAX_ANSWER_BYTES, self._call.buffers)
        await self.plain_answer.head(status, headers)
        self._share = self._call.buffers.open(self._drop_partial_event)
        if headers.get("X-Request-Id") != self._call.request_id and self.refused is None:
            raise _ForeignAnswer("the answer bore another request's id")

    async def data(self, chunk: bytes) -> None:
        if not self.is_event_stream:
            await self.plain_answer.data(chunk)
            return
        self._check_kept()
        # Events that arrive together are forwarded together, because a write costs as much as
        # handling an event.
        accepted = [event.raw for event in self._splitter.feed(chunk) if self._accept(event)]
        self._hold(len(self._splitter.rest))
        if not accepted:
            return
        if not self._sink.started:
            await self._sink.start(self.status, EVENT_STREAM)
        await self._sink.write(b"".join(accepted))
        self._sink.progress(self.cost)

    def _check_kept(self) -> None:
        if self._share.is_evicted:
            raise AnswerTooLong("an event is too long for the memory of this node beside others")

    def _hold(self, size: int) -> None:
        try:
            self._share.resize(size)
        except BufferFull as problem:
            raise AnswerTooLong(str(problem)) from None

    def _drop_partial_event(self) -> None:
        self._splitter = EventSplitter()

    def release(self) -> None:
        """Release the memory of the answer."""
        self.plain_answer.release()
        self._share.release()
        self._splitter = EventSplitter()

    def _accept(self, event: StreamEvent) -> bool:
        if event.number < self.next_number or self.done:
            # After a resume, the engine repeats the events that may have been lost.
            return False
        if event.number > self.next_number:
            raise BadStream(f"event {self.next_number} is missing")
        if not event.done:
            self._check_id(event)
        self.next_number += 1
        self.done = event.done
        return True

    def _check_id(self, event: StreamEvent) -> None:
        body = event.body()
        if body.id != self._call.request_id:
            raise _ForeignAnswer("an event bore another request's id")
        self.cost = max(self.cost, _tokens(body.usage.total_tokens))


def _total_tokens(body: dict[str, object]) -> float:
    usage = body.get("usage")
    total = usage.get("total_tokens") if isinstance(usage, dict) else None
    return _tokens(total)


def _tokens(total: object) -> float:
    """Return a number of tokens as the engine reports it, 0 if it is none."""
    return float(total) if isinstance(total, int | float) and 0 <= total <= MAX_COUNT else 0.0


@UPSTREAM_KINDS.register("engine")
class ModelEngine(UpstreamKind):
    """A model engine."""

    reports_load = True

    async def run(self, call: UpstreamCall, sink: AnswerSink) -> Outcome:
        """Make the call once; resume a stream that breaks off at the same engine."""
        if call.stream:
            return await self._run_stream(call, sink)
        return await self._run_plain(call, sink)

    async def _run_plain(self, call: UpstreamCall, sink: AnswerSink) -> Outcome:
        answer = Collector(MAX_ANSWER_BYTES, call.buffers)
        try:
            await exchange(_request(call), answer)
            answer.keep()
            return await self._forward_plain(call, sink, answer)
        except NotSent as problem:
            return NotRun(Reason.UNREACHABLE, str(problem))
        except InvalidAnswer as problem:
            return Unknown(str(problem))
        except CutOff as problem:
            return Unknown(str(problem), broke_off=True)
        finally:
            answer.release()

    async def _forward_plain(
        self, call: UpstreamCall, sink: AnswerSink, answer: Collector
    ) -> Outcome:
        refused = read_refusal(answer.status, answer.headers)
        if refused is not None:
            return refused
        if answer.headers.get("X-Request-Id") != call.request_id:
            return Unknown("the answer bore another request's id")
        if answer.status >= _SERVER_ERROR:
            asked_rest = asks_rest(answer.status, answer.headers)
            return Unknown(f"status {answer.status}", asked_rest=asked_rest)
        cost = 0.0
        if answer.status < 400:
            try:
                body = json.loads(answer.body)
            except (ValueError, RecursionError):
                return Unknown("the answer is not JSON that can be decoded")
            if not isinstance(body, dict) or body.get("id") != call.request_id:
                return Unknown("the answer bore another request's id")
            cost = _total_tokens(body)
        sink.progress(cost)
        content_type = answer.headers.get("Content-Type", "application/json")
        await sink.start(answer.status, content_type, whole=True)
        await sink.write(answer.body)
        return Completed(answer.status, cost)

    async def _run_stream(self, call: UpstreamCall, sink: AnswerSink) -> Outcome:
        answer = _StreamAnswer(call, sink)
        try:
            return await self._run_attempts(call, sink, answer)
        finally:
            answer.release()

    async def _run_attempts(
        self, call: UpstreamCall, sink: AnswerSink, answer: _StreamAnswer
    ) -> Outcome:
        request = _request(call)
        problem = ""
        broke_off = True
        for attempt in range(MAX_ATTEMPTS):
            try:
                await exchange(request, answer)
                problem = "the stream ended early"
            except NotSent as caught:
                if attempt == 0:
                    return NotRun(Reason.UNREACHABLE, str(caught))
                problem = str(caught)
                if caught.refused:
                    # The process of the engine has ended, so the stream cannot be resumed.
                    break
            except (CutOff, BadStream) as caught:
                problem = str(caught)
                broke_off = not isinstance(caught, InvalidAnswer)
            outcome = await self._stream_outcome(call, sink, answer, attempt)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RESUME_BACKOFF_SECONDS * attempt)
            path = f"/v1/streams/{call.request_id}?after={answer.next_number}"
            headers = {"X-Request-Id": call.request_id}
            request = HttpRequest(call.endpoint, "GET", path, headers, on_head=call.on_head)
        return Unknown(problem, answer.cost, broke_off=broke_off)

    async def _stream_outcome(
        self, call: UpstreamCall, sink: AnswerSink, answer: _StreamAnswer, attempt: int
    ) -> Outcome | None:
        if answer.done:
            return Completed(answer.status, answer.cost)
        if answer.refused is not None and attempt == 0:
            return answer.refused
        if attempt > 0 and asks_rest(answer.status, answer.plain_answer.headers):
            return Unknown("the engine turned the stream away", answer.cost, asked_rest=True)
        if attempt == 0 and answer.status >= 400 and not answer.is_event_stream:
            answer.plain_answer.keep()
            return await self._forward_plain(call, sink, answer.plain_answer)
        if attempt > 0 and answer.status == 404:
            return Unknown("the engine does not know the stream any more", answer.cost)
        return None

    async def load(self, endpoint: str, on_head: HeadListener) -> LoadReport | None:
        """Return the load that the engine reports, or ``None`` if it did not answer."""
        request = HttpRequest(endpoint, "GET", "/v1/load", {}, on_head=on_head)
        answer = await fetch(request, CONTROL_CALL_SECONDS)
        if answer is None or answer.status != 200:
            return None
        try:
            return _parse_load(json.loads(answer.body))
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError, AttributeError):
            return None

    async def cancel(self, call: UpstreamCall) -> None:
        """Ask the engine to stop a stream."""
        path = f"/v1/streams/{call.request_id}/cancel"
        request = HttpRequest(call.endpoint, "POST", path, {}, on_head=call.on_head)
        await fetch(request, CONTROL_CALL_SECONDS)


def _request(call: UpstreamCall) -> HttpRequest:
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Workspace": call.workspace,
        "X-Priority": str(call.priority),
    }
    return HttpRequest(
        call.endpoint, call.method, call.path, headers, call.body, on_head=call.on_head
    )


def _parse_load(body: dict[str, object]) -> LoadReport:
    """Return the load that ``body`` reports; raise ``ValueError`` if it is out of bounds."""
    return LoadReport(
        slots=_count(body["slots"]),
        running=_count(body["running"]),
        waiting=_count(body["waiting"]),
        leaving=bool(body.get("leaving", False)),
        age=_age(body.get("age_seconds", 0.0)),
    )


def _count(value: object) -> int:
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f"not a number from 0 to {MAX_COUNT}")
    return count


def _age(value: object) -> float:
    age = float(value)
    if not 0 <= age <= MAX_COUNT:
        raise ValueError(f"not a number of seconds from 0 to {MAX_COUNT}")
    return age
