"""Measure how large configurations come into force in daemons as processes.

    python -m benchmarks.configurations measure --sources=DIR

Six daemons run the sources in ``DIR``, and the store is silent to four of them. For each kind of
configuration a large one replaces a small one, and then one key of it is changed. At last its list
of tenants is taken out, so that no route needs a key, and put back. Printed are, for each change:
the seconds until it is in force at all daemons that the store answers and at the
others (``inf`` if it is not within ``WAIT_SECONDS``), the longest time for which a daemon did not
answer a health check, sent every ``PROBE_SECONDS``, and the bytes of configuration that a daemon
sent to its peers.
"""

import asyncio
import math
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import fire

from benchmarks.capacity import CONFIGURATION_UPDATES
from benchmarks.deployment import parse_samples
from railsail.upstreams.collector import fetch
from railsail.upstreams.http import HttpRequest
from tests.platform.base import KEY, configuration
from tests.platform.processes import ROOT, Daemon, ProcessFleet
from tests.platform.standins import TurnedAway

DAEMONS = 6
DOMAINS = 3
SERVED = 2
WAIT_SECONDS = 6.0
PROBE_SECONDS = 0.005
LOOK_SECONDS = 0.02
NEW_KEY = "a-new-key"


def with_keys(count: int) -> Callable[[int, str], dict]:
    """Return a function that makes configurations in which one tenant has ``count`` keys."""

    def make(version: int, key: str) -> dict:
        keys = [key, *(f"key-{number}" for number in range(count - 1))]
        return configuration(version, keys=keys)

    return make


def with_routes(count: int) -> Callable[[int, str], dict]:
    """Return a function that makes configurations with ``count`` more routes."""

    def make(version: int, key: str) -> dict:
        value = configuration(version, keys=[key])
        like = value["routes"][1]
        value["routes"] += [
            like | {"name": f"route-{number}", "path_prefix": f"/added/{number}/"}
            for number in range(count)
        ]
        return value

    return make


KINDS = {
    "70 keys": with_keys(70),
    "15,000 keys": with_keys(15_000),
    "70,000 keys": with_keys(70_000),
    "700 routes": with_routes(700),
    "3,500 routes": with_routes(3500),
}


@dataclass
class Measured:
    """The figures of one change; times are in seconds."""

    served: float = 0.0
    silent: float = 0.0
    longest_probe: float = 0.0
    bytes_sent: float = 0.0

    def __str__(self) -> str:
        return (
            f"in force {self.served:.2f} s, without the store {self.silent:.2f} s, "
            f"no answer for {self.longest_probe * 1000:.0f} ms, {self.bytes_sent:,.0f} bytes sent"
        )


async def _in_force_after(fleet: ProcessFleet, daemon: Daemon, keys: dict[str, bool]) -> float:
    """Return after how many seconds just those of ``keys`` are served whose value is true."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < WAIT_SECONDS:
        answers = {
            key: await fleet.call(daemon, "/again/", Authorization=f"Bearer {key}", Request_Id="r")
            for key in keys
        }
        if {key: answer.status == 200 for key, answer in answers.items()} == keys:
            return loop.time() - started
        await asyncio.sleep(LOOK_SECONDS)
    return math.inf


async def _probe(daemon: Daemon, measured: Measured) -> None:
    loop = asyncio.get_running_loop()
    request = HttpRequest(f"{daemon.ip}:{daemon.ports[1]}", "GET", "/live", {})
    while True:
        started = loop.time()
        await fetch(request, WAIT_SECONDS)
        measured.longest_probe = max(measured.longest_probe, loop.time() - started)
        await asyncio.sleep(PROBE_SECONDS)


async def _bytes_sent(daemon: Daemon) -> float:
    answer = await fetch(
        HttpRequest(f"{daemon.ip}:{daemon.ports[1]}", "GET", "/metrics", {}), WAIT_SECONDS
    )
    sent = parse_samples(answer.body.decode()).get("railsail_peer_bytes_total", {})
    return sum(sent.get(kind, 0.0) for kind in CONFIGURATION_UPDATES)


async def _change(fleet: ProcessFleet, value: dict, keys: dict[str, bool]) -> Measured:
    measured = Measured()
    probes = [asyncio.ensure_future(_probe(daemon, measured)) for daemon in fleet.daemons]
    await asyncio.sleep(0.5)
    measured.longest_probe = 0.0
    before = sum([await _bytes_sent(daemon) for daemon in fleet.daemons])
    fleet.store.put("config", "main", value)
    seconds = await asyncio.gather(
        *(_in_force_after(fleet, daemon, keys) for daemon in fleet.daemons)
    )
    for probe in probes:
        probe.cancel()
    after = sum([await _bytes_sent(daemon) for daemon in fleet.daemons])
    measured.served, measured.silent = max(seconds[:SERVED]), max(seconds[SERVED:])
    measured.bytes_sent = (after - before) / DAEMONS
    return measured


async def _measure(kind: str, sources: Path) -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder))
        fleet.store.put("config", "main", configuration(3))
        try:
            await fleet.add_replica()
            await fleet.add_daemons(DAEMONS, DOMAINS, sources=sources)
            await fleet.until_ready()
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons[SERVED:]:
                daemon.turn_away(TurnedAway.SILENT)
            make = KINDS[kind]
            new, old = {NEW_KEY: True, KEY: False}, {NEW_KEY: False, KEY: True}
            print(f"{kind}, large: {await _change(fleet, make(5, NEW_KEY), new)}")
            print(f"{kind}, one key: {await _change(fleet, make(8, KEY), old)}")
            without = make(11, KEY)
            del without["tenants"]
            anyone = {NEW_KEY: True, KEY: True}
            print(f"{kind}, no tenants: {await _change(fleet, without, anyone)}")
            print(f"{kind}, tenants again: {await _change(fleet, make(14, KEY), old)}")
        finally:
            await fleet.stop()


class Configurations:
    """The experiments."""

    def measure(self, sources: str = str(ROOT)) -> None:
        """Run the experiment with each kind of configuration on the build in ``sources``."""
        for kind in KINDS:
            asyncio.run(_measure(kind, Path(sources)))


if __name__ == "__main__":
    fire.Fire(Configurations)
