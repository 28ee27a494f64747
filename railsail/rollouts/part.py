"""The part of a daemon for rollouts.

It keeps track of all orders, coordinates those that run, and applies allowances in the cells that
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
# The duration of one watch request on the store. It may be long: orders are rare, the store answers
# a watch at once when there is one, and if a watch has died unnoticed, other nodes forward the
# order.
WATCH_SECONDS = 10.0


class RolloutsPart:
    """Follow the operator's rollouts and coordinate them, if bounds on exposure are configured."""

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
        update = self.book.full_update()
        if update.rollouts:
            self._hub.send(peer.node, update)

    def rows(self) -> list[dict[str, object]]:
        """Return a report on each rollout as this node knows it, for operators."""
        return [row(rollout, self.coordinator) for rollout in self.book.all()]

    async def run(self) -> None:
        """Coordinate rollouts until cancelled."""
        if self._dispatch is None:
            await asyncio.Event().wait()
            return
        await asyncio.gather(self.coordinator.run(), self._dispatch.run())

    def stop(self) -> None:
        """Stop coordinating rollouts and sending evidence."""
        self.coordinator.stop()
        if self._dispatch is not None:
            self._dispatch.stop()


@PARTS.register(NAME)
def build(node: "Node") -> RolloutsPart:
    """Return the part of ``node`` for rollouts."""
    return RolloutsPart(node)
