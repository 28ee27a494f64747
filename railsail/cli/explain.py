"""Explains the outcome of one request from the logs of all daemons."""

from collections.abc import Iterable
from dataclasses import dataclass

from railsail.cli.loglines import LogLine
from railsail.cli.output import show_stamp
from railsail.core.events import Kind, describe_facts
from railsail.core.outcomes import Reason

# How long before the request a daemon's state events are still shown.
BELIEFS_SECONDS = 5.0
_BELIEFS = frozenset(
    {Kind.MEMBER, Kind.UPSTREAM, Kind.CONFIGURATION, Kind.STORE, Kind.STATE, Kind.TOOK_OVER}
)


@dataclass(frozen=True)
class RequestTrace:
    """The log lines about a request, in order, and what they show.

    ``cause`` is why the request ended as it did, in a few sentences. ``left_out`` says which lines
    the logs lack.
    """

    lines: list[LogLine]
    cause: str
    left_out: str


def trace_request(request: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return the trace of ``request``.

    Besides the lines of the request itself, it has the lines about its tickets, and the state
    events of the nodes involved from ``BELIEFS_SECONDS`` before the request until its end.
    """
    known = list(lines)
    own = [line for line in known if line.request == request]
    if not own:
        return RequestTrace([], "", _left_out(known))
    tickets = {line.facts["ticket"] for line in own if "ticket" in line.facts}
    told = [line for line in known if not line.request and line.facts.get("ticket") in tickets]
    nodes = {line.node for line in [*own, *told]}
    nodes |= {str(line.facts["dispatcher"]) for line in own if "dispatcher" in line.facts}
    begun = min(line.seconds for line in own) - BELIEFS_SECONDS
    ended = max(line.seconds for line in own)
    beliefs = [
        line
        for line in known
        if line.event in _BELIEFS and line.node in nodes and begun <= line.seconds <= ended
    ]
    lines_of_request = sorted([*own, *told, *beliefs], key=lambda line: (line.stamp, line.node))
    return RequestTrace(lines_of_request, explain_cause(own, told), _left_out(known))


def explain_cause(own: list[LogLine], told: list[LogLine]) -> str:
    """Return why the request ended as it did, in a few sentences.

    ``own`` are the lines of the request, ``told`` those about its tickets.
    """
    ends = [line for line in own if line.event == Kind.ENDED]
    if not ends:
        return "it has no end here: its daemon was killed meanwhile, or it still runs"
    return " ".join(_explain_end(end, own, told) for end in ends)


def _explain_end(end: LogLine, own: list[LogLine], told: list[LogLine]) -> str:
    facts = end.facts
    detail = str(facts.get("detail", "")) or "nothing more is known"
    if "outcome" not in facts:
        return f"{detail} after {facts.get('total_ms')} ms."
    parts = [f"{facts['outcome']} after {facts.get('total_ms')} ms: {detail}."]
    if facts.get("reason") == Reason.EXPIRED:
        parts += [_explain_wait(line) for line in told if line.event == Kind.EXPIRED]
    parts += [
        f"An attempt at {line.facts.get('replica')} failed before: {line.facts.get('detail')}."
        for line in own
        if line.event == Kind.RETRIED
    ]
    parts += [
        f"Replicas that ended while they ran the same request: {line.facts.get('replicas')}; "
        f"it is held back for {line.facts.get('held_ms')} ms more."
        for line in own
        if line.event == Kind.QUARANTINED
    ]
    if "given_up" in facts:
        parts.append(f"No further attempt was made, since {facts['given_up']}.")
    return " ".join(parts)


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


def _left_out(lines: list[LogLine]) -> str:
    count = sum(int(line.facts.get("lines_left_out", 0)) for line in lines)
    return f"{count} lines were left out of them, and requests that went well are sampled"
