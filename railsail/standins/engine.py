"""A stand-in for a model engine, with continuous batching, priorities, resuming and cancelling.

``metadata.output_tokens`` of a request, which the router ignores, is the length of its output. A
request with ``metadata.crash`` crashes the engine. ``GET /standin/log`` returns the log of all
runs, and ``PUT /standin/faults`` sets ``Faults``.
"""

import json
import time
import zlib
from dataclasses import asdict

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import HTTPError, RequestHandler

from railsail.core.tasks import TaskSet
from railsail.standins.batching import Engine, EngineSettings, Faults, Run
from railsail.standins.listening import listen

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256


class _Handler(RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine
        self.set_default_headers()
        self._run: Run | None = None

    def check_xsrf_cookie(self) -> None:
        pass

    def set_default_headers(self) -> None:
        # Tornado also calls this before ``initialize``, when there is no engine yet.
        engine = getattr(self, "engine", None)
        if engine is not None and self.says_leaving(engine.faults):
            self.set_header("X-Leaving", "true")

    def says_leaving(self, faults: Faults) -> bool:
        return faults.says_leaving

    def refuse(self) -> None:
        self.engine.refused += 1
        self.set_status(503)
        self.set_header("X-Not-Run", "true")
        if self.engine.faults.rest:
            self.set_header("Retry-After", self.engine.faults.rest)
        else:
            self.set_header("X-Leaving", "true")
        self.finish()

    def on_connection_close(self) -> None:
        if self._run is not None:
            self._run.readers -= 1
            self._run.left_at = time.time()
            self._run.changed.set()

    async def stream(self, run: Run, after: int) -> None:
        run.readers += 1
        self._run = run
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("X-Request-Id", run.request if not self.engine.faults.cross else "other")
        try:
            await self._send_events(run, after)
        except StreamClosedError:
            return
        run.readers -= 1
        self._run = None
        await self.finish()

    async def _send_events(self, run: Run, position: int) -> None:
        await self.flush()
        while True:
            while position < len(run.events):
                if self._cut_if_due(run, position):
                    raise StreamClosedError
                self.write(run.events[position])
                if self.engine.faults.duplicate:
                    self.write(run.events[position])
                position += 1
                await self.flush()
            if run.ended_at:
                return
            run.changed.clear()
            await run.changed.wait()

    def _cut_if_due(self, run: Run, position: int) -> bool:
        after = self.engine.faults.cut_after
        if not after or run.cut or position < after:
            return False
        run.cut = True
        self.request.connection.stream.close()
        return True


class _Completions(_Handler):
    async def post(self) -> None:
        if self.engine.faults.leaving or self.engine.refuse_next_call():
            self.refuse()
            return
        if self.engine.faults.fail:
            raise HTTPError(500)
        body = json.loads(self.request.body)
        if body.get("metadata", {}).get("crash"):
            self.request.connection.stream.close()
            self.engine.crash()
            return
        run, prefix = self._new_run(body)
        self.engine.submit(run, prefix)
        if body.get("stream"):
            await self.stream(run, 0)
            return
        await self._send_complete_answer(run)

    def _new_run(self, body: dict) -> tuple[Run, int]:
        text = body.get("prompt") or "".join(m["content"] for m in body.get("messages", []))
        prefix = zlib.crc32(text[:PREFIX_CHARACTERS].encode())
        metadata = body.get("metadata", {})
        run = Run(
            request=self.request.headers["X-Request-Id"],
            workspace=self.request.headers.get("X-Workspace", ""),
            priority=int(self.request.headers.get("X-Priority", "50")),
            prompt_tokens=len(text) // CHARACTERS_PER_TOKEN + 1,
            output_tokens=int(metadata.get("output_tokens", 20)),
            received_at=time.time(),
            key=str(metadata.get("key", "")),
        )
        return run, prefix if len(text) >= PREFIX_CHARACTERS else 0

    async def _send_complete_answer(self, run: Run) -> None:
        self._run = run
        run.readers += 1
        while not run.ended_at:
            run.changed.clear()
            await run.changed.wait()
        self._run = None
        self.set_header("X-Request-Id", run.request if not self.engine.faults.cross else "other")
        content = " ".join(f"w{number}" for number in range(run.produced))
        choices = [{"index": 0, "message": {"role": "assistant", "content": content}}]
        usage = self.engine.usage(run)
        self.finish({"id": run.request, "choices": choices, "usage": usage})


class _Resume(_Handler):
    async def get(self, request: str) -> None:
        run = self.engine.runs.get(request)
        if run is None or run.cancelled:
            self.set_header("X-Request-Id", request)
            raise HTTPError(404)
        await self.stream(run, int(self.get_query_argument("after", "0")))


class _Cancel(_Handler):
    def post(self, request: str) -> None:
        run = self.engine.runs.get(request)
        if run is not None and not run.ended_at:
            run.cancelled = True


class _Load(_Handler):
    def says_leaving(self, faults: Faults) -> bool:
        return faults.load_says_leaving

    def get(self) -> None:
        self.finish(self.engine.load())


class _Log(_Handler):
    def get(self) -> None:
        hidden = {"events", "changed"}
        items = []
        for run in self.engine.log:
            items.append({k: v for k, v in vars(run).items() if k not in hidden})
        self.finish({"runs": items, "refused": self.engine.refused})


class _Faults(_Handler):
    def put(self) -> None:
        self.engine.faults = Faults(**json.loads(self.request.body))
        self.finish(asdict(self.engine.faults))


def serve_engine(
    name: str, ip: str, port: int, settings: EngineSettings
) -> tuple[Engine, HTTPServer]:
    """Serve an engine at ``ip:port``, and return the engine and its server."""
    engine = Engine(name, settings)
    routes = [
        (r"/v1/(?:chat/)?completions", _Completions),
        (r"/v1/streams/([^/]+)", _Resume),
        (r"/v1/streams/([^/]+)/cancel", _Cancel),
        (r"/v1/load", _Load),
        (r"/standin/log", _Log),
        (r"/standin/faults", _Faults),
    ]
    server = listen(routes, {"engine": engine}, ip, port)
    closing_tasks = TaskSet()

    def close_server() -> None:
        server.stop()
        closing_tasks.start(server.close_all_connections())

    engine.on_crash = close_server
    return engine, server
