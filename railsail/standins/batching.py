"""The model engine stand-in without its HTTP interface: queue, slots, prefix cache and run log."""

import asyncio
import heapq
import json
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# A run is cancelled if no reader resumes its stream within this time.
RESUME_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True)
class EngineSettings:
    """The capacity and speed of an engine.

    Rates are in tokens per second, and each event of a stream has ``chunk`` tokens. The cache holds
    ``cached_prefixes`` prompt prefixes; prefill takes no time if the prefix is cached. ``load_lag``
    is the minimum age in seconds at which the load report is renewed.
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

    - ``leaving`` refuses all calls, and reports this in the load report.
    - ``cut_after`` closes each stream once, after this many events.
    - ``cross`` labels each answer with another request's id.
    - ``duplicate`` sends each event twice.
    - ``fail`` answers with status 500.
    - ``says_leaving`` sets the header ``X-Leaving`` of answers, except those to load queries, while
      the engine continues to serve; ``load_says_leaving`` sets it in the latter only.
    - ``rest`` is a ``Retry-After`` value: the engine refuses ``rest_share`` of the calls with it.
    """

    leaving: bool = False
    cut_after: int = 0
    cross: bool = False
    duplicate: bool = False
    fail: bool = False
    says_leaving: bool = False
    load_says_leaving: bool = False
    rest: str = ""
    rest_share: float = 1.0


@dataclass
class Run:
    """One run of a request, as logged; times are in seconds since the Unix epoch."""

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
    """An engine: its queue, slots, prefix cache and log."""

    def __init__(self, name: str, settings: EngineSettings) -> None:
        self.name = name
        self.settings = settings
        self.faults = Faults()
        self.runs: dict[str, Run] = {}
        self.log: list[Run] = []
        self.refused = 0
        self.calls = 0
        # The time of the crash in seconds since the Unix epoch, or 0.
        self.crashed_at = 0.0
        self.on_crash: Callable[[], None] = lambda: None
        self._queue: list[tuple[int, int, Run]] = []
        self._sequence = 0
        self._running = 0
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._report = {"at": 0.0, "running": 0, "waiting": 0}

    def submit(self, run: Run, prefix: int) -> None:
        """Queue ``run``; ``prefix`` is the hash of its prompt prefix, or 0 for a short prompt."""
        self.runs[run.request] = run
        self.log.append(run)
        self._sequence += 1
        run.cached = self._use_prefix(prefix)
        heapq.heappush(self._queue, (run.priority, self._sequence, run))
        self._start_next()

    def crash(self) -> None:
        """Stop like a killed process: close the port and all connections."""
        self.crashed_at = time.time()
        self.on_crash()

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
            while run.produced < run.output_tokens and not self._check_abandoned(run):
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

    def _check_abandoned(self, run: Run) -> bool:
        if run.left_at and not run.readers and time.time() - run.left_at > RESUME_TIMEOUT_SECONDS:
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
        """Return the token usage of ``run`` so far."""
        total = run.prompt_tokens + run.produced
        return {"completion_tokens": run.produced, "total_tokens": total}

    def refuse_next_call(self) -> bool:
        """Return True if the next call is to be refused; refusals are evenly spaced."""
        share = self.faults.rest_share if self.faults.rest else 0.0
        self.calls += 1
        return int(self.calls * share) > int((self.calls - 1) * share)

    def load(self) -> dict[str, object]:
        """Return the load report, whose counts may be up to ``load_lag`` seconds old."""
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
