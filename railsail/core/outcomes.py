"""The possible outcomes of a call to an upstream.

``NotRun`` may be used only if no byte of the request can have reached an upstream, or if the
upstream's published protocol says that the request did not run. Every other call without a complete
answer is ``Unknown``.
"""

import enum
from dataclasses import dataclass, field


class Reason(enum.StrEnum):
    """Why a request was not run."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_POOL = "unknown-pool"
    UNKNOWN_ROUTE = "unknown-route"
    QUEUE_FULL = "queue-full"
    NO_ROOM = "no-room"
    OVER_SHARE = "over-share"
    EXPIRED = "wait-expired"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    UNREACHABLE = "upstream-unreachable"
    REFUSED = "upstream-refused"
    NO_CONFIGURATION = "no-configuration"
    UNPROVED_CONFIGURATION = "unproved-configuration"
    UNUSABLE_CONFIGURATION = "unusable-configuration"
    QUARANTINED = "quarantined"
    VERSION_GONE = "version-gone"
    UNKNOWN_STREAM = "unknown-stream"
    SERVICE_CHANGED = "service-changed"


@dataclass(frozen=True)
class Completed:
    """The upstream's answer was complete; ``cost`` is in cost units of the pool.

    ``uncertain`` is True if the answer may have been cut off by a crash of the upstream.
    """

    status: int
    cost: float
    uncertain: bool = field(default=False, repr=False)


@dataclass(frozen=True)
class NotRun:
    """The request did not run; ``retry_after`` is in seconds.

    ``come_back`` is the time in seconds until the retry that a dispatcher planned for the caller, 0
    if there is none. ``asked_rest`` is True if the replica refused the request and requested a
    backoff with ``Retry-After``.
    """

    reason: Reason
    detail: str = ""
    retry_after: float = 1.0
    come_back: float = field(default=0.0, repr=False)
    asked_rest: bool = field(default=False, repr=False)


@dataclass(frozen=True)
class Unknown:
    """The request was sent, and it is not known whether it ran to completion.

    ``cost`` is the cost known so far, in cost units of the pool. ``timed_out`` is True if the
    deadline for the answer had passed. ``broke_off`` is True if the replica ended its answer or its
    connection early, so that its process may have crashed. ``silent`` is True if this node ended
    the call because the replica sent nothing for a while; it may go on later. ``asked_rest`` is
    True if its answer requested a backoff with ``Retry-After``.
    """

    detail: str
    cost: float = 0.0
    timed_out: bool = field(default=False, repr=False)
    broke_off: bool = field(default=False, repr=False)
    asked_rest: bool = field(default=False, repr=False)
    silent: bool = field(default=False, repr=False)


Outcome = Completed | NotRun | Unknown


def truth_of(outcome: Outcome, ran: bool) -> Outcome:
    """Return the outcome of a request whose last attempt had ``outcome``.

    It is never "not run" if an earlier attempt ``ran``, or may have run.
    """
    if isinstance(outcome, NotRun) and ran:
        return Unknown(f"an earlier attempt may have run; the last one: {outcome.detail}")
    return outcome
