"""The view of the fleet that the coordination of rollouts uses."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from railsail.core.lifecycle import State
from railsail.membership.placement import rank
from railsail.peers.base import Message
from railsail.scheduling.cells import Cell

if TYPE_CHECKING:
    from railsail.node import Node


@dataclass(frozen=True)
class Replica:
    """A replica that may receive new calls; ``cell`` is the number of its cell."""

    name: str
    cell: int
    software_version: str
    slots: int
    warm: bool
    failure_domain: str = ""


class Fleet:
    """The fleet as the parts of ``node`` know it."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    @property
    def node_id(self) -> str:
        """Return the id of this node."""
        return self._node.settings.node_id

    def candidates(self) -> list[str]:
        """Return the nodes that may coordinate, none if this node may not.

        A node that is about to stop leaves coordination to others. A node that is cut off from its
        peers reaches no dispatchers, although it may still reach the store.
        """
        membership = self._node.membership
        if self._node.lifecycle.state is not State.READY:
            return []
        if membership.alone or membership.doubted:
            return []
        return self._node.view.usable()

    def dispatchers(self, service: str) -> dict[int, str]:
        """Return the node that dispatches each cell of ``service``, by cell number."""
        cells = self._node.cells
        return {cell.number: cells.dispatcher(cell) for cell in cells.cells(service)}

    def replicas(self, service: str) -> list[Replica]:
        """Return the replicas of ``service`` that may receive new calls."""
        cells = self._node.cells.cells(service)
        found = [self._replica(cell, name) for cell, names in cells.items() for name in names]
        return [replica for replica in found if replica is not None]

    def _replica(self, cell: Cell, name: str) -> Replica | None:
        directory = self._node.directory
        upstream = directory.get(name)
        if upstream is None or not directory.takes_work(upstream):
            return None
        warm = directory.cold_seconds(name, self._cold_after_evacuation(cell.pool)) <= 0
        return Replica(
            name,
            cell.number,
            upstream.software_version,
            upstream.slots,
            warm,
            upstream.failure_domain,
        )

    def _cold_after_evacuation(self, service: str) -> float:
        """Return for how many seconds a replica is cold after its domain's evacuation has ended."""
        pool = self._node.carrier.catalog.pool(service)
        return pool.cold_seconds if pool is not None and pool.warmup_rate else 0.0

    def send(self, node: str, message: Message) -> bool:
        """Queue ``message`` for ``node``; return True if there is a link to the node."""
        return self._node.hub.send(node, message)

    def start_id(self, node: str) -> int:
        """Return the start id of the process at ``node``, 0 if it is not known."""
        return self._node.hub.start_id(node)


def ranked_candidates(fleet: Fleet, service: str) -> list[str]:
    """Return the candidates for the rollout of ``service``, in the same order on all nodes."""
    return rank(f"rollout of {service}", fleet.candidates())
