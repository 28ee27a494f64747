"""The directory of all replicas of the fleet, which decides which of them are leaving.

A leaving replica drains before it stops, and gets no new work. A replica is leaving if either of
two sources says so. One is the platform's list, which has a version for each record, but lags
behind and may be unavailable. The other is a signal: a daemon reports that the replica announced it
in an answer or a load report, or that another replica has its address. The rules by which records
merge are in ``railsail.upstreams.merging``.
"""

import operator
import time
import zlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import reduce
from typing import Protocol

from railsail.core.clock import steady_seconds
from railsail.core.events import EventLog, Kind
from railsail.peers.messages import UpstreamNews
from railsail.peers.records import DomainRecord
from railsail.rollouts.orders import Order
from railsail.store.base import Listing, WatchEvent
from railsail.store.watcher import as_event
from railsail.upstreams.evacuations import Evacuation, Evacuations
from railsail.upstreams.invalidrecords import InvalidRecords
from railsail.upstreams.merging import RecordMerger
from railsail.upstreams.records import (
    Listed,
    Upstream,
    digest_of,
    from_record,
    parse_record,
    to_record,
)
from railsail.upstreams.signs import Source

KIND = "upstream"


class VersionRules(Protocol):
    """The rules, set by rollouts, for which software versions of a service get new work."""

    def running(self, service: str) -> Order | None:
        """Return the order of the running rollout of ``service``, ``None`` if none runs."""

    def takes_work(self, service: str, software_version: str) -> bool:
        """Return True if replicas of ``software_version`` may be given new work."""


class _AllVersions:
    """Rules that allow all versions, in force until rollouts set others."""

    def running(self, service: str) -> Order | None:
        return None

    def takes_work(self, service: str, software_version: str) -> bool:
        return True


class UpstreamDirectory:
    """The records of all replicas.

    ``broadcast`` sends an update to all neighbours but the given one. ``monotonic`` and ``wall``
    return seconds. ``count_invalid`` is called with the kind of each record of the store that is
    found invalid.
    """

    def __init__(
        self,
        broadcast: Callable[[UpstreamNews, str], None],
        events: EventLog,
        monotonic: Callable[[], float] = steady_seconds,
        wall: Callable[[], float] = time.time,
        count_invalid: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._broadcast = broadcast
        self._events = events
        self._monotonic = monotonic
        self._wall = wall
        self._merger = RecordMerger(monotonic)
        self.evacuations = Evacuations(
            self._broadcast_evacuations, events, monotonic, count_invalid
        )
        self.evacuations.on_change(self._notify_listeners)
        # When the cold time of each replica ends, on the monotonic clock. It counts from when this
        # node received the record, because the wall clocks of nodes differ and may jump.
        self._cold_until: dict[str, float] = {}
        self._restart_listeners: list[Callable[[Upstream], None]] = []
        self._invalid_records = InvalidRecords(KIND, count_invalid)
        self._upstreams: dict[str, Upstream] = {}
        self._digest = 0
        self._listeners: list[Callable[[], None]] = []
        self._rules: VersionRules = _AllVersions()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def on_rebirth(self, listener: Callable[[Upstream], None]) -> None:
        """Call ``listener`` with the former record of each replica that has restarted."""
        self._restart_listeners.append(listener)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _broadcast_evacuations(self, records: list[DomainRecord], source: str) -> None:
        self._broadcast(UpstreamNews([], records), source)

    def takes_work(self, upstream: Upstream) -> bool:
        """Return True if ``upstream`` may be given new work."""
        if upstream.leaving or self.evacuations.active(upstream.failure_domain):
            return False
        return self.takes_version(upstream)

    def takes_version(self, upstream: Upstream) -> bool:
        """Return True if the software version of ``upstream`` may be given new work."""
        return self._rules.takes_work(upstream.pool, upstream.software_version)

    def follow_rollouts(self, rules: VersionRules) -> None:
        """Let ``rules`` decide from now on which software versions get new work."""
        self._rules = rules
        self._notify_listeners()

    @property
    def follows_rollouts(self) -> bool:
        """Return True if rollouts decide which software versions get new work."""
        return not isinstance(self._rules, _AllVersions)

    def rollouts_changed(self) -> None:
        """Notify the listeners that the rules now allow other software versions."""
        self._notify_listeners()

    def rollout(self, pool: str) -> Order | None:
        """Return the order of the running rollout of ``pool``, ``None`` if none runs."""
        return self._rules.running(pool)

    def keeps_prefixes(self, upstream: Upstream) -> bool:
        """Return True if ``upstream`` may own prompt prefixes.

        Prefixes move to the target version of a rollout once the rollout has succeeded.
        """
        return self.settled(upstream) and self.takes_work(upstream)

    def settled(self, upstream: Upstream) -> bool:
        """Return True if the version of ``upstream`` may get work and is not being rolled out."""
        order = self.rollout(upstream.pool)
        if order is not None and upstream.software_version == order.target_version:
            return False
        return self.takes_version(upstream)

    def cold_seconds(self, name: str, after_evacuation: float) -> float:
        """Return for how many more seconds a replica is cold, 0 or less if it is not cold.

        A replica is also cold for ``after_evacuation`` seconds from the end of the evacuation of
        its failure domain.
        """
        upstream = self._upstreams.get(name)
        if upstream is None:
            return 0.0
        own_seconds = self._cold_until.get(name, 0.0) - self._monotonic()
        since_end = self.evacuations.seconds_since_end(upstream.failure_domain)
        return max(own_seconds, after_evacuation - since_end)

    def get(self, name: str) -> Upstream | None:
        """Return the record of the replica ``name``, ``None`` if there is none."""
        return self._upstreams.get(name)

    def of_pool(self, pool: str) -> list[Upstream]:
        """Return the replicas of ``pool`` that are not gone, sorted by name."""
        return sorted(self.each_of_pool(pool), key=lambda upstream: upstream.name)

    def each_of_pool(self, pool: str) -> Iterator[Upstream]:
        """Yield the replicas of ``pool`` that are not gone, in any order."""
        for upstream in self._upstreams.values():
            if upstream.pool == pool and upstream.listed is not Listed.GONE:
                yield upstream

    def all(self) -> list[Upstream]:
        """Return all records, sorted by name."""
        return [self._upstreams[name] for name in sorted(self._upstreams)]

    @property
    def digest(self) -> int:
        """Return a 32-bit checksum of all records; equal directories have equal checksums."""
        checksums = (_digest_of_domain(evacuation) for evacuation in self.evacuations.all())
        return reduce(operator.xor, checksums, self._digest)

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the store. If it is settled, replicas that it lacks are gone."""
        names = {stored.name for stored in listing.objects}
        events = [as_event(stored) for stored in listing.objects]
        for upstream in self.all() if listing.settled else ():
            if upstream.name not in names and upstream.version < listing.version:
                events.append(WatchEvent(KIND, upstream.name, listing.version, None))
        self._apply([self._from_event(event) for event in events], "", Source.LIST)

    def seen(self, event: WatchEvent) -> None:
        """Apply a watch event of the store."""
        self._apply([self._from_event(event)], "", Source.LIST)

    def received(self, node: str, update: UpstreamNews) -> None:
        """Apply an update of the peer ``node``."""
        self.evacuations.received(node, update.domains)
        self._apply([from_record(record) for record in update.upstreams], node, Source.PEER)

    def sign_leaving(self, name: str, source: Source, at: float) -> None:
        """Record a signal from ``source`` that a replica is leaving.

        ``at`` is the current wall clock time in seconds.
        """
        known = self._upstreams.get(name)
        if known is not None and not known.leaving_by_signal:
            self._record_signal(known, True, source, at)

    def withdraw(self, name: str, source: Source, at: float) -> None:
        """Record that ``source`` took back its signal that a replica is leaving.

        ``at`` is the current wall clock time in seconds.
        """
        known = self._upstreams.get(name)
        if known is not None and known.leaving_by_signal:
            self._record_signal(known, False, source, at)

    def _record_signal(self, known: Upstream, leaving: bool, source: Source, at: float) -> None:
        # The clocks of nodes and replicas differ, but a signal must not appear to be older than the
        # last one or than the start of the replica, since it would be ignored.
        signalled_at_ms = max(int(at * 1000), known.signalled_at_ms + 1, known.born)
        signalled = replace(
            known,
            signal_version=known.version,
            signalled_at_ms=signalled_at_ms,
            signal_leaving=leaving,
        )
        self._apply([signalled], "", source)

    def news_of(self, upstream: Upstream) -> UpstreamNews:
        """Return the record of one replica as an update, for a peer that seems not to have it."""
        return UpstreamNews([to_record(upstream)])

    def news(self) -> UpstreamNews:
        """Return all records as an update, for a peer that requested them."""
        records = [to_record(upstream) for upstream in self.all()]
        return UpstreamNews(records, self.evacuations.records())

    def _from_event(self, event: WatchEvent) -> Upstream | None:
        known = self._upstreams.get(event.name)
        parsed = parse_record(event, self._invalid_records) if event.value is not None else None
        if parsed is not None or known is None:
            return parsed
        # A record that is deleted or cannot be parsed means that there is no such replica, also if
        # an earlier record of its name was valid.
        return replace(known, version=event.version, listed=Listed.GONE)

    def _apply(self, candidates: list[Upstream | None], node: str, source: Source) -> None:
        changed = []
        must_notify = False
        for candidate in candidates:
            merged = self._merge(candidate, source) if candidate else None
            if merged is not None:
                changed.append(merged)
                must_notify |= self._store(merged)
        if not changed:
            return
        self._broadcast(UpstreamNews([to_record(upstream) for upstream in changed]), node)
        if must_notify:
            self._notify_listeners()

    def _store(self, upstream: Upstream) -> bool:
        """Store a record; return True if more has changed than a cold time that counts down."""
        # Every heartbeat holds the checksum. It is updated here, as computing it from all records
        # each time would be expensive.
        known = self._upstreams.get(upstream.name)
        if known is not None:
            self._digest ^= digest_of(known)
        self._digest ^= digest_of(upstream)
        self._upstreams[upstream.name] = upstream
        self._merger.on_stored(upstream)
        if known is None:
            self._record_cold_time(upstream)
            return True
        if upstream.version > known.version:
            self._record_cold_time(upstream)
        if upstream.born and known.born and upstream.born != known.born:
            self._report_restart(known, upstream)
        same = replace(known, version=upstream.version, cold_ms=upstream.cold_ms)
        return same != upstream or upstream.cold_ms > known.cold_ms

    def _record_cold_time(self, upstream: Upstream) -> None:
        if upstream.cold_ms:
            self._cold_until[upstream.name] = self._monotonic() + upstream.cold_ms / 1000
        else:
            self._cold_until.pop(upstream.name, None)

    def _report_restart(self, former: Upstream, upstream: Upstream) -> None:
        self._events.emit(
            Kind.UPSTREAM,
            "the replica restarted under its name",
            replica=upstream.name,
            pool=upstream.pool,
            born_ms=upstream.born,
            cold_ms=upstream.cold_ms,
        )
        for listener in self._restart_listeners:
            listener(former)

    def _merge(self, candidate: Upstream, source: Source) -> Upstream | None:
        known = self._upstreams.get(candidate.name)
        if known is None:
            self._log_state(candidate, source)
            return candidate
        merged = self._merger.merge(known, candidate)
        if merged == known:
            return None
        if merged.leaving != known.leaving:
            self._log_state(merged, source)
        return merged

    def _log_state(self, upstream: Upstream, source: Source) -> None:
        state = "leaving" if upstream.leaving else "live"
        self._events.emit(
            Kind.UPSTREAM,
            replica=upstream.name,
            pool=upstream.pool,
            state=state,
            listed=upstream.listed.name.lower(),
            listed_version=upstream.version,
            signed=str(upstream.leaving_by_signal).lower(),
            source=source,
            sign_age_ms=self._signal_age_ms(upstream) if source is not Source.LIST else 0,
        )

    def _signal_age_ms(self, upstream: Upstream) -> int:
        """Return the age of the signal that a replica is leaving, 0 if there is none.

        Its time may be from the clock of another node, so the age may even be negative.
        """
        return (
            round(self._wall() * 1000) - upstream.signalled_at_ms
            if upstream.leaving_by_signal
            else 0
        )


def _digest_of_domain(evacuation: Evacuation) -> int:
    return zlib.crc32(f"{evacuation.domain} {evacuation.version}".encode())
