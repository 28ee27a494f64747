"""A shallow tree over the members.

All nodes compute the same tree from the same member list.
"""

from collections.abc import Sequence

from railsail.membership.placement import rank

FAN_OUT = 4


def order(topic: str, nodes: Sequence[str]) -> list[str]:
    """Return ``nodes`` in the order of the tree of ``topic``, the root first."""
    return rank(topic, nodes)


def parent(ordered: Sequence[str], node: str) -> str | None:
    """Return the parent of ``node``, or ``None`` for the root."""
    position = ordered.index(node)
    return None if position == 0 else ordered[(position - 1) // FAN_OUT]


def children(ordered: Sequence[str], node: str) -> list[str]:
    """Return the children of ``node``."""
    first = ordered.index(node) * FAN_OUT + 1
    return list(ordered[first : first + FAN_OUT])


def depth(size: int) -> int:
    """Return the number of hops from the root to the deepest of ``size`` nodes."""
    hops = 0
    reached = 1
    while reached < size:
        hops += 1
        reached += FAN_OUT**hops
    return hops
