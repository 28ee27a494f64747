"""Whether a replica does well enough to be given calls.

A replica that cannot be reached is closed at once, for a time that doubles; then one call tries it
again. A replica that answers with errors is closed only while it does worse than the others of its
cell, and never so many that less than half of them are left: where all fail a part of their calls,
closing them takes away what still works.
"""

import enum

import msgspec

from railsail.core.outcomes import Completed, NotRun, Outcome, Reason

FIRST_CLOSED_SECONDS = 0.5
MOST_CLOSED_SECONDS = 4.0
FAILURES_TO_CLOSE = 2
# How much each call that ended counts in the share of errors.
ERROR_GAIN = 0.1
# A replica is worse than the others if its share of errors exceeds this multiple of theirs by more
# than the margin. Two failures in a row of a replica without errors before are above the margin.
WORSE_FACTOR = 1.5
WORSE_MARGIN = 0.1
_SERVER_ERROR = 500


class CallResult(enum.IntEnum):
    """What the end of a call tells of its replica; daemons send these numbers."""

    NOTHING = 0
    GOOD = 1
    ERROR = 2
    UNREACHABLE = 3
    BROKE_OFF = 4
    CALLER_LEFT = 5

    @classmethod
    def of(cls, outcome: Outcome) -> "CallResult":
        """Return what the ``outcome`` of a call that was sent tells of its replica."""
        if isinstance(outcome, Completed):
            return cls.GOOD if outcome.status < _SERVER_ERROR else cls.ERROR
        if outcome.asked_rest:
            # Rest is asked of one node; to others the replica may be as good as before.
            return cls.NOTHING
        if isinstance(outcome, NotRun):
            return _OF_REASONS.get(outcome.reason, cls.NOTHING)
        return cls.BROKE_OFF if outcome.broke_off else cls.ERROR

    @property
    def failed(self) -> bool:
        """Say whether the replica did not do what was asked of it."""
        return self in (CallResult.ERROR, CallResult.UNREACHABLE, CallResult.BROKE_OFF)


_OF_REASONS = {
    Reason.UNREACHABLE: CallResult.UNREACHABLE,
    Reason.REFUSED: CallResult.ERROR,
}


class Peers(msgspec.Struct, frozen=True):
    """How the other replicas of a cell do.

    ``error_share`` is the mean of theirs; ``may_close`` says that enough of them are open.
    """

    error_share: float = 0.0
    may_close: bool = True


class ReplicaHealth:
    """Follow the calls of one replica; times are in seconds of the dispatcher's clock."""

    def __init__(self) -> None:
        self.error_share = 0.0
        self._failures = 0
        self._closed_until = 0.0
        self._closed_seconds = FIRST_CLOSED_SECONDS
        self._tripped = False
        self._trial_runs = False
        self._lost = False

    def closed(self, now: float) -> bool:
        """Say whether the replica is given nothing at ``now``."""
        return now < self._closed_until

    @property
    def tripped(self) -> bool:
        """Say whether the replica was closed, and no call has done well since."""
        return self._tripped

    @property
    def lost(self) -> bool:
        """Say whether the replica was closed because nobody could connect to it.

        Its process may have ended, and what answers next may be a new one.
        """
        return self._tripped and self._lost

    @property
    def wants_trial(self) -> bool:
        """Say whether a replica that was closed may be given the one call that tries it."""
        return self._tripped and not self._trial_runs

    def started(self) -> None:
        """Take note that a call was given to the replica."""
        self._trial_runs = self._tripped

    def ended(self) -> None:
        """Take note that a call has ended, however."""
        self._trial_runs = False

    def begun(self) -> None:
        """Take note that a good answer has begun."""
        self._failures = 0
        self._tripped = False

    def succeeded(self) -> None:
        """Take note of a call that was answered well and whole."""
        self.error_share += ERROR_GAIN * (0.0 - self.error_share)
        self._closed_seconds = FIRST_CLOSED_SECONDS
        self.begun()

    def failed(self, now: float, result: CallResult, peers: Peers) -> None:
        """Take note of a call that failed, and close the replica if that is due."""
        self.error_share += ERROR_GAIN * (1.0 - self.error_share)
        self._failures += 1
        if self._failures < FAILURES_TO_CLOSE:
            return
        if result is not CallResult.UNREACHABLE and not self._is_worse(peers):
            return
        self._tripped = True
        self._lost = result is CallResult.UNREACHABLE
        self._closed_until = now + self._closed_seconds
        self._closed_seconds = min(self._closed_seconds * 2, MOST_CLOSED_SECONDS)

    def _is_worse(self, peers: Peers) -> bool:
        bound = WORSE_FACTOR * peers.error_share + WORSE_MARGIN
        return peers.may_close and self.error_share > bound
