"""Record the outcome of routed requests in the metrics and on the time line."""

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Unknown
from railsail.routing.context import RoutingContext


class OutcomeRecorder:
    """Recorder of how requests ended; late and failed ones are marked as notable."""

    def __init__(self, kernel: Kernel) -> None:
        self._events = kernel.events
        self._metrics = kernel.metrics

    def record_disconnect(self, request_id: str, seconds: float) -> None:
        """Record that the caller disconnected ``seconds`` after its request arrived."""
        total_ms = round(seconds * 1000)
        self._events.emit(Kind.ENDED, "the caller left", request_id, total_ms=total_ms)

    def record_unknown(self, request_id: str, outcome: Unknown, seconds: float) -> None:
        """Record that the node to which a request was forwarded did not report its outcome."""
        self._events.emit(
            Kind.ENDED,
            outcome.detail,
            request_id,
            notable=True,
            outcome=type(outcome).__name__.lower(),
            total_ms=round(seconds * 1000),
        )

    def record_outcome(
        self,
        request_id: str,
        context: RoutingContext | None,
        outcome: Outcome,
        status: int,
        seconds: float,
    ) -> None:
        """Record an ``outcome`` after ``seconds``.

        ``context`` is ``None`` if the request was refused before a replica was requested for it.
        ``status`` is the status that the caller received, 0 if its connection was closed instead.
        """
        outcome_name = type(outcome).__name__.lower()
        facts: dict[str, Fact] = {"outcome": outcome_name, "total_ms": round(seconds * 1000)}
        if status:
            facts["status"] = status
        if isinstance(outcome, NotRun):
            facts["reason"] = outcome.reason
        pool = ""
        if context is not None:
            pool = context.pool.name
            facts |= _request_facts(context)
            self._observe_stages(context, outcome_name, seconds)
        self._metrics.requests.inc({"pool": pool, "outcome": outcome_name})
        if not status:
            self._metrics.cut_answers.inc({"pool": pool, "cause": _cut_cause(outcome)})
        detail = outcome.detail if isinstance(outcome, NotRun | Unknown) else ""
        notable = _is_late(context) or not isinstance(outcome, Completed)
        self._events.emit(Kind.ENDED, detail, request_id, notable=notable, **facts)

    def _observe_stages(self, context: RoutingContext, outcome: str, seconds: float) -> None:
        stages = {"queue": context.waited, "first-byte": context.first_byte_after, "whole": seconds}
        for stage, duration in stages.items():
            if stage != "first-byte" or duration:
                labels = {"route": context.route.name, "outcome": outcome, "stage": stage}
                self._metrics.stages.observe(labels, duration)


def _cut_cause(outcome: Outcome) -> str:
    """Return why an answer that had begun was not completed, as a label of the metric."""
    if not isinstance(outcome, Unknown):
        return "not-continued"
    return "deadline" if outcome.timed_out else "broken-off"


def _is_late(context: RoutingContext | None) -> bool:
    return context is not None and 0 < context.route.objective < context.first_byte_after


def _request_facts(context: RoutingContext) -> dict[str, Fact]:
    facts: dict[str, Fact] = {
        "attempts": context.attempts,
        "waited_ms": round(context.waited * 1000),
        "first_ms": round(context.first_byte_after * 1000),
        "replica": context.replica,
        "given_up": context.give_up_reason,
        "last_event": context.stream.last_event,
    }
    if context.ends_with_connection:
        facts["ends_with_connection"] = 1
        facts["uncertain_end"] = int(context.uncertain_end)
    return {name: fact for name, fact in facts.items() if fact != ""}
