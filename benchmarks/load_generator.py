"""Send the requests of a workload to the daemons, and record what each caller received."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from benchmarks.deployment import Deployment
from benchmarks.workload import PlannedRequest
from railsail.upstreams.http import CutOff, HttpRequest, NotSent, exchange


@dataclass
class CallerRecord:
    """What the caller of one request received; times are in seconds since the Unix epoch.

    ``request_id`` is the id that the daemon returned, and ``first_byte_at`` the time of the first
    byte of the body. ``own_answer`` tells whether the answer belonged to this request.
    """

    request: PlannedRequest
    sent_at: float
    request_id: str = ""
    status: int = 0
    outcome: str = ""
    reason: str = ""
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    complete: bool = False
    own_answer: bool = True
    error: str = ""
    retry_after: str = ""


class _AnswerReceiver:
    """The receiver of one answer, which checks that it is complete and belongs to its request."""

    def __init__(self, record: CallerRecord) -> None:
        self._record = record
        self._buffer = b""
        self._next_event_id = 0
        self._done = False
        self.body = b""

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        self._record.status = status
        self._record.request_id = headers.get("X-Request-Id", "")
        self._record.outcome = headers.get("X-Railsail-Outcome", "")
        self._record.reason = headers.get("X-Railsail-Reason", "")
        self._record.retry_after = headers.get("Retry-After", "")

    async def data(self, chunk: bytes) -> None:
        if not self._record.first_byte_at:
            self._record.first_byte_at = time.time()
        if self._record.request.label in ("status", "once") or self._record.status != 200:
            self.body += chunk
            return
        *events, self._buffer = (self._buffer + chunk).split(b"\n\n")
        for event in events:
            self._check_event(event)

    def _check_event(self, event: bytes) -> None:
        number, _, data = event.partition(b"\n")
        if int(number.removeprefix(b"id: ")) != self._next_event_id or self._done:
            self._record.own_answer = False
        self._next_event_id += 1
        self._done = data == b"data: [DONE]"
        if not self._done and self._record.request_id.encode() not in data:
            self._record.own_answer = False

    def check_answer(self) -> None:
        record = self._record
        if record.status != 200:
            return
        if record.request.label in ("status", "once"):
            record.complete = True
            record.own_answer = f'"key": "{record.request.key}"'.encode() in self.body
        else:
            record.complete = self._done and not self._buffer


async def send_workload(
    deployment: Deployment,
    requests: list[PlannedRequest],
    choose: Callable[[int], str],
    cancel_after: float = 0.0,
    max_attempts: int = 1,
) -> list[CallerRecord]:
    """Send each request at its time to the endpoint ``choose(request.daemon)``.

    A caller whose request fails retries with the next daemon, and makes at most ``max_attempts``
    attempts. Requests that have not ended ``cancel_after`` seconds after the last one was sent are
    cancelled; 0 means that all are waited for. Return a record of each attempt.
    """
    started_at = time.time() + 0.2
    tasks = []
    records: list[CallerRecord] = []
    for request in requests:
        await asyncio.sleep(max(0.0, started_at + request.at - time.time()))
        tasks.append(
            asyncio.ensure_future(
                _send_until_served(deployment, request, choose, max_attempts, records)
            )
        )
    if tasks:
        _, pending = await asyncio.wait(tasks, timeout=cancel_after or None)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
    return records


async def _send_until_served(
    deployment: Deployment,
    request: PlannedRequest,
    choose: Callable[[int], str],
    max_attempts: int,
    records: list[CallerRecord],
) -> None:
    for attempt in range(max_attempts):
        record = CallerRecord(request, time.time())
        records.append(record)
        await call(deployment, choose(request.daemon + attempt), record)
        if record.complete or record.status in (400, 401, 404):
            return
        await asyncio.sleep(0.5)


async def call(deployment: Deployment, endpoint: str, record: CallerRecord) -> None:
    """Make one call, and record its answer or its failure in ``record``."""
    method, path, body = record.request.http(deployment.shape)
    headers = {"Authorization": f"Bearer rs-demo-{record.request.workspace}"}
    if record.request.label == "once":
        headers["Idempotency-Key"] = record.request.key
    if body:
        headers["Content-Type"] = "application/json"
    receiver = _AnswerReceiver(record)
    try:
        await exchange(HttpRequest(endpoint, method, path, headers, body), receiver)
        receiver.check_answer()
    except (NotSent, CutOff) as problem:
        record.error = f"{type(problem).__name__}: {problem}"
    except asyncio.CancelledError:
        record.error = "given up"
        raise
    finally:
        record.ended_at = time.time()
