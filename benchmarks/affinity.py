"""Compare routing by prompt prefix with routing by load alone, on engines with a bounded cache.

    python -m benchmarks.affinity --runs=3

The prompts are long and share prefixes. There are more prefixes than one engine's cache holds, but
fewer than the caches of all engines hold together.
"""

import asyncio
import dataclasses
import json
import statistics
import time

import fire

from benchmarks import deployment as deploy
from benchmarks.analysis import Curves, fairness, percentiles
from benchmarks.load_generator import send_workload
from benchmarks.workload import Plan, PlannedRequest, make_requests

SHAPE = deploy.ASSOCIATION
PREFIXES = 60
PROMPT_CHARACTERS = 6000
ENGINE = {"cached_prefixes": 16, "prefill_rate": 3000.0}


@dataclasses.dataclass(frozen=True)
class PrefixedRequest(PlannedRequest):
    """A request whose prompt shares its prefix with the other requests of its group."""

    group: int = 0

    def http(self, shape: deploy.Shape) -> tuple[str, str, bytes]:
        """Return the method, the path and the body of the request."""
        method, path, body = super().http(shape)
        if self.label not in ("draft", "tag"):
            return method, path, body
        content = json.loads(body)
        prompt = f"brief {self.group:04d} ".ljust(PROMPT_CHARACTERS, "x") + str(self.number)
        content["messages"] = [{"role": "user", "content": prompt}]
        return method, path, json.dumps(content).encode()


def _requests(plan: Plan) -> list[PlannedRequest]:
    requests = []
    for request in make_requests(plan):
        group = (request.number * 7919 + plan.seed) % PREFIXES
        requests.append(PrefixedRequest(**dataclasses.asdict(request), group=group))
    return requests


async def _run(seed: int, seconds: float, rate: float, affinity: str) -> dict:
    deployment = await deploy.start(SHAPE, 8, (f"--affinity={affinity}",), ENGINE)
    weights = deploy.workspaces(SHAPE)
    plan = Plan(seed, seconds, rate, 8, tuple(sorted(weights)), SHAPE.large_workspaces)
    try:
        started_at = time.time()
        records = await send_workload(
            deployment, _requests(plan), deployment.caller_endpoint, cancel_after=10.0
        )
        logs = await deployment.logs()
    finally:
        deployment.stop()
    runs = [run for name, log in logs.items() if name.startswith(SHAPE.model_pool) for run in log]
    curves = Curves(records, runs, started_at + 3.0, started_at + seconds)
    result = fairness(curves, weights, 48, 9600.0)
    drafts = [
        s.first_byte_at - s.sent_at
        for s in records
        if s.request.label == "draft" and s.first_byte_at
    ]
    return {
        "hit_rate": sum(run["cached"] for run in runs) / len(runs),
        "whole": sum(record.complete for record in records),
        "first_byte": percentiles(drafts),
        "largest_gap": result.largest_gap,
        "idle_share": result.idle_share,
    }


def main(runs: int = 3, seconds: float = 25.0, rate: float = 50.0) -> None:
    """Run both kinds of routing with ``runs`` seeds, and print each run and the medians."""
    collected: dict[str, list[dict]] = {"prefix": [], "none": []}
    for seed in range(runs):
        for affinity, results in collected.items():
            results.append(asyncio.run(_run(seed, seconds, rate, affinity)))
            print(affinity, seed, json.dumps(results[-1]), flush=True)
    for affinity, results in collected.items():
        for name in ("hit_rate", "whole", "largest_gap", "idle_share"):
            print(f"{affinity}: median {name} {statistics.median(r[name] for r in results):.4g}")
        p50 = statistics.median(r["first_byte"]["p50"] for r in results)
        print(f"{affinity}: median first byte of drafts {p50:.4g} s")


if __name__ == "__main__":
    fire.Fire(main)
