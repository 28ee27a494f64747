"""Compute the figures of a run from the callers' records and the upstreams' logs."""

from dataclasses import dataclass
from itertools import combinations

import numpy as np

from benchmarks.load_generator import CallerRecord

STEP_SECONDS = 0.02
# A request in transit to an engine with a free slot does not wait. This much time is allowed for
# the transit.
ONE_WAY_LATENCY_SECONDS = 0.05


@dataclass(frozen=True)
class Fairness:
    """The service gaps between pairs of backlogged workspaces, and the share of idle slots.

    Gaps are in cost units per weight. ``largest_gap_seconds`` is the largest gap divided by the
    pool's service rate. ``largest_cost`` is the largest cost of one request. ``idle_share`` is the
    share of slot time that was idle while any workspace waited, and ``waiting_share`` the share of
    the time in which any workspace waited.
    """

    largest_gap: float
    p99_gap: float
    largest_gap_seconds: float
    largest_cost: float
    pairs: int
    idle_share: float
    waiting_share: float


class Curves:
    """The service and the waiting requests of each workspace over time, on a regular grid."""

    def __init__(
        self, records: list[CallerRecord], runs: list[dict], start: float, end: float
    ) -> None:
        self.times = np.arange(start, end, STEP_SECONDS)
        self.names = sorted({record.request.workspace for record in records})
        self.service = {name: np.zeros(len(self.times)) for name in self.names}
        self.waiting = {name: np.zeros(len(self.times)) for name in self.names}
        self.running = np.zeros(len(self.times))
        self._add_runs(runs)
        self._add_waiting(records, {run["request"]: run for run in runs})

    def _add_runs(self, runs: list[dict]) -> None:
        for run in runs:
            if not run["started_at"]:
                continue
            ended_at = run["ended_at"] or self.times[-1]
            span = max(ended_at - run["started_at"], 1e-6)
            share = np.clip((self.times - run["started_at"]) / span, 0.0, 1.0)
            cost = run["prompt_tokens"] + run["produced"]
            self.service[run["workspace"]] += share * cost
            self.running += (self.times >= run["started_at"]) & (self.times < ended_at)

    def _add_waiting(self, records: list[CallerRecord], by_request: dict[str, dict]) -> None:
        for record in records:
            if record.request.label not in ("draft", "tag"):
                continue
            run = by_request.get(record.request_id)
            until = run["received_at"] if run else record.ended_at
            waiting_now = (self.times >= record.sent_at + ONE_WAY_LATENCY_SECONDS) & (
                self.times < until
            )
            self.waiting[record.request.workspace] += waiting_now


def fairness(curves: Curves, weights: dict[str, float], slots: int, rate: float) -> Fairness:
    """Return the fairness of a run; ``rate`` is the pool's service rate in cost units a second.

    ``largest_cost`` stays 0; the caller sets it.
    """
    gaps = []
    for left, right in combinations(curves.names, 2):
        difference = curves.service[left] / weights[left] - curves.service[right] / weights[right]
        both_waiting = (curves.waiting[left] > 0) & (curves.waiting[right] > 0)
        gaps += _ranges(difference, both_waiting)
    any_waiting = sum(curves.waiting.values()) > 0
    idle = np.clip(slots - curves.running, 0, slots)
    waiting_time = max(1, int(any_waiting.sum()))
    return Fairness(
        largest_gap=float(max(gaps, default=0.0)),
        p99_gap=float(np.percentile(gaps, 99)) if gaps else 0.0,
        largest_gap_seconds=float(max(gaps, default=0.0)) / rate,
        largest_cost=0.0,
        pairs=len(gaps),
        idle_share=float((idle * any_waiting).sum() / (slots * waiting_time)),
        waiting_share=float(any_waiting.mean()),
    )


def _ranges(difference: np.ndarray, both_waiting: np.ndarray) -> list[float]:
    """Return the range of ``difference`` over each interval in which both were backlogged."""
    edges = np.flatnonzero(np.diff(np.concatenate(([0], both_waiting.astype(int), [0]))))
    ranges = []
    for start, end in zip(edges[::2], edges[1::2], strict=True):
        interval = difference[start:end]
        ranges.append(float(interval.max() - interval.min()))
    return ranges


def percentiles(values: list[float]) -> dict[str, float]:
    """Return p50, p95 and p99 of ``values``."""
    if not values:
        return {}
    return {f"p{p}": round(float(np.percentile(values, p)), 4) for p in (50, 95, 99)}
