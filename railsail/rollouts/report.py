"""The report on rollouts for operators, as plain data."""

from railsail.rollouts.coordinator import Coordinator
from railsail.rollouts.coordinator_term import CoordinatorTerm
from railsail.rollouts.orders import Rollout, State


def row(rollout: Rollout, coordinator: Coordinator) -> dict[str, object]:
    """Return the report on ``rollout``; only its coordinator adds the stage and the figures."""
    order = rollout.order
    report: dict[str, object] = {
        "service": order.service,
        "target_version": order.target_version,
        "order_version": order.version,
        "duration_ms": round(order.duration * 1000),
        "state": _state(rollout),
        "status_written": rollout.written_state is rollout.order_state,
        "coordinator": "",
    }
    coordination = coordinator.coordination(order.service)
    if coordination is None:
        return report
    report["coordinator"] = coordination.holder
    if coordination.coordinator_term is not None:
        report |= _figures(coordination.coordinator_term)
    return report


def _state(rollout: Rollout) -> str:
    if rollout.withdrawn:
        return "gone"
    return "new" if rollout.order_state is State.NONE else rollout.order_state.name.lower()


def _figures(coordinator_term: CoordinatorTerm) -> dict[str, object]:
    return {
        "term": coordinator_term.entry.term,
        "stage": coordinator_term.stage.name.lower(),
        "verdict": coordinator_term.verdict.name.lower(),
        "reason": coordinator_term.reason,
        "left_ms": round(coordinator_term.seconds_left * 1000),
        "arrivals": coordinator_term.arrivals,
        "reserved": coordinator_term.entry.reserved,
        "spent": coordinator_term.spent,
    }
