"""Answers that daemons cut, or end as failed, because replicas stood still for a moment.

    python -m benchmarks.silences [--seed=1] [--seconds=14.5] [--daemons=12] [--runs=1]
        [--only=NAME[,NAME]] [--sources=DIR] [--other=DIR] [--keep=DIR]

Daemons run as processes with the adapter for the prepared platform, in front of eight stand-ins
that stand still as a stopped process does: for a moment, after which they go on where they were, or
for good. Callers send streams, two thirds of them resumable, and requests with short answers, half
of them idempotent; each makes one attempt. The daemons have run long enough to have their shares of
the retry slack. For each scenario the figures are

- the requests, and how many were served whole;
- the answers that a daemon cut, by route, the statuses of failures, and the refusals;
- the requests that ended at their deadline, and those that got nothing by then, by route;
- the requests that ran more than once, their runs, how often two runs of a request went on at once
  for over ``OVERLAP_SECONDS`` while neither replica stood still, and the requests that ran more
  than once although they may not be repeated;
- the streams with events that are missing, repeated or out of order;
- the longest gap between two events of a stream, and the time to the end of short answers.

A run fails if a request that a daemon read got neither its whole answer nor a refusal that holds,
if events are wrong, if a request ran twice that may not, if two runs of a request went on at once
for too long, or if a daemon ended by itself. A request that may not be repeated may end without an
answer where a replica fell silent for good.

With ``--sources`` the daemons run the build whose sources are in DIR, with ``--other`` every second
daemon does. With ``--keep``, the logs of all runs are kept under DIR: those of the daemons,
``replicas.log`` with the silences and the runs, ``callers.log`` with what each caller got, each
with times of the wall clock.
"""

import asyncio
import enum
import itertools
import json
import logging
import math
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import fire
import numpy as np

from benchmarks import brokenanswers
from benchmarks.brokenanswers import BrokenAnswers
from railsail.core.logs import configure_logs
from tests.platform.base import configuration, read_head, request
from tests.platform.processes import ROOT, Daemon, ProcessFleet, Silence
from tests.platform.standins import Received, ReplicaStandin, answering
from tests.platform.streams import StreamingVersion, events_of, versions_of

DOMAINS = 3
REPLICAS = 8
SLOTS = 40
FEW_SLOTS = 5
EVENTS = 30
PAUSE_SECONDS = 0.06
ANSWER_SECONDS = 0.4
REQUEST_INTERVAL_SECONDS = 1 / 40
ROUTE_WEIGHTS = {"resume": 40, "stream": 20, "again": 20, "once": 20}
REPEATABLE = frozenset({"resume", "again"})
STREAM_ROUTES = frozenset({"resume", "stream"})
ROUTE_FIELDS = {"max_attempts": 2, "slo_ms": 800, "gap_slo_ms": 300, "timeout_ms": 8000}
DEADLINE_SECONDS = 7.5
# An answer counts as ended at the deadline if it ended at most this long before it.
DEADLINE_MARGIN_SECONDS = 0.1
# Callers read on for this long after their deadline.
GRACE_SECONDS = 1.0
# A daemon has its share of the retry slack after 1.1 windows of its budget.
WARM_UP_SECONDS = 12.0
CALM_SECONDS = 1.0
SILENCE_SECONDS = 1.3
FOR_GOOD = math.inf
CONFIGURATION_INTERVAL_SECONDS = 0.4
SIGHUP_INTERVAL_SECONDS = 0.8
SIGTERM_INTERVAL_SECONDS = 3.2
OVERLAP_SECONDS = 0.4
KEPT_CHANGES = 4
# The requests that are named in the figures of a run.
MAX_PRINTED = 4
SETTINGS = {
    "cell-replicas": "64",
    "retry-ratio": "0.2",
    "retry-slack": "58",
    "retry-window-seconds": "10",
    # All events of all requests are logged.
    "log-lines-per-second": "5000",
    "log-requests-per-second": "1000",
}
SMALL_BUDGET = {"retry-ratio": "0.1", "retry-slack": "10"}
OK = 200
NOT_RUN = 503


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    # The connection ended without a whole answer.
    CUT = "cut"
    FAILED = "failed"
    # Nothing came by the deadline, and the connection stayed open.
    UNANSWERED = "unanswered"
    # The daemon did not take the connection.
    UNREACHED = "unreached"


@dataclass
class CallerRequest:
    """One request as its caller sees it; times are those of the event loop."""

    name: str
    route: str
    daemon: Daemon
    sent_at: float
    ended_at: float = 0.0
    connected: bool = False
    closed: bool = False
    status: int = 0
    whole: bool = False
    body: bytes = b""
    # When each piece of the body came.
    pieces_at: list[float] = field(default_factory=list)

    @property
    def may_repeat(self) -> bool:
        """Return True if the request may run more than once."""
        return self.route in REPEATABLE

    @property
    def is_stream(self) -> bool:
        """Return True if the answer is a stream of events."""
        return self.route in STREAM_ROUTES

    @property
    def ending(self) -> Ending:
        """Return how the request ended."""
        if not self.connected:
            return Ending.UNREACHED
        if not self.whole:
            return Ending.CUT if self.closed else Ending.UNANSWERED
        if self.status == OK:
            return Ending.SERVED
        return Ending.REFUSED if self.status == NOT_RUN else Ending.FAILED

    @property
    def seconds(self) -> float:
        """Return how long it took."""
        return self.ended_at - self.sent_at

    @property
    def ended_at_deadline(self) -> bool:
        """Return True if it had no answer until its deadline."""
        late = self.seconds >= DEADLINE_SECONDS - DEADLINE_MARGIN_SECONDS
        return late and self.ending is not Ending.SERVED

    @property
    def longest_gap(self) -> float:
        """Return the longest time between two pieces of the body."""
        gaps = [after - before for before, after in itertools.pairwise(self.pieces_at)]
        return max(gaps, default=0.0)

    @property
    def is_mixed(self) -> bool:
        """Return True if the answer has events of two versions."""
        return len(versions_of(self.body)) > 1

    @property
    def is_broken(self) -> bool:
        """Return True if a broken answer of a replica was passed on."""
        has_status = bool(self.status) and self.status not in brokenanswers.STATUSES
        return has_status or brokenanswers.BODY in self.body

    @property
    def has_wrong_events(self) -> bool:
        """Return True if events are missing, repeated or out of order."""
        if not self.is_stream or self.status != OK:
            return False
        numbers = [number for number, _ in events_of(self.body)]
        cut_short = self.whole and len(numbers) != EVENTS
        return numbers != list(range(len(numbers))) or cut_short


@dataclass
class Run:
    """One run of a request at a replica; ``ended_at`` is infinite while it goes on."""

    request: str
    replica: str
    began_at: float
    ended_at: float = math.inf


@dataclass
class Replicas:
    """Replicas whose runs are recorded, and that can stand still."""

    fleet: ProcessFleet
    runs: list[Run] = field(default_factory=list)
    broken: BrokenAnswers = field(default_factory=lambda: BrokenAnswers(random.Random(7)))
    _versions: dict[str, StreamingVersion] = field(default_factory=dict)

    async def start(self, count: int, slots: int, version: str = "v1") -> None:
        """Start ``count`` replicas of a software ``version``, with ``slots`` places each."""
        self._versions[version] = StreamingVersion(version, EVENTS, PAUSE_SECONDS)
        for _ in range(count):
            await self.fleet.add_replica(self._script, slots=slots, version=version)

    async def _script(self, replica: ReplicaStandin, received: Received, writer) -> None:
        version = self._versions[self.fleet.versions[replica.name]]
        run = Run(received.headers["Request-Id"], replica.name, _now())
        self.runs.append(run)
        is_stream = received.line.split("/")[1] in STREAM_ROUTES
        script = version.script if is_stream else answering(seconds=ANSWER_SECONDS)
        if self.broken.is_due(replica):
            script = self.broken.answer
        try:
            await script(replica, received, writer)
        finally:
            run.ended_at = _now()

    def awake(self) -> list[ReplicaStandin]:
        """Return the replicas that do not stand still."""
        return [replica for replica in self.fleet.replicas if not replica.is_paused]

    def silent_for_good(self) -> set[str]:
        """Return the names of the replicas that do not go on any more."""
        return {each.replica for each in self.fleet.silences if math.isinf(each.ended_at)}

    def silent_seconds(self, call: CallerRequest) -> float:
        """Return how long replicas that had a request stood still until its answer ended.

        Silences at once add up.
        """
        had_it = {run.replica for run in self.by_request().get(call.name, [])}
        return sum(
            each.seconds_within(call.sent_at, call.ended_at)
            for each in self.fleet.silences
            if each.replica in had_it
        )

    def overlapping(self) -> int:
        """Return how often a request ran at two replicas at once for too long.

        Time in which one of the two stood still does not count.
        """
        pairs = [pair for runs in self.by_request().values() for pair in itertools.pairwise(runs)]
        return sum(self._seconds_at_once(*pair) > OVERLAP_SECONDS for pair in pairs)

    def _seconds_at_once(self, before: Run, after: Run) -> float:
        began_at, ended_at = after.began_at, min(before.ended_at, after.ended_at)
        silent = sum(
            each.seconds_within(began_at, ended_at)
            for each in self.fleet.silences
            if each.replica in (before.replica, after.replica)
        )
        return ended_at - began_at - silent

    def by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request, in their order."""
        by_request: dict[str, list[Run]] = {}
        for run in self.runs:
            by_request.setdefault(run.request, []).append(run)
        return by_request


@dataclass
class Callers:
    """Callers that send requests to all daemons that a balancer names."""

    fleet: ProcessFleet
    rng: random.Random
    interval: float = REQUEST_INTERVAL_SECONDS
    requests: list[CallerRequest] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Send a request each ``interval`` seconds until cancelled."""
        routes, weights = list(ROUTE_WEIGHTS), list(ROUTE_WEIGHTS.values())
        while True:
            route = self.rng.choices(routes, weights)[0]
            daemon = self.rng.choice(self.fleet.balanced())
            call = CallerRequest(f"{route}-{len(self.requests)}", route, daemon, _now())
            self.requests.append(call)
            task = asyncio.ensure_future(self._call(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.interval)

    async def settle(self) -> None:
        """Wait until all requests have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _call(self, call: CallerRequest) -> None:
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + GRACE_SECONDS):
                await self._send(call)
        except TimeoutError:
            pass
        call.ended_at = _now()

    async def _send(self, call: CallerRequest) -> None:
        try:
            reader, writer = await asyncio.open_connection(call.daemon.ip, call.daemon.ports[0])
        except OSError:
            return
        call.connected = True
        deadline = str(round(DEADLINE_SECONDS * 1000))
        headers = {"Request_Id": call.name, "Deadline_Ms": deadline}
        try:
            # Requests of different callers differ, so that no replica's end is blamed on all.
            writer.write(request(f"/{call.route}/{call.name}", **headers))
            await _read(call, reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            call.closed = True
        finally:
            writer.close()


async def _read(call: CallerRequest, reader: asyncio.StreamReader) -> None:
    call.status, answered = await read_head(reader)
    if answered.get("Transfer-Encoding") != "chunked":
        call.body = await reader.readexactly(int(answered["Content-Length"]))
        call.whole = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        call.pieces_at.append(_now())
        if not size:
            call.whole = True
            return
        call.body += chunk[:-2]


@dataclass(frozen=True)
class Scenario:
    """Which replicas stand still and for how long, and what happens beside it.

    Each ``interval`` seconds, ``replicas`` of those that are awake stand still for ``seconds``.
    Silences for good happen once. ``slots`` is the number of places of each replica, and daemons
    have ``settings`` beside ``SETTINGS``.
    """

    replicas: int = 1
    seconds: float = SILENCE_SECONDS
    interval: float = 0.8
    slots: int = SLOTS
    settings: Mapping[str, str] = field(default_factory=dict)
    beside: "Callable[[SilenceRun], Awaitable[None]] | None" = None


@dataclass
class SilenceRun:
    """One run of a scenario."""

    scenario: Scenario
    fleet: ProcessFleet
    replicas: Replicas
    callers: Callers
    rng: random.Random
    began_at: float = math.inf
    ended_by_themselves: int = 0
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _version: Iterator[int] = field(default_factory=lambda: itertools.count(3))

    async def start(self, daemons: int, sources: Path, other: Path | None) -> None:
        """Start replicas and daemons, and wait until they serve."""
        self.change()
        await self.replicas.start(REPLICAS, self.scenario.slots)
        await self.fleet.add_daemons(daemons, DOMAINS, other, sources)
        await self.fleet.until_ready()

    async def run(self, seconds: float) -> None:
        """Send requests, let replicas stand still for ``seconds``, and wait for all answers."""
        calling = asyncio.ensure_future(self.callers.run())
        await asyncio.sleep(WARM_UP_SECONDS)
        self.began_at = _now()
        troubles = [asyncio.ensure_future(self._silence_replicas())]
        if self.scenario.beside is not None:
            troubles.append(asyncio.ensure_future(self.scenario.beside(self)))
        await asyncio.sleep(seconds)
        for task in [calling, *troubles]:
            task.cancel()
        await self.callers.settle()
        # Replicas that went on late may still begin requests.
        await asyncio.sleep(CALM_SECONDS)
        self.ended_by_themselves = sum(
            not daemon.running and math.isinf(daemon.leaves_at) for daemon in self.fleet.daemons
        )
        await asyncio.gather(*self._tasks)

    async def _silence_replicas(self) -> None:
        scenario = self.scenario
        await asyncio.sleep(CALM_SECONDS)
        while scenario.replicas:
            awake = self.replicas.awake()
            for replica in self.rng.sample(awake, min(len(awake), scenario.replicas)):
                self.fleet.silence(replica, scenario.seconds)
            if math.isinf(scenario.seconds):
                return
            await asyncio.sleep(scenario.interval)

    def change(self) -> None:
        """Put the next version of the configuration into the store."""
        self.fleet.store.put("config", "main", _configuration(next(self._version)))

    def restart(self, daemon: Daemon) -> None:
        """Ask a daemon to stop, and start it again once it has."""
        task = asyncio.ensure_future(self._restart(daemon))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, daemon: Daemon) -> None:
        await self.fleet.end(daemon)
        self.fleet.start(daemon)


def _configuration(version: int) -> dict:
    """Return a configuration; each version changes keys, routes, tenants and a timeout."""
    fields = ROUTE_FIELDS | {"timeout_ms": ROUTE_FIELDS["timeout_ms"] + version % KEPT_CHANGES}
    value = configuration(version, **dict.fromkeys(ROUTE_WEIGHTS, fields))
    value["services"][0]["max_conns"] = SLOTS
    like = value["routes"][0]
    for kept in range(max(0, version - KEPT_CHANGES), version):
        added = {"name": f"added-{kept}", "path_prefix": f"/added-{kept}/", "priority": kept % 3}
        value["routes"].append(like | added)
        value["tenants"][0]["api_keys"].append(f"the-key-of-{kept}")
        value["tenants"].append({"name": f"tenant-{kept}", "api_keys": [f"own-key-of-{kept}"]})
    return value


async def change_configuration(run: SilenceRun) -> None:
    """Change the configuration again and again."""
    while True:
        run.change()
        await asyncio.sleep(CONFIGURATION_INTERVAL_SECONDS)


async def reload_daemons(run: SilenceRun) -> None:
    """Let daemons reload their settings, one at a time."""
    while True:
        run.rng.choice(run.fleet.daemons).process.send_signal(signal.SIGHUP)
        await asyncio.sleep(SIGHUP_INTERVAL_SECONDS)


async def stop_daemons(run: SilenceRun) -> None:
    """Stop daemons gracefully, one at a time, and start each again."""
    while True:
        staying = [each for each in run.fleet.daemons if math.isinf(each.leaves_at)]
        run.restart(run.rng.choice(staying))
        await asyncio.sleep(SIGTERM_INTERVAL_SECONDS)


SCENARIOS = {
    "configurations": Scenario(replicas=0, beside=change_configuration),
    "one": Scenario(),
    "one_configurations": Scenario(beside=change_configuration),
    "half": Scenario(replicas=4, interval=3.0),
    "half_few_places": Scenario(replicas=4, interval=3.0, slots=FEW_SLOTS),
    "all": Scenario(replicas=REPLICAS, interval=3.5),
    "all_configurations": Scenario(replicas=REPLICAS, interval=3.5, beside=change_configuration),
    "one_sighup": Scenario(beside=reload_daemons),
    "one_sigterm": Scenario(beside=stop_daemons),
    "short_one": Scenario(seconds=0.9),
    "short_all": Scenario(replicas=REPLICAS, seconds=0.9, interval=3.5),
    "short_one_configurations": Scenario(seconds=0.9, beside=change_configuration),
    "short_all_configurations": Scenario(
        replicas=REPLICAS, seconds=0.9, interval=3.5, beside=change_configuration
    ),
    "long_one": Scenario(seconds=1.9),
    "long_all_configurations": Scenario(
        replicas=REPLICAS, seconds=1.9, interval=3.5, beside=change_configuration
    ),
    "one_small_budget": Scenario(settings=SMALL_BUDGET),
    "all_small_budget": Scenario(replicas=REPLICAS, interval=3.5, settings=SMALL_BUDGET),
    "one_for_good": Scenario(seconds=FOR_GOOD),
    "group_for_good": Scenario(replicas=3, seconds=FOR_GOOD),
    "group_for_good_small_budget": Scenario(3, FOR_GOOD, settings=SMALL_BUDGET),
}


@dataclass(frozen=True)
class SilenceResult:
    """The figures of one run; see the documentation of the module."""

    name: str
    seed: int
    requests: int
    served: int
    cut: Counter
    statuses: Counter
    refused: int
    unreached: int
    at_deadline: Counter
    run_again: int
    runs: int
    overlapping: int
    run_twice: list[str]
    wrong_events: int
    gaps: list[float]
    seconds: list[float]
    # The requests without an answer that are no failure: they may not be repeated, and only
    # replicas that fell silent for good had them.
    excused: int
    # The requests that got neither a whole answer nor a refusal that holds.
    lost: list[str]
    ended_by_themselves: int

    @property
    def passed(self) -> bool:
        """Return True if all checks passed."""
        ran_wrongly = self.run_twice or self.overlapping or self.wrong_events
        return not (self.lost or ran_wrongly or self.ended_by_themselves)

    def __str__(self) -> str:
        gaps = [f"{value:.2f}" for value in _quantiles(self.gaps)]
        seconds = [f"{value:.2f}" for value in _quantiles(self.seconds)]
        return (
            f"{self.name} seed {self.seed}: {self.requests} requests, {self.served} served, "
            f"cut {dict(self.cut)}, failed {dict(self.statuses)}, {self.refused} refused, "
            f"{self.unreached} unreached, at the deadline {dict(self.at_deadline)}, "
            f"{self.excused} without an answer excused; "
            f"{self.run_again} ran again ({self.runs} runs, {self.overlapping} overlapped), "
            f"{len(self.run_twice)} twice; {self.wrong_events} with wrong events, "
            f"longest gaps p50 {gaps[0]} p99 {gaps[1]} max {gaps[2]} s, "
            f"short answers p50 {seconds[0]} p99 {seconds[1]} max {seconds[2]} s, "
            f"{self.ended_by_themselves} daemons ended, "
            f"{len(self.lost)} lost {self.lost[:MAX_PRINTED]}"
        )


def _quantiles(values: list[float]) -> list[float]:
    return [float(np.percentile(values, share)) for share in (50, 99, 100)] if values else [0.0] * 3


async def run_scenario(
    name: str,
    seed: int,
    seconds: float,
    daemons: int,
    folder: Path,
    sources: Path = ROOT,
    other: Path | None = None,
) -> SilenceResult:
    """Run one scenario, and return its figures; the logs are in ``folder``."""
    fleet = ProcessFleet(folder)
    fleet.settings = SETTINGS | SCENARIOS[name].settings
    replicas = Replicas(fleet)
    callers = Callers(fleet, random.Random(f"{seed} callers"))
    rng = random.Random(f"{seed} {name}")
    run = SilenceRun(SCENARIOS[name], fleet, replicas, callers, rng)
    try:
        await run.start(daemons, sources, other)
        await run.run(seconds)
        write_logs(replicas, callers.requests, folder)
        return _to_result(name, seed, run)
    finally:
        await fleet.stop()


def _to_result(name: str, seed: int, run: SilenceRun) -> SilenceResult:
    calls = [call for call in run.callers.requests if call.sent_at >= run.began_at]
    runs = run.replicas.by_request()
    endings = Counter(call.ending for call in calls)
    again = [call for call in calls if len(runs.get(call.name, [])) > 1]
    unanswered = [call for call in calls if not is_answered(call, runs)]
    silent = run.replicas.silent_for_good()
    lost = [call for call in unanswered if not _is_excused(call, runs, silent)]
    served = [call for call in calls if call.ending is Ending.SERVED]
    return SilenceResult(
        name,
        seed,
        len(calls),
        endings[Ending.SERVED],
        Counter(call.route for call in calls if call.ending is Ending.CUT),
        Counter(call.status for call in calls if call.ending is Ending.FAILED),
        endings[Ending.REFUSED],
        endings[Ending.UNREACHED],
        Counter(call.route for call in calls if call.ended_at_deadline),
        len(again),
        sum(len(runs[call.name]) for call in again),
        run.replicas.overlapping(),
        [call.name for call in again if not call.may_repeat],
        sum(call.has_wrong_events for call in calls),
        [call.longest_gap for call in served if call.is_stream],
        [call.seconds for call in served if not call.is_stream],
        len(unanswered) - len(lost),
        [call.name for call in lost],
        run.ended_by_themselves,
    )


def is_answered(call: CallerRequest, runs: dict[str, list[Run]]) -> bool:
    """Return True if a request got its whole answer or a refusal that holds, or was not sent."""
    if call.ending is Ending.REFUSED:
        return call.name not in runs
    return call.ending in (Ending.SERVED, Ending.UNREACHED)


def _is_excused(call: CallerRequest, runs: dict[str, list[Run]], silent: set[str]) -> bool:
    """Return True if a request may not be repeated, and only replicas silent for good had it."""
    had_it = {run.replica for run in runs.get(call.name, [])}
    return not call.may_repeat and bool(silent) and had_it <= silent


def write_logs(replicas: Replicas, calls: list[CallerRequest], folder: Path) -> None:
    """Write what replicas and callers saw into ``folder``, one JSON object a line."""
    to_wall = time.time() - _now()
    spans = [
        {"event": "silence", "replica": each.replica} | _times(each, to_wall)
        for each in replicas.fleet.silences
    ]
    spans += [
        {"event": "run", "replica": each.replica, "request": each.request} | _times(each, to_wall)
        for each in replicas.runs
    ]
    callers = [
        {"request": call.name, "node": call.daemon.node, "ending": call.ending}
        | {"status": call.status, "sent_at": _wall(call.sent_at, to_wall)}
        | {"ended_at": _wall(call.ended_at, to_wall), "events": len(events_of(call.body))}
        | {"longest_gap": round(call.longest_gap, 3)}
        for call in calls
    ]
    _write_lines(folder / "replicas.log", sorted(spans, key=lambda line: line["began_at"]))
    _write_lines(folder / "callers.log", callers)


def _times(span: Run | Silence, to_wall: float) -> dict[str, str]:
    return {
        "began_at": _wall(span.began_at, to_wall),
        "ended_at": _wall(span.ended_at, to_wall),
    }


def _wall(at: float, to_wall: float) -> str:
    if math.isinf(at):
        return "never"
    seconds = at + to_wall
    return time.strftime("%H:%M:%S", time.gmtime(seconds)) + f"{seconds % 1:.3f}"[1:]


def _write_lines(path: Path, lines: list[dict]) -> None:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))


def _now() -> float:
    return asyncio.get_running_loop().time()


def main(
    seed: int = 1,
    seconds: float = 14.5,
    daemons: int = 12,
    runs: int = 1,
    only: str = "",
    sources: str = str(ROOT),
    other: str = "",
    keep: str = "",
) -> None:
    """Run all scenarios, or ``only`` some, with ``runs`` seeds from ``seed`` on.

    The exit code is 1 if one of them failed.
    """
    configure_logs("critical", "silences")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    names = only.split(",") if isinstance(only, str) and only else list(only or SCENARIOS)
    build, other_build = Path(sources).resolve(), Path(other).resolve() if other else None
    passed = True
    for number in range(seed, seed + runs):
        for name in names:
            prefix = f"silences-{name}-{number}-"
            folder = Path(tempfile.mkdtemp(prefix=prefix, dir=keep or None))
            run = run_scenario(name, number, seconds, daemons, folder, build, other_build)
            result = asyncio.run(run)
            print(result, "" if result.passed else f"FAILED, logs in {folder}", flush=True)
            passed = passed and result.passed
            if result.passed and not keep:
                shutil.rmtree(folder)
    if not passed:
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(main)
