"""The client of the platform's object API over HTTP and JSON.

No other module depends on this protocol. ``docs/ref/store-api.md`` describes it.
"""

import json
import random
from collections.abc import Sequence
from typing import Annotated, TypeVar
from urllib.parse import quote

import msgspec

from railsail.conf.values import Endpoint
from railsail.core.exceptions import StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.store.base import STORES, Listing, StoredObject, WatchEvent, WatchResult
from railsail.store.calls import GONE, NOT_FOUND, StoreAnswer, StoreCalls
from railsail.store.decoding import without_deep_containers
from railsail.store.unreadable import UnreadableObjects, UnreadableValue

CALL_TIMEOUT_SECONDS = 6.0
MAX_RESPONSE_BYTES = 8 << 20

Version = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
T = TypeVar("T")


class _Item(msgspec.Struct, frozen=True):
    """An object or its change; ``value`` is what any program has written, or null for a removal."""

    kind: str
    name: str
    version: Version
    value: object


class _Listing(msgspec.Struct, frozen=True):
    version: Version
    objects: list[_Item]


class _Changes(msgspec.Struct, frozen=True):
    version: Version
    events: list[_Item]


class _Written(msgspec.Struct, frozen=True):
    version: Version


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
        self._unreadable = UnreadableObjects(metrics)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it does not exist."""
        response = await self._call("get", "GET", f"/v1/objects/{quote(kind)}/{quote(name)}")
        if response.code == NOT_FOUND:
            return None
        return self._object(_decode(response, _Item))

    async def list(self, kind: str) -> Listing:
        """Return all objects of ``kind``."""
        response = await self._call("list", "GET", f"/v1/objects/{quote(kind)}")
        listing = _decode(response, _Listing)
        return Listing(listing.version, tuple(self._object(item) for item in listing.objects))

    async def put(self, kind: str, name: str, value: dict[str, object], expected: int) -> int:
        """Write an object if its version is ``expected``, and return the new version."""
        path = f"/v1/objects/{quote(kind)}/{quote(name)}?expected={expected}"
        response = await self._call("put", "PUT", path, json.dumps(value, separators=(",", ":")))
        return _decode(response, _Written).version

    async def put_status(
        self, kind: str, name: str, value: dict[str, object], expected: int
    ) -> int:
        """Replace the status of an object if its version is ``expected``; return the new one."""
        path = f"/v1/objects/{quote(kind)}/{quote(name)}/status?expected={expected}"
        response = await self._call("put", "PUT", path, json.dumps(value, separators=(",", ":")))
        return _decode(response, _Written).version

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
        changes = _decode(response, _Changes)
        return WatchResult(changes.version, tuple(self._event(item) for item in changes.events))

    def _object(self, item: _Item) -> StoredObject:
        return StoredObject(item.kind, item.name, item.version, self._value(item))

    def _event(self, item: _Item) -> WatchEvent:
        value = None if item.value is None else self._value(item)
        if value is None:
            self._unreadable.accept(item.kind, item.name)
        return WatchEvent(item.kind, item.name, item.version, value)

    def _value(self, item: _Item) -> dict[str, object]:
        """Return the value of an object, which is reported and has no fields if it is invalid."""
        problem = _problem(item.value)
        if problem:
            self._unreadable.reject(item.kind, item.name, problem)
            return UnreadableValue()
        self._unreadable.accept(item.kind, item.name)
        return item.value

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: str | None = None,
        max_wait: float = 0.0,
    ) -> StoreAnswer:
        endpoint = self._rng.choice(self._endpoints)
        encoded = None if body is None else body.encode()
        return await self._calls.call(operation, method, endpoint, path, encoded, max_wait)


def _decode(response: StoreAnswer, shape: type[T]) -> T:
    try:
        return msgspec.convert(_load(response.body), shape)
    except (ValueError, RecursionError) as problem:
        raise StoreUnavailable(f"the store's answer cannot be decoded: {problem}") from None


def _load(body: bytes) -> object:
    """Return the answer ``body``, without containers that are nested too deeply to be decoded."""
    try:
        return json.loads(body)
    except RecursionError:
        return json.loads(without_deep_containers(body))


def _problem(value: object) -> str:
    """Return why the value of an object cannot be used, empty if it can."""
    if not isinstance(value, dict):
        return f"Expected `object`, got `{type(value).__name__}`"
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as problem:
        # Such as a single surrogate, which nothing that logs or sends the value can encode.
        return str(problem)
    return ""
