"""HTTP calls to a store: one attempt each, counted in the metrics, failures raised as errors."""

import asyncio
import time
from urllib.parse import urlsplit

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.core.retryafter import rest_seconds

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_CALLS = 64
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
# The status that Tornado gives to a call without a response.
_NO_RESPONSE = 599
# Longest time for which a ``Retry-After`` of the store is obeyed. The store may recover before the
# time that it named, and a change must be in force on all nodes within three seconds.
MAX_RETRY_AFTER_SECONDS = 2.0


class StoreCalls:
    """An HTTP client that makes each call once, with a ``timeout`` in seconds."""

    def __init__(self, metrics: Metrics, timeout: float, max_response_bytes: int) -> None:
        self._metrics = metrics
        self._timeout = timeout
        # By endpoint: until when it asked for no calls, in seconds of the event loop's clock.
        self._backoff_until: dict[str, float] = {}
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS, max_body_size=max_response_bytes
        )

    async def call(
        self,
        operation: str,
        method: str,
        url: str,
        body: str | bytes | None = None,
        max_wait: float = 0.0,
    ) -> HTTPResponse:
        """Call the store and return the response.

        The store may delay the answer by ``max_wait`` seconds, which extends the timeout. A GET
        also returns responses of status 404 and 410. Raise ``StoreConflict`` on status 409, and
        ``StoreUnavailable`` on any other failure. No call is made before the time that the endpoint
        named in a ``Retry-After``; this raises ``StoreUnavailable`` too.
        """
        endpoint = urlsplit(url).netloc
        if asyncio.get_running_loop().time() < self._backoff_until.get(endpoint, 0.0):
            self._metrics.store_calls.inc({"operation": operation, "result": "held"})
            raise StoreUnavailable(f"{method} {url}: not called, the store asked for rest")
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=self._timeout + max_wait,
            follow_redirects=False,
        )
        try:
            response = await self._fetch(request)
        except (OSError, HTTPClientError) as problem:
            response = HTTPResponse(request, _NO_RESPONSE, error=problem)
        self._record_retry_after(endpoint, response)
        result = _classify(response, method)
        self._metrics.store_calls.inc({"operation": operation, "result": result})
        if result == "conflict":
            raise StoreConflict(f"{method} {url}: another version is stored")
        if result == "unavailable":
            raise StoreUnavailable(f"{method} {url}: {response.error or response.code}")
        return response

    def _record_retry_after(self, endpoint: str, response: HTTPResponse) -> None:
        retry_after = rest_seconds(
            response.code, response.headers, time.time(), MAX_RETRY_AFTER_SECONDS
        )
        until = asyncio.get_running_loop().time() + retry_after
        self._backoff_until[endpoint] = max(self._backoff_until.get(endpoint, 0.0), until)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        # Tornado logs an error if a fetch fails after its future was cancelled. The fetch is
        # therefore shielded, and runs to its end if the caller is cancelled. The callback retrieves
        # its exception, which asyncio would log otherwise.
        future = asyncio.ensure_future(self._client.fetch(request, raise_error=False))
        future.add_done_callback(lambda finished: finished.cancelled() or finished.exception())
        return await asyncio.shield(future)


def _classify(response: HTTPResponse, method: str) -> str:
    if response.code == CONFLICT:
        return "conflict"
    if response.code in (NOT_FOUND, GONE) and method == "GET":
        return "ok"
    return "ok" if response.code < 300 else "unavailable"
