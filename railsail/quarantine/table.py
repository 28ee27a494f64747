"""The crashes of replicas, the requests that ran on them, and which of these are quarantined.

Some requests crash every replica that starts to run them, and their callers send them again and
again, with other ids and through any node. Each crash also fails all other requests on the replica,
so that a single caller can take a whole pool away from the others: a caller that sent such a
request every 0.4 s crashed the engines of a pool of nine 94 times in 24 s.

A request that causes crashes differs from those that only ran beside it:

- It ran on every replica that crashed. Other requests did not, unless many callers send the same
  one.
- It is never served. A request that was served to its end crashes no replica, and one that many
  callers send is served often.
- If many replicas crash at the same time, a host or a failure domain has failed. Only a request
  that ran on all of them can be the cause.

Nodes merge their tables by union, so that duplicated and reordered updates do no harm.
"""

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

# A request is quarantined after this many crashes of replicas that ran it. Two may be chance: in a
# pool whose replicas crash at random, some requests that were cut off twice are served by their
# third attempt.
ENDS_TO_HOLD = 3
# That a request was served is broadcast only if at least this many replicas crashed while they ran
# it. A crash cuts off dozens of requests, which would otherwise cause a message each although none
# of them is close to being quarantined.
ENDS_TO_TELL = 2
# How long the first quarantine of a request lasts; each further crash doubles it. A replica
# restarts within some seconds, so that a request which is retried every two minutes costs a pool of
# five a hundredth of its time.
HOLD_SECONDS = 120.0
MOST_HOLD_SECONDS = 3600.0
# Crashes are forgotten after this time.
KEPT_SECONDS = 3600.0
# Beyond this number of crashes, the oldest that concerns no quarantined request is dropped. With 64
# requests each, a large batch of an engine, they take half a megabyte of memory, and a message with
# all of them takes 75 KB.
MOST_ENDS = 128
# Requests recorded for one crash: twice the largest batch of an engine.
MOST_REQUESTS = 512
# Crashes at most this far apart are simultaneous: a host that fails takes all its replicas down at
# once, and their callers notice within this time.
MOMENT_SECONDS = 0.25
# This many simultaneous crashes are taken for the failure of a host, unless one request ran on all
# of its replicas. Two may come from two requests that crash a replica each.
MANY_ENDS = 3
# A request that was served this recently is not blamed for a crash.
SERVED_SECONDS = 30.0
# Served requests that are remembered: those of ten seconds at 400 requests a second, in less than a
# megabyte. A request that many callers send is served again within that time.
MOST_SERVED = 4096

EndKey = tuple[str, int]


@dataclass(frozen=True)
class ReplicaEnd:
    """The crash of a replica, ``at`` a time of this node's clock in seconds.

    ``life`` is the start id of the replica: when it had started, in milliseconds since the Unix
    epoch, or 0 if it does not report that. ``requests`` are the fingerprints of the requests that
    ran on it; those in ``cleared`` are known not to have caused the crash.
    """

    replica: str
    life: int
    at: float
    requests: frozenset[int]
    cleared: frozenset[int] = frozenset()

    @property
    def key(self) -> EndKey:
        """Return the key that identifies the crash."""
        return (self.replica, self.life)

    def joined(self, other: "ReplicaEnd") -> "ReplicaEnd":
        """Return the union of this record and ``other``, which is about the same crash."""
        requests = self.requests | other.requests
        return replace(self, requests=requests, cleared=self.cleared | other.cleared)


class SuspectRequest(msgspec.Struct, frozen=True):
    """A request that replicas crashed under: the crashes, and until when it is quarantined.

    ``held_until`` is in seconds of this node's clock, 0 if the request was never quarantined.
    """

    request: int
    ends: tuple[ReplicaEnd, ...]
    held_until: float

    @property
    def replicas(self) -> list[str]:
        """Return the names of the replicas that crashed, in order of time."""
        return [end.replica for end in self.ends]


class QuarantineTable:
    """The crashes that one node has recorded, and the state of the requests that ran on them.

    Times are in seconds of the node's clock, which goes on while the machine is suspended.
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[EndKey, ReplicaEnd] = OrderedDict()
        # The crashes at which each request ran and was not cleared, simultaneous ones included.
        self._by_request: dict[int, set[EndKey]] = {}
        self._served_at: OrderedDict[int, float] = OrderedDict()
        self.digest = 0

    def ends(self) -> list[ReplicaEnd]:
        """Return all recorded crashes."""
        return list(self._ends.values())

    def known(self, request: int) -> bool:
        """Return True if a replica crashed while it ran ``request``, which is not cleared of it."""
        return request in self._by_request

    def standing(self, request: int) -> SuspectRequest:
        """Return the crashes that count against ``request``, and its quarantine."""
        ends = sorted(self._counted(request), key=lambda end: (end.at, end.key))
        held_until = 0.0
        if len(ends) >= ENDS_TO_HOLD:
            hold = HOLD_SECONDS * 2 ** (len(ends) - ENDS_TO_HOLD)
            held_until = ends[-1].at + min(hold, MOST_HOLD_SECONDS)
        return SuspectRequest(request, tuple(ends), held_until)

    def standings(self, least: int = 1) -> list[SuspectRequest]:
        """Return the requests with at least ``least`` crashes, those with the most first."""
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
        """Record a crash that this node observed; return it merged, or ``None`` if nothing is new.

        Requests that were served recently are left out.
        """
        blamed = [r for r in end.requests if not self._was_served(r, now)]
        return self.merge(replace(end, requests=frozenset(blamed[:MOST_REQUESTS])), now)

    def _was_served(self, request: int, now: float) -> bool:
        served_at = self._served_at.get(request)
        return served_at is not None and now - served_at <= SERVED_SECONDS

    def merge(self, end: ReplicaEnd, now: float) -> ReplicaEnd | None:
        """Merge a crash into the table; return it merged, or ``None`` if nothing is new."""
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
        """Return True if ``end`` can be recorded; drop an older crash if the table is full.

        All nodes keep the newest crashes. Otherwise nodes would send each other again and again
        what the receiver had dropped.
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
        """Record that ``request`` was served to its end; return the crashes it is cleared of."""
        self._served_at.pop(request, None)
        self._served_at[request] = now
        if len(self._served_at) > MOST_SERVED:
            self._served_at.popitem(last=False)
        if len(self._by_request.get(request, ())) < ENDS_TO_TELL:
            return []
        return self.clear(request, now)

    def suspected(self, request: int) -> bool:
        """Return True if a crash counts against ``request`` and it was not served here since."""
        if request not in self._by_request:
            return False
        ends = self.standing(request).ends
        return bool(ends) and ends[-1].at > self._served_at.get(request, -math.inf)

    def clear(self, request: int, now: float) -> list[ReplicaEnd]:
        """Clear ``request`` of all crashes up to now, and return those that counted against it.

        A clearing names its crashes. If it were sent as a time instead, each hop would make that
        time later, so that nodes would take it for a new clearing and forward it without end.
        """
        ends = [self._ends[key] for key in self._by_request.get(request, ())]
        cleared = [replace(end, cleared=end.cleared | {request}) for end in ends]
        return [end for end in cleared if self.merge(end, now) is not None]


def _digest_of(end: ReplicaEnd) -> int:
    text = f"{end.replica} {end.life} {sorted(end.requests)} {sorted(end.cleared)}"
    return zlib.crc32(text.encode())
