"""A stand-in of a model engine: it batches continuously, honours priorities, resumes and cancels.

A request's output length is in ``metadata.output_tokens``, which the router does not look at. The
log of all runs is at ``GET /standin/log``; ``PUT /standin/faults`` sets ``Faults``.
"""

import asyncio
import heapq
import json
import time
import zlib
from collections import OrderedDict
from dataclasses import asdict, dataclass, field

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError, RequestHandler

RESUME_SECONDS = 5.0
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256


@dataclass(frozen=True)
class EngineSettings:
    """Speeds in tokens a second; ``chunk`` tokens are sent in one event.

    ``cached_prefixes`` prompts' beginnings are kept, whose prefill costs no time.
    """

    slots: int = 8
    decode_rate: float = 200.0
    prefill_rate: float = 20_000.0
    chunk: int = 10
    cached_prefixes: int = 0
    load_lag: float = 0.5


@dataclass
class Faults:
    """The faults in force.

    ``cut_after`` closes each stream once after so many events, ``cross`` labels every answer with
    another id, ``duplicate`` sends each event twice, ``fail`` answers 500.
    """

    leaving: bool = False
    cut_after: int = 0
    cross: bool = False
    duplicate: bool = False
    fail: bool = False


@dataclass
class Run:
    """One run of a request, for the log; times are in seconds since the Unix epoch."""

    request: str
    workspace: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    received_at: float
    key: str = ""
    started_at: float = 0.0
    ended_at: float = 0.0
    produced: int = 0
    cancelled: bool = False
    cached: bool = False
    cut: bool = False
    events: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    readers: int = 0
    left_at: float = 0.0


class Engine:
    """One engine: its queue, its slots, its prefix cache and its log."""

    def __init__(self, name: str, settings: EngineSettings) -> None:
        self.name = name
        self.settings = settings
        self.faults = Faults()
        self.runs: dict[str, Run] = {}
        self.log: list[Run] = []
        self.refused = 0
        self._queue: list[tuple[int, int, Run]] = []
        self._sequence = 0
        self._running = 0
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._report = {"at": 0.0, "running": 0, "waiting": 0}

    def submit(self, run: Run, prefix: int) -> None:
        """Queue ``run``."""
        self.runs[run.request] = run
        self.log.append(run)
        self._sequence += 1
        run.cached = self._use_prefix(prefix)
        heapq.heappush(self._queue, (run.priority, self._sequence, run))
        self._start_next()

    def _use_prefix(self, prefix: int) -> bool:
        if not prefix or not self.settings.cached_prefixes:
            return False
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self.settings.cached_prefixes:
            self._prefixes.popitem(last=False)
        return hit

    def _start_next(self) -> None:
        while self._queue and self._running < self.settings.slots:
            run = heapq.heappop(self._queue)[2]
            self._running += 1
            task = asyncio.ensure_future(self._work(run))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _work(self, run: Run) -> None:
        run.started_at = time.time()
        try:
            if not run.cached:
                await asyncio.sleep(run.prompt_tokens / self.settings.prefill_rate)
            while run.produced < run.output_tokens and not self._abandoned(run):
                tokens = min(self.settings.chunk, run.output_tokens - run.produced)
                await asyncio.sleep(tokens / self.settings.decode_rate)
                run.produced += tokens
                run.events.append(self._event(run))
                run.changed.set()
            if not run.cancelled:
                number = len(run.events)
                run.events.append(f"id: {number}\ndata: [DONE]\n\n".encode())
        finally:
            run.ended_at = time.time()
            run.changed.set()
            self._running -= 1
            self._start_next()

    def _abandoned(self, run: Run) -> bool:
        if run.left_at and not run.readers and time.time() - run.left_at > RESUME_SECONDS:
            run.cancelled = True
        return run.cancelled

    def _event(self, run: Run) -> bytes:
        body = {
            "id": run.request if not self.faults.cross else "another",
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": f"w{run.produced} "}}],
            "usage": self.usage(run),
        }
        return f"id: {len(run.events)}\ndata: {json.dumps(body)}\n\n".encode()

    def usage(self, run: Run) -> dict[str, int]:
        """Return the usage so far."""
        total = run.prompt_tokens + run.produced
        return {"completion_tokens": run.produced, "total_tokens": total}

    def load(self) -> dict[str, object]:
        """Return the load report, which lags."""
        now = time.time()
        if now - self._report["at"] >= self.settings.load_lag:
            self._report = {"at": now, "running": self._running, "waiting": len(self._queue)}
        return {
            "slots": self.settings.slots,
            "running": self._report["running"],
            "waiting": self._report["waiting"],
            "leaving": self.faults.leaving,
            "age_seconds": round(now - self._report["at"], 3),
        }


class _Handler(RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine
        self._run: Run | None = None

    def check_xsrf_cookie(self) -> None:
        pass

    def refuse(self) -> None:
        self.engine.refused += 1
        self.set_status(503)
        self.set_header("X-Not-Run", "true")
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
                if self._cut_now(run, position):
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

    def _cut_now(self, run: Run, position: int) -> bool:
        after = self.engine.faults.cut_after
        if not after or run.cut or position < after:
            return False
        run.cut = True
        self.request.connection.stream.close()
        return True


class _Completions(_Handler):
    async def post(self) -> None:
        if self.engine.faults.leaving:
            self.refuse()
            return
        if self.engine.faults.fail:
            raise HTTPError(500)
        body = json.loads(self.request.body)
        run, prefix = self._new_run(body)
        self.engine.submit(run, prefix)
        if body.get("stream"):
            await self.stream(run, 0)
            return
        await self._whole(run)

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

    async def _whole(self, run: Run) -> None:
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
    """Serve an engine at ``ip:port``; return it and its server."""
    engine = Engine(name, settings)
    share = {"engine": engine}
    application = Application(
        [
            (r"/v1/(?:chat/)?completions", _Completions, share),
            (r"/v1/streams/([^/]+)", _Resume, share),
            (r"/v1/streams/([^/]+)/cancel", _Cancel, share),
            (r"/v1/load", _Load, share),
            (r"/standin/log", _Log, share),
            (r"/standin/faults", _Faults, share),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    server.listen(port, ip)
    return engine, server
