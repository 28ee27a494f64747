"""Streams whose callers resume them, while replicas of several software versions serve.

    python -m benchmarks.streams [--seed=1] [--seconds=15] [--daemons=6] [--runs=1] [--only=NAME]
        [--sources=DIR] [--other=DIR] [--cell_replicas=64] [--regions]

Daemons run as processes with the adapter for the prepared platform, in front of stand-ins that mark
each event with the version that wrote it. Callers begin streams at any daemon. A caller whose
answer breaks off resumes its stream at another daemon, and names the request whose answer brought
the first event. For each scenario the figures are

- the streams, and how many of them were begun;
- the answers, and the streams over all attempts, with events of two versions;
- the events that are missing or repeated;
- the share of the resumed streams that went on, and what the others got; streams of whose version
  fewer than two replicas serve, and those resumed at a daemon that was disturbed a moment before,
  are counted separately.

With fewer ``--cell_replicas`` the pool has several cells. With ``--regions`` the failure domains
are in two regions, each with replicas of both versions.

With ``--sources`` the daemons run the build whose sources are in DIR, with ``--other`` every second
daemon does. On the build that continued streams at any version, 21 of 492 to 78 of 530 streams had
events of two versions where a third of them broke off.
"""

import asyncio
import logging
import math
import random
import shutil
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import fire

from benchmarks.relay import Relay
from railsail.core.logs import configure_logs
from tests.platform.base import configuration, read_head, request
from tests.platform.processes import ROOT, Daemon, ProcessFleet
from tests.platform.standins import ReplicaStandin, TurnedAway
from tests.platform.streams import StreamingVersion, events_of, versions_of

DOMAINS = 3
REPLICAS_PER_VERSION = 4
CELL_REPLICAS = 64
# With two regions: the region of each failure domain, and the failure domains of replicas.
DOMAIN_REGIONS = "domain-0=north,domain-1=north,domain-2=south"
REGIONS_ZONES = ("domain-0", "domain-2")
EVENTS = 30
PAUSE_SECONDS = 0.06
STREAM_INTERVAL_SECONDS = 1 / 30
STARTUP_SECONDS = 6.0
DEADLINE_SECONDS = 12.0
# A caller gives up after this many attempts.
MAX_ATTEMPTS = 4
SILENCE_SECONDS = 2.0
CONNECT_SECONDS = 1.0
# Interval at which callers look for a daemon while none runs, and their pause after one to which
# they cannot connect.
CHOICE_SECONDS = 0.05
CONNECT_PAUSE_SECONDS = 0.5
BREAK_SHARE = 1 / 3
# The share of resumed streams that has to go on is this part of the share of streams that begin.
MIN_RESUMED_SHARE = 0.5
# With fewer resumed streams, their share says little. An attempt to resume a stream is not counted
# if fewer replicas of its version than this serve, or if its daemon has run, been answered by the
# store and reached its peers for less than this time.
MIN_RESUMED = 12
MIN_SERVING = 2
SETTLED_SECONDS = 3.0
# The same time in scenarios in which all daemons are lost: what they knew has to be there at once.
RETURNED_SECONDS = 0.5
OK = 200


@dataclass
class CallerStream:
    """One stream as its caller sees it: the events of each attempt, and how each attempt ended."""

    name: str
    answers: list[bytes] = field(default_factory=list)
    # The nodes that gave the answers.
    nodes: list[str] = field(default_factory=list)
    # The request whose answer brought the first event, empty before that.
    first: str = ""
    whole: bool = False
    # What each attempt to resume the stream got, ``went on`` if it brought events. Attempts at a
    # daemon that was disturbed a moment before, or while fewer than two replicas of the version
    # served, are in ``resumed_in_trouble``.
    resumed: list[str] = field(default_factory=list)
    resumed_in_trouble: list[str] = field(default_factory=list)

    @property
    def version(self) -> str:
        """Return the software version that began the stream."""
        return self.events[0][1]

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the events of all attempts."""
        return [event for answer in self.answers for event in events_of(answer)]

    @property
    def is_mixed(self) -> bool:
        """Return True if the stream has events of two versions."""
        return len({version for _, version in self.events}) > 1

    @property
    def has_wrong_events(self) -> bool:
        """Return True if events are missing, repeated or out of order."""
        numbers = [number for number, _ in self.events]
        return numbers != list(range(len(numbers))) or (self.whole and len(numbers) != EVENTS)


@dataclass
class StreamCallers:
    """Callers that begin streams at the daemons of ``fleet``, and resume those that break off.

    ``serving`` returns how many replicas of a version serve. A daemon counts as undisturbed after
    ``settled`` seconds. With ``leaves_after``, callers leave the first answer after so many events.
    ``unnamed_share`` of the resumed streams don't name the request that began them.
    ``out_of_step_share`` of them are resumed at a daemon that is cut off or stands still, if any.
    """

    fleet: ProcessFleet
    rng: random.Random
    serving: Callable[[str], int]
    settled: float = SETTLED_SECONDS
    leaves_after: int = EVENTS + 1
    unnamed_share: float = 0.0
    out_of_step_share: float = 0.0
    streams: list[CallerStream] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Begin streams until cancelled."""
        while True:
            stream = CallerStream(f"s-{len(self.streams)}")
            self.streams.append(stream)
            task = asyncio.ensure_future(self._call(stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(STREAM_INTERVAL_SECONDS)

    async def settle(self) -> None:
        """Wait until all streams have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _call(self, stream: CallerStream) -> None:
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + DEADLINE_SECONDS
        before = None
        for number in range(MAX_ATTEMPTS):
            daemon = await self._choose(stream, before)
            remaining = deadline_at - loop.time()
            if stream.whole or remaining <= 0:
                return
            pause = await self._attempt(stream, daemon, f"{stream.name}-{number}", remaining)
            before = daemon
            await asyncio.sleep(min(pause, max(0.0, deadline_at - loop.time()) / 3))

    async def _choose(self, stream: CallerStream, before: Daemon | None) -> Daemon:
        """Return a daemon that the balancer uses, once any daemon runs."""
        while not any(daemon.running for daemon in self.fleet.daemons):
            await asyncio.sleep(CHOICE_SECONDS)
        others = [each for each in self.fleet.balanced() if each is not before]
        out_of_step = [each for each in others if math.isinf(each.well_since)]
        if stream.first and out_of_step and self._draw(self.out_of_step_share):
            return self.rng.choice(out_of_step)
        return self.rng.choice(others)

    def _draw(self, share: float) -> bool:
        """Return True with a probability of ``share``."""
        return bool(share) and self.rng.random() < share

    async def _attempt(
        self, stream: CallerStream, daemon: Daemon, name: str, remaining: float
    ) -> float:
        """Make one attempt, and return the seconds until the next one."""
        resumes = stream.first
        in_trouble = bool(resumes) and self._is_in_trouble(stream, daemon)
        headers = {"Request_Id": name, "Deadline_Ms": str(round(remaining * 1000))}
        if resumes:
            headers["Last_Event_Id"] = str(stream.events[-1][0])
            if not self._draw(self.unnamed_share):
                headers["Resumes"] = resumes
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[0])
        except (OSError, TimeoutError):
            return CONNECT_PAUSE_SECONDS
        status, retry_after, refusal = 0, 0.0, b""
        try:
            # Requests of different callers differ, so that no replica's end is blamed on all.
            writer.write(request(f"/resume/{stream.name}", **headers))
            async with asyncio.timeout(SILENCE_SECONDS):
                status, answered = await read_head(reader)
            retry_after = float(answered.get("Retry-After", "0"))
            if status == OK:
                stream.answers.append(b"")
                stream.nodes.append(daemon.node)
                await self._read(stream, reader, name)
            else:
                refusal = await reader.readexactly(int(answered.get("Content-Length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()
        if resumes:
            went_on = status == OK and (stream.whole or events_of(stream.answers[-1]))
            ended = "went on" if went_on else f"{status} {refusal.decode().strip()}".strip()
            (stream.resumed_in_trouble if in_trouble else stream.resumed).append(ended)
        return retry_after

    def _is_in_trouble(self, stream: CallerStream, daemon: Daemon) -> bool:
        well_for = asyncio.get_running_loop().time() - daemon.well_since
        return well_for < self.settled or self.serving(stream.version) < MIN_SERVING

    async def _read(self, stream: CallerStream, reader: asyncio.StreamReader, name: str) -> None:
        while True:
            async with asyncio.timeout(SILENCE_SECONDS):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
            if not size:
                stream.whole = True
                return
            stream.answers[-1] += chunk[:-2]
            stream.first = stream.first or name
            if stream.first == name and len(stream.events) >= self.leaves_after:
                return


@dataclass
class Scenario:
    """What happens to the fleet while streams run."""

    fleet: ProcessFleet
    rng: random.Random
    versions: list[StreamingVersion]
    # The failure domains of replicas, which are used in turn.
    zones: Sequence[str] = ("a",)

    def version_of(self, replica: ReplicaStandin) -> str:
        """Return the software version of ``replica``."""
        return self.fleet.versions[replica.name]

    async def add(self, version: StreamingVersion) -> ReplicaStandin:
        """Start a replica of ``version``."""
        others = self.live(version.name)
        zone = self.zones[len(others) % len(self.zones)]
        return await self.fleet.add_replica(version.script, version=version.name, zone=zone)

    def live(self, version: str = "") -> list[ReplicaStandin]:
        """Return the replicas that are listed, of one ``version`` if it is given."""
        listed = {name for kind, name in self.fleet.store.objects if kind == "servers"}
        found = [replica for replica in self.fleet.replicas if replica.name in listed]
        return [r for r in found if not version or self.version_of(r) == version]

    async def crash(self, replica: ReplicaStandin) -> None:
        """End a replica at once, and start another one of its version."""
        self.fleet.remove_replica(replica)
        version = next(v for v in self.versions if v.name == self.version_of(replica))
        await self.add(version)

    def break_off(self) -> None:
        """Let a part of the streams break off at their replicas from now on."""
        for version in self.versions:
            version.break_share = BREAK_SHARE


async def broken_streams(scenario: Scenario) -> None:
    """A third of the streams break off at the replica."""
    scenario.break_off()


async def crashing_replicas(scenario: Scenario) -> None:
    """Five replicas crash, one after the other, and come back under new names."""
    for _ in range(5):
        await asyncio.sleep(1.5)
        await scenario.crash(scenario.rng.choice(scenario.live()))


async def killed_daemons(scenario: Scenario) -> None:
    """Half of the daemons are killed at once, twice."""
    for _ in range(2):
        await asyncio.sleep(3.0)
        daemons = scenario.rng.sample(scenario.fleet.daemons, len(scenario.fleet.daemons) // 2)
        await asyncio.gather(*(scenario.fleet.kill(daemon) for daemon in daemons))
        await asyncio.sleep(0.5)
        for daemon in daemons:
            scenario.fleet.start(daemon)
        await asyncio.sleep(2.0)


async def paused_daemons(scenario: Scenario) -> None:
    """A third of the daemons is paused for two seconds, twice."""
    for _ in range(2):
        await asyncio.sleep(2.0)
        daemons = scenario.rng.sample(scenario.fleet.daemons, len(scenario.fleet.daemons) // 3)
        for daemon in daemons:
            scenario.fleet.pause(daemon)
        await asyncio.sleep(2.0)
        for daemon in daemons:
            scenario.fleet.resume(daemon)


async def replaced_version(scenario: Scenario) -> None:
    """The replicas of one version are replaced by the other, one by one."""
    old, new = scenario.versions[:2]
    for replica in scenario.live(old.name):
        await asyncio.sleep(1.5)
        await scenario.add(new)
        scenario.fleet.remove_replica(replica)


async def lost_version(scenario: Scenario) -> None:
    """All replicas of one version crash at once."""
    await asyncio.sleep(3.0)
    for replica in scenario.live(scenario.versions[0].name):
        scenario.fleet.remove_replica(replica)


async def store_outage(scenario: Scenario) -> None:
    """A third of the streams break off, the store is away, and a daemon is killed meanwhile."""
    scenario.break_off()
    await asyncio.sleep(2.0)
    scenario.fleet.store.down = True
    await asyncio.sleep(3.0)
    await killed_daemons(scenario)
    scenario.fleet.store.down = False


async def third_version(scenario: Scenario) -> None:
    """A third version appears, and a third of the streams break off."""
    scenario.break_off()
    await asyncio.sleep(2.0)
    version = StreamingVersion("v3", EVENTS, PAUSE_SECONDS, BREAK_SHARE)
    scenario.versions.append(version)
    for _ in range(2):
        await scenario.add(version)
    await killed_daemons(scenario)


async def cut_domain(scenario: Scenario) -> None:
    """A failure domain is cut off from the others and its daemons from the store; one is killed."""
    fleet = scenario.fleet
    await asyncio.sleep(2.0)
    cut = fleet.daemons[::DOMAINS]
    others = [daemon.ip for daemon in fleet.daemons if daemon not in cut]
    fleet.relay.cut([daemon.ip for daemon in cut], others, both=True)
    for daemon in cut:
        daemon.turn_away(TurnedAway.SILENT)
        daemon.reached_since = float("inf")
    await asyncio.sleep(2.0)
    await fleet.kill(fleet.daemons[1])
    await asyncio.sleep(3.0)
    fleet.relay.heal()
    for daemon in cut:
        daemon.answer()
        daemon.reached_since = asyncio.get_running_loop().time()
    fleet.start(fleet.daemons[1])


async def _lose_all(fleet: ProcessFleet) -> None:
    """Kill all daemons at once, and start them again a second later."""
    await asyncio.gather(*(fleet.kill(daemon) for daemon in fleet.daemons))
    await asyncio.sleep(1.0)
    for daemon in fleet.daemons:
        fleet.start(daemon)


async def lost_daemons(scenario: Scenario) -> None:
    """All daemons are killed at once and come back, twice."""
    for _ in range(2):
        await asyncio.sleep(3.0)
        await _lose_all(scenario.fleet)
        await asyncio.sleep(3.0)


async def lost_daemons_of_one_version(scenario: Scenario) -> None:
    """The same, while a single version serves."""
    await lost_daemons(scenario)


async def lost_daemons_after_a_new_version(scenario: Scenario) -> None:
    """The same, each time just after another version has appeared."""
    for number in range(2):
        await asyncio.sleep(3.0)
        version = StreamingVersion(f"n{number}", EVENTS, PAUSE_SECONDS)
        scenario.versions.append(version)
        for _ in range(REPLICAS_PER_VERSION):
            await scenario.add(version)
        await asyncio.sleep(scenario.rng.uniform(0.0, 1.5))
        await _lose_all(scenario.fleet)
        await asyncio.sleep(2.0)


SCENARIOS: dict[str, Callable[[Scenario], Awaitable[None]]] = {
    scenario.__name__: scenario
    for scenario in (
        broken_streams,
        crashing_replicas,
        killed_daemons,
        paused_daemons,
        replaced_version,
        lost_version,
        store_outage,
        third_version,
        cut_domain,
        lost_daemons,
        lost_daemons_of_one_version,
        lost_daemons_after_a_new_version,
    )
}
# Scenarios that start with a single version.
SINGLE_VERSION = {lost_daemons_of_one_version.__name__, lost_daemons_after_a_new_version.__name__}


@dataclass(frozen=True)
class StreamResult:
    """The figures of one run; see the documentation of the module."""

    name: str
    seed: int
    streams: int
    begun: int
    mixed_answers: int
    mixed_streams: int
    wrong_events: int
    resumed: Counter
    resumed_in_trouble: Counter

    @property
    def went_on(self) -> float:
        """Return the share of the resumed streams that went on."""
        return self.resumed["went on"] / max(1, self.resumed.total())

    @property
    def passed(self) -> bool:
        """Return True if no stream has two versions, and enough of those resumed went on."""
        enough = self.went_on >= MIN_RESUMED_SHARE * self.begun / max(1, self.streams)
        is_complete = enough or self.resumed.total() < MIN_RESUMED
        return not (self.mixed_answers or self.mixed_streams or self.wrong_events) and is_complete

    def __str__(self) -> str:
        others = {what: count for what, count in self.resumed.items() if what != "went on"}
        return (
            f"{self.name} seed {self.seed}: {self.streams} streams, {self.begun} begun, "
            f"{self.mixed_answers} answers and {self.mixed_streams} streams of two versions, "
            f"{self.wrong_events} with events missing or repeated, {self.resumed.total()} resumed, "
            f"{self.went_on:.2f} went on, the others {others}; not counted, at disturbed "
            f"daemons or with one replica or none: {dict(self.resumed_in_trouble)}"
        )


async def run_scenario(
    name: str,
    seed: int,
    seconds: float,
    daemons: int,
    folder: Path,
    sources: Path = ROOT,
    other: Path | None = None,
    cell_replicas: int = CELL_REPLICAS,
    regions: bool = False,
) -> StreamResult:
    """Run one scenario, and return its figures; the daemons log into ``folder``."""
    fleet = ProcessFleet(folder, relay=Relay())
    versions = [
        StreamingVersion(version, EVENTS, PAUSE_SECONDS, rng=random.Random(f"{seed} {version}"))
        for version in (("v1",) if name in SINGLE_VERSION else ("v1", "v2"))
    ]
    fleet.settings = {"cell-replicas": str(cell_replicas), "first-start": "true"}
    scenario = Scenario(fleet, random.Random(f"{seed} scenario"), versions)
    if regions:
        fleet.settings["domain-regions"] = DOMAIN_REGIONS
        scenario.zones = REGIONS_ZONES
    try:
        fleet.store.put("config", "main", configuration(3))
        for _ in range(REPLICAS_PER_VERSION):
            for version in versions:
                await scenario.add(version)
        await fleet.add_daemons(daemons, DOMAINS, other, sources)
        await fleet.until_ready()
        fleet.settings["first-start"] = "false"
        await asyncio.sleep(STARTUP_SECONDS)
        callers = StreamCallers(
            fleet,
            random.Random(f"{seed} callers"),
            lambda version: len(scenario.live(version)),
            RETURNED_SECONDS if name.startswith(lost_daemons.__name__) else SETTLED_SECONDS,
        )
        calling = asyncio.ensure_future(callers.run())
        await asyncio.gather(SCENARIOS[name](scenario), asyncio.sleep(seconds))
        calling.cancel()
        await callers.settle()
        return _to_result(name, seed, callers.streams)
    finally:
        await fleet.stop()


def _to_result(name: str, seed: int, streams: list[CallerStream]) -> StreamResult:
    resumed = Counter(what for stream in streams for what in stream.resumed)
    in_trouble = Counter(what for stream in streams for what in stream.resumed_in_trouble)
    return StreamResult(
        name,
        seed,
        len(streams),
        sum(bool(stream.first) for stream in streams),
        sum(len(versions_of(answer)) > 1 for stream in streams for answer in stream.answers),
        sum(stream.is_mixed for stream in streams),
        sum(stream.has_wrong_events for stream in streams),
        resumed,
        in_trouble,
    )


def main(
    seed: int = 1,
    seconds: float = 15.0,
    daemons: int = 6,
    runs: int = 1,
    only: str = "",
    sources: str = str(ROOT),
    other: str = "",
    cell_replicas: int = CELL_REPLICAS,
    regions: bool = False,
) -> None:
    """Run all scenarios, or ``only`` one, with ``runs`` seeds from ``seed`` on."""
    configure_logs("critical", "streams")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    other_build = Path(other).resolve() if other else None
    for number in range(seed, seed + runs):
        for name in [only] if only else SCENARIOS:
            folder = Path(tempfile.mkdtemp(prefix=f"streams-{name}-{number}-"))
            build = Path(sources).resolve()
            run = run_scenario(
                name,
                number,
                seconds,
                daemons,
                folder,
                build,
                other_build,
                cell_replicas,
                regions,
            )
            result = asyncio.run(run)
            print(result, "" if result.passed else f"FAILED, logs in {folder}", flush=True)
            if result.passed:
                shutil.rmtree(folder)


if __name__ == "__main__":
    fire.Fire(main)
