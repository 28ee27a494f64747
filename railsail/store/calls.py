"""Calls to a store over HTTP: made once each, counted, and told apart by how they ended."""

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
# A store that turns calls away and names a time is left alone for so long, in seconds at most. It
# may be well again before its time is over, and a change must be in force at all nodes within three
# seconds.
MOST_REST_SECONDS = 2.0


class StoreCalls:
    """Make calls; ``seconds`` bounds each, ``most_bytes`` its answer."""

    def __init__(self, metrics: Metrics, seconds: float, most_bytes: int) -> None:
        self._metrics = metrics
        self._seconds = seconds
        # Until when each endpoint wants no calls, by the clock of the event loop.
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
        waits: float = 0.0,
    ) -> HTTPResponse:
        """Return the answer of a call, which may wait for ``waits`` seconds by its own wish.

        Raise ``StoreConflict`` or ``StoreUnavailable``; a read may answer that nothing is there.
        No call is made while the store wants none.
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
            request_timeout=self._seconds + waits,
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
        # The library complains about a fetch that is cancelled and then fails, so that a cancelled
        # caller leaves the fetch to end by itself.
        future = asyncio.ensure_future(self._client.fetch(request, raise_error=False))
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(future)


def _classify(response: HTTPResponse, method: str) -> str:
    if response.code == CONFLICT:
        return "conflict"
    if response.code in (NOT_FOUND, GONE) and method == "GET":
        return "ok"
    return "ok" if response.code < 300 else "unavailable"
