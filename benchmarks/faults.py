"""Inject faults under load into 8 daemons, alone and in pairs, and audit the guarantees.

    python -m benchmarks.faults

The audit joins the records of the callers with the logs of the upstreams. It prints a table, and
writes all figures to ``results/faults.json``.
"""

import asyncio
import dataclasses
import json
import secrets
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import fire

from benchmarks import deployment as deploy
from benchmarks.analysis import Curves, fairness
from benchmarks.balancer import Balancer
from benchmarks.load_generator import CallerRecord, send_workload
from benchmarks.relay import Relay
from benchmarks.workload import Plan, make_requests
from railsail.standins.batching import EngineSettings

RESULTS = Path("results")
SHAPE = deploy.ASSOCIATION
DAEMONS = 8
FAULT_AT = 4.0
FAULT_SECONDS = 8.0
LEAVE_GRACE = 3.0
CHANGE_EVERY = 3.0


@dataclasses.dataclass
class Scene:
    """The processes of one run, and the times and results of its faults.

    ``left`` and ``stopped`` hold, by replica, when it was listed as leaving and until when the
    audit counts the requests that reach it, in seconds since the Unix epoch. ``exit_codes`` are
    those of daemons that were asked to stop.
    """

    deployment: deploy.Deployment
    relay: Relay
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    stopped: dict[str, float] = dataclasses.field(default_factory=dict)
    exit_codes: list[int] = dataclasses.field(default_factory=list)

    def daemon(self, number: int) -> deploy.Daemon:
        """Return the daemon with this number."""
        return self.deployment.daemons[number]


Fault = Callable[[Scene], Awaitable[None]]


async def kill(scene: Scene) -> None:
    """Kill a daemon, and restart it without state after half of the fault's duration."""
    victim = scene.daemon(2)
    victim.process.kill()
    await asyncio.sleep(FAULT_SECONDS / 2)
    _restart(scene, victim)


def _restart(scene: Scene, daemon: deploy.Daemon) -> None:
    daemon.process.wait()
    daemon.process = scene.deployment.spawn(["-m", "railsail.daemon", *daemon.flags])


async def kill_dispatcher(scene: Scene) -> None:
    """Kill the daemon that dispatches the model pool, and restart it."""
    for daemon in scene.deployment.daemons:
        reply = await daemon.admin.call("GET", "/v1/status")
        cells = [cell["cell"] for cell in reply.body.get("cells", []) if cell["in_flight"]]
        if f"{SHAPE.model_pool}/0" in cells:
            daemon.process.kill()
            await asyncio.sleep(FAULT_SECONDS / 2)
            _restart(scene, daemon)
            return


async def pause(scene: Scene) -> None:
    """Suspend the process of a daemon with ``SIGSTOP``, and resume it."""
    victim = scene.daemon(3)
    victim.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_SECONDS)
    victim.process.send_signal(signal.SIGCONT)


async def partition(scene: Scene) -> None:
    """Cut three daemons off from the other five, in both directions."""
    ips = [daemon.ip for daemon in scene.deployment.daemons]
    scene.relay.cut(ips[:3], ips[3:])
    await asyncio.sleep(FAULT_SECONDS)
    scene.relay.heal()


async def one_way(scene: Scene) -> None:
    """Drop everything that one daemon sends to the others, but nothing that they send to it."""
    ips = [daemon.ip for daemon in scene.deployment.daemons]
    scene.relay.cut(ips[4:5], ips[:4] + ips[5:], both=False)
    await asyncio.sleep(FAULT_SECONDS)
    scene.relay.heal()


async def _store(scene: Scene, **faults: object) -> None:
    await scene.deployment.set_faults(scene.deployment.store, **faults)
    await asyncio.sleep(FAULT_SECONDS)
    await scene.deployment.set_faults(scene.deployment.store)


async def store_down(scene: Scene) -> None:
    """Take the store down."""
    await _store(scene, down=True)


async def store_slow(scene: Scene) -> None:
    """Make every call to the store take five seconds."""
    await _store(scene, delay=5.0)


async def store_lossy(scene: Scene) -> None:
    """Lose 0.3 of the store's replies, and the first event of half of the watches."""
    await _store(scene, lose_replies=0.3, drop_watches=0.5)


async def leave(scene: Scene) -> None:
    """List a model replica as leaving (draining before it stops) for the rest of the run."""
    name = f"{SHAPE.model_pool}-1"
    value = {"pool": SHAPE.model_pool, "endpoint": scene.deployment.upstreams[name]}
    try:
        await scene.deployment.put("upstream", name, {**value, "state": "leaving"})
    except RuntimeError:
        # The store cannot list it while it is down, so the engine reports it.
        await scene.deployment.set_faults(scene.deployment.upstreams[name], leaving=True)
    scene.left[name] = time.time()
    await asyncio.sleep(FAULT_SECONDS)
    scene.stopped[name] = time.time()


async def rolling_restart(scene: Scene) -> None:
    """Stop every daemon gracefully, one after the other, and restart it."""
    for daemon in scene.deployment.daemons:
        daemon.process.send_signal(signal.SIGTERM)
        scene.exit_codes.append(await asyncio.to_thread(daemon.process.wait))
        _restart(scene, daemon)
        await asyncio.sleep(1.0)


async def restart_all(scene: Scene) -> None:
    """Kill all daemons at once, and restart them without state."""
    for daemon in scene.deployment.daemons:
        daemon.process.kill()
    for daemon in scene.deployment.daemons:
        _restart(scene, daemon)


FAULTS: dict[str, tuple[Fault, ...]] = {
    "none": (),
    "kill": (kill,),
    "kill dispatcher": (kill_dispatcher,),
    "pause": (pause,),
    "partition": (partition,),
    "one way": (one_way,),
    "store down": (store_down,),
    "store slow": (store_slow,),
    "store lossy": (store_lossy,),
    "leave": (leave,),
    "rolling restart": (rolling_restart,),
    "restart all": (restart_all,),
    "kill + store down": (kill, store_down),
    "pause + partition": (pause, partition),
    "leave + partition": (leave, partition),
    "rolling restart + store lossy": (rolling_restart, store_lossy),
    "kill dispatcher + store slow": (kill_dispatcher, store_slow),
    "pause + store lossy": (pause, store_lossy),
}


class Operator:
    """An operator who changes the configuration every few seconds and checks versions.

    ``waits`` are the seconds until each change was in force, ``refused`` counts the changes that
    daemons refused, and ``went_back`` how often a daemon reported an older version than before.
    """

    def __init__(self, deployment: deploy.Deployment) -> None:
        self._deployment = deployment
        self._last: dict[tuple[str, int], int] = {}
        self.waits: list[float] = []
        self.refused = 0
        self.went_back = 0

    async def change(self) -> None:
        """Change the configuration until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(CHANGE_EVERY)
            number += 1
            operation = {"kind": "priorityclass", "name": "gold", "weight": 4.0}
            operation["engine_priority"] = number % 10
            body = {"id": secrets.token_hex(8), "author": "b", "operations": [operation]}
            daemon = self._deployment.daemons[number % DAEMONS]
            reply = await daemon.admin.call("POST", "/v1/changes", body)
            if reply.status == 200:
                await self._until_in_force(reply.body["version"], time.time())
            else:
                self.refused += 1

    async def _until_in_force(self, version: int, since: float) -> None:
        while not await self.look(version):
            await asyncio.sleep(0.05)
        self.waits.append(time.time() - since)

    async def look(self, version: int) -> bool:
        """Return whether every daemon that responds has ``version`` or a newer one.

        Count each daemon that reports an older version than it did before.
        """
        replies = await asyncio.gather(
            *(asyncio.wait_for(self._status(daemon), 2.0) for daemon in self._deployment.daemons),
            return_exceptions=True,
        )
        bodies = [reply.body for reply in replies if not isinstance(reply, BaseException)]
        good = [body for body in bodies if "version" in body]
        for body in good:
            process = (body["node"], body["start_id"])
            self.went_back += body["version"] < self._last.get(process, 0)
            self._last[process] = body["version"]
        return bool(good) and all(body["version"] >= version for body in good)

    async def _status(self, daemon: deploy.Daemon):
        return await daemon.admin.call("GET", "/v1/status")


async def run_scene(faults: tuple[Fault, ...], seconds: float, rate: float, seed: int) -> dict:
    """Run the workload with ``faults``, and return the audit."""
    relay = Relay()
    deployment = await deploy.start(SHAPE, DAEMONS, ("--drain-seconds=60",), relay=relay)
    scene = Scene(deployment, relay)
    balancer = Balancer(deployment.daemons)
    operator = Operator(deployment)
    background = [asyncio.ensure_future(work) for work in (balancer.run(), operator.change())]
    background += [asyncio.ensure_future(_later(fault, scene)) for fault in faults]
    try:
        weights = deploy.workspaces(SHAPE)
        plan = Plan(seed, seconds, rate, DAEMONS, tuple(sorted(weights)), SHAPE.large_workspaces)
        started_at = time.time()
        records = await send_workload(
            deployment, make_requests(plan), balancer.choose, cancel_after=25.0, max_attempts=6
        )
        logs = await deployment.logs()
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        relay.stop()
        deployment.stop()
    audit = _audit(records, logs, scene, operator)
    return {**audit, **_fairness(records, logs, weights, started_at, seconds)}


async def _later(fault: Fault, scene: Scene) -> None:
    await asyncio.sleep(FAULT_AT)
    await fault(scene)


def _audit(
    records: list[CallerRecord], logs: dict[str, list[dict]], scene: Scene, operator: Operator
) -> dict:
    runs = [run for log in logs.values() for run in log]
    ran = {run["request"] for run in runs}
    by_key: dict[str, int] = {}
    for run in runs:
        if "/classify/" in str(run.get("path", "")):
            by_key[run["key"]] = by_key.get(run["key"], 0) + 1
    asked = {record.request.number for record in records}
    served = {record.request.number for record in records if record.complete}
    return {
        "requests": len(asked),
        "tries": len(records),
        "served": len(served),
        "most_runs_of_once": max(by_key.values(), default=0),
        "not_run_but_ran": sum(r.outcome == "not-run" and r.request_id in ran for r in records),
        "not_whole_or_not_own": sum(r.complete and not r.own_answer for r in records),
        "new_at_leaving": _new_at_leaving(logs, scene),
        "cut": sum(r.error.startswith("CutOff") for r in records),
        "unknown": sum(r.outcome == "unknown" for r in records),
        "not_run": sum(r.outcome == "not-run" for r in records),
        "exit_codes": sorted(set(scene.exit_codes)),
        "in_force_most": round(max(operator.waits, default=0.0), 2),
        "changes": len(operator.waits),
        "changes_refused": operator.refused,
        "versions_back": operator.went_back,
        "unserved": _unserved(records, served),
    }


def _unserved(records: list[CallerRecord], served: set[int]) -> dict[str, int]:
    """Return how the last attempts of the requests that were never served ended."""
    last = {record.request.number: record for record in records}
    counts: dict[str, int] = {}
    for number, record in last.items():
        if number not in served:
            word = record.reason or record.error.split(":")[0] or "no answer"
            name = f"{record.request.label} {word}"
            counts[name] = counts.get(name, 0) + 1
    return counts


def _new_at_leaving(logs: dict[str, list[dict]], scene: Scene) -> int:
    count = 0
    for name, left in scene.left.items():
        until = scene.stopped.get(name, time.time())
        count += sum(left + LEAVE_GRACE < run["received_at"] < until for run in logs[name])
    return count


def _fairness(
    records: list[CallerRecord],
    logs: dict[str, list[dict]],
    weights: dict,
    started_at: float,
    seconds: float,
) -> dict:
    engine = EngineSettings()
    slots = SHAPE.replicas * engine.slots
    runs = [run for name, log in logs.items() if name.startswith(SHAPE.model_pool) for run in log]
    curves = Curves(records, runs, started_at + 2.0, started_at + seconds)
    result = fairness(curves, weights, slots, slots * engine.decode_rate)
    return {
        "largest_gap": round(result.largest_gap),
        "idle_share": round(result.idle_share, 4),
    }


class Faults:
    """The experiment; see the doc comment of the module."""

    def __call__(
        self, only: str = "", seconds: float = 20.0, rate: float = 64.0, seed: int = 5
    ) -> None:
        """Run all scenarios, or only the one named ``only``."""
        results = {}
        for name, faults in FAULTS.items():
            if only in ("", name):
                results[name] = asyncio.run(run_scene(faults, seconds, rate, seed))
                print(name, json.dumps(results[name]), flush=True)
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / "faults.json").write_text(json.dumps(results, indent=1))
        _table(results)


def _table(results: dict[str, dict]) -> None:
    columns = [
        name for name in next(iter(results.values())) if name not in ("exit_codes", "unserved")
    ]
    print("| fault | " + " | ".join(column.replace("_", " ") for column in columns) + " |")
    print("|---" * (len(columns) + 1) + "|")
    for name, figures in results.items():
        print(f"| {name} | " + " | ".join(str(figures[column]) for column in columns) + " |")


def main() -> None:
    """Run the experiment from the command line."""
    fire.Fire(Faults())


if __name__ == "__main__":
    main()
