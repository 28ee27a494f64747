"""The bounded set of peers with which a node exchanges heartbeats and updates.

The members form a ring, sorted by node. Each keeps links to a few members at growing distances
along the ring, and as many members keep a link to it. So a node has at most eight neighbours in a
fleet of any size, updates reach all nodes in a few hops, and several nodes monitor each node.
"""

from collections.abc import Sequence

OUTGOING_LINKS = 4


def link_distances(size: int) -> list[int]:
    """Return the distances of links in a ring of ``size`` members, at most ``OUTGOING_LINKS``."""
    if size <= 1:
        return []
    base = 2
    while base**OUTGOING_LINKS < size:
        base += 1
    chosen = [base**power for power in range(OUTGOING_LINKS)]
    return [distance for distance in chosen if distance <= size // 2]


def outgoing_neighbours(ring: Sequence[str], node: str) -> list[str]:
    """Return the members to which ``node`` keeps a link; ``ring`` is sorted and contains it."""
    position = ring.index(node)
    chosen = [ring[(position + distance) % len(ring)] for distance in link_distances(len(ring))]
    return list(dict.fromkeys(chosen))


def neighbours(ring: Sequence[str], node: str) -> list[str]:
    """Return the members to which ``node`` keeps a link and those that keep one to it."""
    position = ring.index(node)
    incoming = [ring[(position - distance) % len(ring)] for distance in link_distances(len(ring))]
    return list(dict.fromkeys(outgoing_neighbours(ring, node) + incoming))
