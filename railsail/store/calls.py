"""HTTP calls to a store: one attempt each, counted in the metrics, failures raised as errors."""

import asyncio
import time
from urllib.parse import urlsplit

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.core.retryafter import rest_seconds

CONNECT_SECONDS = 1.0
MOST_CALLS = 64
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
_NO_ANSWER = 599
# Longest time for which a ``Retry-After`` of the store is obeyed. The store may recover before the
# time that it named, and a change must be in force on all nodes within three seconds.
MOST_REST_SECONDS = 2.0


class StoreCalls:
    """Make HTTP calls with a timeout of ``seconds``, and responses of ``most_bytes`` at most."""

    def __init__(self, metrics: Metrics, seconds: float, most_bytes: int) -> None:
        self._metrics = metrics
        self._seconds = seconds
        # By endpoint: until when it asked for no calls, in seconds of the event loop's clock.
        self._rests_until: dict[str, float] = {}
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MOST_CALLS, max_body_size=most_bytes
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
        if asyncio.get_running_loop().time() < self._rests_until.get(endpoint, 0.0):
            self._metrics.store_calls.inc({"operation": operation, "result": "held"})
            raise StoreUnavailable(f"{method} {url}: not called, the store asked for rest")
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=self._seconds + max_wait,
            follow_redirects=False,
        )
        try:
            response = await self._fetch(request)
        except (OSError, HTTPClientError) as problem:
            response = HTTPResponse(request, _NO_ANSWER, error=problem)
        self._note_rest(endpoint, response)
        result = _classify(response, method)
        self._metrics.store_calls.inc({"operation": operation, "result": result})
        if result == "conflict":
            raise StoreConflict(f"{method} {url}: another version is stored")
        if result == "unavailable":
            raise StoreUnavailable(f"{method} {url}: {response.error or response.code}")
        return response

    def _note_rest(self, endpoint: str, response: HTTPResponse) -> None:
        seconds = rest_seconds(response.code, response.headers, time.time(), MOST_REST_SECONDS)
        until = asyncio.get_running_loop().time() + seconds
        self._rests_until[endpoint] = max(self._rests_until.get(endpoint, 0.0), until)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        # Tornado logs an error if a fetch fails after it was cancelled. The fetch is therefore
        # shielded: it runs to its end if the caller is cancelled.
        future = asyncio.ensure_future(self._client.fetch(request, raise_error=False))
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(future)


def _classify(response: HTTPResponse, method: str) -> str:
    if response.code == CONFLICT:
        return "conflict"
    if response.code in (NOT_FOUND, GONE) and method == "GET":
        return "ok"
    return "ok" if response.code < 300 else "unavailable"
