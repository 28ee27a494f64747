"""Which member does which job, computed alike by all from the member list.

Source: highest random weight hashing (Thaler and Ravishankar, 1996).
"""

import hashlib
from collections.abc import Iterable


def score(job: str, node: str) -> int:
    """Return the 64-bit weight of ``node`` for ``job``."""
    digest = hashlib.blake2b(f"{job}\0{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(job: str, nodes: Iterable[str]) -> list[str]:
    """Return ``nodes`` in the order in which they are preferred for ``job``."""
    return sorted(nodes, key=lambda node: score(job, node), reverse=True)


def choose(job: str, nodes: Iterable[str]) -> str | None:
    """Return the node preferred for ``job``, or ``None`` if there are no nodes."""
    return max(nodes, key=lambda node: score(job, node), default=None)
