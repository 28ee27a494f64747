"""Which replicas this daemon could not reach a moment ago.

A dispatcher hears from all entries, and keeps a replica open while most of them reach it. An entry
that alone is cut off from a replica asks to be given another one.
"""

FORGET_SECONDS = 2.0
MOST_REPLICAS = 1024


class ReplicaReach:
    """Remember failures to connect; times are in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}

    def failed(self, replica: str, now: float) -> None:
        """Take note that ``replica`` could not be connected to."""
        self._failed_at.pop(replica, None)
        self._failed_at[replica] = now
        if len(self._failed_at) > MOST_REPLICAS:
            del self._failed_at[next(iter(self._failed_at))]

    def reached(self, replica: str) -> None:
        """Take note that ``replica`` has answered."""
        self._failed_at.pop(replica, None)

    def avoid(self, now: float) -> str:
        """Return the replica that failed last and not long ago, or an empty string."""
        for replica, failed_at in reversed(self._failed_at.items()):
            return replica if now - failed_at < FORGET_SECONDS else ""
        return ""
