"""Record the outcome of routed requests in the metrics and on the time line."""

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Unknown
from railsail.routing.relay import Routed


class OutcomeRecorder:
    """Record how requests ended; late and failed ones are marked as notable."""

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
        routed: Routed | None,
        outcome: Outcome,
        status: int,
        seconds: float,
    ) -> None:
        """Record an ``outcome`` after ``seconds``.

        ``routed`` is ``None`` if the request was refused before a replica was requested for it.
        ``status`` is the status that the caller received, 0 if its connection was closed instead.
        """
        outcome_name = type(outcome).__name__.lower()
        facts: dict[str, Fact] = {"outcome": outcome_name, "total_ms": round(seconds * 1000)}
        if status:
            facts["status"] = status
        if isinstance(outcome, NotRun):
            facts["reason"] = outcome.reason
        pool = ""
        if routed is not None:
            pool = routed.pool.name
            facts |= _request_facts(routed)
            self._observe_stages(routed, outcome_name, seconds)
        self._metrics.requests.inc({"pool": pool, "outcome": outcome_name})
        detail = outcome.detail if isinstance(outcome, NotRun | Unknown) else ""
        notable = _late(routed) or not isinstance(outcome, Completed)
        self._events.emit(Kind.ENDED, detail, request_id, notable=notable, **facts)

    def _observe_stages(self, routed: Routed, outcome: str, seconds: float) -> None:
        stages = {"queue": routed.waited, "first-byte": routed.first_after, "whole": seconds}
        for stage, duration in stages.items():
            if stage != "first-byte" or duration:
                labels = {"route": routed.route.name, "outcome": outcome, "stage": stage}
                self._metrics.stages.observe(labels, duration)


def _late(routed: Routed | None) -> bool:
    return routed is not None and 0 < routed.route.objective < routed.first_after


def _request_facts(routed: Routed) -> dict[str, Fact]:
    facts: dict[str, Fact] = {
        "attempts": routed.attempts,
        "waited_ms": round(routed.waited * 1000),
        "first_ms": round(routed.first_after * 1000),
        "replica": routed.replica,
        "given_up": routed.given_up,
        "last_event": routed.stream.last_event,
    }
    return {name: fact for name, fact in facts.items() if fact != ""}
