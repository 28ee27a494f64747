"""An in-memory stand-in for the platform's object API, with faults that can be injected.

``PUT /standin/faults`` sets ``Faults``, as ``{"down": bool, "delay": seconds, "lose_replies":
share, "drop_watches": share}``. ``GET /standin/calls`` returns the number of calls by operation.
"""

import asyncio
import json
import random
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.web import HTTPError, RequestHandler

from railsail.standins.listening import listen

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY = 4096


@dataclass
class Faults:
    """The faults in force.

    ``down`` fails all calls, and ``delay`` delays them by this many seconds. ``lose_replies`` is
    the probability that a reply is lost, ``drop_watches`` that a watch loses its first event.
    """

    down: bool = False
    delay: float = 0.0
    lose_replies: float = 0.0
    drop_watches: float = 0.0


@dataclass
class StoreState:
    """All objects, and the latest changes for watches."""

    rng: random.Random
    version: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def put(self, kind: str, name: str, value: dict) -> int:
        """Write an object unconditionally, and return its version."""
        self.version += 1
        item = {"kind": kind, "name": name, "version": self.version, "value": value}
        self.objects[(kind, name)] = item
        self._append_to_history(item)
        return self.version

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.version += 1
        del self.objects[(kind, name)]
        self._append_to_history(
            {"kind": kind, "name": name, "version": self.version, "value": None}
        )

    def _append_to_history(self, item: dict) -> None:
        self.history.append(item)
        del self.history[:-MAX_HISTORY]

    async def wake(self) -> None:
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()


class _Handler(RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    def check_xsrf_cookie(self) -> None:
        pass

    async def prepare(self) -> None:
        operation = f"{self.request.method} {self.request.path.split('/')[2]}"
        self.state.calls[operation] = self.state.calls.get(operation, 0) + 1
        if self.state.faults.delay:
            await asyncio.sleep(self.state.faults.delay)
        if self.state.faults.down:
            raise HTTPError(503)

    def reply(self, body: dict) -> None:
        if self.state.rng.random() < self.state.faults.lose_replies:
            # The change has taken effect, but the client doesn't receive the reply.
            self.request.connection.stream.close()
            return
        self.finish(json.dumps(body))

    def check_version(self, kind: str, name: str) -> None:
        item = self.state.objects.get((kind, name))
        stored = item["version"] if item else 0
        if int(self.get_query_argument("expected")) != stored:
            raise HTTPError(409)


class _List(_Handler):
    def get(self, kind: str) -> None:
        objects = [item for key, item in sorted(self.state.objects.items()) if key[0] == kind]
        self.reply({"version": self.state.version, "objects": objects})


class _Object(_Handler):
    def get(self, kind: str, name: str) -> None:
        item = self.state.objects.get((kind, name))
        if item is None:
            raise HTTPError(404)
        self.reply(item)

    async def put(self, kind: str, name: str) -> None:
        self.check_version(kind, name)
        if len(self.request.body) > MAX_VALUE_BYTES:
            raise HTTPError(413)
        version = self.state.put(kind, name, json.loads(self.request.body))
        await self.state.wake()
        self.reply({"version": version})

    async def delete(self, kind: str, name: str) -> None:
        self.check_version(kind, name)
        if (kind, name) in self.state.objects:
            self.state.delete(kind, name)
            await self.state.wake()
        self.reply({})


class _Status(_Handler):
    async def put(self, kind: str, name: str) -> None:
        self.check_version(kind, name)
        item = self.state.objects.get((kind, name))
        if item is None:
            raise HTTPError(404)
        status = json.loads(self.request.body)
        version = item["version"]
        if item["value"].get("status") != status:
            version = self.state.put(kind, name, {**item["value"], "status": status})
            await self.state.wake()
        self.reply({"version": version})


class _Watch(_Handler):
    async def get(self) -> None:
        kinds = set(self.get_query_argument("kinds").split(","))
        since = int(self.get_query_argument("since"))
        seconds = min(60.0, float(self.get_query_argument("seconds")))
        history = self.state.history
        if since > self.state.version or (history and since < history[0]["version"] - 1):
            raise HTTPError(410)
        events = await self._wait(kinds, since, seconds)
        if self.state.rng.random() < self.state.faults.drop_watches:
            events = events[1:]
        self.reply({"version": self.state.version, "events": events})

    async def _wait(self, kinds: set[str], since: int, seconds: float) -> list[dict]:
        events: list[dict] = []

        def should_wake() -> bool:
            history = self.state.history
            events[:] = [e for e in history if e["version"] > since and e["kind"] in kinds]
            return bool(events) or self.state.faults.down

        try:
            async with asyncio.timeout(seconds), self.state.changed:
                await self.state.changed.wait_for(should_wake)
        except TimeoutError:
            return []
        return events


class _Faults(RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    def check_xsrf_cookie(self) -> None:
        pass

    async def put(self) -> None:
        self.state.faults = Faults(**json.loads(self.request.body))
        await self.state.wake()


class _Calls(RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    def get(self) -> None:
        self.finish(json.dumps(self.state.calls))


def serve_store(ip: str, port: int, rng: random.Random) -> tuple[StoreState, HTTPServer]:
    """Serve an empty store at ``ip:port``, and return its state and its server."""
    state = StoreState(rng)
    routes = [
        (r"/v1/objects/([^/]+)", _List),
        (r"/v1/objects/([^/]+)/([^/]+)", _Object),
        (r"/v1/objects/([^/]+)/([^/]+)/status", _Status),
        (r"/v1/watch", _Watch),
        (r"/standin/faults", _Faults),
        (r"/standin/calls", _Calls),
    ]
    return state, listen(routes, {"state": state}, ip, port)
