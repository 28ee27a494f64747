"""The crashes of replicas, the requests that ran on them, and which of these are quarantined.

Some requests crash every replica that starts to run them, and their callers send them again and
again, with other ids and through any node. Others are all different, and have a part of their
prompts in common that crashes every replica which begins to answer them. Each crash also fails all
other requests on the replica, so that a single caller can take a whole pool away from the others: a
caller that sent such a request every 0.4 s crashed the engines of a pool of nine 94 times in 24 s.

Requests and parts are known by their fingerprints, and treated alike but for the rules in
``railsail.quarantine.blame``. Nodes merge their tables by union, so that duplicated and reordered
updates do no harm.
"""

import math
import zlib
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import replace

import msgspec

from railsail.core.fingerprints import is_part
from railsail.quarantine.blame import (
    CRASHES_TO_QUARANTINE,
    MIN_MOMENTS,
    counted_crashes,
    quarantined_until,
    separate_moments,
)
from railsail.quarantine.crashes import CrashKey, ReplicaCrash
from railsail.quarantine.served import ServedParts, ServedRequests

# What is served is cleared of its crashes, which is broadcast, only if it has at least this many. A
# crash cuts off dozens of requests, which would otherwise cause a broadcast each although none of
# them is close to being quarantined.
CRASHES_TO_BROADCAST_CLEARING = 2
# Crashes are forgotten after this time.
CRASH_RETENTION_SECONDS = 3600.0
# Beyond this number of crashes, the oldest that concerns nothing quarantined is dropped. With 64
# requests each, a large batch of an engine, and as many parts, they take a megabyte of memory, and
# a message with all of them takes 150 KB.
MAX_CRASHES = 128
# Requests and parts recorded for one crash: twice the largest batch of an engine.
MAX_REQUESTS_PER_CRASH = 512


class Suspect(msgspec.Struct, frozen=True):
    """A request or a part, the crashes that count against it, and until when it is quarantined.

    ``ends`` are its crashes. ``held_until`` is in seconds of this node's clock, 0 if there are too
    few crashes for a quarantine.
    """

    fingerprint: int
    ends: tuple[ReplicaCrash, ...]
    held_until: float

    @property
    def replicas(self) -> list[str]:
        """Return the names of the replicas that crashed, in order of time."""
        return [crash.replica for crash in self.ends]


class QuarantineTable:
    """The crashes that one node has recorded, and the state of what ran on the replicas.

    Times are in seconds of the node's clock, which goes on while the machine is suspended.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, ReplicaCrash] = OrderedDict()
        # By fingerprint, the crashes that it is not cleared of. Failures of hosts are included.
        self._by_fingerprint: dict[int, set[CrashKey]] = {}
        self._served_requests = ServedRequests()
        self._served_parts = ServedParts()
        self.digest = 0

    def crashes(self) -> list[ReplicaCrash]:
        """Return all recorded crashes."""
        return list(self._crashes.values())

    def has_crashes(self, fingerprint: int) -> bool:
        """Return True if a replica crashed under ``fingerprint``, which is not cleared of it."""
        return fingerprint in self._by_fingerprint

    def status(self, fingerprint: int) -> Suspect:
        """Return the crashes that count against ``fingerprint``, and its quarantine."""
        recorded = self._crashes.values()
        counted = counted_crashes(fingerprint, self._crashes_of(fingerprint), recorded)
        held_until = quarantined_until(fingerprint, counted, recorded)
        return Suspect(fingerprint, tuple(counted), held_until)

    def _crashes_of(self, fingerprint: int) -> list[ReplicaCrash]:
        """Return the crashes that may be due to ``fingerprint``, in order of time.

        Those of a part do not include crashes before it was served here.
        """
        crashes = [self._crashes[key] for key in self._by_fingerprint.get(fingerprint, ())]
        served_at = self._served_parts.last(fingerprint)
        found = [crash for crash in crashes if crash.at > served_at]
        return sorted(found, key=lambda crash: (crash.at, crash.key))

    def suspects(self, min_crashes: int = 1, among: Collection[int] | None = None) -> list[Suspect]:
        """Return what has at least ``min_crashes`` crashes, that with the most first.

        Only the fingerprints in ``among`` are looked at, if it is given.
        """
        looked_at = self._by_fingerprint if among is None else among
        candidates = [f for f in looked_at if len(self._by_fingerprint.get(f, ())) >= min_crashes]
        found = [self.status(fingerprint) for fingerprint in candidates]
        matching = [suspect for suspect in found if len(suspect.ends) >= min_crashes]
        return sorted(matching, key=lambda suspect: (-len(suspect.ends), suspect.fingerprint))

    def quarantined(self, now: float, among: Collection[int] | None = None) -> list[Suspect]:
        """Return what is quarantined at ``now``; ``among`` is as for ``suspects``."""
        suspects = self.suspects(CRASHES_TO_QUARANTINE, among)
        return [suspect for suspect in suspects if suspect.held_until > now]

    def record_crash(self, crash: ReplicaCrash, now: float) -> ReplicaCrash | None:
        """Record a crash that this node observed; return it merged, or ``None`` if nothing is new.

        What was served recently is left out.
        """
        blamed = [f for f in crash.fingerprints if self._is_blamed(f, crash, now)]
        # Parts go first if there are too many: they are in more requests.
        blamed.sort(key=is_part, reverse=True)
        recorded = frozenset(blamed[:MAX_REQUESTS_PER_CRASH])
        return self.merge(replace(crash, fingerprints=recorded), now)

    def _is_blamed(self, fingerprint: int, crash: ReplicaCrash, now: float) -> bool:
        if is_part(fingerprint):
            return self._served_parts.is_blamed(fingerprint, crash.at)
        return self._served_requests.is_blamed(fingerprint, now)

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
        for fingerprint in crash.suspects:
            self._by_fingerprint.setdefault(fingerprint, set()).add(crash.key)

    def _drop(self, key: CrashKey) -> None:
        crash = self._crashes.pop(key)
        self.digest ^= _digest_of(crash)
        for fingerprint in crash.suspects:
            keys = self._by_fingerprint[fingerprint]
            keys.discard(key)
            if not keys:
                del self._by_fingerprint[fingerprint]

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
        quarantined = {suspect.fingerprint for suspect in self.quarantined(now)}
        droppable = [kept for kept in self._crashes.values() if not kept.fingerprints & quarantined]
        oldest = min(droppable or self._crashes.values(), key=lambda kept: kept.at)
        if crash.at < oldest.at:
            return False
        self._drop(oldest.key)
        return True

    def record_served(self, fingerprint: int, now: float) -> list[ReplicaCrash]:
        """Record that ``fingerprint`` was served to its end; return the crashes it is cleared of.

        A part is served with any request whose prompt has it.
        """
        served = self._served_parts if is_part(fingerprint) else self._served_requests
        served.record(fingerprint, now)
        if len(self._by_fingerprint.get(fingerprint, ())) < CRASHES_TO_BROADCAST_CLEARING:
            return []
        return self.clear(fingerprint, now)

    def was_part_served(self, part: int) -> bool:
        """Return True if ``part`` was served here, as far as is remembered."""
        return math.isfinite(self._served_parts.last(part))

    def is_suspect(self, request: int) -> bool:
        """Return True if a crash counts against ``request`` and it was not served here since."""
        if request not in self._by_fingerprint:
            return False
        crashes = self.status(request).ends
        return bool(crashes) and crashes[-1].at > self._served_requests.last(request)

    def is_doubtful(self, suspect: Suspect, now: float) -> bool:
        """Return True if it is not certain that ``suspect`` is the cause of its crashes.

        They may have been the failure of a host if they all took place at one moment. Else other
        quarantined requests or parts explain them: one of two parts that were always on the same
        replicas may have caused none of the crashes.
        """
        if separate_moments(suspect.ends) < MIN_MOMENTS:
            return True
        explained: set[CrashKey] = set()
        for crash in suspect.ends:
            if crash.key in explained:
                continue
            others = self.quarantined(now, crash.suspects - {suspect.fingerprint})
            explained |= {end.key for other in others for end in other.ends}
            if crash.key not in explained:
                return False
        return True

    def clear(self, fingerprint: int, now: float) -> list[ReplicaCrash]:
        """Clear ``fingerprint`` of all crashes up to now, and return those it was not cleared of.

        A clearing names its crashes. If it were sent as a time instead, each hop would make that
        time later, so that nodes would take it for a new clearing and forward it without end.
        """
        crashes = [self._crashes[key] for key in self._by_fingerprint.get(fingerprint, ())]
        cleared = [replace(crash, cleared=crash.cleared | {fingerprint}) for crash in crashes]
        return [crash for crash in cleared if self.merge(crash, now) is not None]


def _digest_of(crash: ReplicaCrash) -> int:
    text = f"{crash.replica} {crash.start_id} {sorted(crash.fingerprints)} {sorted(crash.cleared)}"
    return zlib.crc32(text.encode())
