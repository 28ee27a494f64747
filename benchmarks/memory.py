"""Measure the peak resident memory of daemons around changes of the configuration.

    python -m benchmarks.memory [--seed=1] [--bodies=4,6,8] [--rate=10.5] [--nochange]

Three daemons as processes, four replicas. For each size of the configuration and each load, a fleet
is started anew. The load is none, the usual one (``rate`` requests a second of each daemon, most of
them for streams), or the usual one and bodies of 4 MiB, so many at once at each daemon, again and
again. Each fleet passes through three phases: no change, one change, and a change each
``CHANGE_SECONDS``; with ``--nochange`` nothing is changed in any of them, which shows what comes
from the time that a daemon has run. Printed is, for each phase, the largest peak of a daemon in MiB
(``VmHWM``, reset as the phase starts), and how many bodies were served, refused (503 or 429) or
ended otherwise.
"""

import asyncio
import contextlib
import json
import logging
import random
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import fire

from benchmarks.configurations import with_keys, with_routes
from tests.platform.base import KEY, configuration, read_answer, request
from tests.platform.processes import Daemon, ProcessFleet
from tests.platform.standins import Received, ReplicaStandin, answering
from tests.platform.streams import StreamingVersion

DAEMONS = 3
DOMAINS = 3
REPLICAS = 4
SLOTS = 200
MAX_BODY_BYTES = 4 << 20
# Links between daemons are made in this time.
SETTLE_SECONDS = 3.0
PHASE_SECONDS = 4.0
CHANGE_SECONDS = 0.4
# The pause after the last answer to bodies that were sent at once.
BURST_PAUSE_SECONDS = 0.5
# How long a replica works on a body.
WORK_SECONDS = 0.5
# Requests a second of each daemon: 94 over nine daemons.
USUAL_RATE = 10.5
# The sizes of their bodies by their share; all but the plain ones ask for a stream of ``EVENTS``.
PLAIN_BYTES = 600
USUAL_BODIES = {12_000: 0.21, 830: 0.31, 2400: 0.34, PLAIN_BYTES: 0.14}
EVENTS = 58
EVENT_PAUSE_SECONDS = 0.04
ODD_KEY = "a-changed-key"
KIB_PER_MIB = 1024
REFUSALS = frozenset({429, 503})

Make = Callable[[int, str], dict]


def _large(version: int, key: str) -> dict:
    """Return a configuration near the limit of the store, 1 MiB: 3,500 routes and 15,000 keys."""
    value = with_routes(3500)(version, key)
    value["tenants"] = with_keys(15_000)(version, key)["tenants"]
    keys = value["tenants"][0]["api_keys"]
    keys[1:] = [f"{name}-{'x' * 8}" for name in keys[1:]]
    return value


def _small(version: int, key: str) -> dict:
    return configuration(version, keys=[key])


SIZES: dict[str, Make] = {
    "small": _small,
    "100 routes": with_routes(100),
    "3,500 routes, 15,000 keys": _large,
    "70,000 keys": with_keys(70_000),
}


@dataclass
class Phase:
    """The peak of each daemon in MiB, and how many bodies ended with each outcome."""

    peaks: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    ended: int = 0


def _status_kb(daemon: Daemon, name: str) -> int:
    lines = Path(f"/proc/{daemon.process.pid}/status").read_text().splitlines()
    (line,) = [line for line in lines if line.startswith(f"{name}:")]
    return int(line.split()[1])


def _reset_peaks(fleet: ProcessFleet) -> None:
    for daemon in fleet.daemons:
        # Sets the peak of resident memory to its present value, see proc_pid_clear_refs(5).
        Path(f"/proc/{daemon.process.pid}/clear_refs").write_text("5")


class _Load:
    """Callers of all daemons.

    Each daemon gets ``rate`` usual requests a second, and ``bodies`` bodies of 4 MiB at once.
    """

    def __init__(self, fleet: ProcessFleet, seed: int, rate: float, bodies: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._rate = rate
        self._bodies = bodies
        self._sent = 0
        self._calls: set[asyncio.Task] = set()
        self.outcomes: Counter[str] = Counter()

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            if self._rate:
                group.create_task(self._send_usual())
            if self._bodies:
                group.create_task(self._send_bodies())

    async def stop(self, running: asyncio.Task) -> None:
        """End ``running``, which is ``run``, and all calls."""
        calls = [running, *self._calls]
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def _send_usual(self) -> None:
        sizes, shares = list(USUAL_BODIES), list(USUAL_BODIES.values())
        while True:
            await asyncio.sleep(self._rng.expovariate(self._rate * DAEMONS))
            (size,) = self._rng.choices(sizes, shares)
            target = "/again/" if size == PLAIN_BYTES else "/resume/"
            daemon = self._rng.choice(self._fleet.daemons)
            call = asyncio.ensure_future(self._call(daemon, target, b"x" * size))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _send_bodies(self) -> None:
        body = b"x" * MAX_BODY_BYTES
        while True:
            daemons = self._fleet.daemons * self._bodies
            await asyncio.gather(*(self._call(daemon, "/once/", body) for daemon in daemons))
            await asyncio.sleep(BURST_PAUSE_SECONDS)

    async def _call(self, daemon: Daemon, target: str, body: bytes) -> None:
        self._sent += 1
        writer = None
        status = 0
        try:
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.ports[0])
            writer.write(request(target, "POST", body, Request_Id=f"r-{self._sent}"))
            status = (await read_answer(reader)).status
        except (OSError, TimeoutError):
            status = 0
        finally:
            if writer is not None:
                writer.close()
        if target == "/once/":
            self.outcomes[_outcome(status)] += 1


def _outcome(status: int) -> str:
    if status == 200:
        return "served"
    return "refused" if status in REFUSALS else f"status {status}"


class _Operator:
    """Write configurations of one size; each changes one key of the version before."""

    def __init__(self, fleet: ProcessFleet, make: Make) -> None:
        self._fleet = fleet
        self._make = make
        self._version = 3
        self.size = 0

    def change(self) -> None:
        self._version += 1
        value = self._make(self._version, KEY)
        value["tenants"].append({"name": "two", "api_keys": [f"{ODD_KEY}-{self._version}"]})
        self.size = len(json.dumps(value))
        self._fleet.store.put("config", "main", value)

    async def keep_changing(self) -> None:
        while True:
            self.change()
            await asyncio.sleep(CHANGE_SECONDS)

    async def change_once(self) -> None:
        await asyncio.sleep(PHASE_SECONDS / 3)
        self.change()

    async def change_nothing(self) -> None:
        """Leave the configuration as it is."""


async def _phase(fleet: ProcessFleet, load: _Load, changes: Awaitable[None]) -> Phase:
    _reset_peaks(fleet)
    load.outcomes = Counter()
    changing = asyncio.ensure_future(changes)
    await asyncio.sleep(PHASE_SECONDS)
    changing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await changing
    running = [daemon for daemon in fleet.daemons if daemon.running]
    peaks = [_status_kb(daemon, "VmHWM") / KIB_PER_MIB for daemon in running]
    return Phase(peaks, load.outcomes, len(fleet.daemons) - len(running))


async def _replica_script(replica: ReplicaStandin, received: Received, writer) -> None:
    """Stream to those who ask for a stream, and work on a body for a while."""
    if " /resume/" in received.line:
        await StreamingVersion("v", EVENTS, EVENT_PAUSE_SECONDS).script(replica, received, writer)
        return
    replica.received.clear()
    await answering(b"y" * 800, seconds=WORK_SECONDS)(replica, received, writer)


async def _measure(
    make: Make, seed: int, rate: float, bodies: int, changes: bool, folder: Path
) -> list[Phase]:
    fleet = ProcessFleet(folder)
    operator = _Operator(fleet, make)
    operator.change()
    try:
        for _ in range(REPLICAS):
            await fleet.add_replica(_replica_script, slots=SLOTS)
        await fleet.add_daemons(DAEMONS, DOMAINS)
        await fleet.until_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        load = _Load(fleet, seed, rate, bodies)
        sending = asyncio.ensure_future(load.run())
        steps = [operator.change_nothing] * 3
        if changes:
            steps[1:] = [operator.change_once, operator.keep_changing]
        phases = [await _phase(fleet, load, step()) for step in steps]
        await load.stop(sending)
        return phases
    finally:
        await fleet.stop()


def _show(phase: Phase) -> str:
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(phase.outcomes.items()))
    ended = f", {phase.ended} daemons ended" if phase.ended else ""
    return f"{max(phase.peaks):.1f}" + (f" ({outcomes}{ended})" if outcomes or ended else "")


def run(
    seed: int = 1,
    bodies: tuple[int, ...] = (4, 6, 8),
    sizes: tuple[str, ...] = tuple(SIZES),
    rate: float = USUAL_RATE,
    nochange: bool = False,
) -> None:
    """Print a line for each size of the configuration and each load."""
    # Stand-ins whose callers leave have nothing to say.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    loads = [("no load", 0.0, 0), ("usual load", rate, 0)]
    loads += [(f"{count} bodies of 4 MiB", rate, count) for count in bodies]
    for name in sizes:
        for load, requests, count in loads:
            with tempfile.TemporaryDirectory() as folder:
                phases = asyncio.run(
                    _measure(SIZES[name], seed, requests, count, not nochange, Path(folder))
                )
            shown = " | ".join(_show(phase) for phase in phases)
            print(f"seed {seed} | {name} | {load} | {shown}", flush=True)


if __name__ == "__main__":
    fire.Fire(run)
