"""Aggregate the service that workspaces received in the fleet, over a tree of nodes.

Sums go up the tree to the root, and the totals of the pool come down again. The nodes of the tree
are all members, or only the dispatchers of a pool that spans regions. Only pools of several cells
take part: a pool of one cell has all its counters in one place.
"""

import asyncio
from collections.abc import Callable

from railsail.core.clock import Clock
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.service import DispatcherService
from railsail.membership import tree
from railsail.peers.codec import encode_message
from railsail.peers.hub import PeerHub
from railsail.peers.messages import FleetServed, Served
from railsail.peers.records import SumRecord
from railsail.scheduling.balance import FleetBalance
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.totals import PoolTotals, Sums, digest_of

# The root sets the period of all exchanges so that a node sends about this many bytes a second. The
# period stays within the bounds below.
TARGET_BYTES_PER_SECOND = 1000.0
MIN_PERIOD_SECONDS = 0.5
MAX_PERIOD_SECONDS = 10.0


class ServiceTree:
    """Exchanges service sums with the parent and the children of this node, once a period."""

    def __init__(
        self,
        cells: CellMap,
        dispatchers: DispatcherService,
        pools: Callable[[], list[str]],
        usable: Callable[[], list[str]],
        hub: PeerHub,
        clock: Clock,
    ) -> None:
        self._cells = cells
        self._dispatchers = dispatchers
        self._pools = pools
        self._usable = usable
        self._hub = hub
        self._clock = clock
        self._totals: dict[str, PoolTotals] = {}
        self._counted: dict[tuple[Cell, str], float] = {}
        self._children: dict[str, list[str]] = {}
        self._sent_bytes: dict[str, int] = {}
        self._periods: dict[str, float] = {}
        self._adjusted_at: dict[str, float] = {}
        self._balances: dict[Cell, FleetBalance] = {}
        hub.handle(Served, self._handle_served)
        hub.handle(FleetServed, self._handle_fleet_served)

    async def run(self) -> None:
        """Exchange sums periodically, until cancelled."""
        while True:
            await asyncio.sleep(max(self._periods.values(), default=MIN_PERIOD_SECONDS))
            for pool in self._pools():
                if len(self._cells.cells(pool)) > 1:
                    self._exchange(pool)

    def _exchange(self, pool: str) -> None:
        totals = self._totals_of(pool)
        own = self._hub.own.node
        nodes = self._nodes(pool)
        if own not in nodes:
            return
        ordered = tree.order(f"service of {pool}", nodes)
        parent = tree.parent(ordered, own)
        children = tree.children(ordered, own)
        self._count_own(pool, totals)
        totals.set_parent(parent, int(self._clock.wall() * 1000))
        if parent is None:
            totals.told_by_root((own, totals.epoch), totals.root_sums())
            self._set_period(pool)
        else:
            self._send_sums(parent, Served, pool, (totals.epoch,), totals.news_for_parent())
        if children != self._children.get(pool):
            self._children[pool] = children
            totals.forget_told()
        self._send_to_children(pool, totals, children)
        self._adjust_weights(pool, totals.fleet_gains(), tree.depth(len(ordered)))

    def _nodes(self, pool: str) -> list[str]:
        """Return the nodes of the tree of ``pool``.

        For a pool that spans regions, these are only its few dispatchers: with all members in the
        tree, far more messages would cross regions.
        """
        cells = self._cells.cells(pool)
        if any(cell.region for cell in cells):
            return sorted({self._cells.dispatcher(cell) for cell in cells})
        return self._usable()

    def _set_period(self, pool: str) -> None:
        # All nodes use the root's period. The root sends as much as any other node, except for the
        # message to a parent.
        period = self._sent_bytes.get(pool, 0) / TARGET_BYTES_PER_SECOND
        self._periods[pool] = min(max(period, MIN_PERIOD_SECONDS), MAX_PERIOD_SECONDS)
        self._sent_bytes[pool] = 0

    def _send_to_children(self, pool: str, totals: PoolTotals, children: list[str]) -> None:
        root = totals.root
        if root is None:
            return
        sums = totals.news_for_children()
        period = round(self._periods.get(pool, MIN_PERIOD_SECONDS) * 1000)
        for child in children:
            self._send_sums(child, FleetServed, pool, (*root, period), sums)

    def _send_sums(self, node: str, kind: type, pool: str, header: tuple, sums: Sums) -> None:
        if not sums:
            return
        records = [SumRecord(digest, round(value)) for digest, value in sorted(sums.items())]
        message = kind(pool, *header, records)
        self._sent_bytes[pool] = self._sent_bytes.get(pool, 0) + len(encode_message(message))
        self._hub.send(node, message)

    def _totals_of(self, pool: str) -> PoolTotals:
        return self._totals.setdefault(pool, PoolTotals())

    def _own_dispatchers(self, pool: str) -> dict[Cell, CellDispatcher]:
        dispatchers = self._dispatchers.dispatchers()
        return {cell: dispatcher for cell, dispatcher in dispatchers.items() if cell.pool == pool}

    def _count_own(self, pool: str, totals: PoolTotals) -> None:
        for cell, dispatcher in self._own_dispatchers(pool).items():
            for workspace, gain in self._gains(cell, dispatcher.served).items():
                totals.serve(digest_of(workspace), gain)

    def _gains(self, cell: Cell, served: dict[str, float]) -> dict[str, float]:
        gains = {}
        for workspace, value in served.items():
            gain = value - self._counted.get((cell, workspace), 0.0)
            # A charge that was estimated too high is corrected later, but sums must only grow.
            if gain > 0:
                self._counted[(cell, workspace)] = value
                gains[workspace] = gain
        return gains

    def _adjust_weights(self, pool: str, gains: Sums, depth: int) -> None:
        now = self._clock.monotonic()
        seconds = now - self._adjusted_at.get(pool, now)
        self._adjusted_at[pool] = now
        # Sums travel up the tree and down again, and wait for half a period on average at each hop.
        # The effect of an adjustment takes about one more period to appear in them.
        delay = (depth + 1) * self._periods.get(pool, MIN_PERIOD_SECONDS)
        for cell, dispatcher in self._own_dispatchers(pool).items():
            balance = self._balances.setdefault(cell, FleetBalance(dispatcher.queue.weight))
            waiting = dispatcher.queue.workspaces()
            workspace_gains = {name: gains.get(digest_of(name), 0.0) for name in waiting}
            dispatcher.queue.tilt(balance.update(workspace_gains, waiting, seconds, delay))

    def _handle_served(self, node: str, message: Served) -> None:
        sums = {record.workspace: float(record.value) for record in message.totals}
        self._totals_of(message.pool).told_by_child(node, message.epoch, sums)

    def _handle_fleet_served(self, node: str, message: FleetServed) -> None:
        sums = {record.workspace: float(record.value) for record in message.totals}
        self._totals_of(message.pool).told_by_root((message.root, message.epoch), sums)
        period = message.period / 1000
        self._periods[message.pool] = min(max(period, MIN_PERIOD_SECONDS), MAX_PERIOD_SECONDS)
