"""The replicas that this daemon recently failed to connect to.

A dispatcher receives reports from all entries, and keeps a replica open while most of them can
connect to it. An entry that alone is cut off from a replica asks for a different one instead.
"""

FORGET_SECONDS = 2.0
MAX_REPLICAS = 1024


class ConnectFailures:
    """Recent failures to connect to replicas; times are in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}

    def record_failure(self, replica: str, now: float) -> None:
        """Record that a connection to ``replica`` failed."""
        self._failed_at.pop(replica, None)
        self._failed_at[replica] = now
        if len(self._failed_at) > MAX_REPLICAS:
            del self._failed_at[next(iter(self._failed_at))]

    def record_answer(self, replica: str) -> None:
        """Record that ``replica`` has answered."""
        self._failed_at.pop(replica, None)

    def replica_to_avoid(self, now: float) -> str:
        """Return the replica that failed last if that was recently, or an empty string."""
        for replica, failed_at in reversed(self._failed_at.items()):
            return replica if now - failed_at < FORGET_SECONDS else ""
        return ""
