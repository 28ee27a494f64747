"""Service summed over the fleet, up and down a tree, for pools of several cells.

Every node adds up what its own cells served and what its children in the tree sent. Sums only grow
and are merged by maximum, so that repeated and reordered messages do no harm. A node that gets
another parent starts a new epoch with it from zero, so that nothing is counted twice. What the old
parent had not yet forwarded is lost: the service of one period per hop at most. The sums of the
root travel down the tree again.

Workspaces are identified by a digest of 32 bits, a third of the bytes of a name. Among 300
workspaces the chance that two have the same digest is one in 100,000; they would then get the same
factors on their weights.
"""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

Sums = dict[int, float]


def digest_of(workspace: str) -> int:
    """Return the digest that identifies a workspace in the sums."""
    return zlib.crc32(workspace.encode())


@dataclass
class _Child:
    epoch: int
    sums: Sums = field(default_factory=dict)


class PoolTotals:
    """The sums of one pool at one node."""

    def __init__(self) -> None:
        # All service of this node's cells, and of the nodes below it.
        self._subtree: Sums = {}
        self._children: dict[str, _Child] = {}
        self._parent: str | None = None
        self._epoch = 0
        # ``_subtree`` at the start of the epoch; only what was added since is sent to the parent.
        self._base: Sums = {}
        self._sent_to_parent: Sums = {}
        self._root: tuple[str, int] | None = None
        self._fleet_sums: Sums = {}
        self._sent_to_children: Sums = {}
        # The sums of the pool at the last call of ``fleet_gains``.
        self._counted: Sums = {}

    @property
    def epoch(self) -> int:
        """Return the epoch of the sums that are sent to the parent."""
        return self._epoch

    @property
    def root(self) -> tuple[str, int] | None:
        """Return the node and epoch of the root whose sums are known."""
        return self._root

    def serve(self, workspace: int, cost: float) -> None:
        """Add the ``cost`` of service by a cell of this node."""
        self._subtree[workspace] = self._subtree.get(workspace, 0.0) + cost

    def told_by_child(self, child: str, epoch: int, sums: Mapping[int, float]) -> None:
        """Merge the sums that a child sent."""
        record = self._children.get(child)
        if record is not None and epoch < record.epoch:
            return
        if record is None or epoch > record.epoch:
            record = self._children[child] = _Child(epoch)
        for workspace, value in sums.items():
            gain = value - record.sums.get(workspace, 0.0)
            if gain > 0:
                record.sums[workspace] = value
                self._subtree[workspace] = self._subtree.get(workspace, 0.0) + gain

    def set_parent(self, parent: str | None, epoch: int) -> None:
        """Set the parent, ``None`` at the root; a new one starts a new epoch."""
        if parent == self._parent and self._epoch:
            return
        self._parent = parent
        self._epoch = max(self._epoch + 1, epoch)
        self._base = dict(self._subtree)
        self._sent_to_parent = {}
        self._sent_to_children = {}

    def news_for_parent(self) -> Sums:
        """Return the sums that have changed since they were last sent to the parent."""
        sums = {name: value - self._base.get(name, 0.0) for name, value in self._subtree.items()}
        return _changed(sums, self._sent_to_parent)

    def told_by_root(self, root: tuple[str, int], sums: Mapping[int, float]) -> None:
        """Merge the sums of the whole pool; ``root`` is the root's node and epoch."""
        if root != self._root:
            self._root = root
            self._fleet_sums = {}
            self._sent_to_children = {}
            self._counted = {}
        for workspace, value in sums.items():
            self._fleet_sums[workspace] = max(self._fleet_sums.get(workspace, 0.0), value)

    def root_sums(self) -> Sums:
        """Return the sums that this node sends as the root: all service under it."""
        return {name: value - self._base.get(name, 0.0) for name, value in self._subtree.items()}

    def news_for_children(self) -> Sums:
        """Return the sums of the pool that have changed since they were last sent down."""
        return _changed(self._fleet_sums, self._sent_to_children)

    def forget_told(self) -> None:
        """Make ``news_for_children`` return all sums again, because there are new children."""
        self._sent_to_children = {}

    def fleet_gains(self) -> Sums:
        """Return the service of the whole pool that has become known since the last call."""
        gains = {}
        for workspace, value in self._fleet_sums.items():
            # The first value of a root covers an unknown period; only its growth counts.
            gain = value - self._counted.get(workspace, value)
            self._counted[workspace] = value
            if gain > 0:
                gains[workspace] = gain
        return gains


def _changed(sums: Sums, sent: Sums) -> Sums:
    changed = {}
    for workspace, value in sums.items():
        if round(value) > round(sent.get(workspace, 0.0)):
            sent[workspace] = value
            changed[workspace] = value
    return changed
