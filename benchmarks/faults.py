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
FAULT_START_SECONDS = 4.0
FAULT_SECONDS = 8.0
LEAVE_GRACE_SECONDS = 3.0
CHANGE_INTERVAL_SECONDS = 3.0


@dataclasses.dataclass
class Scenario:
    """The processes of one run, and the times and results of its faults.

    ``leaving_since`` and ``audited_until`` hold, by replica, when it was listed as leaving and
    until when the audit counts the requests that reach it, in seconds since the Unix epoch.
    ``exit_codes`` are those of daemons that were asked to stop.
    """

    deployment: deploy.Deployment
    relay: Relay
    leaving_since: dict[str, float] = dataclasses.field(default_factory=dict)
    audited_until: dict[str, float] = dataclasses.field(default_factory=dict)
    exit_codes: list[int] = dataclasses.field(default_factory=list)

    def daemon(self, number: int) -> deploy.Daemon:
        """Return the daemon with this number."""
        return self.deployment.daemons[number]


Fault = Callable[[Scenario], Awaitable[None]]


async def kill(scenario: Scenario) -> None:
    """Kill a daemon, and restart it without state after half of the fault's duration."""
    victim = scenario.daemon(2)
    victim.process.kill()
    await asyncio.sleep(FAULT_SECONDS / 2)
    _restart(scenario, victim)


def _restart(scenario: Scenario, daemon: deploy.Daemon) -> None:
    daemon.process.wait()
    daemon.process = scenario.deployment.spawn(["-m", "railsail.daemon", *daemon.flags])


async def kill_dispatcher(scenario: Scenario) -> None:
    """Kill the daemon that dispatches the model pool, and restart it."""
    for daemon in scenario.deployment.daemons:
        reply = await daemon.admin.call("GET", "/v1/status")
        cells = [cell["cell"] for cell in reply.body.get("cells", []) if cell["in_flight"]]
        if f"{SHAPE.model_pool}/0" in cells:
            daemon.process.kill()
            await asyncio.sleep(FAULT_SECONDS / 2)
            _restart(scenario, daemon)
            return


async def pause(scenario: Scenario) -> None:
    """Suspend the process of a daemon with ``SIGSTOP``, and resume it."""
    victim = scenario.daemon(3)
    victim.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_SECONDS)
    victim.process.send_signal(signal.SIGCONT)


async def partition(scenario: Scenario) -> None:
    """Cut three daemons off from the other five, in both directions."""
    ips = [daemon.ip for daemon in scenario.deployment.daemons]
    scenario.relay.cut(ips[:3], ips[3:])
    await asyncio.sleep(FAULT_SECONDS)
    scenario.relay.heal()


async def one_way(scenario: Scenario) -> None:
    """Hold back all that one daemon sends to the others, but nothing that they send to it."""
    ips = [daemon.ip for daemon in scenario.deployment.daemons]
    scenario.relay.cut(ips[4:5], ips[:4] + ips[5:], both=False)
    await asyncio.sleep(FAULT_SECONDS)
    scenario.relay.heal()


async def _inject_store_faults(scenario: Scenario, **faults: object) -> None:
    await scenario.deployment.set_faults(scenario.deployment.store, **faults)
    await asyncio.sleep(FAULT_SECONDS)
    await scenario.deployment.set_faults(scenario.deployment.store)


async def store_down(scenario: Scenario) -> None:
    """Take the store down."""
    await _inject_store_faults(scenario, down=True)


async def store_slow(scenario: Scenario) -> None:
    """Make every call to the store take five seconds."""
    await _inject_store_faults(scenario, delay=5.0)


async def store_lossy(scenario: Scenario) -> None:
    """Lose 0.3 of the store's replies, and the first event of half of the watches."""
    await _inject_store_faults(scenario, lose_replies=0.3, drop_watches=0.5)


async def leave(scenario: Scenario) -> None:
    """List a model replica as leaving (draining before it stops) for the rest of the run."""
    name = f"{SHAPE.model_pool}-1"
    value = {"pool": SHAPE.model_pool, "endpoint": scenario.deployment.upstreams[name]}
    try:
        await scenario.deployment.put("upstream", name, {**value, "state": "leaving"})
    except RuntimeError:
        # The store cannot list it while it is down, so the engine reports it.
        await scenario.deployment.set_faults(scenario.deployment.upstreams[name], leaving=True)
    scenario.leaving_since[name] = time.time()
    await asyncio.sleep(FAULT_SECONDS)
    scenario.audited_until[name] = time.time()


async def rolling_restart(scenario: Scenario) -> None:
    """Stop every daemon gracefully, one after the other, and restart it."""
    for daemon in scenario.deployment.daemons:
        daemon.process.send_signal(signal.SIGTERM)
        scenario.exit_codes.append(await asyncio.to_thread(daemon.process.wait))
        _restart(scenario, daemon)
        await asyncio.sleep(1.0)


async def restart_all(scenario: Scenario) -> None:
    """Kill all daemons at once, and restart them without state."""
    for daemon in scenario.deployment.daemons:
        daemon.process.kill()
    for daemon in scenario.deployment.daemons:
        _restart(scenario, daemon)


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
    daemons refused, and ``regressions`` how often a daemon reported an older version than before.
    """

    def __init__(self, deployment: deploy.Deployment) -> None:
        self._deployment = deployment
        self._last_versions: dict[tuple[str, int], int] = {}
        self.waits: list[float] = []
        self.refused = 0
        self.regressions = 0

    async def change(self) -> None:
        """Change the configuration until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
            number += 1
            operation = {"kind": "priorityclass", "name": "gold", "weight": 4.0}
            operation["engine_priority"] = number % 10
            body = {"id": secrets.token_hex(8), "author": "b", "operations": [operation]}
            daemon = self._deployment.daemons[number % DAEMONS]
            reply = await daemon.admin.call("POST", "/v1/changes", body)
            if reply.status == 200:
                await self._wait_until_in_force(reply.body["version"], time.time())
            else:
                self.refused += 1

    async def _wait_until_in_force(self, version: int, since: float) -> None:
        while not await self.check_versions(version):
            await asyncio.sleep(0.05)
        self.waits.append(time.time() - since)

    async def check_versions(self, version: int) -> bool:
        """Return whether every daemon that responds has ``version`` or a newer one.

        Count each daemon that reports an older version than it did before.
        """
        replies = await asyncio.gather(
            *(asyncio.wait_for(self._status(daemon), 2.0) for daemon in self._deployment.daemons),
            return_exceptions=True,
        )
        bodies = [reply.body for reply in replies if not isinstance(reply, BaseException)]
        reported = [body for body in bodies if "version" in body]
        for body in reported:
            process = (body["node"], body["start_id"])
            self.regressions += body["version"] < self._last_versions.get(process, 0)
            self._last_versions[process] = body["version"]
        return bool(reported) and all(body["version"] >= version for body in reported)

    async def _status(self, daemon: deploy.Daemon):
        return await daemon.admin.call("GET", "/v1/status")


async def run_scenario(faults: tuple[Fault, ...], seconds: float, rate: float, seed: int) -> dict:
    """Run the workload with ``faults``, and return the audit."""
    relay = Relay()
    deployment = await deploy.start(SHAPE, DAEMONS, ("--drain-seconds=60",), relay=relay)
    scenario = Scenario(deployment, relay)
    balancer = Balancer(deployment.daemons)
    operator = Operator(deployment)
    background = [
        asyncio.ensure_future(coroutine) for coroutine in (balancer.run(), operator.change())
    ]
    background += [asyncio.ensure_future(_inject_fault(fault, scenario)) for fault in faults]
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
    audit = _audit(records, logs, scenario, operator)
    return {**audit, **_fairness(records, logs, weights, started_at, seconds)}


async def _inject_fault(fault: Fault, scenario: Scenario) -> None:
    await asyncio.sleep(FAULT_START_SECONDS)
    await fault(scenario)


def _audit(
    records: list[CallerRecord], logs: dict[str, list[dict]], scenario: Scenario, operator: Operator
) -> dict:
    runs = [run for log in logs.values() for run in log]
    ran = {run["request"] for run in runs}
    by_key: dict[str, int] = {}
    for run in runs:
        if "/classify/" in str(run.get("path", "")):
            by_key[run["key"]] = by_key.get(run["key"], 0) + 1
    numbers = {record.request.number for record in records}
    served = {record.request.number for record in records if record.complete}
    return {
        "requests": len(numbers),
        "tries": len(records),
        "served": len(served),
        "most_runs_of_once": max(by_key.values(), default=0),
        "not_run_but_ran": sum(r.outcome == "not-run" and r.request_id in ran for r in records),
        "not_whole_or_not_own": sum(r.complete and not r.own_answer for r in records),
        "new_at_leaving": _received_while_leaving(logs, scenario),
        "cut": sum(r.error.startswith("CutOff") for r in records),
        "unknown": sum(r.outcome == "unknown" for r in records),
        "not_run": sum(r.outcome == "not-run" for r in records),
        "exit_codes": sorted(set(scenario.exit_codes)),
        "in_force_most": round(max(operator.waits, default=0.0), 2),
        "changes": len(operator.waits),
        "changes_refused": operator.refused,
        "versions_back": operator.regressions,
        "unserved": _unserved(records, served),
    }


def _unserved(records: list[CallerRecord], served: set[int]) -> dict[str, int]:
    """Return how the last attempts of the requests that were never served ended."""
    last = {record.request.number: record for record in records}
    counts: dict[str, int] = {}
    for number, record in last.items():
        if number not in served:
            result = record.reason or record.error.split(":")[0] or "no answer"
            name = f"{record.request.label} {result}"
            counts[name] = counts.get(name, 0) + 1
    return counts


def _received_while_leaving(logs: dict[str, list[dict]], scenario: Scenario) -> int:
    """Return how many requests reached a leaving replica later than the grace period allows."""
    count = 0
    for name, since in scenario.leaving_since.items():
        until = scenario.audited_until.get(name, time.time())
        count += sum(since + LEAVE_GRACE_SECONDS < run["received_at"] < until for run in logs[name])
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
                results[name] = asyncio.run(run_scenario(faults, seconds, rate, seed))
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
