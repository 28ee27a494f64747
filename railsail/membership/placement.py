"""Rendezvous hashing: which member does which job.

All nodes compute the same result from the same member list.
Source: highest random weight hashing (Thaler and Ravishankar, 1996).
"""

import hashlib
from collections.abc import Iterable


def score(job: str, node: str) -> int:
    """Return the 64-bit weight of ``node`` for ``job``."""
    digest = hashlib.blake2b(f"{job}\0{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(job: str, nodes: Iterable[str]) -> list[str]:
    """Return ``nodes`` in order of preference for ``job``, the most preferred first."""
    return sorted(nodes, key=lambda node: score(job, node), reverse=True)


def choose(job: str, nodes: Iterable[str]) -> str | None:
    """Return the most preferred node for ``job``, or ``None`` if there are no nodes."""
    return max(nodes, key=lambda node: score(job, node), default=None)
