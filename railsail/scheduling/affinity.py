"""Which replica of a cell probably has a prompt's prefix cached.

The dispatcher sees every grant of its cell, so it can keep a bounded picture by itself.
Idea: the cache-aware load balancer of SGLang v0.4; here a map of the prompt's first block, not a
radix tree. ``docs/internals/design/routing.md`` has the measurement that decided to keep it.
"""

from collections import OrderedDict

MOST_PREFIXES = 4096


class PrefixMap:
    """Remember the replica last used for each prefix, least recently used ones forgotten."""

    def __init__(self, capacity: int = MOST_PREFIXES) -> None:
        self._capacity = capacity
        self._replicas: OrderedDict[int, str] = OrderedDict()

    def get(self, prefix: int) -> str:
        """Return the replica that saw ``prefix`` last, or an empty name."""
        return self._replicas.get(prefix, "")

    def put(self, prefix: int, replica: str) -> None:
        """Remember that ``replica`` serves ``prefix`` now."""
        if not prefix:
            return
        self._replicas[prefix] = replica
        self._replicas.move_to_end(prefix)
        if len(self._replicas) > self._capacity:
            self._replicas.popitem(last=False)
