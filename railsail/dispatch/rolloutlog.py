"""Count and log the grants of this node's dispatchers while a rollout runs."""

from collections.abc import Mapping

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.dispatch.bookings import ticket_name
from railsail.rollouts.stages import Stage
from railsail.scheduling.cells import Cell
from railsail.scheduling.decisions import Grant
from railsail.scheduling.dispatcher import CellDispatcher


class RolloutLog:
    """Counts grants by stage and version, and logs canary calls."""

    def __init__(self, dispatchers: Mapping[Cell, CellDispatcher], kernel: Kernel) -> None:
        self._dispatchers = dispatchers
        self._events = kernel.events
        self._metrics = kernel.metrics

    def record_grant(self, cell: Cell, grant: Grant) -> None:
        """Count a grant, and log it if it is a canary call; do nothing if no rollout runs."""
        versions = self._dispatchers[cell].versions
        exposure, stage = versions.exposure, grant.stage
        if exposure is None or stage is None:
            return
        to_target = versions.is_target(grant.replica)
        side = "target" if to_target else "other"
        self._metrics.rollout_calls.inc({"pool": cell.pool, "stage": stage.name, "version": side})
        # At later stages most calls go to the target version, and the entry's log line names it.
        if to_target and stage is Stage.CANARY:
            self._events.emit(
                Kind.GRANTED,
                "as a canary call of a rollout",
                cell=str(cell),
                replica=grant.replica,
                ticket=ticket_name(grant.ticket.entry, grant.ticket.number),
                software_version=exposure.target_version,
                stage=stage.name,
                exposed=exposure.exposed,
                unspent=exposure.unspent,
            )
