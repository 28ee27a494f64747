"""The client of the platform's object API over HTTP and JSON.

The protocol is met in this module only; ``docs/ref/store-api.md`` describes it.
"""

import asyncio
import json
import random
from collections.abc import Sequence
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from railsail.conf.values import Endpoint
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.store.base import STORES, Listing, StoredObject, WatchEvent, WatchResult

CONNECT_SECONDS = 1.0
CALL_SECONDS = 6.0
MOST_CALLS = 64
MOST_BYTES = 8 << 20
_CONFLICT = 409
_GONE = 410
_NOT_FOUND = 404


@STORES.register("http")
class HttpStore:
    """Speak to one of several endpoints; each call is made once, and the caller decides on more."""

    watches_many = True

    def __init__(self, endpoints: Sequence[Endpoint], metrics: Metrics, rng: random.Random) -> None:
        self._endpoints = list(endpoints)
        self._metrics = metrics
        self._rng = rng
        self._client = AsyncHTTPClient(
            force_instance=True, max_clients=MOST_CALLS, max_body_size=MOST_BYTES
        )

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if there is none."""
        response = await self._call("get", "GET", f"/v1/objects/{quote(kind)}/{quote(name)}")
        if response.code == _NOT_FOUND:
            return None
        return _object(_body(response))

    async def list(self, kind: str) -> Listing:
        """Return all objects of ``kind``."""
        response = await self._call("list", "GET", f"/v1/objects/{quote(kind)}")
        body = _body(response)
        return Listing(body["version"], tuple(_object(item) for item in body["objects"]))

    async def put(self, kind: str, name: str, value: dict[str, object], expected: int) -> int:
        """Write an object if its version is ``expected``, and return the new version."""
        path = f"/v1/objects/{quote(kind)}/{quote(name)}?expected={expected}"
        response = await self._call("put", "PUT", path, json.dumps(value, separators=(",", ":")))
        return _body(response)["version"]

    async def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if its version is ``expected``."""
        path = f"/v1/objects/{quote(kind)}/{quote(name)}?expected={expected}"
        await self._call("delete", "DELETE", path)

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        """Wait at most ``seconds`` for changes of ``kinds`` after version ``since``."""
        path = f"/v1/watch?kinds={quote(','.join(kinds))}&since={since}&seconds={seconds:g}"
        response = await self._call("watch", "GET", path, seconds=seconds + CALL_SECONDS)
        if response.code == _GONE:
            return WatchResult(since, (), expired=True)
        body = _body(response)
        return WatchResult(body["version"], tuple(_event(item) for item in body["events"]))

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: str | None = None,
        seconds: float = CALL_SECONDS,
    ) -> HTTPResponse:
        endpoint = self._rng.choice(self._endpoints)
        request = HTTPRequest(
            f"http://{endpoint}{path}",
            method=method,
            body=body,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds,
            follow_redirects=False,
        )
        try:
            response = await self._fetch(request)
        except (OSError, HTTPClientError) as problem:
            response = HTTPResponse(request, 599, error=problem)
        result = _classify(response, method)
        self._metrics.store_calls.inc({"operation": operation, "result": result})
        if result == "conflict":
            raise StoreConflict(f"{method} {path}: another version is stored")
        if result == "unavailable":
            raise StoreUnavailable(f"{method} {path}: {response.error or response.code}")
        return response

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        # The library complains about a fetch that is cancelled and then fails, so that a cancelled
        # caller leaves the fetch to end by itself.
        future = asyncio.ensure_future(self._client.fetch(request, raise_error=False))
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(future)


def _classify(response: HTTPResponse, method: str) -> str:
    if response.code == _CONFLICT:
        return "conflict"
    if response.code in (_NOT_FOUND, _GONE) and method == "GET":
        return "ok"
    return "ok" if response.code < 300 else "unavailable"


def _body(response: HTTPResponse) -> dict:
    try:
        body = json.loads(response.body)
    except ValueError as problem:
        raise StoreUnavailable(f"the store's answer is not JSON: {problem}") from None
    if not isinstance(body, dict):
        raise StoreUnavailable("the store's answer is not an object")
    return body


def _object(item: dict) -> StoredObject:
    return StoredObject(item["kind"], item["name"], item["version"], item["value"])


def _event(item: dict) -> WatchEvent:
    return WatchEvent(item["kind"], item["name"], item["version"], item["value"])
