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
CRASHES_TO_QUARANTINE = 3
# A request that is served is cleared of its crashes, which is broadcast, only if it has at least
# this many. A crash cuts off dozens of requests, which would otherwise cause a broadcast each
# although none of them is close to being quarantined.
CRASHES_TO_BROADCAST_CLEARING = 2
# Duration of the first quarantine of a request; each further crash doubles it. A replica restarts
# within some seconds, so that a request which is retried every two minutes costs a pool of five
# replicas a hundredth of its time.
INITIAL_QUARANTINE_SECONDS = 120.0
MAX_QUARANTINE_SECONDS = 3600.0
# Crashes are forgotten after this time.
CRASH_RETENTION_SECONDS = 3600.0
# Beyond this number of crashes, the oldest that concerns no quarantined request is dropped. With 64
# requests each, a large batch of an engine, they take half a megabyte of memory, and a message with
# all of them takes 75 KB.
MAX_CRASHES = 128
# Requests recorded for one crash: twice the largest batch of an engine.
MAX_REQUESTS_PER_CRASH = 512
# Crashes at most this far apart are simultaneous: a host that fails takes all its replicas down at
# once, and their callers notice within this time.
SIMULTANEOUS_SECONDS = 0.25
# This many simultaneous crashes are taken for the failure of a host, unless one request ran on all
# of its replicas. Two may come from two requests that crash a replica each.
HOST_FAILURE_CRASHES = 3
# A request that was served this recently is not blamed for a crash.
RECENTLY_SERVED_SECONDS = 30.0
# Served requests that are remembered: those of ten seconds at 400 requests a second, in less than a
# megabyte. A request that many callers send is served again within that time.
MAX_SERVED = 4096

CrashKey = tuple[str, int]


@dataclass(frozen=True)
class ReplicaCrash:
    """The crash of a replica, at the time ``at`` of this node's clock in seconds.

    ``start_id`` identifies the process of the replica: it is the time when it had started, in
    milliseconds since the Unix epoch, or 0 if the replica does not report that. ``requests`` are
    the fingerprints of the requests that ran on it; those in ``cleared`` are known not to have
    caused the crash.
    """

    replica: str
    start_id: int
    at: float
    requests: frozenset[int]
    cleared: frozenset[int] = frozenset()

    @property
    def key(self) -> CrashKey:
        """Return the key that identifies the crash."""
        return (self.replica, self.start_id)

    def union(self, other: "ReplicaCrash") -> "ReplicaCrash":
        """Return the union of this record and ``other``, which is about the same crash."""
        requests = self.requests | other.requests
        return replace(self, requests=requests, cleared=self.cleared | other.cleared)


class SuspectRequest(msgspec.Struct, frozen=True):
    """A request and the crashes that count against it, and until when it is quarantined.

    ``ends`` are its crashes. ``held_until`` is in seconds of this node's clock, 0 if there are too
    few crashes for a quarantine.
    """

    request: int
    ends: tuple[ReplicaCrash, ...]
    held_until: float

    @property
    def replicas(self) -> list[str]:
        """Return the names of the replicas that crashed, in order of time."""
        return [crash.replica for crash in self.ends]


class QuarantineTable:
    """The crashes that one node has recorded, and the state of the requests that ran on them.

    Times are in seconds of the node's clock, which goes on while the machine is suspended.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, ReplicaCrash] = OrderedDict()
        # By request, the crashes that it is not cleared of. Failures of hosts are included.
        self._by_request: dict[int, set[CrashKey]] = {}
        self._served_at: OrderedDict[int, float] = OrderedDict()
        self.digest = 0

    def crashes(self) -> list[ReplicaCrash]:
        """Return all recorded crashes."""
        return list(self._crashes.values())

    def has_crashes(self, request: int) -> bool:
        """Return True if a replica crashed while it ran ``request``, which is not cleared of it."""
        return request in self._by_request

    def status(self, request: int) -> SuspectRequest:
        """Return the crashes that count against ``request``, and its quarantine."""
        crashes = sorted(self._counted_crashes(request), key=lambda crash: (crash.at, crash.key))
        held_until = 0.0
        if len(crashes) >= CRASHES_TO_QUARANTINE:
            duration = INITIAL_QUARANTINE_SECONDS * 2 ** (len(crashes) - CRASHES_TO_QUARANTINE)
            held_until = crashes[-1].at + min(duration, MAX_QUARANTINE_SECONDS)
        return SuspectRequest(request, tuple(crashes), held_until)

    def suspects(self, min_crashes: int = 1) -> list[SuspectRequest]:
        """Return the requests with at least ``min_crashes`` crashes, those with the most first."""
        candidates = [r for r, keys in self._by_request.items() if len(keys) >= min_crashes]
        found = [self.status(request) for request in candidates]
        matching = [suspect for suspect in found if len(suspect.ends) >= min_crashes]
        return sorted(matching, key=lambda suspect: (-len(suspect.ends), suspect.request))

    def _counted_crashes(self, request: int) -> list[ReplicaCrash]:
        crashes = [self._crashes[key] for key in self._by_request.get(request, ())]
        return [crash for crash in crashes if self._may_be_cause(request, crash)]

    def simultaneous(self, crash: ReplicaCrash) -> list[ReplicaCrash]:
        """Return the crashes at about the time of ``crash``, which is among them if recorded."""
        return [
            other
            for other in self._crashes.values()
            if abs(other.at - crash.at) <= SIMULTANEOUS_SECONDS
        ]

    def _may_be_cause(self, request: int, crash: ReplicaCrash) -> bool:
        simultaneous = self.simultaneous(crash)
        return len(simultaneous) < HOST_FAILURE_CRASHES or all(
            request in other.requests for other in simultaneous
        )

    def record_crash(self, crash: ReplicaCrash, now: float) -> ReplicaCrash | None:
        """Record a crash that this node observed; return it merged, or ``None`` if nothing is new.

        Requests that were served recently are left out.
        """
        blamed = [r for r in crash.requests if not self._was_recently_served(r, now)]
        return self.merge(replace(crash, requests=frozenset(blamed[:MAX_REQUESTS_PER_CRASH])), now)

    def _was_recently_served(self, request: int, now: float) -> bool:
        served_at = self._served_at.get(request)
        return served_at is not None and now - served_at <= RECENTLY_SERVED_SECONDS

    def merge(self, crash: ReplicaCrash, now: float) -> ReplicaCrash | None:
        """Merge a crash into the table; return it merged, or ``None`` if nothing is new."""
        self._expire(now)
        if now - crash.at > CRASH_RETENTION_SECONDS or not self._ensure_capacity(crash, now):
            return None
        known = self._crashes.get(crash.key)
        if known is not None:
            crash = known.union(crash)
            if crash == known:
                return None
            self._drop(known.key)
        self._put(crash)
        return crash

    def _put(self, crash: ReplicaCrash) -> None:
        self._crashes[crash.key] = crash
        self.digest ^= _digest_of(crash)
        for request in crash.requests - crash.cleared:
            self._by_request.setdefault(request, set()).add(crash.key)

    def _drop(self, key: CrashKey) -> None:
        crash = self._crashes.pop(key)
        self.digest ^= _digest_of(crash)
        for request in crash.requests - crash.cleared:
            keys = self._by_request[request]
            keys.discard(key)
            if not keys:
                del self._by_request[request]

    def _expire(self, now: float) -> None:
        for crash in self.crashes():
            if now - crash.at > CRASH_RETENTION_SECONDS:
                self._drop(crash.key)

    def _ensure_capacity(self, crash: ReplicaCrash, now: float) -> bool:
        """Return True if ``crash`` can be recorded; drop an older crash if the table is full.

        All nodes keep the newest crashes. Otherwise nodes would send each other again and again
        what the receiver had dropped.
        """
        if crash.key in self._crashes or len(self._crashes) < MAX_CRASHES:
            return True
        quarantined = {
            s.request for s in self.suspects(CRASHES_TO_QUARANTINE) if s.held_until > now
        }
        droppable = [kept for kept in self._crashes.values() if not kept.requests & quarantined]
        oldest = min(droppable or self._crashes.values(), key=lambda kept: kept.at)
        if crash.at < oldest.at:
            return False
        self._drop(oldest.key)
        return True

    def record_served(self, request: int, now: float) -> list[ReplicaCrash]:
        """Record that ``request`` was served to its end; return the crashes it is cleared of."""
        self._served_at.pop(request, None)
        self._served_at[request] = now
        if len(self._served_at) > MAX_SERVED:
            self._served_at.popitem(last=False)
        if len(self._by_request.get(request, ())) < CRASHES_TO_BROADCAST_CLEARING:
            return []
        return self.clear(request, now)

    def is_suspect(self, request: int) -> bool:
        """Return True if a crash counts against ``request`` and it was not served here since."""
        if request not in self._by_request:
            return False
        crashes = self.status(request).ends
        return bool(crashes) and crashes[-1].at > self._served_at.get(request, -math.inf)

    def clear(self, request: int, now: float) -> list[ReplicaCrash]:
        """Clear ``request`` of all crashes up to now, and return those that counted against it.

        A clearing names its crashes. If it were sent as a time instead, each hop would make that
        time later, so that nodes would take it for a new clearing and forward it without end.
        """
        crashes = [self._crashes[key] for key in self._by_request.get(request, ())]
        cleared = [replace(crash, cleared=crash.cleared | {request}) for crash in crashes]
        return [crash for crash in cleared if self.merge(crash, now) is not None]


def _digest_of(crash: ReplicaCrash) -> int:
    text = f"{crash.replica} {crash.start_id} {sorted(crash.requests)} {sorted(crash.cleared)}"
    return zlib.crc32(text.encode())
