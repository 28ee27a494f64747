"""The nodes to which this node can give work now, as far as it can tell."""

from collections.abc import Callable

from railsail.membership.service import Membership
from railsail.membership.speed import fast_enough
from railsail.membership.table import Member
from railsail.membership.watchers import store_watchers
from railsail.peers.hub import PeerHub

# If this many nodes are unreachable, only nodes with a link are given work.
UNREACHABLE_TO_REQUIRE_LINKS = 2


class FleetView:
    """The members as this node can reach them.

    ``seeds`` is the minimum size of the fleet, which includes nodes that this node has not seen.
    ``unreachable`` returns the nodes that were silent or could not be dialled at the last request.
    """

    def __init__(
        self,
        membership: Membership,
        hub: PeerHub,
        seeds: int,
        unreachable: Callable[[], set[str]],
    ) -> None:
        self._membership = membership
        self._table = membership.table
        self._hub = hub
        self._seeds = seeds
        self._unreachable = unreachable
        # Cache of the nodes that watch the store, cleared when the members change.
        self._watchers: set[str] | None = None
        membership.on_change(self._members_changed)

    def _members_changed(self) -> None:
        self._watchers = None

    def size(self) -> int:
        """Return how many members the fleet may have, including those that cannot be seen now."""
        return max(len(self._table), self._seeds)

    def reachable_share(self) -> float:
        """Return the fraction of the fleet that this node can reach, from 0 to 1."""
        return min(1.0, len(self.usable()) / max(1, len(self._table)))

    def usable(self) -> list[str]:
        """Return the nodes that may be given work and that this node can reach."""
        own = self._table.own.node
        unreachable = self._unreachable()
        nodes = [member.node for member in self._table.usable()]
        if self._membership.doubted and own in nodes:
            return [own]
        nodes = [n for n in nodes if n not in unreachable and self._membership.reachable(n)]
        if len(unreachable) >= UNREACHABLE_TO_REQUIRE_LINKS:
            # The network may be partitioned, and trying the other nodes one by one takes too long.
            nodes = [node for node in nodes if self._hub.connected(node)]
        return nodes

    def usable_members(self) -> list[Member]:
        """Return the same nodes as ``Member`` records."""
        members = [self._table.get(node) for node in self.usable()]
        return [member for member in members if member is not None]

    def fast_enough(self, region: str = "") -> list[str]:
        """Return the usable nodes that may dispatch, only those in ``region`` if it is given."""
        members = self.usable_members()
        if region:
            members = [member for member in members if member.region == region]
        return [member.node for member in fast_enough(members)]

    def region_of(self, node: str) -> str:
        """Return the region of ``node``, empty if the node is unknown."""
        member = self._table.get(node)
        return member.region if member is not None else ""

    def watches_store(self) -> bool:
        """Return True if this node watches the store."""
        if self._membership.alone:
            # The nodes that watch cannot send their changes to this one.
            return True
        if self._watchers is None:
            self._watchers = store_watchers(self._table.usable())
        return self._table.own.node in self._watchers
