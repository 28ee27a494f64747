"""A client of the platform's object store."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from railsail.conf.values import Endpoint
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.metrics import Metrics
from railsail.core.slices import run_sliced
from railsail.platform.objects import configuration_steps, replica_value, rollout_value
from railsail.platform.recovery import recover_object, recover_objects
from railsail.platform.specs import Changes, ListPage, StoredItem
from railsail.store.base import STORES, Listing, StoredObject, WatchEvent, WatchResult
from railsail.store.calls import GONE, NOT_FOUND, StoreAnswer, StoreCalls
from railsail.store.decoding import UndecodableObject, decode, decode_plain
from railsail.store.unreadable import UnreadableObjects, UnreadableValue
from railsail.store.versions import era_of, revision_of, to_version

CALL_SECONDS = 2.0
MAX_ANSWER_BYTES = 32 << 20
MAX_PAGES = 1000
# The store's generation: how often the store was restored from an older copy. The header is in all
# answers once that has happened.
GENERATION_HEADER = "Store-Era"
# Versions are integers below 2 ** 62. The lower 40 bits hold the revision, which leaves 22 bits for
# the generation.
MAX_GENERATION_DIGITS = 6


async def _plain(spec: bytes, status: bytes) -> dict[str, object]:
    return decode_plain(spec)


async def _configuration(spec: bytes, status: bytes) -> dict[str, object]:
    return await run_sliced(configuration_steps(spec))


async def _replica(spec: bytes, status: bytes) -> dict[str, object]:
    return replica_value(spec)


async def _rollout(spec: bytes, status: bytes) -> dict[str, object]:
    return rollout_value(spec, status)


async def _no_fields(spec: bytes, status: bytes) -> dict[str, object]:
    """Return no fields, since objects of this kind only matter by their existence."""
    return {}


@dataclass(frozen=True)
class _Kind:
    """A kind of objects of the platform.

    ``path`` is its name in paths. ``read`` decodes spec and status of an object. The object that
    the platform calls ``platform_name`` is called ``product_name`` in railsail; the names of all
    other objects are the same in both.
    """

    path: str
    read: Callable[[bytes, bytes], Awaitable[dict[str, object]]]
    platform_name: str = ""
    product_name: str = ""

    def to_product(self, name: str) -> str:
        return self.product_name if name == self.platform_name else name

    def to_platform(self, name: str) -> str:
        return self.platform_name if name == self.product_name else name


# The platform's kinds, by railsail's names for them.
_KINDS = {
    "configuration": _Kind("config", _configuration, "main", "head"),
    "upstream": _Kind("servers", _replica),
    "evacuation": _Kind("evacuations", _no_fields),
    "rollout": _Kind("rollouts", _rollout),
    "rollout-ledger": _Kind("railsail-rollouts", _plain),
    "node": _Kind("railsail-nodes", _plain),
    "quarantine": _Kind("railsail-quarantine", _plain),
    "stream-origins": _Kind("railsail-streams", _plain),
}


@STORES.register("prepared")
class PlatformStore:
    """A client of the platform's store; it makes each call once and leaves retries to callers."""

    # A watch of this store covers a single kind.
    watches_many = False

    def __init__(self, endpoints: Sequence[Endpoint], metrics: Metrics, rng: random.Random) -> None:
        self._endpoint = endpoints[0]
        # The latest generation of the store in any answer.
        self._latest_generation = 0
        self._calls = StoreCalls(metrics, CALL_SECONDS, MAX_ANSWER_BYTES)
        self._unreadable = UnreadableObjects(metrics)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if there is none."""
        path = f"{_path(kind)}/{quote(_KINDS[kind].to_platform(name))}"
        response = await self._call("get", "GET", path)
        if response.code == NOT_FOUND:
            return None
        item = _decode_one(response, self._damaged_reporter(kind))
        return await _object(kind, item, _generation(response), self._unreadable)

    async def list(self, kind: str) -> Listing:
        """Return all objects of ``kind``."""
        objects: list[StoredObject] = []
        after = ""
        version: int | None = None
        generation = 0
        damaged: list[str] = []
        for _ in range(MAX_PAGES):
            # Despite its name, the parameter takes the name of the last object, not a revision.
            query = f"?since_rev={quote(after)}" if after else ""
            response = await self._call("list", "GET", _path(kind) + query)
            if after and _generation(response) != generation:
                raise StoreUnavailable("the store came back from a copy while it was listed")
            generation = _generation(response)
            if response.code == NOT_FOUND:
                return Listing(version or to_version(generation, 0), tuple(objects))
            page = _decode_many(response, ListPage, damaged.append)
            # The pages are read one after the other. A watch from the version of the first one on
            # returns the changes that were made in the meantime.
            at = to_version(generation, page.at)
            version = at if version is None else min(version, at)
            objects += [
                await _object(kind, item, generation, self._unreadable) for item in page.items
            ]
            if not page.more:
                break
            if not page.items:
                # What is not listed counts as gone, so that a part must not pass for the whole.
                raise StoreUnavailable("no object of a page can be read, and there are more")
            after = page.items[-1].metadata.name
        self._report_listing(kind, damaged)
        return Listing(version or 0, tuple(objects))

    def _report_listing(self, kind: str, damaged: Sequence[str]) -> None:
        if not damaged:
            self._unreadable.listing_decoded(kind)
        for reason in damaged:
            self._unreadable.answer_damaged(kind, reason)

    def _damaged_reporter(self, kind: str) -> Callable[[str], None]:
        return lambda reason: self._unreadable.answer_damaged(kind, reason)

    async def put(self, kind: str, name: str, value: dict[str, object], expected: int) -> int:
        """Write an object if its version is ``expected``, 0 for none; return the new version."""
        self._check_generation(expected)
        metadata: dict[str, object] = {"name": name}
        body = {"metadata": metadata, "spec": value}
        if expected:
            metadata["revision"] = revision_of(expected)
            path, method = f"{_path(kind)}/{quote(name)}", "PUT"
        else:
            path, method = _path(kind), "POST"
        response = await self._call("put", method, path, msgspec.json.encode(body))
        item = _decode_one(response, self._damaged_reporter(kind))
        return to_version(_generation(response), item.metadata.revision)

    async def put_status(
        self, kind: str, name: str, value: dict[str, object], expected: int
    ) -> int:
        """Replace an object's status if its version is ``expected``; return the new version."""
        self._check_generation(expected)
        body = {"metadata": {"name": name, "revision": revision_of(expected)}, "status": value}
        path = f"{_path(kind)}/{quote(name)}/status"
        response = await self._call("put", "PUT", path, msgspec.json.encode(body))
        item = _decode_one(response, self._damaged_reporter(kind))
        return to_version(_generation(response), item.metadata.revision)

    async def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if its version is ``expected``."""
        self._check_generation(expected)
        path = f"{_path(kind)}/{quote(name)}?revision={revision_of(expected)}"
        await self._call("delete", "DELETE", path)

    async def watch(self, kinds: tuple[str, ...], since: int, seconds: float) -> WatchResult:
        """Wait at most ``seconds`` for changes after ``since``; ``kinds`` has exactly one kind."""
        (kind,) = kinds
        path = f"{_path(kind)}?watch={revision_of(since)}&wait_ms={int(seconds * 1000)}"
        response = await self._call("watch", "GET", path, waits=seconds)
        if response.code in (GONE, NOT_FOUND):
            return WatchResult(since, (), expired=True)
        generation = _generation(response)
        if generation != era_of(since):
            # In this generation, the revision of ``since`` may belong to another change.
            return WatchResult(since, (), expired=True)
        changes = _decode_many(response, Changes, self._damaged_reporter(kind))
        events = [
            await _event(kind, change.object, change.gone, generation, self._unreadable)
            for change in changes.events
        ]
        return WatchResult(to_version(generation, changes.at), tuple(events))

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes | None = None,
        waits: float = 0.0,
    ) -> StoreAnswer:
        response = await self._calls.call(operation, method, self._endpoint, path, body, waits)
        self._latest_generation = max(self._latest_generation, _generation(response))
        return response

    def _check_generation(self, expected: int) -> None:
        """Raise ``StoreConflict`` if ``expected`` was read before the store was last restored.

        The store may have given the same revision to another change, which this node has not seen.
        """
        if expected and era_of(expected) < self._latest_generation:
            raise StoreConflict("the version expected is of an earlier era")


def _path(kind: str) -> str:
    return f"/objects/{_KINDS[kind].path}"


def _generation(response: StoreAnswer) -> int:
    """Return the generation of the store, 0 if it was never restored from a copy."""
    text = response.headers.get(GENERATION_HEADER, "").strip()
    if not text:
        return 0
    if not text.isascii() or not text.isdigit() or len(text) > MAX_GENERATION_DIGITS:
        raise StoreUnavailable(f"the store's era cannot be read: {text!r}")
    return int(text)


def _decode_one(response: StoreAnswer, report: Callable[[str], None]) -> StoredItem:
    """Return an answer with one object, without its spec if that is not valid JSON."""
    return _recovered(response, StoredItem, recover_object, report)


def _decode_many(response: StoreAnswer, shape: type, report: Callable[[str], None]):
    """Return an answer with many objects, also if one of them has invalid bytes."""
    return _recovered(response, shape, recover_objects, report)


def _recovered(
    response: StoreAnswer,
    shape: type,
    recover: Callable[[bytes], bytes],
    report: Callable[[str], None],
):
    """Return an answer; ``report`` is called with the reason if it is not valid."""
    try:
        return decode(response.body, shape)
    except UndecodableObject as problem:
        report(str(problem))
    try:
        return decode(recover(response.body), shape)
    except UndecodableObject as problem:
        raise StoreUnavailable(f"the store's answer cannot be read: {problem}") from None


async def _object(
    kind: str, item: StoredItem, generation: int, unreadable: UnreadableObjects
) -> StoredObject:
    known = _KINDS[kind]
    name = known.to_product(item.metadata.name)
    try:
        value = await known.read(item.spec, item.status)
    except UndecodableObject as problem:
        unreadable.reject(kind, name, str(problem))
        if known.product_name:
            raise StoreUnavailable(f"{kind}/{name} cannot be read: {problem}") from None
        # An invalid object must not hide the others. The listener to its kind refuses this value.
        value = UnreadableValue()
    else:
        unreadable.accept(kind, name)
    return StoredObject(kind, name, to_version(generation, item.metadata.revision), value)


async def _event(
    kind: str, item: StoredItem, gone: bool, generation: int, unreadable: UnreadableObjects
) -> WatchEvent:
    if gone:
        name = _KINDS[kind].to_product(item.metadata.name)
        unreadable.accept(kind, name)
        return WatchEvent(kind, name, to_version(generation, item.metadata.revision), None)
    stored = await _object(kind, item, generation, unreadable)
    return WatchEvent(kind, stored.name, stored.version, stored.value)
