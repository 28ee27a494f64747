"""A bound on the bytes of requests and answers that a node holds in memory, over all of them.

The platform kills a process that goes over its memory, with all requests that it serves. A bound
for each body alone does not prevent that, since many may be large at once, or without end.
"""

from collections.abc import Callable

from railsail.core.exceptions import RailsailError

# Bodies are copied once while they are passed on, so that they take twice this at most. A node of
# 128 MB has 64 MB beside what the process takes without them.
DEFAULT_MAX_BYTES = 32 << 20


class BufferFull(RailsailError):
    """A body does not fit beside the other ones that this node holds."""


class BufferShare:
    """The bytes of one body that a node holds.

    ``on_evict`` is called if they have to be dropped for smaller bodies; ``None`` means that they
    are needed until they are released. ``is_evicted`` is True once they were dropped.
    """

    def __init__(self, buffers: "Buffers", on_evict: Callable[[], None] | None) -> None:
        self.size = 0
        self.is_evicted = False
        self._buffers = buffers
        self._on_evict = on_evict

    @property
    def max_bytes(self) -> int:
        """Return how many bytes fit if there is no other body."""
        return self._buffers.max_bytes

    @property
    def is_evictable(self) -> bool:
        """Return True if the bytes can be dropped."""
        return self._on_evict is not None

    def resize(self, size: int) -> None:
        """Hold ``size`` bytes; raise ``BufferFull`` if they do not fit."""
        self._buffers.resize(self, size)

    def keep(self) -> None:
        """Hold the bytes until they are released, whatever else has to fit."""
        self._on_evict = None

    def release(self) -> None:
        """Hold nothing any more."""
        self._buffers.release(self)
        # It refers to the owner of this share, which would be kept until the garbage collector
        # finds the cycle.
        self._on_evict = None

    def evict(self) -> None:
        """Drop the bytes."""
        on_evict = self._on_evict
        self.is_evicted = True
        self.release()
        if on_evict is not None:
            on_evict()


class Buffers:
    """The bodies that a node holds, of ``max_bytes`` at most.

    If one does not fit, the largest ends: the one that grows, or a larger one that can be dropped.
    A body without end is therefore never kept at the cost of others.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self._shares: set[BufferShare] = set()

    def open(self, on_evict: Callable[[], None] | None = None) -> BufferShare:
        """Return a share for one body, which holds nothing yet."""
        return BufferShare(self, on_evict)

    def resize(self, share: BufferShare, size: int) -> None:
        """Let ``share`` hold ``size`` bytes; raise ``BufferFull`` if they do not fit."""
        while self.used - share.size + size > self.max_bytes and size > share.size:
            largest = self._largest_evictable(share)
            if largest is None or largest.size <= size:
                raise BufferFull("the body does not fit into this node's memory beside others")
            largest.evict()
        self.used += size - share.size
        share.size = size
        self._shares.add(share)

    def release(self, share: BufferShare) -> None:
        """Let ``share`` hold nothing any more."""
        self.used -= share.size
        share.size = 0
        self._shares.discard(share)

    def _largest_evictable(self, asking: BufferShare) -> BufferShare | None:
        others = (each for each in self._shares if each.is_evictable and each is not asking)
        return max(others, key=lambda share: share.size, default=None)
