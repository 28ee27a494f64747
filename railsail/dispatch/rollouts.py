"""Take in what a rollout's coordinator allows to the cells of this node, and tell it what was seen.

A coordinator that is not heard for a while is told nothing more; another one makes itself known by
its own allowance.
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

EVIDENCE_SECONDS = 0.25
# A coordinator whose last allowance is older is told nothing more.
HEARD_SECONDS = 2.0
# As many tallies as one message holds.
MOST_TALLIES = 2000


@dataclass(frozen=True)
class _Coordinator:
    """The sender of a cell's newest allowance, and when that came."""

    node: str
    heard_at: float


class RolloutDispatch:
    """The dispatcher's and the entry's side of rollouts at one node."""

    def __init__(
        self,
        book: RolloutBook,
        directory: UpstreamDirectory,
        dispatchers: DispatcherService,
        tickets: TicketClient,
        hub: PeerHub,
        kernel: Kernel,
    ) -> None:
        self._book = book
        self._directory = directory
        self._dispatchers = dispatchers
        self._hub = hub
        self._clock = kernel.clock
        self._coordinators: dict[Cell, _Coordinator] = {}
        hub.handle(RolloutAllowance, self._allowed)
        tickets.facts_of = self._facts_of
        directory.follow_rollouts(book)
        book.on_change(directory.rollouts_changed)

    async def run(self) -> None:
        """Tell coordinators what was seen, until cancelled."""
        while True:
            await asyncio.sleep(EVIDENCE_SECONDS)
            self.tell_all()

    def stop(self) -> None:
        """Tell nobody anything more."""
        self._coordinators.clear()

    def tell_all(self) -> None:
        """Tell each coordinator that was heard lately what its cells have seen."""
        now = self._clock.monotonic()
        for cell, coordinator in list(self._coordinators.items()):
            if now - coordinator.heard_at > HEARD_SECONDS:
                del self._coordinators[cell]
            else:
                self._tell(cell, coordinator.node)

    def _facts_of(self, replica: str) -> Mapping[str, Fact]:
        upstream = self._directory.get(replica)
        if upstream is None or self._book.running(upstream.pool) is None:
            return {}
        return {"software_version": upstream.software_version}

    def _allowed(self, node: str, message: RolloutAllowance) -> None:
        order = self._book.running(message.service)
        if order is None or order.version != message.version:
            # One of the two has not heard of the order, or of its end, yet.
            known = order.version if order else 0
            self._tell_ignored(node, message, "another order", known_version=known)
            return
        cell, dispatcher = self._dispatchers.dispatcher(message.service, message.cell)
        if cell.number != message.cell:
            # One of the two knows replicas that the other does not: the cells are cut otherwise.
            self._tell_ignored(node, message, "a cell that is not known here", cell=message.cell)
            return
        exposure = dispatcher.versions.exposure
        now = self._clock.monotonic()
        if exposure is None or not exposure.allow(_to_allowance(message, now), now):
            return
        self._coordinators[cell] = _Coordinator(node, now)
        self._tell(cell, node)

    def _tell_ignored(self, node: str, message: RolloutAllowance, what: str, **facts: Fact) -> None:
        get_logger().info(
            f"allowance for {what}",
            service=message.service,
            coordinator=node,
            order_version=message.version,
            **facts,
        )

    def _tell(self, cell: Cell, node: str) -> None:
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
        list(itertools.islice(records, MOST_TALLIES)),
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
