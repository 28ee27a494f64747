"""Measure both errors of the quarantine of prompt parts: missed bad parts, held sound ones.

    python -m benchmarks.parts [--seed=1] [--seconds=20] [--daemons=6] [--runs=1] [--only=NAME]
        [--sources=DIR] [--other=DIR] [--cell_replicas=64]

Daemons run as processes with the adapter for the prepared platform, in front of stand-ins that
crash when they begin to write an answer to a prompt with a bad part, and are back at the same
address under another id. Sound requests of the same caller share all other parts with the bad ones.
For each scenario the figures are

- the crashes, and the requests with a bad part that were sent to replicas later than
  ``CONTACT_SECONDS`` after the fifth crash under that part (three are allowed; ``LATE_ALLOWED``);
- the share of the sound requests that were served at the first attempt, before the bad ones come,
  until ``RECOVERY_SECONDS`` after the fifth crash, and later;
- the answers with status 200 to sound requests whose body was cut, by what the caller can tell;
- the parts and requests that daemons held back although nothing was wrong with them.

With ``--sources`` the daemons run the build whose sources are in DIR, with ``--other`` every second
daemon does.
"""

import asyncio
import itertools
import json
import logging
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import fire

from benchmarks.relay import Relay
from railsail.core.fingerprints import fingerprint_name, part_fingerprint
from railsail.core.logs import configure_logs
from tests.platform.base import Answer, configuration, read_answer, request
from tests.platform.crashing import AnswerShape, crashing_on, restarted, sound_body
from tests.platform.processes import ROOT, Daemon, ProcessFleet
from tests.platform.standins import ReplicaStandin

DOMAINS = 3
REPLICAS = 9
SLOTS = 24
STARTUP_SECONDS = 6.0
# Before the bad requests come.
CALM_SECONDS = 5.0
SOUND_INTERVAL_SECONDS = 1 / 40
BAD_INTERVAL_SECONDS = 1 / 4
RARE_INTERVAL_SECONDS = 1.5
SELF_CRASH_SECONDS = 0.8
ANSWER_SECONDS = 0.4
RESTART_SECONDS = 2.0
CUT_SECONDS = 8.0
BURST = 30
ALLOWED_CRASHES = 5
CONTACT_SECONDS = 3.0
RECOVERY_SECONDS = 2 * CONTACT_SECONDS
LATE_ALLOWED = 3
# After the crashes end, sound requests begin at least this share as often as before.
MIN_SOUND_SHARE = 0.5
MAX_RESUMES = 2
DEADLINE_MS = 4000
FIRST_PARTS = ("f0", "f1")
MIDDLE_PARTS = tuple(f"a{number:02}" for number in range(12))
BAD_PARTS = ("dead0", "dead1")
OK = 200
WITH_LENGTH = AnswerShape()
OPEN = AnswerShape(has_length=False)
STREAM = AnswerShape(stream=True)
OPEN_STREAM = AnswerShape(has_length=False, stream=True)


@dataclass(frozen=True)
class Scenario:
    """What bad requests look like, and what else happens.

    ``bad_parts`` is how many bad parts come in turn. ``bad_first`` puts them in front of the
    prompt. ``equal`` repeats one request. ``burst`` sends ``BURST`` of them at one moment.
    ``services`` is how many services have the replicas. ``trouble`` runs beside the bad requests;
    ``relayed`` puts a relay between the daemons for it.
    """

    shape: AnswerShape = WITH_LENGTH
    bad_parts: int = 1
    bad_first: bool = False
    equal: bool = False
    burst: bool = False
    interval: float = BAD_INTERVAL_SECONDS
    services: int = 1
    trouble: Callable[["PartsRun"], Awaitable[None]] | None = None
    relayed: bool = False

    @property
    def route(self) -> str:
        """Return the route of the requests."""
        return "resume" if self.shape.stream else "again"


@dataclass
class SoundCall:
    """The first attempt of a sound request: when it was sent, and what its caller got."""

    at: float
    status: int = 0
    whole: bool = False
    cut: bool = False

    @property
    def served(self) -> bool:
        """Return True if the caller got the whole answer."""
        return self.status == OK and self.whole and not self.cut


@dataclass
class PartsRun:
    """One run of a scenario."""

    scenario: Scenario
    fleet: ProcessFleet
    rng: random.Random
    sound: list[SoundCall] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    bad_began_at: float = 0.0
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _number: int = 0
    _names: Iterator[int] = field(default_factory=itertools.count)

    @property
    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    async def start(self, daemons: int, sources: Path, other: Path | None) -> None:
        """Start replicas and daemons, and wait until they serve."""
        value = configuration(3)
        for route in value["routes"]:
            route |= {"sticky": True, "slo_ms": 1000}
        services = [f"desk{number or ''}" for number in range(self.scenario.services)]
        value["services"] = [{"name": s, "health_path": "/h", "max_conns": 99} for s in services]
        value["routes"] += [
            route
            | {"name": f"{route['name']}1", "path_prefix": f"/{route['name']}1/"}
            | {"service": "desk1"}
            for route in value["routes"]
            if len(services) > 1
        ]
        self.fleet.store.put("config", "main", value)
        for number in range(REPLICAS):
            script = crashing_on(BAD_PARTS, self.scenario.shape, ANSWER_SECONDS)
            service = services[number % len(services)]
            replica = await self.fleet.add_replica(script, service, SLOTS)
            replica.crashed = self._crashed
            replica.closes_in_order = not self.scenario.shape.has_length
        await self.fleet.add_daemons(daemons, DOMAINS, other, sources)
        await self.fleet.until_ready()
        await asyncio.sleep(STARTUP_SECONDS)

    def _crashed(self, replica: ReplicaStandin) -> None:
        parts = [self._bad_part_of(received) for received in replica.received]
        self.crashes.append((self.now, next((part for part in parts[::-1] if part), "")))
        self._start(self._restart(replica))

    def _bad_part_of(self, received) -> str:
        prompt = received.headers.get("Prompt-Prefix", "")
        return next((part for part in BAD_PARTS if f"{part}:" in prompt), "")

    async def _restart(self, replica: ReplicaStandin) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        spec = self.fleet.store.objects[("servers", replica.name)]["spec"]
        self.fleet.store.remove("servers", replica.name)
        again = await restarted(replica, f"i-again-{next(self._names)}")
        self.fleet.replicas.append(again)
        self.fleet.store.put("servers", again.name, spec)

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, seconds: float) -> None:
        """Send requests for ``seconds``, and wait for their answers."""
        ends_at = self.now + seconds
        sending = [asyncio.ensure_future(self._send_sound())]
        await asyncio.sleep(CALM_SECONDS)
        self.bad_began_at = self.now
        if self.scenario.bad_parts:
            sending.append(asyncio.ensure_future(self._send_bad()))
        if self.scenario.trouble is not None:
            sending.append(asyncio.ensure_future(self.scenario.trouble(self)))
        await asyncio.sleep(ends_at - self.now)
        for task in sending:
            task.cancel()
        await asyncio.sleep(DEADLINE_MS / 1000)
        for task in list(self._tasks):
            task.cancel()

    async def _send_sound(self) -> None:
        while True:
            self._start(self._call_sound())
            await asyncio.sleep(SOUND_INTERVAL_SECONDS)

    async def _send_bad(self) -> None:
        if self.scenario.burst:
            for _ in range(BURST):
                self._start(self._call_bad())
        while True:
            self._start(self._call_bad())
            await asyncio.sleep(self.scenario.interval)

    async def _call_sound(self) -> None:
        call = SoundCall(self.now)
        self.sound.append(call)
        parts = [self.rng.choice(FIRST_PARTS), self.rng.choice(MIDDLE_PARTS)]
        answer = await self._call(self.rng.choice(self.fleet.daemons), parts)
        call.status, call.whole = answer.status, answer.whole
        call.cut = answer.whole and answer.status == OK and answer.body != self._sound_body()

    def _sound_body(self) -> bytes:
        return sound_body(self.scenario.shape)

    async def _call_bad(self) -> None:
        bad = BAD_PARTS[self._number % self.scenario.bad_parts]
        shared = self.rng.choice(FIRST_PARTS)
        parts = [bad, self.rng.choice(MIDDLE_PARTS)] if self.scenario.bad_first else [shared, bad]
        resumes: dict[str, str] = {}
        for _ in range(1 + MAX_RESUMES):
            name = f"r-{self._number}"
            answer = await self._call(self.rng.choice(self.fleet.daemons), parts, **resumes)
            if answer.whole or not self.scenario.shape.stream or b"id: " not in answer.body:
                return
            resumes = {"Resumes": name, "Last_Event_Id": "0"}

    async def _call(self, daemon: Daemon, parts: list[str], **headers: str) -> Answer:
        self._number += 1
        number = self._number
        equal = self.scenario.equal and any(part in BAD_PARTS for part in parts)
        own = "own" if equal else f"own{number}"
        prompt = ",".join([*(f"{part}:400" for part in parts), f"{own}:250"])
        service = str(number % self.scenario.services or "")
        target = f"/{self.scenario.route}{service}/{own}"
        try:
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[0])
        except OSError:
            return Answer(0, {}, b"", False)
        try:
            headers |= {"Token_Count": "1050,30", "Prompt_Prefix": prompt, "Model": "lm"}
            headers |= {"Request_Id": f"r-{number}", "Deadline_Ms": str(DEADLINE_MS)}
            writer.write(request(target, "GET", b"", **headers))
            return await read_answer(reader)
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            return Answer(0, {}, b"", False)
        finally:
            writer.close()

    def late(self, part: str) -> int:
        """Return how many requests with ``part`` were sent after all daemons had to know it."""
        crashed = [at for at, bad in self.crashes if bad == part]
        if len(crashed) < ALLOWED_CRASHES:
            return 0
        since = crashed[ALLOWED_CRASHES - 1] + CONTACT_SECONDS
        received = [got for replica in self.fleet.replicas for got in replica.received]
        return sum(got.at > since and self._bad_part_of(got) == part for got in received)

    def sound_shares(self) -> tuple[float, float, float]:
        """Return the served share before the bad requests, until recovery is due, and later."""
        number = min(ALLOWED_CRASHES, len(self.crashes)) - 1
        last = self.crashes[number][0] if self.crashes else self.bad_began_at
        due = last + RECOVERY_SECONDS
        begun = self.bad_began_at
        return (
            _share([call for call in self.sound if call.at < begun]),
            _share([call for call in self.sound if begun <= call.at < due]),
            _share([call for call in self.sound if call.at >= due]),
        )

    def held(self) -> int:
        """Return the verdicts of the daemons over sound parts and requests, by their logs.

        Equal requests with a bad part are held back for themselves as well.
        """
        bad = {fingerprint_name(part_fingerprint(part)) for part in BAD_PARTS}
        held = set()
        for daemon in self.fleet.daemons:
            for line in daemon.log.read_bytes().splitlines():
                if b'"quarantine"' in line and b'"held"' in line:
                    verdict = json.loads(line)
                    if verdict.get("subject") == "part" or not self.scenario.equal:
                        held.add(verdict["fingerprint"])
        return len(held - bad)


def _share(calls: list[SoundCall]) -> float:
    return sum(call.served for call in calls) / len(calls) if calls else 1.0


@dataclass(frozen=True)
class PartsResult:
    """The figures of one run; see the documentation of the module."""

    name: str
    seed: int
    crashes: int
    late: dict[str, int]
    shares: tuple[float, float, float]
    cut: int
    sound: int
    held: int
    recovers: bool

    @property
    def passed(self) -> bool:
        """Return True if bad parts are stopped, and sound requests served, whole and as before."""
        stopped = all(late <= LATE_ALLOWED for late in self.late.values())
        served = self.shares[2] >= MIN_SOUND_SHARE * self.shares[0]
        return stopped and not self.held and not self.cut and (served or not self.recovers)

    def __str__(self) -> str:
        late = " ".join(f"{part} {count}" for part, count in self.late.items()) or "-"
        shares = ", ".join(f"{share:.2f}" for share in self.shares)
        return (
            f"{self.name} seed {self.seed}: {self.crashes} crashes, late {late}, sound {shares}, "
            f"{self.cut} of {self.sound} sound answers cut, {self.held} held without cause"
        )


async def kill_daemons(run: PartsRun) -> None:
    """Kill half of the daemons after the fifth crash, twice."""
    for _ in range(2):
        while len(run.crashes) < ALLOWED_CRASHES and run.now < run.bad_began_at + CONTACT_SECONDS:
            await asyncio.sleep(0.05)
        daemons = run.rng.sample(run.fleet.daemons, len(run.fleet.daemons) // 2)
        await asyncio.gather(*(run.fleet.kill(daemon) for daemon in daemons))
        await asyncio.sleep(0.5)
        for daemon in daemons:
            run.fleet.start(daemon)
        await asyncio.sleep(CONTACT_SECONDS)


async def restart_all(run: PartsRun) -> None:
    """Kill all daemons at once after the second crash."""
    while len(run.crashes) < 2:
        await asyncio.sleep(0.02)
    await asyncio.gather(*(run.fleet.kill(daemon) for daemon in run.fleet.daemons))
    for daemon in run.fleet.daemons:
        run.fleet.start(daemon)


async def cut_domain(run: PartsRun) -> None:
    """Cut a failure domain off from the others for a while; its daemons reach the store."""
    cut = [daemon.ip for daemon in run.fleet.daemons[::DOMAINS]]
    others = [daemon.ip for daemon in run.fleet.daemons if daemon.ip not in cut]
    run.fleet.relay.cut(cut, others, both=True)
    await asyncio.sleep(CUT_SECONDS)
    run.fleet.relay.heal()


async def pause_daemons(run: PartsRun) -> None:
    """Pause a third of the daemons while the first replicas crash, and resume them."""
    daemons = run.fleet.daemons[::DOMAINS]
    for daemon in daemons:
        run.fleet.pause(daemon)
    await asyncio.sleep(CONTACT_SECONDS)
    for daemon in daemons:
        run.fleet.resume(daemon)


async def store_away(run: PartsRun) -> None:
    """Let the store turn all daemons away."""
    run.fleet.store.down = True


async def crash_replicas(run: PartsRun) -> None:
    """Crash a replica at a time, which no request is to blame for."""
    while True:
        await asyncio.sleep(SELF_CRASH_SECONDS)
        live = [r for r in run.fleet.replicas if r.is_listening]
        run.rng.choice(live).crash()


SCENARIOS = {
    "middle": Scenario(),
    "first": Scenario(bad_first=True),
    "burst": Scenario(burst=True),
    "killed_daemons": Scenario(trouble=kill_daemons),
    "all_restarted": Scenario(trouble=restart_all),
    "cut_domain": Scenario(trouble=cut_domain, relayed=True),
    "paused_daemons": Scenario(trouble=pause_daemons),
    "store_away": Scenario(trouble=store_away),
    "two_parts": Scenario(bad_parts=2),
    "two_parts_burst": Scenario(bad_parts=2, burst=True),
    "crashes_beside": Scenario(trouble=crash_replicas),
    "two_services": Scenario(services=2),
    "stream": Scenario(STREAM),
    "open": Scenario(OPEN),
    "open_stream": Scenario(OPEN_STREAM),
    "equal": Scenario(equal=True),
    "equal_open": Scenario(OPEN, equal=True),
    "rare": Scenario(interval=RARE_INTERVAL_SECONDS),
    "nobody": Scenario(bad_parts=0, trouble=crash_replicas),
    "nobody_open_stream": Scenario(OPEN_STREAM, bad_parts=0, trouble=crash_replicas),
}


async def run_scenario(
    name: str,
    seed: int,
    seconds: float,
    daemons: int,
    folder: Path,
    sources: Path = ROOT,
    other: Path | None = None,
    cell_replicas: int = 64,
) -> PartsResult:
    """Run one scenario, and return its figures; the daemons log into ``folder``."""
    fleet = ProcessFleet(folder, relay=Relay() if SCENARIOS[name].relayed else None)
    fleet.settings = {"cell-replicas": str(cell_replicas)}
    scenario = SCENARIOS[name]
    run = PartsRun(scenario, fleet, random.Random(f"{seed} {name}"))
    try:
        await run.start(daemons, sources, other)
        await run.run(seconds)
    finally:
        await fleet.stop()
    return PartsResult(
        name,
        seed,
        len(run.crashes),
        {part: run.late(part) for part in BAD_PARTS[: scenario.bad_parts]},
        run.sound_shares(),
        sum(call.cut for call in run.sound),
        len(run.sound),
        run.held(),
        scenario.trouble is not crash_replicas,
    )


async def _run_all(
    names: list[str], seeds: range, seconds: float, daemons: int, options: dict[str, object]
) -> bool:
    passed = True
    for name in names:
        for seed in seeds:
            folder = Path(tempfile.mkdtemp(prefix="railsail-parts-"))
            result = await run_scenario(name, seed, seconds, daemons, folder, **options)
            print("passed" if result.passed else f"FAILED (logs in {folder})", result, flush=True)
            passed = passed and result.passed
            if result.passed:
                shutil.rmtree(folder)
    return passed


def main(
    seed: int = 1,
    seconds: float = 20.0,
    daemons: int = 6,
    runs: int = 1,
    only: str = "",
    sources: str = "",
    other: str = "",
    cell_replicas: int = 64,
) -> None:
    """Run the scenarios with ``runs`` seeds each; the exit code is 1 if one of them failed."""
    configure_logs("critical", "benchmark")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    names = only.split(",") if isinstance(only, str) and only else list(only or SCENARIOS)
    options = {
        "sources": Path(sources).resolve() if sources else ROOT,
        "other": Path(other).resolve() if other else None,
        "cell_replicas": cell_replicas,
    }
    if not asyncio.run(_run_all(names, range(seed, seed + runs), seconds, daemons, options)):
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(main)
