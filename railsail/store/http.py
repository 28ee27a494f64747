"""The client of the platform's object API over HTTP and JSON.

No other module depends on this protocol. ``docs/ref/store-api.md`` describes it.
"""

import json
import random
from collections.abc import Sequence
from urllib.parse import quote

from tornado.httpclient import HTTPResponse

from railsail.conf.values import Endpoint
from railsail.core.exceptions import StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.store.base import STORES, Listing, StoredObject, WatchEvent, WatchResult
from railsail.store.calls import GONE, NOT_FOUND, StoreCalls

CALL_TIMEOUT_SECONDS = 6.0
MAX_RESPONSE_BYTES = 8 << 20


@STORES.register("http")
class HttpStore:
    """A store client that sends each call once, to one of several endpoints at random.

    Retries are up to the caller.
    """

    watches_many = True

    def __init__(self, endpoints: Sequence[Endpoint], metrics: Metrics, rng: random.Random) -> None:
        self._endpoints = list(endpoints)
        self._rng = rng
        self._calls = StoreCalls(metrics, CALL_TIMEOUT_SECONDS, MAX_RESPONSE_BYTES)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it does not exist."""
        response = await self._call("get", "GET", f"/v1/objects/{quote(kind)}/{quote(name)}")
        if response.code == NOT_FOUND:
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

    async def put_status(
        self, kind: str, name: str, value: dict[str, object], expected: int
    ) -> int:
        """Replace the status of an object if its version is ``expected``; return the new one."""
        path = f"/v1/objects/{quote(kind)}/{quote(name)}/status?expected={expected}"
        response = await self._call("put", "PUT", path, json.dumps(value, separators=(",", ":")))
        return _body(response)["version"]

    async def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if its version is ``expected``."""
        path = f"/v1/objects/{quote(kind)}/{quote(name)}?expected={expected}"
        await self._call("delete", "DELETE", path)

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        """Return changes of ``kinds`` after version ``since``; wait at most ``seconds`` for one."""
        path = f"/v1/watch?kinds={quote(','.join(kinds))}&since={since}&seconds={seconds:g}"
        response = await self._call("watch", "GET", path, max_wait=seconds)
        if response.code == GONE:
            return WatchResult(since, (), expired=True)
        body = _body(response)
        return WatchResult(body["version"], tuple(_event(item) for item in body["events"]))

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: str | None = None,
        max_wait: float = 0.0,
    ) -> HTTPResponse:
        endpoint = self._rng.choice(self._endpoints)
        return await self._calls.call(operation, method, f"http://{endpoint}{path}", body, max_wait)


def _body(response: HTTPResponse) -> dict:
    try:
        body = json.loads(response.body)
    except (ValueError, RecursionError) as problem:
        raise StoreUnavailable(f"the store's answer cannot be decoded: {problem}") from None
    if not isinstance(body, dict):
        raise StoreUnavailable("the store's answer is not an object")
    return body


def _object(item: dict) -> StoredObject:
    return StoredObject(item["kind"], item["name"], item["version"], item["value"])


def _event(item: dict) -> WatchEvent:
    return WatchEvent(item["kind"], item["name"], item["version"], item["value"])
