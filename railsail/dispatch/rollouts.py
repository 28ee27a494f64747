"""Apply the allowances of rollout coordinators to this node's cells, and send evidence back.

Evidence is sent to the node that sent a cell's newest allowance, until no allowance has come from
it for a while. A new coordinator becomes known by its own allowance.
"""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass

from railsail.core.events import Fact
from railsail.core.kernel import Kernel
from railsail.core.logs import get_logger
from railsail.dispatch.entry import TicketClient
from railsail.dispatch.service import DispatcherService
from railsail.peers.hub import PeerHub
from railsail.peers.messages import RolloutAllowance, RolloutEvidence
from railsail.peers.records import TallyRecord
from railsail.rollouts.book import RolloutBook
from railsail.rollouts.evidence import Tally
from railsail.rollouts.stages import Stage
from railsail.rollouts.tallies import TallyKey
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.exposure import Allowance
from railsail.upstreams.directory import UpstreamDirectory

EVIDENCE_INTERVAL_SECONDS = 0.25
# A coordinator whose last allowance is older than this is sent no more evidence.
COORDINATOR_TIMEOUT_SECONDS = 2.0
# Peers reject a message with more tallies, see ``RolloutEvidence``.
MAX_TALLIES = 2000


@dataclass(frozen=True)
class _Coordinator:
    """The sender of a cell's newest allowance, and when the allowance was received."""

    node: str
    received_at: float


class RolloutDispatch:
    """Follows rollouts at this node, for its dispatchers and its entry."""

    def __init__(
        self,
        registry: RolloutBook,
        directory: UpstreamDirectory,
        dispatchers: DispatcherService,
        tickets: TicketClient,
        hub: PeerHub,
        kernel: Kernel,
    ) -> None:
        self._registry = registry
        self._directory = directory
        self._dispatchers = dispatchers
        self._hub = hub
        self._clock = kernel.clock
        self._coordinators: dict[Cell, _Coordinator] = {}
        hub.handle(RolloutAllowance, self._handle_allowance)
        tickets.replica_facts = self._replica_facts
        directory.follow_rollouts(registry)
        registry.on_change(directory.rollouts_changed)

    async def run(self) -> None:
        """Send evidence to coordinators periodically, until cancelled."""
        while True:
            await asyncio.sleep(EVIDENCE_INTERVAL_SECONDS)
            self.send_all_evidence()

    def stop(self) -> None:
        """Stop sending evidence."""
        self._coordinators.clear()

    def send_all_evidence(self) -> None:
        """Send the evidence of each cell to its coordinator, unless that has timed out."""
        now = self._clock.monotonic()
        for cell, coordinator in list(self._coordinators.items()):
            if now - coordinator.received_at > COORDINATOR_TIMEOUT_SECONDS:
                del self._coordinators[cell]
            else:
                self._send_evidence(cell, coordinator.node)

    def _replica_facts(self, replica: str) -> Mapping[str, Fact]:
        upstream = self._directory.get(replica)
        if upstream is None or self._registry.running(upstream.pool) is None:
            return {}
        return {"software_version": upstream.software_version}

    def _handle_allowance(self, node: str, message: RolloutAllowance) -> None:
        order = self._registry.running(message.service)
        if order is None or order.version != message.version:
            # This node or the coordinator has not yet received the order, or its end.
            known = order.version if order else 0
            self._log_ignored(node, message, "another order", known_version=known)
            return
        cell, dispatcher = self._dispatchers.dispatcher(message.service, message.cell)
        if cell.number != message.cell:
            # The two nodes know different replicas, and therefore cut the pool differently.
            self._log_ignored(node, message, "an unknown cell", cell=message.cell)
            return
        exposure = dispatcher.versions.exposure
        now = self._clock.monotonic()
        if exposure is None or not exposure.allow(_to_allowance(message, now), now):
            return
        self._coordinators[cell] = _Coordinator(node, now)
        self._send_evidence(cell, node)

    def _log_ignored(self, node: str, message: RolloutAllowance, what: str, **facts: Fact) -> None:
        get_logger().info(
            f"ignored an allowance for {what}",
            service=message.service,
            coordinator=node,
            order_version=message.version,
            **facts,
        )

    def _send_evidence(self, cell: Cell, node: str) -> None:
        dispatcher = self._dispatchers.dispatchers().get(cell)
        if dispatcher is None or dispatcher.tallies is None:
            return
        self._hub.send(node, _to_evidence(cell, dispatcher))


def _to_allowance(message: RolloutAllowance, now: float) -> Allowance:
    return Allowance(
        message.term,
        message.serial,
        Stage(message.stage),
        message.calls,
        now + message.valid / 1000,
        frozenset(message.replicas),
    )


def _to_evidence(cell: Cell, dispatcher: CellDispatcher) -> RolloutEvidence:
    tallies = dispatcher.tallies
    exposure = dispatcher.versions.exposure
    flights = dispatcher.flights.values()
    records = [_to_record(key, tally) for key, tally in tallies.items()]
    return RolloutEvidence(
        cell.pool,
        cell.number,
        tallies.order_version,
        tallies.start,
        exposure.term,
        tallies.arrivals,
        exposure.exposed,
        sum(flight.software_version != exposure.target_version for flight in flights),
        list(itertools.islice(records, MAX_TALLIES)),
    )


def _to_record(key: TallyKey, tally: Tally) -> TallyRecord:
    return TallyRecord(
        key.route,
        key.software_version,
        key.replica,
        tally.answers,
        tally.failed,
        list(tally.first),
        list(tally.whole),
    )
