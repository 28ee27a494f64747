"""The nodes that may keep records of streams, as this node can reach them."""

import random
from collections.abc import Callable

from railsail.core.clock import Clock
from railsail.membership.view import FleetView
from railsail.peers.hub import PeerHub
from railsail.peers.levels import READS, STREAMS
from railsail.streams import holders

# The nodes are determined anew after this time.
REFRESH_SECONDS = 0.5
# Links to such nodes that are opened at a time, so that a fleet that starts is not busy with them.
MAX_DIALS = 3
# Peers that are asked for the places that they know, or to read the store if this node cannot.
READING_PEERS = 3


class CandidateNodes:
    """The candidates of each region; ``dispatchers`` returns the nodes that dispatch."""

    def __init__(
        self,
        view: FleetView,
        dispatchers: Callable[[], set[str]],
        own_region: str,
        hub: PeerHub,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._dispatchers = dispatchers
        self._own_region = own_region
        self._hub = hub
        self._clock = clock
        self._rng = rng
        self._others: dict[str, list[str]] = {}
        self._with_own: dict[str, list[str]] = {}
        self._refresh_at = 0.0

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_SECONDS
        members = self._view.usable_members()
        dispatchers = self._dispatchers()
        others = [member for member in members if member.node != self._hub.own.node]
        self._others = holders.candidates(others, dispatchers)
        self._with_own = holders.candidates(members, dispatchers)

    @property
    def writer_count(self) -> int:
        """Return how many nodes write records to the store, this one included; at least 1."""
        return max(1, sum(len(nodes) for nodes in self._with_own.values()))

    def writes(self, key: int) -> bool:
        """Return True if this node writes the record of stream ``key`` to the store."""
        self._refresh()
        return self._hub.own.node in holders.writers(key, self._with_own, self._own_region)

    def keepers(self, key: int) -> list[str]:
        """Return the other nodes that keep the record of stream ``key`` and can be sent it now."""
        self._refresh()
        reachable = {
            region: [node for node in nodes if self._hub.speaks(node, STREAMS)]
            for region, nodes in self._others.items()
        }
        return holders.keepers(key, reachable, self._own_region)

    def asked(self, key: int) -> list[str]:
        """Return the nodes to ask for the record of stream ``key``."""
        self._refresh()
        return holders.asked(key, self._others)

    def readers(self) -> list[str]:
        """Return some nodes that can be asked for places, and to read the store for this node."""
        nodes = [node for node in self._all() if self._hub.speaks(node, READS)]
        return self._rng.sample(nodes, min(READING_PEERS, len(nodes)))

    def dial(self) -> None:
        """Open links to some of the nodes that have none."""
        missing = [node for node in self._all() if not self._hub.connected(node)]
        # In random order: all nodes of a fleet that starts dial the same candidates.
        for node in self._rng.sample(missing, min(MAX_DIALS, len(missing))):
            self._hub.dial(node)

    def _all(self) -> list[str]:
        self._refresh()
        return [node for nodes in self._others.values() for node in nodes]
