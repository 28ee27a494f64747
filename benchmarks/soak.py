"""A randomized soak of daemons as processes on the platform's adapter.

    python -m benchmarks.soak [--seed=1] [--seconds=40] [--daemons=12] [--runs=1]
        [--other=DIR]

A seed decides the faults, which come in series and overlap: the store turns away the daemons that
watch it, or any; is slow to some, or forgets its history; daemons are killed, paused and stopped in
turn; a failure domain, or a daemon, is cut from the others, one way or both; links go silent. An
operator changes the configuration all the while, and callers tell which version answered them.

Checked are: no answer that only an older configuration allows, more than ``BOUND_SECONDS`` after
the newer one was confirmed, by daemons that ran and that the store answered for
``SETTLED_SECONDS``; no connection ended without an answer by a daemon that was not killed; no link
closed because of what came over it. With ``--other``, each other daemon is of the build whose
sources are in DIR, and the answers of those are told apart.
"""

import asyncio
import logging
import random
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import fire

from benchmarks.relay import Relay
from railsail.core.logs import configure_logs
from tests.platform.operator import Callers, Cut, OldAnswer, Operator
from tests.platform.processes import ROOT, Daemon, ProcessFleet
from tests.platform.standins import TurnedAway

DOMAINS = 3
REPLICAS = 3
BOUND_SECONDS = 3.0
SETTLED_SECONDS = 6.0
# Until daemons that started together know each other.
FIRST_SECONDS = 6.0
LAST_SECONDS = 2.0
SLOW_SECONDS = 0.5
# Series of faults that overlap, the longest pause in one, and the pauses between two changes.
SERIES = 2
MOST_PAUSE_SECONDS = 3.0
CHANGE_SECONDS = (0.1, 0.5, 1.0, 2.5)
# Findings of one kind that are told of a run.
MOST_TOLD = 5
LINK_CLOSED = b'"link closed"'


@dataclass
class Series:
    """Faults one after the other, as ``rng`` has them; ``done`` names those that were made."""

    fleet: ProcessFleet
    rng: random.Random
    done: list[str] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Make faults for so long."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            fault = self.rng.choice(FAULTS)
            self.done.append(fault.__name__)
            await fault(self)
            await asyncio.sleep(self.rng.uniform(0.0, MOST_PAUSE_SECONDS))

    def some(self, most: int) -> list[Daemon]:
        """Return some of the daemons that run, ``most`` at most."""
        running = [daemon for daemon in self.fleet.daemons if daemon.running]
        return self.rng.sample(running, min(len(running), self.rng.randint(1, most)))


@dataclass(frozen=True)
class Verdict:
    """What the callers of one run saw.

    ``old`` are answers that came by an older version too late, ``others_old`` those of the other
    build; ``closed_links`` counts links that a daemon closed because of what came over them.
    """

    seed: int
    asked: int
    served: int
    longest: float
    old: list[OldAnswer]
    others_old: list[OldAnswer]
    cut: list[Cut]
    closed_links: int
    faults: list[str]

    @property
    def good(self) -> bool:
        """Say whether all that is checked held."""
        return not self.old and not self.cut and not self.closed_links

    def __str__(self) -> str:
        line = (
            f"seed {self.seed}: {self.asked} asked, {self.served} served, {len(self.old)} by an "
            f"older version, the longest {self.longest:.2f} s, {len(self.others_old)} by the other "
            f"build, {len(self.cut)} cut, {self.closed_links} links closed; {' '.join(self.faults)}"
        )
        return "\n  ".join([line, *map(str, [*self.old[:MOST_TOLD], *self.cut[:MOST_TOLD]])])


async def soak(seed: int, seconds: float, daemons: int, folder: Path, other: Path) -> Verdict:
    """Play one run; the daemons log into ``folder``, and each other one is of ``other``."""
    fleet = ProcessFleet(folder, relay=Relay())
    try:
        return await _play(fleet, seed, seconds, daemons, other)
    finally:
        await fleet.stop()


async def _play(
    fleet: ProcessFleet, seed: int, seconds: float, daemons: int, other: Path
) -> Verdict:
    operator = Operator(fleet.store)
    for _ in range(REPLICAS):
        await fleet.add_replica()
    await fleet.add_daemons(daemons, DOMAINS, other)
    await fleet.until_ready()
    await asyncio.sleep(FIRST_SECONDS)
    callers = Callers(fleet, operator, _rng(seed, "callers"), BOUND_SECONDS, SETTLED_SECONDS)
    asking = asyncio.ensure_future(callers.run())
    changing = asyncio.ensure_future(_change(operator, _rng(seed, "operator")))
    series = [Series(fleet, _rng(seed, f"series {number}")) for number in range(SERIES)]
    await asyncio.gather(*(each.run(seconds) for each in series))
    await asyncio.sleep(LAST_SECONDS)
    asking.cancel()
    changing.cancel()
    await callers.settle()
    return _verdict(fleet, seed, callers, [name for each in series for name in each.done])


def _verdict(fleet: ProcessFleet, seed: int, callers: Callers, faults: list[str]) -> Verdict:
    others = {daemon.node for daemon in fleet.daemons if daemon.sources != ROOT}
    return Verdict(
        seed,
        callers.asked,
        callers.served,
        callers.longest,
        [answer for answer in callers.old if answer.node not in others],
        [answer for answer in callers.old if answer.node in others],
        callers.cut,
        sum(daemon.log.read_bytes().count(LINK_CLOSED) for daemon in fleet.daemons),
        faults,
    )


def _rng(seed: int, part: str) -> random.Random:
    """Return the generator of one part of a run, which no other part disturbs."""
    return random.Random(f"{seed} {part}")


async def _change(operator: Operator, rng: random.Random) -> None:
    while True:
        operator.change()
        await asyncio.sleep(rng.choice(CHANGE_SECONDS))


async def _turn_away(series: Series, daemons: list[Daemon]) -> None:
    how = series.rng.choice(list(TurnedAway))
    for daemon in daemons:
        daemon.turn_away(how)
    await asyncio.sleep(series.rng.uniform(3.0, 9.0))
    for daemon in daemons:
        daemon.answer()


async def turn_readers_away(series: Series) -> None:
    """Let the store turn those away that watch it now."""
    series.fleet.forget_calls()
    await asyncio.sleep(3.0)
    await _turn_away(series, series.fleet.watching())


async def turn_some_away(series: Series) -> None:
    """Let the store turn some daemons away."""
    await _turn_away(series, series.some(len(series.fleet.daemons) // 2))


async def slow(series: Series) -> None:
    """Let the store be slow to some daemons."""
    daemons = series.some(len(series.fleet.daemons) // 2)
    for daemon in daemons:
        daemon.access.delay = SLOW_SECONDS
    await asyncio.sleep(series.rng.uniform(2.0, 6.0))
    for daemon in daemons:
        daemon.access.delay = 0.0


async def forget_history(series: Series) -> None:
    """Let the store forget its history."""
    series.fleet.store.forget_history()


async def kill(series: Series) -> None:
    """Kill some daemons at once, and start them again."""
    daemons = series.some(len(series.fleet.daemons) // 2)
    await asyncio.gather(*(series.fleet.kill(daemon) for daemon in daemons))
    await asyncio.sleep(series.rng.uniform(0.2, 2.0))
    for daemon in daemons:
        series.fleet.start(daemon)


async def pause(series: Series) -> None:
    """Let some daemons stand still."""
    daemons = series.some(3)
    for daemon in daemons:
        series.fleet.pause(daemon)
    await asyncio.sleep(series.rng.uniform(0.5, 5.0))
    for daemon in daemons:
        series.fleet.resume(daemon)


async def stop_in_turn(series: Series) -> None:
    """Stop some daemons one after the other, and start each again."""
    for daemon in series.some(3):
        if daemon.running:
            await series.fleet.end(daemon)
            series.fleet.start(daemon)
            await asyncio.sleep(series.rng.uniform(0.5, 2.0))


async def cut_domain(series: Series) -> None:
    """Cut a failure domain from the others."""
    number = series.rng.randrange(DOMAINS)
    ips = [daemon.ip for daemon in series.fleet.daemons]
    left = ips[number::DOMAINS]
    await _cut(series, left, [ip for ip in ips if ip not in left])


async def cut_daemon(series: Series) -> None:
    """Cut one daemon from the others."""
    ips = [daemon.ip for daemon in series.fleet.daemons]
    one = series.rng.choice(ips)
    await _cut(series, [one], [ip for ip in ips if ip != one])


async def _cut(series: Series, left: list[str], right: list[str]) -> None:
    series.fleet.relay.cut(left, right, both=series.rng.random() < 0.5)
    await asyncio.sleep(series.rng.uniform(2.0, 8.0))
    series.fleet.relay.heal()


async def silence_links(series: Series) -> None:
    """Let all links between daemons fall silent for good."""
    series.fleet.relay.silence()


FAULTS: list[Callable[[Series], Awaitable[None]]] = [
    turn_readers_away,
    turn_some_away,
    slow,
    forget_history,
    kill,
    pause,
    stop_in_turn,
    cut_domain,
    cut_daemon,
    silence_links,
]


def main(
    seed: int = 1, seconds: float = 40.0, daemons: int = 12, runs: int = 1, other: str = str(ROOT)
) -> None:
    """Play ``runs`` runs from ``seed`` on; logs of those that fail are kept."""
    configure_logs("critical", "soak")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    for number in range(seed, seed + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        verdict = asyncio.run(soak(number, seconds, daemons, folder, Path(other).resolve()))
        print(verdict, flush=True)
        if verdict.good:
            shutil.rmtree(folder)
        else:
            print(f"  logs in {folder}")


if __name__ == "__main__":
    fire.Fire(main)
