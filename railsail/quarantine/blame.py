"""Which crashes count against a request or a part of prompts, and how many are enough.

- What causes crashes ran on every replica that crashed. Other requests and parts did not, unless
  they are frequent.
- It is never served. What is frequent is served often.
- If many replicas crash at the same time, a host or a failure domain has failed. Only what ran on
  all of them can be the cause.

A part is in many requests, so that it is on more crashes by chance than a request is: it takes more
of them if other replicas crashed in between. Different requests with two bad parts crash replicas
at the same time, so that such crashes count against parts, but leave it in doubt whether they are
to blame.
"""

import math
from collections.abc import Collection, Iterable

from railsail.core.fingerprints import is_part
from railsail.quarantine.crashes import ReplicaCrash

# A request is quarantined after this many crashes of replicas that ran it. Two may be chance: in a
# pool whose replicas crash at random, some requests that were cut off twice are served by their
# third attempt. A part is quarantined after as many if no replica crashed without it in between.
CRASHES_TO_QUARANTINE = 3
# A part is quarantined after this many crashes if other replicas crashed without it in between.
CRASHES_AMONG_OTHERS = 5
# Crashes at fewer different moments leave it in doubt whether a part or a host is to blame.
MIN_MOMENTS = 2
# A request with several parts in doubt is no longer tried if one of them has crashes at this many
# moments: each such trial may cost a replica, and does not show which part is to blame.
MAX_MOMENTS_TO_TRY_TOGETHER = 5
# Duration of the first quarantine; each further crash doubles it. A replica restarts within some
# seconds, so that a request which is retried every two minutes costs a pool of five replicas a
# hundredth of its time.
INITIAL_QUARANTINE_SECONDS = 120.0
MAX_QUARANTINE_SECONDS = 3600.0
# Crashes at most this far apart are simultaneous: a host that fails takes all its replicas down at
# once, and their callers notice within this time.
SIMULTANEOUS_SECONDS = 0.25
# This many simultaneous crashes are taken for the failure of a host, unless one request ran on all
# of its replicas. Two may come from two requests that crash a replica each.
HOST_FAILURE_CRASHES = 3


def simultaneous(crash: ReplicaCrash, recorded: Collection[ReplicaCrash]) -> list[ReplicaCrash]:
    """Return the ``recorded`` crashes at about the time of ``crash``, which may be among them."""
    return [other for other in recorded if abs(other.at - crash.at) <= SIMULTANEOUS_SECONDS]


def counted_crashes(
    fingerprint: int, crashes: list[ReplicaCrash], recorded: Collection[ReplicaCrash]
) -> list[ReplicaCrash]:
    """Return which of ``crashes`` count against ``fingerprint``.

    ``crashes`` are those that it is not cleared of, in order of time, and ``recorded`` are all. The
    crashes in the failure of a host count against parts: if they did not, two bad parts that crash
    replicas at the same time would not be found.
    """
    if is_part(fingerprint):
        return crashes
    return [crash for crash in crashes if _ran_on_all(fingerprint, crash, recorded)]


def separate_moments(crashes: Iterable[ReplicaCrash]) -> int:
    """Return at how many different moments ``crashes``, which are in order of time, took place."""
    count = 0
    began_at = -math.inf
    for crash in crashes:
        if crash.at - began_at > SIMULTANEOUS_SECONDS:
            count += 1
            began_at = crash.at
    return count


def _ran_on_all(fingerprint: int, crash: ReplicaCrash, recorded: Collection[ReplicaCrash]) -> bool:
    """Return True unless ``crash`` is one of a host failure that ``fingerprint`` was a part of."""
    group = simultaneous(crash, recorded)
    return len(group) < HOST_FAILURE_CRASHES or all(
        fingerprint in other.fingerprints for other in group
    )


def quarantined_until(
    fingerprint: int, counted: list[ReplicaCrash], recorded: Collection[ReplicaCrash]
) -> float:
    """Return until when ``fingerprint`` is quarantined for its ``counted`` crashes.

    The time is that of the node's clock in seconds, 0 if there are too few crashes.
    """
    if not _are_enough(fingerprint, counted, recorded):
        return 0.0
    further = max(0, separate_moments(counted) - CRASHES_TO_QUARANTINE)
    duration = INITIAL_QUARANTINE_SECONDS * 2**further
    return counted[-1].at + min(duration, MAX_QUARANTINE_SECONDS)


def _are_enough(
    fingerprint: int, counted: list[ReplicaCrash], recorded: Collection[ReplicaCrash]
) -> bool:
    if len(counted) < CRASHES_TO_QUARANTINE:
        return False
    if not is_part(fingerprint) or len(counted) >= CRASHES_AMONG_OTHERS:
        return True
    # Later crashes, which it had no part in, do not end its quarantine.
    spans = zip(counted, counted[CRASHES_TO_QUARANTINE - 1 :], strict=False)
    return any(_ran_on_each(fingerprint, first.at, last.at, recorded) for first, last in spans)


def _ran_on_each(
    fingerprint: int, first: float, last: float, recorded: Collection[ReplicaCrash]
) -> bool:
    """Return True if no replica crashed without ``fingerprint`` between ``first`` and ``last``."""
    return all(fingerprint in crash.suspects for crash in recorded if first <= crash.at <= last)
