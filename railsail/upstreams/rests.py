"""The replicas that asked this node to back off, and until when.

A backoff applies to one node; others still send requests. When its time has passed, a single
request tries the replica, and others follow once the replica has answered. Otherwise all requests
that were refused in the meantime would hit the first replica whose backoff ends. Times are in
seconds of a monotonic clock that includes the time for which the machine was suspended.
"""

from dataclasses import dataclass

# The request that tries a replica after its backoff keeps others away for at most this time. An
# answer takes less, but the request may have been lost.
TRIAL_SECONDS = 1.0
# Bounds the replicas that are remembered, enough for a fleet of 680 replicas. When there are more,
# the one whose backoff ends first is forgotten.
MAX_REPLICAS = 1024


@dataclass
class _Backoff:
    """The backoff of one replica; ``tried_at`` is when it was tried after ``until``."""

    until: float
    tried_at: float | None = None

    @property
    def free_at(self) -> float:
        """Return when the replica may be sent the next request."""
        if self.tried_at is None:
            return self.until
        return max(self.until, self.tried_at + TRIAL_SECONDS)


class ReplicaBackoffs:
    """The backoffs for which replicas asked this node."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}

    def __bool__(self) -> bool:
        return bool(self._backoffs)

    def extend(self, replica: str, seconds: float, now: float) -> bool:
        """Record that ``replica`` asked for a backoff of ``seconds`` from ``now`` on.

        Return True if that makes its backoff longer; it is never made shorter.
        """
        until = now + seconds
        known = self._backoffs.get(replica)
        if known is not None and known.until >= until:
            return False
        self._backoffs[replica] = _Backoff(until)
        if len(self._backoffs) > MAX_REPLICAS:
            del self._backoffs[min(self._backoffs, key=lambda name: self._backoffs[name].until)]
        return True

    def record_answer(self, replica: str, now: float) -> None:
        """Record an answer without a request for backoff, which ends a backoff that is over.

        Before its time is over, the answer may be to an earlier request.
        """
        known = self._backoffs.get(replica)
        if known is not None and now >= known.until:
            del self._backoffs[replica]

    def sent(self, replica: str, now: float) -> None:
        """Record that a request is sent to ``replica``, which may be the one that tries it."""
        known = self._backoffs.get(replica)
        if known is not None and now >= known.until:
            known.tried_at = now

    def forget(self, replica: str) -> None:
        """Forget the backoff of a replica that has restarted or is gone."""
        self._backoffs.pop(replica, None)

    def resting(self, replica: str, now: float) -> bool:
        """Return True if ``replica`` may not be sent requests at ``now``."""
        return self.seconds_left(replica, now) > 0

    def seconds_left(self, replica: str, now: float) -> float:
        """Return after how many seconds ``replica`` may be sent a request, 0 if it may be now."""
        known = self._backoffs.get(replica)
        return max(0.0, known.free_at - now) if known is not None else 0.0

    def all_resting(self, now: float) -> list[str]:
        """Return the replicas that may not be sent requests at ``now``, longest backoff first."""
        names = [name for name, backoff in self._backoffs.items() if backoff.free_at > now]
        return sorted(names, key=lambda name: -self._backoffs[name].free_at)
