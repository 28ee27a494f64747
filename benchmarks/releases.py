"""Streams that are resumed at a daemon that was out of step while a new software version joined.

    python -m benchmarks.releases [--how=cut] [--seconds=1.6] [--only=N] [--daemons=12] [--seed=1]
        [--watch_seconds=2] [--sources=DIR] [--other=DIR]

Daemons run as processes with the adapter for the prepared platform, behind a relay. Four replicas
of ``v1`` serve. First, callers begin streams, leave them after the second event, and resume them at
another daemon (``before``). Then one daemon is put out of step for ``seconds``, four replicas of
``v2`` are listed, and those of ``v1`` start to drain. Callers begin streams at the other daemons,
leave them, and resume them at the one that is out of step (``during``). Every second caller names
the request that began its stream. The daemon that is out of step is each one in turn, or the one
with the number ``only``. ``how`` is one of

- ``cut``: neither the store nor its peers can be reached;
- ``deaf``: the store does not answer, and nothing arrives from its peers;
- ``dumb``: the store does not answer, and nothing that it sends reaches its peers;
- ``no-store``, ``no-peers``: only the store, or only its peers cannot be reached;
- ``paused``: its process stands still;
- ``slow``: all that it is sent by the store and its peers is late by half of ``seconds``.

Figures: the streams that began at each version; of those resumed, how many went on, how many of
these at another version (``joined``), and what the others got; and the calls to the store.
"""

import asyncio
import enum
import logging
import random
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import fire

from benchmarks.relay import Relay
from railsail.core.logs import configure_logs
from tests.platform.base import Answer, configuration, read_answer, read_head, request
from tests.platform.processes import ROOT, Daemon, ProcessFleet
from tests.platform.standins import ReplicaStandin, TurnedAway
from tests.platform.streams import StreamingVersion, events_of

DOMAINS = 3
REPLICAS = 4
EVENTS = 12
PAUSE_SECONDS = 0.05
# Streams are left after this many events.
EVENTS_BEFORE_LEAVING = 2
STREAMS_BEFORE = 40
STREAMS_DURING = 80
STARTUP_SECONDS = 6.0
# The new version is listed this long after the daemon is out of step, and streams begin this long
# after that, when the other daemons know it.
LISTED_AFTER_SECONDS = 0.1
KNOWN_AFTER_SECONDS = 0.4
# Time over which the streams of one phase begin.
BEGIN_SECONDS = 0.6
CALL_SECONDS = 12.0
DEADLINE_MS = 6000


class OutOfStep(enum.StrEnum):
    """How a daemon is out of step; see the documentation of the module."""

    CUT = "cut"
    DEAF = "deaf"
    DUMB = "dumb"
    NO_STORE = "no-store"
    NO_PEERS = "no-peers"
    PAUSED = "paused"
    SLOW = "slow"


WITHOUT_STORE = frozenset({OutOfStep.CUT, OutOfStep.DEAF, OutOfStep.DUMB, OutOfStep.NO_STORE})
WITHOUT_PEERS = frozenset({OutOfStep.CUT, OutOfStep.DEAF, OutOfStep.DUMB, OutOfStep.NO_PEERS})


@dataclass(frozen=True)
class LeftStream:
    """A stream whose caller left, as it was begun: the name of its request, and its events."""

    name: str
    events: list[tuple[int, str]]

    @property
    def version(self) -> str:
        """Return the software version that began the stream."""
        return self.events[0][1]


@dataclass
class Phase:
    """The figures of the streams that were resumed in one phase of a run."""

    begun: Counter[str] = field(default_factory=Counter)
    went_on: int = 0
    joined: int = 0
    joined_named: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    store_calls: int = 0

    def add(self, stream: LeftStream, answer: Answer | None, is_named: bool) -> None:
        """Count one resumed stream; ``answer`` is ``None`` if none came in time."""
        self.begun[stream.version] += 1
        events = events_of(answer.body) if answer is not None else []
        if not events:
            what = "no answer" if answer is None else f"{answer.status} {answer.body.decode()}"
            self.refused[what.strip()] += 1
            return
        self.went_on += 1
        if any(version != stream.version for _, version in events):
            self.joined += 1
            self.joined_named += is_named

    def __str__(self) -> str:
        return (
            f"begun {dict(self.begun)}, went on {self.went_on}, joined {self.joined} "
            f"({self.joined_named} of them named), others {dict(self.refused)}, "
            f"store calls {self.store_calls}"
        )


class Release:
    """One run: the fleet, the daemon that is put out of step, and the two versions."""

    def __init__(
        self, fleet: ProcessFleet, how: OutOfStep, seconds: float, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._how = how
        self._seconds = seconds
        self._rng = rng
        self._old = StreamingVersion("v1", EVENTS, PAUSE_SECONDS)
        self._new = StreamingVersion("v2", EVENTS, PAUSE_SECONDS)
        self._begun = 0

    async def list_old(self) -> None:
        """Start the replicas of the version that serves first."""
        for _ in range(REPLICAS):
            await self._fleet.add_replica(self._old.script, version=self._old.name)

    async def before(self) -> Phase:
        """Resume streams while one version serves and nothing is disturbed."""
        self._fleet.forget_calls()
        daemons = self._fleet.daemons
        phase = Phase()
        streams = await self._begin(daemons, STREAMS_BEFORE)
        await self._resume(streams, daemons, phase)
        phase.store_calls = sum(len(daemon.access.calls) for daemon in daemons)
        return phase

    async def during(self, daemon: Daemon) -> Phase:
        """Resume streams at ``daemon``, which is out of step while the new version joins."""
        self._fleet.forget_calls()
        others = [each for each in self._fleet.daemons if each is not daemon]
        phase = Phase()
        ending = asyncio.ensure_future(self._put_out_of_step(daemon))
        await asyncio.sleep(LISTED_AFTER_SECONDS)
        before = list(self._fleet.replicas)
        for _ in range(REPLICAS):
            await self._fleet.add_replica(self._new.script, version=self._new.name)
        for replica in before:
            drain(self._fleet, replica)
        await asyncio.sleep(KNOWN_AFTER_SECONDS)
        await self._resume(await self._begin(others, STREAMS_DURING), [daemon], phase)
        await ending
        phase.store_calls = sum(len(each.access.calls) for each in self._fleet.daemons)
        return phase

    async def _put_out_of_step(self, daemon: Daemon) -> None:
        if self._how is OutOfStep.SLOW:
            daemon.access.delay = self._seconds / 2
            return
        await put_out_of_step(self._fleet, daemon, self._how, self._seconds)

    async def _begin(self, daemons: list[Daemon], count: int) -> asyncio.Queue[LeftStream | None]:
        """Begin streams at ``daemons``; those that were left are in the queue, at its end None."""
        left: asyncio.Queue[LeftStream | None] = asyncio.Queue()

        async def begin_all() -> None:
            await asyncio.gather(*(begin(number) for number in range(count)))
            left.put_nowait(None)

        async def begin(number: int) -> None:
            await asyncio.sleep(number * BEGIN_SECONDS / count)
            stream = await self._begin_one(daemons[number % len(daemons)])
            if stream is not None:
                left.put_nowait(stream)

        self._beginning = asyncio.ensure_future(begin_all())
        return left

    async def _begin_one(self, daemon: Daemon) -> LeftStream | None:
        name = f"s-{self._begun}"
        self._begun += 1
        headers = {"Request_Id": name, "Deadline_Ms": str(DEADLINE_MS)}
        data = b""
        try:
            async with asyncio.timeout(CALL_SECONDS):
                reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[0])
                writer.write(request(f"/resume/{name}", **headers))
                status, _ = await read_head(reader)
                while status == 200 and len(events_of(data)) < EVENTS_BEFORE_LEAVING:
                    data += await reader.readexactly(1)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return LeftStream(name, events_of(data)) if events_of(data) else None

    async def _resume(
        self, streams: asyncio.Queue[LeftStream | None], daemons: list[Daemon], phase: Phase
    ) -> None:
        """Resume each stream as soon as its caller has left it, at a random one of ``daemons``."""
        calls = []
        while (stream := await streams.get()) is not None:
            is_named = len(calls) % 2 == 0
            daemon = self._rng.choice(daemons)
            calls.append(asyncio.ensure_future(self._call(stream, daemon, phase, is_named)))
        await asyncio.gather(*calls)

    async def _call(self, stream: LeftStream, daemon: Daemon, phase: Phase, is_named: bool) -> None:
        headers = {
            "Request_Id": f"{stream.name}-again",
            "Last_Event_Id": str(stream.events[-1][0]),
            "Deadline_Ms": str(DEADLINE_MS),
        }
        if is_named:
            headers["Resumes"] = stream.name
        answer = None
        try:
            async with asyncio.timeout(CALL_SECONDS):
                reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[0])
                writer.write(request(f"/resume/{stream.name}", **headers))
                answer = await read_answer(reader)
                writer.close()
        except (OSError, TimeoutError):
            pass
        phase.add(stream, answer, is_named)


async def put_out_of_step(
    fleet: ProcessFleet, daemon: Daemon, how: OutOfStep, seconds: float
) -> None:
    """Put ``daemon`` out of step for ``seconds``, in any way but ``OutOfStep.SLOW``."""
    others = [each.ip for each in fleet.daemons if each is not daemon]
    if how is OutOfStep.PAUSED:
        fleet.pause(daemon)
    if how in WITHOUT_PEERS:
        if how is not OutOfStep.DEAF:
            fleet.relay.cut([daemon.ip], others, both=False)
        if how is not OutOfStep.DUMB:
            fleet.relay.cut(others, [daemon.ip], both=False)
        daemon.reached_since = float("inf")
    if how in WITHOUT_STORE:
        daemon.turn_away(TurnedAway.SILENT)
    await asyncio.sleep(seconds)
    if how in WITHOUT_PEERS:
        fleet.relay.heal()
        daemon.reached_since = asyncio.get_running_loop().time()
    if how in WITHOUT_STORE:
        daemon.answer()
    # It may have been killed, and started again, in the meantime.
    if how is OutOfStep.PAUSED and daemon.running:
        fleet.resume(daemon)


def drain(fleet: ProcessFleet, replica: ReplicaStandin) -> None:
    """List ``replica`` as one that ends what it has begun, and takes nothing new."""
    spec = fleet.store.objects[("servers", replica.name)]["spec"]
    fleet.store.put("servers", replica.name, spec | {"state": "draining"})


async def run_release(
    number: int,
    how: OutOfStep,
    seconds: float,
    daemons: int,
    seed: int,
    watch_seconds: float,
    folder: Path,
    sources: Path = ROOT,
    other: Path | None = None,
) -> tuple[Phase, Phase]:
    """Run one release while the daemon ``number`` is out of step; return both phases."""
    fleet = ProcessFleet(folder, relay=Relay())
    fleet.settings = {"first-start": "true", "watch-seconds": str(watch_seconds)}
    release = Release(fleet, how, seconds, random.Random(f"{seed} {number}"))
    if how is OutOfStep.SLOW:
        # The delay of a direction applies to connections that are opened later.
        slow, *rest = (f"127.0.1.{10 + each}" for each in (number, *range(daemons)))
        fleet.relay.delay([slow], [ip for ip in rest if ip != slow], seconds / 2)
    try:
        fleet.store.put("config", "main", configuration(3))
        await release.list_old()
        await fleet.add_daemons(daemons, DOMAINS, other, sources)
        await fleet.until_ready()
        await asyncio.sleep(STARTUP_SECONDS)
        before = await release.before()
        return before, await release.during(fleet.daemons[number])
    finally:
        await fleet.stop()


def main(
    how: str = "cut",
    seconds: float = 1.6,
    only: int = -1,
    daemons: int = 12,
    seed: int = 1,
    watch_seconds: float = 2.0,
    sources: str = str(ROOT),
    other: str = "",
    keep_logs: bool = False,
) -> None:
    """Put each daemon out of step in turn, or the one with the number ``only``."""
    configure_logs("critical", "releases")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    other_build = Path(other).resolve() if other else None
    for number in range(daemons) if only < 0 else [only]:
        folder = Path(tempfile.mkdtemp(prefix=f"releases-{how}-{number}-"))
        before, during = asyncio.run(
            run_release(
                number,
                OutOfStep(how),
                seconds,
                daemons,
                seed,
                watch_seconds,
                folder,
                Path(sources).resolve(),
                other_build,
            )
        )
        print(f"daemon {number} {how} {seconds} s, before: {before}", flush=True)
        print(f"daemon {number} {how} {seconds} s, during: {during}", flush=True)
        if keep_logs or during.joined:
            print(f"logs in {folder}", flush=True)
        else:
            shutil.rmtree(folder)


if __name__ == "__main__":
    fire.Fire(main)
