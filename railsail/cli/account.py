"""Counts of served, late, refused and lost requests, from the logs of daemons.

The logs contain only a sample of the requests that went well. Ratios of all requests need logs of
daemons whose ``log_requests_per_second`` is higher than the rate that they serve.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from railsail.cli.loglines import LogLine
from railsail.core.events import Kind
from railsail.core.outcomes import Completed, NotRun

_COMPLETED = Completed.__name__.lower()
_NOT_RUN = NotRun.__name__.lower()


class Grouping(enum.StrEnum):
    """The property of requests by which the rows are grouped."""

    ROUTE = "route"
    WORKSPACE = "workspace"
    NODE = "node"
    SECOND = "second"


@dataclass
class Request:
    """The log lines that one daemon wrote about a request, by kind of event."""

    lines: dict[str, LogLine] = field(default_factory=dict)

    def fact(self, kind: Kind, name: str) -> object:
        """Return the fact ``name`` of the line of ``kind``, or ``None`` if there is none."""
        line = self.lines.get(kind)
        return line.facts.get(name) if line is not None else None

    @property
    def outcome(self) -> str:
        """Return the outcome as logged; empty if the caller disconnected or there is no end."""
        return str(self.fact(Kind.ENDED, "outcome") or "")

    @property
    def is_late(self) -> bool:
        """Return True if the first byte of the answer came later than its objective."""
        objective = self.fact(Kind.RECEIVED, "objective_ms")
        first = self.fact(Kind.ENDED, "first_ms")
        return bool(objective and first) and int(first) > int(objective)

    @property
    def is_retry(self) -> bool:
        """Return True if this is probably the retry of a refused request."""
        return any(self.fact(kind, "returned") for kind in (Kind.EXPIRED, Kind.RECEIVED))


@dataclass
class Row:
    """The requests of one route, workspace, node or second."""

    name: str
    requests: list[Request] = field(default_factory=list)

    def columns(self) -> dict[str, object]:
        """Return the columns of the row; times are in milliseconds."""
        all_requests = self.requests
        served = [r for r in all_requests if r.outcome == _COMPLETED]
        refused = [r for r in all_requests if r.outcome == _NOT_RUN]
        retries = [r for r in all_requests if r.is_retry]
        return {
            "name": self.name,
            "received": len(all_requests),
            "granted": sum(Kind.GRANTED in r.lines for r in all_requests),
            "served": len(served),
            "late": sum(r.is_late for r in served),
            "refused": len(refused),
            "unknown": len(
                [r for r in all_requests if r.outcome not in ("", _COMPLETED, _NOT_RUN)]
            ),
            "left": len([r for r in all_requests if not r.outcome]),
            "came back": len(retries),
            "refused again": sum(r.outcome == _NOT_RUN for r in retries),
            "wait p50": _quantile(all_requests, Kind.GRANTED, "waited_ms", 0.5),
            "wait p90": _quantile(all_requests, Kind.GRANTED, "waited_ms", 0.9),
            "first p50": _quantile(served, Kind.ENDED, "first_ms", 0.5),
            "first p90": _quantile(served, Kind.ENDED, "first_ms", 0.9),
            "reasons": _reasons(refused),
        }


def make_account(lines: Iterable[LogLine], grouping: Grouping) -> list[Row]:
    """Return the rows by ``grouping``: those with most requests first, or seconds by time."""
    requests: dict[tuple[str, str], Request] = {}
    for line in lines:
        if line.request:
            request = requests.setdefault((line.node, line.request), Request())
            request.lines[line.event] = line
    rows: dict[str, Row] = {}
    for request in requests.values():
        if Kind.RECEIVED in request.lines:
            name = _row_name(request, grouping)
            rows.setdefault(name, Row(name)).requests.append(request)
    if grouping is Grouping.SECOND:
        return [rows[name] for name in sorted(rows, key=int)]
    return sorted(rows.values(), key=lambda row: (-len(row.requests), row.name))


def plot_account(rows: list[Row], file: Path) -> None:
    """Write a bar chart of the outcomes in ``rows`` to ``file``, with late requests as points."""
    # Imported here, since matplotlib is needed for plots only.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    values_by_row = [row.columns() for row in rows]
    names = [str(values["name"]) for values in values_by_row]
    figure, axes = pyplot.subplots(figsize=(12, 4))
    bottom = [0] * len(values_by_row)
    for column in ("served", "refused", "unknown", "left"):
        heights = [int(str(values[column])) for values in values_by_row]
        axes.bar(names, heights, bottom=bottom, label=column)
        bottom = [base + height for base, height in zip(bottom, heights, strict=True)]
    axes.plot(names, [values["late"] for values in values_by_row], "k.", label="late")
    axes.tick_params(axis="x", rotation=90)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)


def _row_name(request: Request, grouping: Grouping) -> str:
    received = request.lines[Kind.RECEIVED]
    if grouping is Grouping.NODE:
        return received.node
    if grouping is Grouping.SECOND:
        return str(int(received.seconds))
    return str(received.facts.get(grouping, "none"))


def _quantile(requests: list[Request], kind: Kind, name: str, share: float) -> int | str:
    values = sorted(int(str(r.fact(kind, name))) for r in requests if r.fact(kind, name))
    return values[int(share * (len(values) - 1))] if values else ""


def _reasons(refused: list[Request]) -> str:
    counts: dict[str, int] = {}
    for request in refused:
        reason = str(request.fact(Kind.ENDED, "reason") or "unknown")
        counts[reason] = counts.get(reason, 0) + 1
    return " ".join(f"{reason}={count}" for reason, count in sorted(counts.items()))


# The columns of a row, in order.
COLUMNS = tuple(Row("").columns())
