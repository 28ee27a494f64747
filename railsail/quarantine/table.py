"""Which replicas ended, which requests ran on them, and what follows for these requests.

The load that this answers: a request ends each replica that begins to run it, and comes again and
again, under other ids and at any node. Each replica that ends takes along all that it runs, so that
one caller takes the pool from all others: 94 engines of nine in 24 s, at one send in 0.4 s.

What tells the request that is to blame from those that only ran beside it:

- It is among those of every replica that ended; the others are not, unless many ask for the same.
- It is never served. Whatever is served whole ends no replicas; what many ask for is served often.
- Where many replicas end in one moment, a host or a failure domain has failed. Only a request that
  ran on all of them may be why.

Nodes merge what they know by union, so that repeats and reorderings do no harm.
"""

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

# A request is held back once so many replicas have ended under it. After two it may be chance: of
# requests that were cut off twice in a pool whose replicas crash at random, some are served by
# their third attempt.
ENDS_TO_HOLD = 3
# Where fewer replicas ended under a request that is served, only this node takes note of that: each
# of the dozens that a replica takes along would be told of otherwise, and none is near to be held.
ENDS_TO_TELL = 2
# For so many seconds a request is held back first; each replica that ends under it after that
# doubles the time. A replica is back after some seconds, so that a request which is tried again
# every two minutes costs a pool of five a hundredth of its time.
HOLD_SECONDS = 120.0
MOST_HOLD_SECONDS = 3600.0
# For so many seconds the end of a replica counts.
KEPT_SECONDS = 3600.0
# Ends that are kept; of more, the oldest that no held request needs are forgotten. With 64 requests
# each, which is a large batch of an engine, they take half a megabyte, and 75 KB to tell them all.
MOST_ENDS = 128
# Requests that are told of one end: twice the largest batch of an engine.
MOST_REQUESTS = 512
# Ends so many seconds apart are of one moment: a host that fails takes its replicas along at once,
# and their callers notice within this time.
MOMENT_SECONDS = 0.25
# So many ends in one moment have a cause of their own, but for a request that ran on all of them.
# Two may be two requests, each of which ends its replica.
MANY_ENDS = 3
# A request that was served so lately is not why a replica ends.
SERVED_SECONDS = 30.0
# Served requests that are remembered: those of ten seconds at 400 a second, in under a megabyte.
# What many ask for is served again within that time.
MOST_SERVED = 4096

EndKey = tuple[str, int]


@dataclass(frozen=True)
class ReplicaEnd:
    """The end of a replica, at ``at`` seconds of this node's clock.

    ``life`` is when the replica had started, in milliseconds since the Unix epoch, 0 where it does
    not say so; ``requests`` are the fingerprints of what ran on it, of which those ``cleared`` are
    not why it ended.
    """

    replica: str
    life: int
    at: float
    requests: frozenset[int]
    cleared: frozenset[int] = frozenset()

    @property
    def key(self) -> EndKey:
        """Return what tells the end from others."""
        return (self.replica, self.life)

    def joined(self, other: "ReplicaEnd") -> "ReplicaEnd":
        """Return this end with all that ``other`` tells of the same."""
        requests = self.requests | other.requests
        return replace(self, requests=requests, cleared=self.cleared | other.cleared)


class SuspectRequest(msgspec.Struct, frozen=True):
    """What is known of one request: the replicas that ended under it, and until when it is held.

    ``held_until`` is in seconds of this node's clock, 0 where it is not held.
    """

    request: int
    ends: tuple[ReplicaEnd, ...]
    held_until: float

    @property
    def replicas(self) -> list[str]:
        """Return the names of the replicas that ended, the first one first."""
        return [end.replica for end in self.ends]


class QuarantineTable:
    """Hold what one node knows; times are in seconds of its clock, which counts a suspension."""

    def __init__(self) -> None:
        self._ends: OrderedDict[EndKey, ReplicaEnd] = OrderedDict()
        # The ends that count against each request, unless they are of a moment with many ends.
        self._by_request: dict[int, set[EndKey]] = {}
        self._served_at: OrderedDict[int, float] = OrderedDict()
        self.digest = 0

    def ends(self) -> list[ReplicaEnd]:
        """Return all ends that are kept."""
        return list(self._ends.values())

    def known(self, request: int) -> bool:
        """Say whether any replica ended while it ran ``request``."""
        return request in self._by_request

    def standing(self, request: int) -> SuspectRequest:
        """Return what is known of ``request``."""
        ends = sorted(self._counted(request), key=lambda end: (end.at, end.key))
        held_until = 0.0
        if len(ends) >= ENDS_TO_HOLD:
            hold = HOLD_SECONDS * 2 ** (len(ends) - ENDS_TO_HOLD)
            held_until = ends[-1].at + min(hold, MOST_HOLD_SECONDS)
        return SuspectRequest(request, tuple(ends), held_until)

    def standings(self, least: int = 1) -> list[SuspectRequest]:
        """Return the requests under which ``least`` replicas ended, those with most ends first."""
        candidates = [r for r, keys in self._by_request.items() if len(keys) >= least]
        found = [self.standing(request) for request in candidates]
        ended = [standing for standing in found if len(standing.ends) >= least]
        return sorted(ended, key=lambda standing: (-len(standing.ends), standing.request))

    def _counted(self, request: int) -> list[ReplicaEnd]:
        ends = [self._ends[key] for key in self._by_request.get(request, ())]
        return [end for end in ends if self._may_be_why(request, end)]

    def _may_be_why(self, request: int, end: ReplicaEnd) -> bool:
        together = [
            other for other in self._ends.values() if abs(other.at - end.at) <= MOMENT_SECONDS
        ]
        return len(together) < MANY_ENDS or all(request in other.requests for other in together)

    def ended(self, end: ReplicaEnd, now: float) -> ReplicaEnd | None:
        """Take in an end that this node has seen itself, and return what is new of it.

        Requests that were served lately are left out.
        """
        blamed = [r for r in end.requests if not self._was_served(r, now)]
        return self.merge(replace(end, requests=frozenset(blamed[:MOST_REQUESTS])), now)

    def _was_served(self, request: int, now: float) -> bool:
        served_at = self._served_at.get(request)
        return served_at is not None and now - served_at <= SERVED_SECONDS

    def merge(self, end: ReplicaEnd, now: float) -> ReplicaEnd | None:
        """Take in an end, and return the whole of it if anything about it is new."""
        self._expire(now)
        if now - end.at > KEPT_SECONDS or not self._has_room(end, now):
            return None
        known = self._ends.get(end.key)
        if known is not None:
            end = known.joined(end)
            if end == known:
                return None
            self._drop(known.key)
        self._put(end)
        return end

    def _put(self, end: ReplicaEnd) -> None:
        self._ends[end.key] = end
        self.digest ^= _digest_of(end)
        for request in end.requests - end.cleared:
            self._by_request.setdefault(request, set()).add(end.key)

    def _drop(self, key: EndKey) -> None:
        end = self._ends.pop(key)
        self.digest ^= _digest_of(end)
        for request in end.requests - end.cleared:
            keys = self._by_request[request]
            keys.discard(key)
            if not keys:
                del self._by_request[request]

    def _expire(self, now: float) -> None:
        for end in self.ends():
            if now - end.at > KEPT_SECONDS:
                self._drop(end.key)

    def _has_room(self, end: ReplicaEnd, now: float) -> bool:
        """Say whether ``end`` may be kept, and forget an older one for it where there are many.

        All nodes keep the newest: whoever took in what another one forgot would be told it again.
        """
        if end.key in self._ends or len(self._ends) < MOST_ENDS:
            return True
        held = {s.request for s in self.standings(ENDS_TO_HOLD) if s.held_until > now}
        needless = [kept for kept in self._ends.values() if not kept.requests & held]
        oldest = min(needless or self._ends.values(), key=lambda kept: kept.at)
        if end.at < oldest.at:
            return False
        self._drop(oldest.key)
        return True

    def served(self, request: int, now: float) -> list[ReplicaEnd]:
        """Take note that ``request`` was served whole; return the ends that it is cleared of."""
        self._served_at.pop(request, None)
        self._served_at[request] = now
        if len(self._served_at) > MOST_SERVED:
            self._served_at.popitem(last=False)
        if len(self._by_request.get(request, ())) < ENDS_TO_TELL:
            return []
        return self.clear(request, now)

    def suspected(self, request: int) -> bool:
        """Say whether a replica ended under ``request``, which was not served here since then."""
        if request not in self._by_request:
            return False
        ends = self.standing(request).ends
        return bool(ends) and ends[-1].at > self._served_at.get(request, -math.inf)

    def clear(self, request: int, now: float) -> list[ReplicaEnd]:
        """Let no end until now count against ``request``, and return those that did.

        A clearing names its ends: told as a moment it would be later at each node that hears of it.
        """
        ends = [self._ends[key] for key in self._by_request.get(request, ())]
        cleared = [replace(end, cleared=end.cleared | {request}) for end in ends]
        return [end for end in cleared if self.merge(end, now) is not None]


def _digest_of(end: ReplicaEnd) -> int:
    text = f"{end.replica} {end.life} {sorted(end.requests)} {sorted(end.cleared)}"
    return zlib.crc32(text.encode())
