"""A stand-in of the platform's metadata store, with a port for the operator and the replicas.

The addresses for the daemons serve lists, single objects, watches, conditional writes and
deletions. Each of them can be silent while the others are served. Entries of replicas lapse after
three heartbeats without a write.
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, unquote, urlsplit

from wire import json_response, read_message

HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
HEARTBEATS_TO_LAPSE = 3


class Store:
    """Objects by kind and name, one counter of revisions, and the recent changes."""

    def __init__(self, heartbeat_seconds: float) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.changes: list[tuple[float, str, dict, bool]] = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.beats: dict[str, float] = {}
        # The addresses at which calls are not answered now.
        self.silent: set[str] = set()
        self.lapse_seconds = HEARTBEATS_TO_LAPSE * heartbeat_seconds

    def write(self, kind: str, name: str, spec: object, status: object = None) -> dict:
        """Write an object and return it."""
        self.revision += 1
        held = self.objects.setdefault(kind, {}).get(name)
        made = held["metadata"]["made"] if held else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "made": made,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = item
        self._tell(kind, item, False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        metadata = item["metadata"] | {"revision": self.revision}
        self._tell(kind, item | {"metadata": metadata}, True)

    def _tell(self, kind: str, item: dict, gone: bool) -> None:
        now = time.monotonic()
        self.changes.append((now, kind, item, gone))
        while self.changes and now - self.changes[0][0] > HISTORY_SECONDS:
            self.forgotten = self.changes.pop(0)[2]["metadata"]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def events(self, kind: str, since: int) -> list[dict]:
        """Return the changes of ``kind`` after revision ``since``."""
        return [
            {"object": item, "gone": gone}
            for _, changed_kind, item, gone in self.changes
            if changed_kind == kind and item["metadata"]["revision"] > since
        ]

    def beat(self, name: str, spec: dict) -> None:
        """Take the heartbeat of a replica; its entry changes if more than ``seq`` does."""
        self.beats[name] = time.monotonic()
        held = self.objects.get("servers", {}).get(name)
        if held is None or _without_seq(held["spec"]) != _without_seq(spec):
            self.write("servers", name, spec)
        else:
            held["spec"] = spec

    async def lapse(self) -> None:
        """Remove the entries of replicas that no longer write."""
        while True:
            await asyncio.sleep(0.1)
            for name, at in list(self.beats.items()):
                if time.monotonic() - at > self.lapse_seconds:
                    del self.beats[name]
                    self.remove("servers", name)


def _without_seq(spec: dict) -> dict:
    return {name: value for name, value in spec.items() if name != "seq"}


async def serve_daemons(store: Store, address: str, reader, writer) -> None:
    """Serve the calls of daemons on one connection; after a lost answer it says nothing more."""
    try:
        while (message := await read_message(reader)) is not None:
            silent = address in store.silent
            status, body = (0, None) if silent else await _call(store, message)
            if silent or address in store.silent:
                await reader.read()
                break
            writer.write(json_response(status, body))
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def _call(store: Store, message) -> tuple[int, object]:
    method, target, _ = message.line.split(" ", 2)
    split = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(split.query).items()}
    parts = [unquote(part) for part in split.path.split("/")[2:]]
    kind, names = parts[0], parts[1:]
    if method == "GET" and names:
        item = store.objects.get(kind, {}).get(names[0])
        return (200, item) if item is not None else (404, {})
    if method == "GET" and "watch" in query:
        return await _watch(store, kind, int(query["watch"]), int(query.get("wait_ms", "0")))
    if method == "GET":
        return 200, _page(store, kind, query.get("since_rev", ""))
    return _change(store, method, kind, names, query, message.body)


def _page(store: Store, kind: str, after: str) -> dict:
    names = sorted(name for name in store.objects.get(kind, {}) if name > after)
    items = [store.objects[kind][name] for name in names[:PAGE_ITEMS]]
    return {"items": items, "more": len(names) > PAGE_ITEMS, "at": store.revision}


async def _watch(store: Store, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
    if since < store.forgotten:
        return 410, {}
    ends_at = time.monotonic() + wait_ms / 1000
    while not (events := store.events(kind, since)) and time.monotonic() < ends_at:
        changed = store.changed
        try:
            await asyncio.wait_for(changed.wait(), max(0.0, ends_at - time.monotonic()))
        except TimeoutError:
            break
    events = events or store.events(kind, since)
    return 200, {"events": events, "at": store.revision}


def _change(
    store: Store, method: str, kind: str, names: list[str], query: dict, body: bytes
) -> tuple[int, object]:
    given = json.loads(body) if body else {}
    metadata = given.get("metadata", {})
    name = names[0] if names else metadata.get("name", "")
    held = store.objects.get(kind, {}).get(name)
    if method == "POST":
        if held is not None:
            return 409, held
        return 200, store.write(kind, name, given.get("spec"))
    if held is None:
        return 404, {}
    expected = query.get("revision") or metadata.get("revision")
    if expected and int(expected) != held["metadata"]["revision"]:
        return 409, held
    if method == "DELETE":
        store.remove(kind, name)
        return 200, {}
    if names[1:] == ["status"]:
        return 200, store.write(kind, name, held["spec"], given.get("status"))
    return 200, store.write(kind, name, given.get("spec"), held["status"])


async def serve_owners(store: Store, reader, writer) -> None:
    """Serve the operator and the replicas: PUT writes, POST is a heartbeat, DELETE removes.

    PUT and DELETE of the kind ``silence`` begin and end the silence at the address in the name.
    """
    try:
        while (message := await read_message(reader)) is not None:
            method, target, _ = message.line.split(" ", 2)
            _, kind, name = target.split("/")
            if kind == "silence":
                store.silent = (store.silent | {name}) if method == "PUT" else store.silent - {name}
            elif method == "PUT":
                store.write(kind, name, json.loads(message.body))
            elif method == "POST":
                store.beat(name, json.loads(message.body))
            else:
                store.beats.pop(name, None)
                store.remove(kind, name)
            writer.write(json_response(200, {"at": store.revision}))
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def listen(address: str, serve) -> None:
    """Accept connections at ``address``."""
    ip, port = address.split(":")
    await asyncio.start_server(serve, ip, int(port))


async def main() -> None:
    """Serve owners at the first address, and daemons at the others."""
    store = Store(float(sys.argv[1]))
    await listen(sys.argv[2], lambda r, w: serve_owners(store, r, w))
    for address in sys.argv[3:]:
        await listen(address, lambda r, w, at=address: serve_daemons(store, at, r, w))
    await store.lapse()


if __name__ == "__main__":
    asyncio.run(main())
