"""Measure the fairness gap, the idle slots and the control traffic of 8 daemons under load.

    python -m benchmarks.fairness --runs=5 --baseline

prints the figures of each run and their medians, and writes JSON and a plot of each run into
``results/``. With ``--baseline``, each run is repeated with the same requests and
``--scheduling=local``, where each daemon schedules on its own.
"""

import asyncio
import dataclasses
import json
import statistics
import time
from pathlib import Path

import fire

from benchmarks import deployment as deploy
from benchmarks.analysis import Curves, fairness, percentiles
from benchmarks.load_generator import CallerRecord, send_workload
from benchmarks.workload import Plan, make_requests
from railsail.standins.batching import EngineSettings

RESULTS = Path("results")
WARMUP_SECONDS = 3.0


async def _run_once(
    shape: deploy.Shape,
    plan: Plan,
    extra_flags: tuple[str, ...],
    engine: dict | None = None,
) -> tuple[dict, Curves]:
    deployment = await deploy.start(shape, plan.daemons, extra_flags, engine)
    try:
        idle = await _idle_traffic(deployment)
        before = [await deploy.usage(daemon) for daemon in deployment.daemons]
        calls_before = await deployment.store_calls()
        started_at = time.time()
        choose = deployment.caller_endpoint
        records = await send_workload(deployment, make_requests(plan), choose, cancel_after=1.0)
        elapsed = time.time() - started_at
        after = [await deploy.usage(daemon) for daemon in deployment.daemons]
        calls_after = await deployment.store_calls()
        logs = await deployment.logs()
    finally:
        deployment.stop()
    runs = [run for name, log in logs.items() if name.startswith(shape.model_pool) for run in log]
    curves = Curves(records, runs, started_at + WARMUP_SECONDS, started_at + plan.seconds)
    settings = EngineSettings(**(engine or {}))
    figures = _figures(shape, plan, records, runs, curves, settings)
    figures["idle_bytes_per_daemon"] = idle
    figures["control"] = control_figures(before, after, elapsed, len(records))
    figures["store_calls_per_second"] = {
        name: round((calls_after[name] - calls_before.get(name, 0)) / elapsed, 2)
        for name in calls_after
    }
    return figures, curves


async def _idle_traffic(deployment: deploy.Deployment, seconds: float = 5.0) -> float:
    before = [await deploy.usage(daemon) for daemon in deployment.daemons]
    await asyncio.sleep(seconds)
    after = [await deploy.usage(daemon) for daemon in deployment.daemons]
    sent = sum(
        sum(a.peer_bytes.values()) - sum(b.peer_bytes.values()) for a, b in _pairs(after, before)
    )
    return round(sent / seconds / len(before), 1)


def _pairs(left: list, right: list) -> list[tuple]:
    return list(zip(left, right, strict=True))


def _figures(
    shape: deploy.Shape,
    plan: Plan,
    records: list[CallerRecord],
    runs: list[dict],
    curves: Curves,
    settings: EngineSettings,
) -> dict:
    slots = shape.replicas * settings.slots
    result = fairness(curves, deploy.workspaces(shape), slots, slots * settings.decode_rate)
    largest = max(run["prompt_tokens"] + run["output_tokens"] for run in runs)
    figures = dataclasses.asdict(dataclasses.replace(result, largest_cost=largest))
    figures["gap_over_largest"] = result.largest_gap / largest
    labels = sorted({record.request.label for record in records})
    figures["first_byte_seconds"] = {
        label: percentiles([s.first_byte_at - s.sent_at for s in records if _answered(s, label)])
        for label in labels
    }
    figures["requests"] = len(records)
    figures["outcomes"] = _outcomes(records)
    return figures


def _answered(records: CallerRecord, label: str) -> bool:
    return records.request.label == label and records.status == 200 and records.first_byte_at > 0


def _outcomes(records: list[CallerRecord]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in records:
        result = (
            "whole" if record.complete else record.reason or record.error.split(":")[0] or "other"
        )
        name = f"{record.request.label} {result}"
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def control_figures(
    before: list[deploy.Usage], after: list[deploy.Usage], elapsed: float, requests: int
) -> dict:
    """Return the control traffic, processor time and memory of daemons between two measurements."""
    kinds: dict[str, float] = {}
    for new, old in _pairs(after, before):
        for kind, value in new.peer_bytes.items():
            kinds[kind] = kinds.get(kind, 0.0) + value - old.peer_bytes.get(kind, 0.0)
    per_daemon = [
        (sum(n.peer_bytes.values()) - sum(o.peer_bytes.values())) / elapsed
        for n, o in _pairs(after, before)
    ]
    cpu = [(n.cpu - o.cpu) / elapsed for n, o in _pairs(after, before)]
    return {
        "bytes_per_second_mean": round(statistics.mean(per_daemon), 1),
        "bytes_per_second_most": round(max(per_daemon), 1),
        "bytes_per_request": round(sum(kinds.values()) / requests, 1),
        "bytes_per_request_by_kind": {
            kind: round(value / requests, 2) for kind, value in sorted(kinds.items()) if value
        },
        "cpu_share_mean": round(statistics.mean(cpu), 4),
        "cpu_share_most": round(max(cpu), 4),
        "cpu_ms_per_request": round(sum(cpu) * elapsed / requests * 1000, 3),
        "rss_mb_most": round(max(new.rss for new in after) / 1e6, 1),
    }


def _plot(path: Path, title: str, curves: Curves, weights: dict[str, float]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 5))
    for name in curves.names:
        line = curves.service[name] / weights[name]
        axes.plot(curves.times - curves.times[0], line - line[0], label=name)
    axes.set(xlabel="seconds", ylabel="tokens per weight", title=title)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _median(figures: list[dict], name: str) -> float:
    return statistics.median(each[name] for each in figures)


class Fairness:
    """The experiment; see the doc comment of the module."""

    def __call__(
        self,
        shape: str = "association",
        runs: int = 1,
        seconds: float = 40.0,
        rate: float = 64.0,
        daemons: int = 8,
        baseline: bool = False,
        flood: bool = True,
        flags: str = "",
        name: str = "fairness",
    ) -> None:
        """Run the experiment ``runs`` times.

        ``flood`` lets one workspace flood the fleet in the middle third of a run, ``flags`` are
        further flags of the daemons, and ``name`` is the prefix of the files in ``results/``.
        """
        chosen = deploy.SHAPES[shape]
        weights = deploy.workspaces(chosen)
        RESULTS.mkdir(exist_ok=True)
        extra_flags = tuple(flags.split())
        variants = {"fleet": extra_flags}
        if baseline:
            variants["local"] = (*extra_flags, "--scheduling=local")
        collected: dict[str, list[dict]] = {variant: [] for variant in variants}
        for number in range(runs):
            plan = Plan(
                seed=100 + number,
                seconds=seconds,
                rate=rate,
                daemons=daemons,
                workspaces=tuple(sorted(weights)),
                large_workspaces=chosen.large_workspaces,
                flooding_workspace=chosen.large_workspaces[0] if flood else "",
            )
            for variant, options in variants.items():
                figures, curves = asyncio.run(_run_once(chosen, plan, options))
                collected[variant].append(figures)
                _plot(
                    RESULTS / f"{name}-{variant}-{number}.png",
                    f"{shape}, {variant}",
                    curves,
                    weights,
                )
                print(variant, number, json.dumps(figures), flush=True)
        self._summarise(collected)
        (RESULTS / f"{name}.json").write_text(json.dumps(collected, indent=1))

    def _summarise(self, collected: dict[str, list[dict]]) -> None:
        for variant, figures in collected.items():
            for key in ("largest_gap", "gap_over_largest", "p99_gap", "idle_share"):
                print(f"{variant}: median {key} {_median(figures, key):.4f}")


def main() -> None:
    """Run the experiment from the command line."""
    fire.Fire(Fairness())


if __name__ == "__main__":
    main()
