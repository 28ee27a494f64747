"""The rollouts' part of a daemon.

It keeps the book of orders, coordinates those that run, and follows allowances in the cells that
this node dispatches.
"""

import asyncio
from typing import TYPE_CHECKING

from railsail.core.parts import PARTS
from railsail.dispatch.rollouts import RolloutDispatch
from railsail.peers.link import Identity
from railsail.peers.messages import RolloutEvidence, RolloutUpdate
from railsail.rollouts.book import KIND, RolloutBook
from railsail.rollouts.bounds import ExposureBounds
from railsail.rollouts.coordinator import Coordinator
from railsail.rollouts.fleet import Fleet
from railsail.rollouts.report import row

if TYPE_CHECKING:
    from railsail.node import Node

NAME = "rollouts"
# Orders are rare. A watch is answered at once when there is one; one that has died unnoticed is
# made good by those of other nodes.
WATCH_SECONDS = 10.0


class RolloutsPart:
    """Follow the operator's rollouts and coordinate them, where the bounds on exposure are set."""

    def __init__(self, node: "Node") -> None:
        settings = node.settings
        self._hub = node.hub
        self.book = RolloutBook(node.membership.flood, node.kernel)
        bounds = ExposureBounds(
            settings.expose_share, settings.expose_slack, settings.rollback_ms / 1000
        )
        fleet = Fleet(node)
        self.coordinator = Coordinator(self.book, node.store, fleet, bounds, node.kernel)
        self._dispatch: RolloutDispatch | None = None
        if settings.expose_share > 0:
            self._connect(node)

    def _connect(self, node: "Node") -> None:
        node.watcher.follow(KIND, self.book.listed, self.book.seen, seconds=WATCH_SECONDS)
        node.hub.handle(RolloutUpdate, self.book.received)
        node.hub.handle(RolloutEvidence, self.coordinator.received)
        node.hub.on_up(self._link_up)
        node.lifecycle.on_change(lambda state: self.coordinator.wake())
        self._dispatch = RolloutDispatch(
            self.book, node.directory, node.dispatchers, node.tickets, node.hub, node.kernel
        )

    def _link_up(self, peer: Identity) -> None:
        update = self.book.update()
        if update.rollouts:
            self._hub.send(peer.node, update)

    def rows(self) -> list[dict[str, object]]:
        """Return all rollouts as this node knows them, for operators."""
        return [row(rollout, self.coordinator) for rollout in self.book.all()]

    async def run(self) -> None:
        """Coordinate rollouts until cancelled."""
        if self._dispatch is None:
            await asyncio.Event().wait()
            return
        await asyncio.gather(self.coordinator.run(), self._dispatch.run())

    def stop(self) -> None:
        """Coordinate nothing any more."""
        self.coordinator.stop()
        if self._dispatch is not None:
            self._dispatch.stop()


@PARTS.register(NAME)
def build(node: "Node") -> RolloutsPart:
    """Return the rollouts' part of ``node``."""
    return RolloutsPart(node)
