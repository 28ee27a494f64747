"""The bounded set of peers with which a node exchanges heartbeats and news.

The members form a ring, ordered by node. Each links to a few members at growing strides, and is
linked from as many, so that a node has at most eight neighbours at any size, news reaches all in
few hops, and every node is watched by several others.
"""

from collections.abc import Sequence

LINKS_OUT = 4


def strides(size: int) -> list[int]:
    """Return the strides of a ring of ``size`` members, at most ``LINKS_OUT`` of them."""
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
    """Return all neighbours of ``node``, those that link to it included."""
    place = ring.index(node)
    into = [ring[(place - stride) % len(ring)] for stride in strides(len(ring))]
    return list(dict.fromkeys(neighbours_out(ring, node) + into))
