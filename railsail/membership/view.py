"""Which nodes this one can give work to now, as far as it can tell."""

from collections.abc import Callable

from railsail.membership.service import Membership
from railsail.membership.speed import fast_enough
from railsail.membership.table import Member
from railsail.membership.watchers import store_watchers
from railsail.peers.hub import PeerHub

# With so many nodes that cannot be dialled, only linked ones are given work.
CUT_OFF_NODES = 2


class FleetView:
    """Choose among the members; ``unreachable`` gives those that did not answer when last asked.

    ``seeds`` says how many nodes there are at least, those included that cannot be seen.
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
        # The nodes that watch the store, until the members change.
        self._watchers: set[str] | None = None
        membership.on_change(self._members_changed)

    def _members_changed(self) -> None:
        self._watchers = None

    def size(self) -> int:
        """Return how many members there may be, those included that cannot be seen now."""
        return max(len(self._table), self._seeds)

    def reachable_share(self) -> float:
        """Return the part of the fleet that this node can reach, from 0 to 1."""
        return min(1.0, len(self.usable()) / max(1, len(self._table)))

    def usable(self) -> list[str]:
        """Return the nodes that may be given work, as far as this node can reach them."""
        own = self._table.own.node
        unreachable = self._unreachable()
        nodes = [member.node for member in self._table.usable()]
        if self._membership.doubted and own in nodes:
            return [own]
        nodes = [n for n in nodes if n not in unreachable and self._membership.reachable(n)]
        if len(unreachable) >= CUT_OFF_NODES:
            # It is not one node that is lost: to try the others one by one would take too long.
            nodes = [node for node in nodes if self._hub.connected(node)]
        return nodes

    def usable_members(self) -> list[Member]:
        """Return the same as members."""
        members = [self._table.get(node) for node in self.usable()]
        return [member for member in members if member is not None]

    def fast_enough(self, region: str = "") -> list[str]:
        """Return the usable nodes that may dispatch, of all or of those in ``region``."""
        members = self.usable_members()
        if region:
            members = [member for member in members if member.region == region]
        return [member.node for member in fast_enough(members)]

    def region_of(self, node: str) -> str:
        """Return the region of ``node``, empty if the node is not known."""
        member = self._table.get(node)
        return member.region if member is not None else ""

    def watches_store(self) -> bool:
        """Say whether this node watches the store for itself and for others."""
        if self._membership.alone:
            # Nobody tells this node what those that watch hear.
            return True
        if self._watchers is None:
            self._watchers = store_watchers(self._table.usable())
        return self._table.own.node in self._watchers
