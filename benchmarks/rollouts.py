"""Roll out versions that are good, or bad in one of several ways, on daemons as processes.

    python -m benchmarks.rollouts [--fault=fails] [--seconds=12] [--daemons=12] [--rate=240]
                                  [--kill=dispatcher] [--cell_replicas=64]

The service has six replicas of the old version, and six of the new version that are listed when the
rollout is ordered. ``--fault`` says how the new version is bad:

- ``none``: it is good.
- ``fails``: half of its answers fail.
- ``slow``: its answers take ten times as long.
- ``later``: half of its answers fail, from three seconds after its first request on.
- ``loaded``: half of its answers fail while a replica runs more than one request.
- ``route``: half of its answers fail on one of two routes.
- ``all``: one run of each.

``--kill`` names a daemon that is killed a third of the rollout's time after the order, and
restarted two seconds later: the ``dispatcher`` of the replicas or the ``coordinator`` of the
rollout. With fewer ``--cell_replicas``, the replicas form several cells.

The benchmark prints how many requests the new version received between the order and the deadline,
and its limit; how many reached it later than ``rollback_ms`` after its 50th bad answer; how many
bad answers it gave; the answers by status, 0 for none; and the states of the rollout with their
times, in seconds since the order. As the platform does, the benchmark stops the old replicas when
the rollout has succeeded, and drains the new ones when it was rolled back.

With one run each beside other load, the limit was 338 or 339 requests. A good version received 187
and succeeded after 11.96 s, and all 6,000 calls were served. Bad versions received 13 (fails), 5
(slow), 37 (later), 17 (loaded) and 33 (route), and were rolled back after 2.3, 1.1, 6.1, 3.2 and
5.4 s. None gave 50 bad answers, and none received anything later. Of the 6,000 callers, 3 to 7 got
an error that a bad version returned on the route whose requests must not run twice.
"""

import asyncio
import json
import logging
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import fire

from railsail.core.logs import configure_logs
from railsail.membership.placement import rank
from tests.platform.base import configuration
from tests.platform.processes import ProcessFleet
from tests.platform.standins import ReplicaStandin
from tests.platform.versions import Fault, SoftwareVersion

SERVICE = "desk"
OLD, NEW = "v1", "v2"
REPLICAS = 6
SLOTS = 16
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
ROLLBACK_SECONDS = 5.0
BAD_ANSWERS = 50
ROUTES = ("once", "again")
WARMUP_SECONDS = 5.0
# Traffic continues for this long after the deadline.
AFTER_SECONDS = 8.0
DRAIN_SECONDS = 2.0
# A killed daemon is restarted after this long.
RESTART_SECONDS = 2.0
POLL_SECONDS = 0.02
SETTINGS = {
    "expose-share": str(EXPOSE_SHARE),
    "expose-slack": str(EXPOSE_SLACK),
    "rollback-ms": str(round(ROLLBACK_SECONDS * 1000)),
}


@dataclass
class Run:
    """One rollout and its results; times are those of the event loop."""

    fleet: ProcessFleet
    old: SoftwareVersion
    new: SoftwareVersion
    seconds: float
    ordered_at: float = 0.0
    states: list[tuple[float, str]] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    started: dict[str, list[ReplicaStandin]] = field(default_factory=dict)

    async def start_version(self, version: SoftwareVersion) -> None:
        """Start and list the replicas of ``version``."""
        self.started[version.name] = [
            await self.fleet.add_replica(version.script, SERVICE, SLOTS, version.name)
            for _ in range(REPLICAS)
        ]

    async def send_request(self, number: int) -> None:
        """Make one call, and count its answer by status."""
        daemons = self.fleet.balanced()
        route = ROUTES[number // len(daemons) % len(ROUTES)]
        daemon = daemons[number % len(daemons)]
        name = f"r-{number}"
        answer = await self.fleet.call(daemon, f"/{route}/{number}", Request_Id=name)
        status = answer.status if answer is not None else 0
        self.answers[str(status)] += 1

    async def order(self) -> None:
        """Order the rollout, and start the replicas of the new version."""
        self.ordered_at = asyncio.get_running_loop().time()
        spec = {"service": SERVICE, "target_version": NEW, "duration_s": self.seconds}
        self.fleet.store.put("rollouts", SERVICE, spec)
        await self.start_version(self.new)

    async def kill(self, role: str) -> None:
        """Kill the daemon that has ``role`` by rendezvous hashing, and restart it."""
        await asyncio.sleep(self.seconds / 3)
        jobs = {"dispatcher": f"cell {SERVICE}/0", "coordinator": f"rollout of {SERVICE}"}
        node = rank(jobs[role], [daemon.node for daemon in self.fleet.daemons])[0]
        daemon = next(each for each in self.fleet.daemons if each.node == node)
        daemon.leaves_at = asyncio.get_running_loop().time()
        await self.fleet.kill(daemon)
        await asyncio.sleep(RESTART_SECONDS)
        self.fleet.start(daemon)

    async def act_as_platform(self) -> None:
        """Record each new state of the rollout, and act on it as the platform does.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(POLL_SECONDS)
            item = self.fleet.store.objects.get(("rollouts", SERVICE), {})
            state = (item.get("status") or {}).get("state", "")
            if state and (not self.states or self.states[-1][1] != state):
                now = asyncio.get_running_loop().time()
                self.states.append((round(now - self.ordered_at, 2), state))
                await self._apply_final_state(state)

    async def _apply_final_state(self, state: str) -> None:
        if state == "succeeded":
            for replica in self.started[OLD]:
                self.fleet.remove_replica(replica)
        elif state == "rolled_back":
            await asyncio.sleep(DRAIN_SECONDS)
            for replica in self.started[NEW]:
                self.fleet.store.remove("servers", replica.name)

    def figures(self) -> dict[str, object]:
        """Return the figures of the run."""
        deadline = self.ordered_at + self.seconds
        arrivals = [at for version in (self.old, self.new) for at in version.arrivals]
        in_time = sum(self.ordered_at <= at < deadline for at in arrivals)
        bad = sorted(self.new.bad_answers)
        late_from = bad[BAD_ANSWERS - 1] + ROLLBACK_SECONDS if len(bad) >= BAD_ANSWERS else None
        late = sum(at > late_from for at in self.new.arrivals) if late_from is not None else 0
        return {
            "fault": str(self.new.fault),
            "received": sum(at < deadline for at in self.new.arrivals),
            "allowed": round(EXPOSE_SHARE * in_time + EXPOSE_SLACK),
            "of": in_time,
            "late": late,
            "bad_answers": len(bad),
            "most_running": self.new.most_running,
            "answers": dict(self.answers),
            "states": self.states,
            "by_second": self._by_second(),
        }

    def _by_second(self) -> list[int]:
        counts = Counter(int(at - self.ordered_at) for at in self.new.arrivals)
        return [counts[second] for second in range(max(counts, default=-1) + 1)]


async def _send_traffic(run: Run, rate: float, until: float) -> list[asyncio.Task]:
    loop = asyncio.get_running_loop()
    calls: list[asyncio.Task] = []
    started_at = loop.time()
    while loop.time() < until:
        while len(calls) < rate * (loop.time() - started_at):
            calls.append(asyncio.ensure_future(run.send_request(len(calls))))
        await asyncio.sleep(1 / rate)
    return calls


async def _run_rollout(
    fault: Fault,
    seconds: float,
    daemons: int,
    rate: float,
    kill: str,
    cell_replicas: int,
    folder: Path,
) -> Run:
    settings = SETTINGS | {"cell-replicas": str(cell_replicas)}
    fleet = ProcessFleet(folder, settings=settings)
    run = Run(fleet, SoftwareVersion(OLD), SoftwareVersion(NEW, fault), seconds)
    fleet.store.put("config", "main", configuration(3))
    await run.start_version(run.old)
    try:
        await fleet.add_daemons(daemons, 3)
        await fleet.until_ready()
        loop = asyncio.get_running_loop()
        until = loop.time() + WARMUP_SECONDS + seconds + AFTER_SECONDS
        traffic = asyncio.ensure_future(_send_traffic(run, rate, until))
        await asyncio.sleep(WARMUP_SECONDS)
        await run.order()
        platform = asyncio.ensure_future(run.act_as_platform())
        if kill:
            await run.kill(kill)
        await asyncio.gather(*await traffic)
        platform.cancel()
    finally:
        await fleet.stop()
    return run


def main(
    fault: str = "all",
    seconds: float = 12.0,
    daemons: int = 12,
    rate: float = 240.0,
    kill: str = "",
    cell_replicas: int = 64,
    logs: str = "",
) -> None:
    """Run the rollouts, and print their figures; ``logs`` names a folder for the daemons' logs."""
    configure_logs("critical", "benchmark")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    faults = list(Fault) if fault == "all" else [Fault(fault)]
    for fault_kind in faults:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(logs or temporary) / fault_kind
            folder.mkdir(parents=True, exist_ok=True)
            run = asyncio.run(
                _run_rollout(fault_kind, seconds, daemons, rate, kill, cell_replicas, folder)
            )
        print(json.dumps(run.figures()), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
