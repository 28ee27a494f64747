"""Measure the processor time of daemons: to start, when idle, and for each request.

    python -m benchmarks.processor [--other=DIR] [--runs=3] [--seconds=8] [--rate=100]

A fleet of processes is run ``runs`` times with this build and, with ``--other``, alternately with
the build whose sources are in DIR. All figures are processor time (user and system) of the daemons:
milliseconds to start a daemon until it is ready, milliseconds a second of an idle daemon, and
milliseconds a plain request over all daemons, less what they use when idle.
"""

import asyncio
import os
import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path

import fire

from tests.platform.base import configuration
from tests.platform.processes import ROOT, ProcessFleet
from tests.platform.standins import answering

DAEMONS = 3
REPLICAS = 4
# The time in which daemons connect to each other, whose work does not count.
SETTLE_SECONDS = 4.0
PATH = "/again/plain"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Figures:
    """The figures of one run, in milliseconds of processor time, and the served requests.

    ``start`` is per daemon, ``idle`` per daemon and second, and ``request`` per served request.
    """

    start: float
    idle: float
    request: float
    served: int


def cpu_ms(fleet: ProcessFleet) -> float:
    """Return the processor time that all daemons have used until now, in milliseconds."""
    ticks = 0
    for daemon in fleet.daemons:
        stat = Path(f"/proc/{daemon.process.pid}/stat").read_text()
        # User and system time are the fields 14 and 15; field 2, the name, may contain spaces.
        fields = stat.rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return 1000 * ticks / TICKS_PER_SECOND


async def _send_request(fleet: ProcessFleet, number: int) -> bool:
    daemon = fleet.daemons[number % DAEMONS]
    answer = await fleet.call(daemon, PATH, Request_Id=f"r-{number}", Content_Length="")
    return answer is not None and answer.status == 200


async def _send_requests(fleet: ProcessFleet, seconds: float, rate: float) -> int:
    """Send ``rate`` requests a second for ``seconds``, and return how many were served."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    calls = []
    for number in range(int(seconds * rate)):
        await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
        calls.append(asyncio.ensure_future(_send_request(fleet, number)))
    return sum(await asyncio.gather(*calls))


async def _measure(fleet: ProcessFleet, seconds: float, rate: float) -> Figures:
    await fleet.until_ready()
    start = cpu_ms(fleet)
    await asyncio.sleep(SETTLE_SECONDS)
    await _send_requests(fleet, 1.0, rate)
    loop = asyncio.get_running_loop()
    before, started_at = cpu_ms(fleet), loop.time()
    await asyncio.sleep(seconds)
    idle = (cpu_ms(fleet) - before) / (loop.time() - started_at)
    before, started_at = cpu_ms(fleet), loop.time()
    served = await _send_requests(fleet, seconds, rate)
    busy = cpu_ms(fleet) - before - idle * (loop.time() - started_at)
    return Figures(start / DAEMONS, idle / DAEMONS, busy / served, served)


async def _run(sources: Path, seconds: float, rate: float) -> Figures:
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder))
        fleet.store.put("config", "main", configuration(3, again={"slo_ms": 4000}))
        try:
            for _ in range(REPLICAS):
                await fleet.add_replica(answering())
            await fleet.add_daemons(DAEMONS, DAEMONS, sources=sources)
            return await _measure(fleet, seconds, rate)
        finally:
            await fleet.stop()


def _print_figures(build: str, runs: list[Figures]) -> None:
    for name in ("start", "idle", "request"):
        values = sorted(getattr(run, name) for run in runs)
        shown = " ".join(f"{value:.2f}" for value in values)
        print(f"{build} {name}: median {statistics.median(values):.2f} of {shown}")
    print(f"{build} served: {[run.served for run in runs]}", flush=True)


def main(other: str = "", runs: int = 3, seconds: float = 8.0, rate: float = 100.0) -> None:
    """Run the experiment, and print the figures of each build."""
    builds = {"this": ROOT}
    if other:
        builds["other"] = Path(other).resolve()
    figures: dict[str, list[Figures]] = {build: [] for build in builds}
    for _ in range(runs):
        for build, sources in builds.items():
            figures[build].append(asyncio.run(_run(sources, seconds, rate)))
    for build, measured in figures.items():
        _print_figures(build, measured)


if __name__ == "__main__":
    fire.Fire(main)
