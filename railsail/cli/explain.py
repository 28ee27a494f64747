"""Explanation of the outcome of one request, from the logs of all daemons."""

from collections.abc import Iterable
from dataclasses import dataclass

from railsail.cli.loglines import LogLine
from railsail.cli.output import show_stamp
from railsail.core.events import Kind, describe_facts
from railsail.core.fingerprints import PART
from railsail.core.outcomes import Reason

# How long before the request a daemon's state events are still shown.
STATE_LOOKBACK_SECONDS = 5.0
_STATE_KINDS = frozenset(
    {Kind.MEMBER, Kind.UPSTREAM, Kind.CONFIGURATION, Kind.STORE, Kind.STATE, Kind.TOOK_OVER}
)


@dataclass(frozen=True)
class RequestTrace:
    """The log lines about a request, in order, and what they show.

    ``cause`` is why the request ended as it did, in a few sentences. ``missing_lines`` says which
    lines the logs lack.
    """

    lines: list[LogLine]
    cause: str
    missing_lines: str


def trace_request(request: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return the trace of ``request``.

    Besides the lines of the request itself, it has those of the other requests for the same stream
    if a caller resumed one, the lines about their tickets, and the state
    events of the nodes involved from ``STATE_LOOKBACK_SECONDS`` before the request until its end.
    """
    all_lines = list(lines)
    attempts = _attempts_at_stream(request, all_lines)
    request_lines = [line for line in all_lines if line.request in attempts]
    if not request_lines:
        return RequestTrace([], "", _describe_missing_lines(all_lines))
    tickets = {line.facts["ticket"] for line in request_lines if "ticket" in line.facts}
    ticket_lines = [
        line for line in all_lines if not line.request and line.facts.get("ticket") in tickets
    ]
    nodes = {line.node for line in [*request_lines, *ticket_lines]}
    nodes |= {str(line.facts["dispatcher"]) for line in request_lines if "dispatcher" in line.facts}
    since = min(line.seconds for line in request_lines) - STATE_LOOKBACK_SECONDS
    until = max(line.seconds for line in request_lines)
    state_lines = [
        line
        for line in all_lines
        if line.event in _STATE_KINDS and line.node in nodes and since <= line.seconds <= until
    ]
    unusable_lines = [
        line for line in _unusable_lines(request_lines, all_lines) if line not in state_lines
    ]
    trace_lines = sorted(
        [*request_lines, *ticket_lines, *state_lines, *unusable_lines],
        key=lambda line: (line.stamp, line.node),
    )
    return RequestTrace(
        trace_lines,
        explain_cause(request_lines, ticket_lines, unusable_lines),
        _describe_missing_lines(all_lines),
    )


def _unusable_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the lines about objects that could not be used when the request was refused for one.

    Such an object may have come into force long before.
    """
    refused = [
        line for line in request_lines if line.facts.get("reason") == Reason.UNUSABLE_CONFIGURATION
    ]
    if not refused:
        return []
    end = refused[-1]
    newest: dict[object, LogLine] = {}
    for line in lines:
        before = line.node == end.node and line.stamp <= end.stamp
        if before and line.event == Kind.CONFIGURATION and "object" in line.facts:
            newest[line.facts["object"]] = line
    return [line for line in newest.values() if line.facts.get("state") == "unusable"]


def _attempts_at_stream(request: str, lines: list[LogLine]) -> set[str]:
    """Return ``request`` and the other requests for the same stream, from its start or resumed."""
    resumed_by = {
        line.request: str(line.facts["resumes"]) for line in lines if line.facts.get("resumes")
    }
    start = resumed_by.get(request, request)
    return {request, start, *(name for name, first in resumed_by.items() if first == start)}


def explain_cause(
    request_lines: list[LogLine], ticket_lines: list[LogLine], unusable_lines: list[LogLine]
) -> str:
    """Return why the request ended as it did, in a few sentences.

    ``request_lines`` are the lines of the request, ``ticket_lines`` those about its tickets, and
    ``unusable_lines`` those about objects of the configuration that cannot be used.
    """
    end_lines = [line for line in request_lines if line.event == Kind.ENDED]
    if not end_lines:
        return "it has no end here: its daemon was killed meanwhile, or it still runs"
    explanations = [
        _explain_end(
            end, [line for line in request_lines if line.request == end.request], ticket_lines
        )
        for end in end_lines
    ]
    explanations += [
        f"{line.facts['object']} cannot be used since version {line.facts.get('version')}: "
        f"{line.facts.get('detail')}."
        for line in unusable_lines
    ]
    return " ".join(explanations)


def _explain_end(end: LogLine, request_lines: list[LogLine], ticket_lines: list[LogLine]) -> str:
    facts = end.facts
    detail = str(facts.get("detail", "")) or "nothing more is known"
    if "outcome" not in facts:
        return f"{detail} after {facts.get('total_ms')} ms."
    parts = [f"{facts['outcome']} after {facts.get('total_ms')} ms: {detail}."]
    if facts.get("reason") == Reason.EXPIRED:
        parts += [_explain_wait(line) for line in ticket_lines if line.event == Kind.EXPIRED]
    parts += [
        f"An attempt at {line.facts.get('replica')} failed before: {line.facts.get('detail')}."
        for line in request_lines
        if line.event == Kind.RETRIED
    ]
    parts += [
        _explain_silence(line)
        for line in request_lines
        if line.event == Kind.SILENT and "end" in line.facts
    ]
    parts += [
        f"Replicas that ended while they ran {_quarantined(line)}: {line.facts.get('replicas')}; "
        f"it is held back for {line.facts.get('held_ms')} ms more."
        for line in request_lines
        if line.event == Kind.QUARANTINED
    ]
    sent_to = [
        f"{line.facts.get('replica')} (version {line.facts['software_version']})"
        for line in request_lines
        if line.event == Kind.SENT and line.facts.get("software_version")
    ]
    if len(sent_to) > 1:
        parts.append(f"It was sent to {', then '.join(sent_to)}.")
    if "given_up" in facts:
        parts.append(f"No further attempt was made, since {facts['given_up']}.")
    return " ".join(parts)


def _explain_silence(line: LogLine) -> str:
    facts = line.facts
    silence = f"{facts.get('replica')} was silent for {facts.get('silent_ms')} ms"
    explanation = f"{silence}: {facts.get('detail')}."
    if "not_replaced" in facts:
        explanation += f" No other attempt replaced it, since {facts['not_replaced']}."
    return explanation


def _quarantined(line: LogLine) -> str:
    if line.facts.get("subject") == PART:
        return f"prompts with part {line.facts.get('fingerprint')}"
    return "the same request"


def _explain_wait(line: LogLine) -> str:
    facts = line.facts
    return (
        f"At its dispatcher {facts.get('waiting')} tickets waited, and "
        f"{facts.get('replicas_serving')} of {facts.get('replicas')} replicas served, with "
        f"{facts.get('in_flight')} calls, {facts.get('free_slots')} free slots and "
        f"{facts.get('to_read_ms')} ms of prompts to read."
    )


def line_row(line: LogLine) -> dict[str, object]:
    """Return ``line`` as a row of the table."""
    return {
        "time": show_stamp(line.stamp),
        "node": line.node,
        "event": line.event,
        "facts": describe_facts(line.facts),
    }


def _describe_missing_lines(lines: list[LogLine]) -> str:
    count = sum(int(line.facts.get("lines_left_out", 0)) for line in lines)
    return f"{count} lines were left out of them, and requests that went well are sampled"
