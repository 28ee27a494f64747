"""HTTP calls to a store: one attempt each, counted in the metrics, failures raised as errors."""

import asyncio
import math
import time
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from railsail.conf.values import Endpoint
from railsail.core.buffers import Buffers
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.core.retryafter import rest_seconds
from railsail.upstreams.collector import Collector
from railsail.upstreams.http import CutOff, HttpRequest, NotSent, exchange

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_CALLS = 64
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
# Longest time for which a ``Retry-After`` of the store is obeyed. The store may recover before the
# time that it named, and a change must be in force on all nodes within three seconds.
MAX_RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class StoreAnswer:
    """A complete answer of a store."""

    code: int
    headers: HTTPHeaders
    body: bytes


class StoreCalls:
    """An HTTP client that makes each call once, with a ``timeout`` in seconds.

    All answers that are read at a time have ``max_answer_bytes`` together, so that a store whose
    answers have no end doesn't take the memory that requests need.
    """

    def __init__(self, metrics: Metrics, timeout: float, max_answer_bytes: int) -> None:
        self._metrics = metrics
        self._timeout = timeout
        # By endpoint: until when it asked for no calls, in seconds of the event loop's clock.
        self._backoff_until: dict[str, float] = {}
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self.buffers = Buffers(max_answer_bytes)

    async def call(
        self,
        operation: str,
        method: str,
        endpoint: Endpoint,
        path: str,
        body: bytes | None = None,
        max_wait: float = 0.0,
    ) -> StoreAnswer:
        """Call the store and return its answer.

        The store may delay the answer by ``max_wait`` seconds, which extends the timeout. A GET
        also returns answers of status 404 and 410. Raise ``StoreConflict`` on status 409, and
        ``StoreUnavailable`` on any other failure. No call is made before the time that the endpoint
        named in a ``Retry-After``; this raises ``StoreUnavailable`` too.
        """
        name = f"{method} http://{endpoint}{path}"
        if asyncio.get_running_loop().time() < self._backoff_until.get(str(endpoint), 0.0):
            self._count(operation, "held")
            raise StoreUnavailable(f"{name}: not called, the store asked for rest")
        request = HttpRequest(
            str(endpoint),
            method,
            path,
            {"Content-Type": "application/json"} if body else {},
            body or b"",
            open_ended=True,
            connect_seconds=CONNECT_TIMEOUT_SECONDS,
            max_silence=math.inf,
            server="the store",
        )
        try:
            async with asyncio.timeout(self._timeout + max_wait):
                answer = await self._exchange(request)
        except (NotSent, CutOff, TimeoutError) as problem:
            self._count(operation, "unavailable")
            raise StoreUnavailable(f"{name}: {str(problem) or 'no answer in time'}") from None
        self._record_retry_after(str(endpoint), answer)
        result = _classify(answer, method)
        self._count(operation, result)
        if result == "conflict":
            raise StoreConflict(f"{name}: another version is stored")
        if result == "unavailable":
            raise StoreUnavailable(f"{name}: status {answer.code}")
        return answer

    async def _exchange(self, request: HttpRequest) -> StoreAnswer:
        collector = Collector(self.buffers.max_bytes, self.buffers)
        try:
            async with self._slots:
                await exchange(request, collector)
            collector.keep()
            return StoreAnswer(collector.status, collector.headers, collector.body)
        finally:
            collector.release()

    def _count(self, operation: str, result: str) -> None:
        self._metrics.store_calls.inc({"operation": operation, "result": result})

    def _record_retry_after(self, endpoint: str, answer: StoreAnswer) -> None:
        retry_after = rest_seconds(
            answer.code, answer.headers, time.time(), MAX_RETRY_AFTER_SECONDS
        )
        until = asyncio.get_running_loop().time() + retry_after
        self._backoff_until[endpoint] = max(self._backoff_until.get(endpoint, 0.0), until)


def _classify(answer: StoreAnswer, method: str) -> str:
    if answer.code == CONFLICT:
        return "conflict"
    if answer.code in (NOT_FOUND, GONE) and method == "GET":
        return "ok"
    return "ok" if 200 <= answer.code < 300 else "unavailable"
