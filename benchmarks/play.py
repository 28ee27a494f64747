"""Send the requests of a workload to the daemons, and record what each caller received."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from benchmarks.deployment import Deployment
from benchmarks.workload import Ask
from railsail.upstreams.http import CutOff, HttpRequest, NotSent, exchange


@dataclass
class Seen:
    """What the caller of one request received; times are in seconds since the Unix epoch.

    ``request`` is the id that the daemon returned, ``first_at`` the time of the first byte of the
    body. ``whole`` tells whether the answer was complete, ``own`` whether it belonged to this
    request.
    """

    ask: Ask
    sent_at: float
    request: str = ""
    status: int = 0
    outcome: str = ""
    reason: str = ""
    first_at: float = 0.0
    ended_at: float = 0.0
    whole: bool = False
    own: bool = True
    error: str = ""
    retry_after: str = ""


class _Caller:
    """Receive one answer, and check that it is complete and belongs to its request."""

    def __init__(self, seen: Seen) -> None:
        self._seen = seen
        self._rest = b""
        self._next = 0
        self._done = False
        self.body = b""

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        self._seen.status = status
        self._seen.request = headers.get("X-Request-Id", "")
        self._seen.outcome = headers.get("X-Railsail-Outcome", "")
        self._seen.reason = headers.get("X-Railsail-Reason", "")
        self._seen.retry_after = headers.get("Retry-After", "")

    async def data(self, chunk: bytes) -> None:
        if not self._seen.first_at:
            self._seen.first_at = time.time()
        if self._seen.ask.label in ("status", "once") or self._seen.status != 200:
            self.body += chunk
            return
        *events, self._rest = (self._rest + chunk).split(b"\n\n")
        for event in events:
            self._take(event)

    def _take(self, event: bytes) -> None:
        number, _, data = event.partition(b"\n")
        if int(number.removeprefix(b"id: ")) != self._next or self._done:
            self._seen.own = False
        self._next += 1
        self._done = data == b"data: [DONE]"
        if not self._done and self._seen.request.encode() not in data:
            self._seen.own = False

    def judge(self) -> None:
        seen = self._seen
        if seen.status != 200:
            return
        if seen.ask.label in ("status", "once"):
            seen.whole = True
            seen.own = f'"key": "{seen.ask.key}"'.encode() in self.body
        else:
            seen.whole = self._done and not self._rest


async def play(
    deployment: Deployment,
    asks: list[Ask],
    choose: Callable[[int], str],
    drop_after: float = 0.0,
    tries: int = 1,
) -> list[Seen]:
    """Send each request at its time to the endpoint ``choose(ask.daemon)``.

    A caller whose request fails retries with the next daemon, and makes at most ``tries`` attempts.
    Requests that have not ended ``drop_after`` seconds after the last one was sent are cancelled;
    0 means that all are waited for. Return a record of each attempt.
    """
    begin = time.time() + 0.2
    tasks = []
    seen: list[Seen] = []
    for ask in asks:
        await asyncio.sleep(max(0.0, begin + ask.at - time.time()))
        tasks.append(asyncio.ensure_future(_ask(deployment, ask, choose, tries, seen)))
    if tasks:
        _, pending = await asyncio.wait(tasks, timeout=drop_after or None)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
    return seen


async def _ask(
    deployment: Deployment,
    ask: Ask,
    choose: Callable[[int], str],
    tries: int,
    seen: list[Seen],
) -> None:
    for attempt in range(tries):
        record = Seen(ask, time.time())
        seen.append(record)
        await call(deployment, choose(ask.daemon + attempt), record)
        if record.whole or record.status in (400, 401, 404):
            return
        await asyncio.sleep(0.5)


async def call(deployment: Deployment, endpoint: str, seen: Seen) -> None:
    """Make one call, and record its answer or its failure in ``seen``."""
    method, path, body = seen.ask.http(deployment.shape)
    headers = {"Authorization": f"Bearer rs-demo-{seen.ask.workspace}"}
    if seen.ask.label == "once":
        headers["Idempotency-Key"] = seen.ask.key
    if body:
        headers["Content-Type"] = "application/json"
    caller = _Caller(seen)
    try:
        await exchange(HttpRequest(endpoint, method, path, headers, body), caller)
        caller.judge()
    except (NotSent, CutOff) as problem:
        seen.error = f"{type(problem).__name__}: {problem}"
    except asyncio.CancelledError:
        seen.error = "given up"
        raise
    finally:
        seen.ended_at = time.time()
