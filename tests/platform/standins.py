"""Stand-ins that speak the platform's formats: its store, and replicas that follow a script."""

import asyncio
import enum
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.web import Finish, RequestHandler

from railsail.standins.fleet import free_ports
from railsail.standins.listening import listen

LOOPBACK = "127.0.0.1"
SEAL = "seal"
BREAK_SECONDS = 0.05


class TurnedAway(enum.StrEnum):
    """How the store turns calls away."""

    BUSY = "503"
    LIMITED = "429"
    RESET = "reset"
    SILENT = "silent"


@dataclass
class StoreAccess:
    """What the store does with the calls that come to one of its ports, and what came."""

    port: int
    turned_away: TurnedAway | None = None
    # Seconds by which each answer is late.
    delay: float = 0.0
    calls: list[str] = field(default_factory=list)


class RawItem(dict):
    """An object that another program wrote: its metadata, and the ``text`` that the store returns.

    A ``%d`` in the text is the revision.
    """

    def __init__(self, name: str, revision: int, text: str) -> None:
        super().__init__(metadata={"name": name, "revision": revision})
        self.text = text

    def copy(self) -> "RawItem":
        return RawItem(self["metadata"]["name"], self["metadata"]["revision"], self.text)


def _copied(item: dict) -> dict:
    return item.copy() if isinstance(item, RawItem) else json.loads(json.dumps(item))


def _to_text(item: dict) -> str:
    if isinstance(item, RawItem):
        return item.text.replace("%d", str(item["metadata"]["revision"]))
    return json.dumps(item)


class PlatformStoreStandin:
    """Objects by kind and name, a counter of revisions, lists in pages, and watches."""

    def __init__(self, page: int = 500) -> None:
        self.page = page
        self.revision = 0
        self.objects: dict[tuple[str, str], dict] = {}
        self.changes: list[tuple[str, dict, bool]] = []
        self.forgotten = 0
        # How often it came back from a copy; told with each answer once it did.
        self.era = 0
        self.down = False
        # The time to stay away that it names while it is down.
        self.retry_after = ""
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self._servers: list[HTTPServer] = []
        self.port = self.add_access().port

    def add_access(self) -> StoreAccess:
        """Serve at one more port, which can turn its calls away while others do not."""
        access = StoreAccess(free_ports(1)[0])
        shared = {"store": self, "access": access}
        self._servers.append(listen([(r"/objects/.*", _Objects)], shared, LOOPBACK, access.port))
        return access

    def put(self, kind: str, name: str, spec: object) -> None:
        held = self.objects.get((kind, name), {})
        self._put(kind, name, {"spec": spec, "status": held.get("status")})

    def put_raw(self, kind: str, name: str, text: str) -> None:
        """Write an object as ``text``, in which ``%d`` is the revision."""
        self.revision += 1
        item = RawItem(name, self.revision, text)
        self.objects[(kind, name)] = item
        self._tell(kind, item, False)

    def put_status(self, kind: str, name: str, status: object) -> None:
        held = self.objects[(kind, name)]
        if held.get("status") != status:
            self._put(kind, name, {"spec": held["spec"], "status": status})

    def _put(self, kind: str, name: str, parts: dict) -> None:
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}} | parts
        self.objects[(kind, name)] = item
        self._tell(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        item = self.objects.pop((kind, name))
        item["metadata"]["revision"] = self.revision
        self._tell(kind, item, True)

    def forget_history(self) -> None:
        self.forgotten = self.revision

    def _tell(self, kind: str, item: dict, gone: bool) -> None:
        self.changes.append((kind, _copied(item), gone))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> "StoreCopy":
        """Return what the store holds now."""
        return StoreCopy(self.revision, json.loads(json.dumps(list(self.objects.items()))))

    def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy: what was written since is lost, and revisions go back."""
        self.revision = copy.revision
        self.objects = {(kind, name): item for (kind, name), item in copy.items}
        self.changes = [c for c in self.changes if c[1]["metadata"]["revision"] <= copy.revision]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def stop(self) -> None:
        for server in self._servers:
            server.stop()


@dataclass(frozen=True)
class StoreCopy:
    """A copy of a store at a revision."""

    revision: int
    items: list


class _Objects(RequestHandler):
    def initialize(self, store: PlatformStoreStandin, access: StoreAccess) -> None:
        self.store = store
        self.access = access

    def check_xsrf_cookie(self) -> None:
        pass

    async def prepare(self) -> None:
        self.store.calls.append(f"{self.request.method} {self.request.uri}")
        self.access.calls.append(f"{self.request.method} {self.request.uri}")
        if self.access.delay:
            await asyncio.sleep(self.access.delay)
        if await self._turned_away():
            return
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))
        if self.store.down:
            self.set_status(503)
            if self.store.retry_after:
                self.set_header("Retry-After", self.store.retry_after)
            self.finish()

    async def _turned_away(self) -> bool:
        """Turn the call away, if its port does so now."""
        how = self.access.turned_away
        if how is None:
            return False
        if how is TurnedAway.SILENT:
            await asyncio.sleep(3600)
        if how is TurnedAway.RESET:
            self.request.connection.stream.close()
            raise Finish
        self.set_status(int(how))
        await self.finish()
        return True

    def post(self) -> None:
        item = json.loads(self.request.body)
        self._write(self.request.path.split("/")[2], item["metadata"]["name"], 0, item["spec"])

    def put(self) -> None:
        kind, name, *part = self.request.path.split("/")[2:]
        item = json.loads(self.request.body)
        if part == ["status"]:
            self._write_status(kind, name, item)
            return
        self._write(kind, name, item["metadata"]["revision"], item["spec"])

    def delete(self) -> None:
        kind, name = self.request.path.split("/")[2:]
        held = self.store.objects.get((kind, name))
        if held is None:
            self.set_status(404)
            return
        if held["metadata"]["revision"] != int(self.get_query_argument("revision")):
            self.set_status(409)
            self.finish(json.dumps(held))
            return
        self.store.remove(kind, name)

    def _write_status(self, kind: str, name: str, item: dict) -> None:
        held = self.store.objects.get((kind, name))
        if held is None:
            self.set_status(404)
            return
        revision = held["metadata"]["revision"]
        if item["metadata"].get("revision", revision) != revision:
            self.set_status(409)
            self.finish(json.dumps(held))
            return
        self.store.put_status(kind, name, item["status"])
        self.finish(json.dumps(self.store.objects[(kind, name)]))

    def _write(self, kind: str, name: str, expected: int, spec: object) -> None:
        held = self.store.objects.get((kind, name))
        if (held["metadata"]["revision"] if held else 0) != expected:
            self.set_status(409)
            self.finish(json.dumps(held))
            return
        self.store.put(kind, name, spec)
        self.finish(json.dumps(self.store.objects[(kind, name)]))

    async def get(self) -> None:
        parts = self.request.path.split("/")[2:]
        if len(parts) == 2:
            item = self.store.objects.get((parts[0], parts[1]))
            if item is None:
                self.set_status(404)
            else:
                self.finish(_to_text(item))
            return
        since = self.get_query_argument("watch", "")
        await (self._watch(parts[0], int(since)) if since else self._list(parts[0]))

    async def _list(self, kind: str) -> None:
        after = self.get_query_argument("since_rev", "")
        names = sorted(name for held, name in self.store.objects if held == kind and name > after)
        page = names[: self.store.page]
        items = ",".join(_to_text(self.store.objects[(kind, name)]) for name in page)
        more = json.dumps(len(names) > len(page))
        self.finish(f'{{"items": [{items}], "more": {more}, "at": {self.store.revision}}}')

    async def _watch(self, kind: str, since: int) -> None:
        if since < self.store.forgotten or since > self.store.revision:
            self.set_status(410)
            return
        seconds = int(self.get_query_argument("wait_ms")) / 1000
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while not self._events(kind, since) and loop.time() < ends:
            waiting = asyncio.ensure_future(self.store.changed.wait())
            await asyncio.wait([waiting], timeout=ends - loop.time())
            waiting.cancel()
        if await self._turned_away():
            return
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))
        events = ",".join(self._events(kind, since))
        self.finish(f'{{"events": [{events}], "at": {self.store.revision}}}')

    def _events(self, kind: str, since: int) -> list[str]:
        return [
            f'{{"gone": {json.dumps(gone)}, "object": {_to_text(item)}}}'
            for held, item, gone in self.store.changes
            if held == kind and item["metadata"]["revision"] > since
        ]


@dataclass
class Received:
    """One request as a replica got it."""

    line: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0


Script = Callable[["ReplicaStandin", Received, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ReplicaStandin:
    """A replica that answers each connection's request by its script."""

    name: str
    script: Script
    received: list[Received] = field(default_factory=list)
    left: int = 0
    port: int = 0
    # Told when the replica crashes.
    crashed: Callable[["ReplicaStandin"], None] | None = None
    # A crash closes its connections in order, as the kernel does where nothing is left to be read.
    closes_in_order: bool = False
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _not_paused: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._not_paused.set()

    def pause(self) -> None:
        """Stand still as a stopped process does: nothing is read or written, nothing is closed."""
        self._not_paused.clear()

    def resume(self) -> None:
        """Go on after a pause where everything was."""
        self._not_paused.set()

    @property
    def is_paused(self) -> bool:
        return not self._not_paused.is_set()

    async def until_resumed(self) -> None:
        """Wait for the end of a pause; scripts call it before they write."""
        await self._not_paused.wait()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *rest = head.strip().split("\r\n")
            headers = dict(item.split(": ", 1) for item in rest)
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
            await self.until_resumed()
            request = Received(line, headers, body, asyncio.get_running_loop().time())
            self.received.append(request)
            running = asyncio.ensure_future(self.script(self, request, writer))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([running, gone], return_when=asyncio.FIRST_COMPLETED)
            await self.until_resumed()
            if not running.done():
                self.left += 1
                running.cancel()
            gone.cancel()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @property
    def is_listening(self) -> bool:
        """Say whether it takes connections."""
        return self._server.is_serving()

    @property
    def running(self) -> int:
        """Return how many connections are open."""
        return len(self._writers)

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def close_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.close()

    def stop(self) -> None:
        self._server.close()

    def crash(self) -> None:
        """End as a killed process does: all connections are closed, and the port is dead."""
        if not self._server.is_serving():
            return
        self.stop()
        if self.closes_in_order:
            self.close_connections()
        else:
            self.reset_connections()
        if self.crashed is not None:
            self.crashed(self)


def head(request: Received, status: str = "200 OK", **headers: str) -> bytes:
    """Return the head of an answer to ``request``; headers are named with underscores."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.headers['Request-Id']}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answering(body: bytes = b"hello", status: str = "200 OK", seconds: float = 0.0) -> Script:
    """Answer whole, with a signature."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        await asyncio.sleep(seconds)
        await replica.until_resumed()
        sealed = {"Response_Seal": f"{SEAL}-{replica.name}", "Content_Length": str(len(body))}
        writer.write(head(request, status, **sealed) + body)
        await writer.drain()

    return script


def refusing(status: str = "503 Service Unavailable", **headers: str) -> Script:
    """Answer without a body; ``Not_Run`` says that nothing ran."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        writer.write(head(request, status, Content_Length="0", **headers))
        await writer.drain()

    return script


def closing() -> Script:
    """Take the request, and close without an answer."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        writer.transport.abort()

    return script


def ending_under(body: bytes, otherwise: Script, seconds: float = 0.02) -> Script:
    """Crash ``seconds`` after a request with ``body`` begins to run; serve others as told."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        if request.body != body:
            await otherwise(replica, request, writer)
            return
        # It ends also where the caller has left by then.
        asyncio.get_running_loop().call_later(seconds, replica.crash)
        await asyncio.sleep(3600)

    return script


def hanging() -> Script:
    """Take the request, and say nothing."""

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        await asyncio.sleep(3600)

    return script


def streaming(events: int, stop_after: int | None = None, partial: bool = False) -> Script:
    """Stream ``events`` events from the one after ``Last-Event-Id``.

    With ``stop_after`` the connection breaks after so many, with ``partial`` within the next one.
    """

    async def script(replica: ReplicaStandin, request: Received, writer) -> None:
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
        writer.write(head(request, Response_Seal=f"{SEAL}-{replica.name}", **kind))
        for count, number in enumerate(range(first, events)):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if count == stop_after:
                # What came before the break is read before it.
                await asyncio.sleep(BREAK_SECONDS)
                if partial:
                    writer.write(_chunk(event[:-6]))
                    await writer.drain()
                writer.transport.close()
                return
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
