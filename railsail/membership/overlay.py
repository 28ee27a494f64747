"""The bounded set of peers with which a node exchanges heartbeats and updates.

The members form a ring, sorted by node. Each keeps links to a few members at growing distances
along the ring, and as many members keep a link to it. So a node has at most eight neighbours in a
fleet of any size, updates reach all nodes in a few hops, and several nodes monitor each node.
"""

from collections.abc import Sequence

LINKS_OUT = 4


def strides(size: int) -> list[int]:
    """Return the distances of links in a ring of ``size`` members, at most ``LINKS_OUT``."""
    if size <= 1:
        return []
    base = 2
    while base**LINKS_OUT < size:
        base += 1
    chosen = [base**power for power in range(LINKS_OUT)]
    return [stride for stride in chosen if stride <= size // 2]


def neighbours_out(ring: Sequence[str], node: str) -> list[str]:
    """Return the members to which ``node`` keeps a link; ``ring`` is sorted and contains it."""
    place = ring.index(node)
    chosen = [ring[(place + stride) % len(ring)] for stride in strides(len(ring))]
    return list(dict.fromkeys(chosen))


def neighbours(ring: Sequence[str], node: str) -> list[str]:
    """Return the members to which ``node`` keeps a link and those that keep one to it."""
    place = ring.index(node)
    into = [ring[(place - stride) % len(ring)] for stride in strides(len(ring))]
    return list(dict.fromkeys(neighbours_out(ring, node) + into))
