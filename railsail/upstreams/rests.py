"""Which replicas asked this node for rest, and until when.

Rest is asked of one node: other nodes go on. When it has passed, one request tries the replica, and
others follow when it has answered, so that those that were refused meanwhile do not all fall on the
first replica that is free again. Times are in seconds of a monotonic clock that counts suspensions.
"""

from dataclasses import dataclass

# A request that tries a replica after its rest keeps others away for so many seconds at most: a
# first answer takes less, and the request may have been lost.
TRIAL_SECONDS = 1.0
# Replicas that are remembered; beyond that the one whose rest ends first is forgotten. A fleet of
# 680 replicas fits.
MOST_REPLICAS = 1024


@dataclass
class _Rest:
    """The rest of one replica; ``tried_at`` is when a request was sent to it after that."""

    until: float
    tried_at: float | None = None

    @property
    def free_at(self) -> float:
        """Return when the replica may be sent something."""
        if self.tried_at is None:
            return self.until
        return max(self.until, self.tried_at + TRIAL_SECONDS)


class ReplicaBackoffs:
    """Remember what replicas asked of this node."""

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def __bool__(self) -> bool:
        return bool(self._rests)

    def asked(self, replica: str, seconds: float, now: float) -> bool:
        """Take note that ``replica`` wants nothing for ``seconds``.

        Return whether that makes its rest longer; it is never made shorter.
        """
        until = now + seconds
        known = self._rests.get(replica)
        if known is not None and known.until >= until:
            return False
        self._rests[replica] = _Rest(until)
        if len(self._rests) > MOST_REPLICAS:
            del self._rests[min(self._rests, key=lambda name: self._rests[name].until)]
        return True

    def answered(self, replica: str, now: float) -> None:
        """Take note of an answer that asks for no rest; it ends a rest whose time has passed."""
        known = self._rests.get(replica)
        if known is not None and now >= known.until:
            del self._rests[replica]

    def sent(self, replica: str, now: float) -> None:
        """Take note that ``replica`` is sent a request."""
        known = self._rests.get(replica)
        if known is not None and now >= known.until:
            known.tried_at = now

    def forget(self, replica: str) -> None:
        """Forget the rest of a replica that started again, or is gone."""
        self._rests.pop(replica, None)

    def resting(self, replica: str, now: float) -> bool:
        """Say whether ``replica`` may be sent nothing at ``now``."""
        return self.seconds_left(replica, now) > 0

    def seconds_left(self, replica: str, now: float) -> float:
        """Return after how many seconds ``replica`` may be sent something, 0 for at once."""
        known = self._rests.get(replica)
        return max(0.0, known.free_at - now) if known is not None else 0.0

    def all_resting(self, now: float) -> list[str]:
        """Return the replicas that may be sent nothing at ``now``, the longest rest first."""
        resting = [name for name, rest in self._rests.items() if rest.free_at > now]
        return sorted(resting, key=lambda name: -self._rests[name].free_at)
