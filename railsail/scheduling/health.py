"""When a replica is ejected, so that it is given no calls for a while.

A replica is ejected after two failed calls in a row. The time doubles with each ejection; at its
end a single call probes the replica. If the calls failed because the replica could not be reached,
this holds without further conditions. If it answered with errors, its error rate must also be
higher than that of the other replicas of its cell, and at least half of them must stay in service:
if all of them fail some of their calls, ejecting them removes capacity that still works.
"""

import enum

import msgspec

from railsail.core.outcomes import Completed, NotRun, Outcome, Reason

INITIAL_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
FAILURES_TO_EJECT = 2
# Smoothing factor of the error rate.
ERROR_GAIN = 0.1
# A replica is worse than the others if its error rate exceeds theirs times this factor by more than
# the margin. Two failures in a row exceed the margin on a replica that had no errors before.
WORSE_FACTOR = 1.5
WORSE_MARGIN = 0.1
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


class CallResult(enum.IntEnum):
    """What the end of a call says about its replica; daemons exchange these numbers."""

    NOTHING = 0
    GOOD = 1
    ERROR = 2
    UNREACHABLE = 3
    BROKE_OFF = 4
    CALLER_LEFT = 5
    REJECTED = 6
    SILENT = 7

    @classmethod
    def of(cls, outcome: Outcome) -> "CallResult":
        """Return what the ``outcome`` of a call that was sent says about its replica."""
        if isinstance(outcome, Completed):
            if outcome.status >= _SERVER_ERROR:
                return cls.ERROR
            if outcome.uncertain:
                return cls.NOTHING
            return cls.GOOD if outcome.status < _CLIENT_ERROR else cls.REJECTED
        if outcome.asked_rest:
            # The replica asked this node only to back off; it may serve the others as well as
            # before.
            return cls.NOTHING
        if isinstance(outcome, NotRun):
            return _OF_REASONS.get(outcome.reason, cls.NOTHING)
        if outcome.broke_off:
            return cls.BROKE_OFF
        return cls.SILENT if outcome.silent else cls.ERROR

    @property
    def succeeded(self) -> bool:
        """Return True if the replica answered as it should, also if it rejected the request."""
        return self in (CallResult.GOOD, CallResult.REJECTED)

    @property
    def failed(self) -> bool:
        """Return True if the replica did not do what was requested of it."""
        return self in _FAILURES


_FAILURES = (CallResult.ERROR, CallResult.UNREACHABLE, CallResult.BROKE_OFF, CallResult.SILENT)
_OF_REASONS = {
    Reason.UNREACHABLE: CallResult.UNREACHABLE,
    Reason.REFUSED: CallResult.ERROR,
}


class GroupHealth(msgspec.Struct, frozen=True):
    """The health of the other replicas that a replica is compared with.

    ``error_rate`` is their mean; ``can_eject`` is True if enough of them are in service for one
    more to be ejected.
    """

    error_rate: float = 0.0
    can_eject: bool = True


class ReplicaHealth:
    """The health of one replica by its calls; times are in seconds of the dispatcher's clock."""

    def __init__(self) -> None:
        self.error_rate = 0.0
        self._failures = 0
        self._ejected_until = 0.0
        self._ejection_seconds = INITIAL_EJECTION_SECONDS
        self._tripped = False
        self._probe_in_flight = False
        self._unreachable = False

    def is_ejected(self, now: float) -> bool:
        """Return True if the replica is ejected at ``now``, so that it is given no calls."""
        return now < self._ejected_until

    @property
    def tripped(self) -> bool:
        """Return True if the replica was ejected and has not started a good answer since."""
        return self._tripped

    @property
    def was_unreachable(self) -> bool:
        """Return True if the replica was ejected because nobody could connect to it.

        Its process may have ended, and what answers next may be a new one.
        """
        return self._tripped and self._unreachable

    @property
    def can_probe(self) -> bool:
        """Return True if an ejected replica may be given the single call that probes it."""
        return self._tripped and not self._probe_in_flight

    def call_started(self) -> None:
        """Record that the replica was given a call."""
        self._probe_in_flight = self._tripped

    def call_ended(self) -> None:
        """Record the end of a call, whatever its result."""
        self._probe_in_flight = False

    def answer_started(self) -> None:
        """Record the start of a good answer."""
        self._failures = 0
        self._tripped = False

    def call_succeeded(self) -> None:
        """Record a call with a complete, good answer."""
        self.error_rate += ERROR_GAIN * (0.0 - self.error_rate)
        self._ejection_seconds = INITIAL_EJECTION_SECONDS
        self.answer_started()

    def was_ejected_for(self, result: CallResult, started_at: float) -> bool:
        """Return True if the replica is ejected for a silence or outage that ended this call, too.

        Either ends all calls of a replica, and counts as one ejection however many they are.
        """
        is_outage = result in (CallResult.SILENT, CallResult.UNREACHABLE)
        return is_outage and self._tripped and started_at < self._ejected_until

    def call_failed(self, now: float, result: CallResult, others: GroupHealth) -> None:
        """Record a failed call, and eject the replica if it has failed too often."""
        self.error_rate += ERROR_GAIN * (1.0 - self.error_rate)
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return
        if result is not CallResult.UNREACHABLE and not self._is_worse_than(others):
            return
        self._tripped = True
        self._unreachable = result is CallResult.UNREACHABLE
        self._ejected_until = now + self._ejection_seconds
        self._ejection_seconds = min(self._ejection_seconds * 2, MAX_EJECTION_SECONDS)

    def _is_worse_than(self, others: GroupHealth) -> bool:
        bound = WORSE_FACTOR * others.error_rate + WORSE_MARGIN
        return others.can_eject and self.error_rate > bound
