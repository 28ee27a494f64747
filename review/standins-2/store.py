"""The platform's metadata store, in the process of a script, as far as daemons use it."""

import asyncio
import json
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit


class Store:
    """Objects by kind and name, one counter of revisions, lists and watches."""

    def __init__(self) -> None:
        self.port = 0
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._changes: list[tuple[str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def silence_connections(self) -> int:
        """Let all open connections say nothing from now on; return how many there are."""
        self._silent |= self._open
        return len(self._open)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write the spec of an object, as the operator or a replica does."""
        known = self._objects.get((kind, name), {})
        self._write(kind, name, {"spec": spec, "status": known.get("status")})

    def _write(self, kind: str, name: str, parts: dict) -> dict:
        self._revision += 1
        item = {"metadata": {"name": name, "revision": self._revision, "finalizers": []}} | parts
        self._objects[(kind, name)] = item
        self._record(kind, item, False)
        return item

    def _record(self, kind: str, item: dict, gone: bool) -> None:
        self._changes.append((kind, json.loads(json.dumps(item)), gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head.strip().split("\r\n")
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (field.partition(":") for field in rest)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body)
                if writer in self._silent:
                    # Nothing is sent or closed; the daemon closes the connection in the end.
                    await reader.read()
                    break
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        self._open.discard(writer)
        self._silent.discard(writer)
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, *names = [unquote(part) for part in url.path.split("/")[2:]]
        if method == "GET" and names:
            item = self._objects.get((kind, names[0]))
            return (200, item) if item is not None else (404, {})
        if method == "GET" and "watch" in query:
            return 200, await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if method == "GET":
            return 200, self._list(kind, query.get("since_rev", ""))
        given = json.loads(body) if body else {}
        name = names[0] if names else given["metadata"]["name"]
        return self._change(method, kind, name, names[1:] == ["status"], given, query)

    def _list(self, kind: str, after: str) -> dict:
        found = sorted(name for held, name in self._objects if held == kind and name > after)
        items = [self._objects[(kind, name)] for name in found]
        return {"items": items, "more": False, "at": self._revision}

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {"object": item, "gone": gone}
            for held, item, gone in self._changes
            if held == kind and item["metadata"]["revision"] > since
        ]

    async def _watch(self, kind: str, since: int, seconds: float) -> dict:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while not self._events(kind, since) and loop.time() < ends_at:
            with suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await self._changed.wait()
        return {"events": self._events(kind, since), "at": self._revision}

    def _change(
        self, method: str, kind: str, name: str, of_status: bool, given: dict, query: dict
    ) -> tuple[int, object]:
        known = self._objects.get((kind, name))
        expected = given.get("metadata", {}).get("revision") or query.get("revision")
        if method == "POST":
            if known is not None:
                return 409, known
            return 200, self._write(kind, name, {"spec": given.get("spec"), "status": None})
        if known is None:
            return 404, {}
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self._revision += 1
            del self._objects[(kind, name)]
            known["metadata"]["revision"] = self._revision
            self._record(kind, known, True)
            return 200, known
        parts = {"spec": known["spec"], "status": known["status"]}
        parts |= {"status": given["status"]} if of_status else {"spec": given["spec"]}
        if parts == {"spec": known["spec"], "status": known["status"]}:
            return 200, known
        return 200, self._write(kind, name, parts)
