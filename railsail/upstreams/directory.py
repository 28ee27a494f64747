"""All replicas that the fleet knows, and which of them are leaving.

This is the one place that decides it. The platform's list says so, which lags and may be away, with
a version per record; and signs do: a daemon's word that the replica itself said so in an answer or
a load report, or that another one has its address. Either suffices. How records merge is told in
``railsail.upstreams.merging``.
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
from railsail.upstreams.merging import RecordMerger
from railsail.upstreams.records import (
    Listed,
    Upstream,
    digest_of,
    from_record,
    parse_record,
    to_record,
)
from railsail.upstreams.refused import RefusedRecords
from railsail.upstreams.signs import Source

KIND = "upstream"


class VersionRules(Protocol):
    """Which software versions of a service are sent requests, as its rollouts decide it."""

    def running(self, service: str) -> Order | None:
        """Return the order of the rollout that runs, ``None`` if there is none."""

    def takes_work(self, service: str, software_version: str) -> bool:
        """Say whether replicas of a version may be given new work."""


class _AnyVersion:
    """The rules where nothing is known of rollouts."""

    def running(self, service: str) -> Order | None:
        return None

    def takes_work(self, service: str, software_version: str) -> bool:
        return True


class UpstreamDirectory:
    """Hold the records of all replicas; ``flood`` passes news to all neighbours but one."""

    def __init__(
        self,
        flood: Callable[[UpstreamNews, str], None],
        events: EventLog,
        monotonic: Callable[[], float] = steady_seconds,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._flood = flood
        self._events = events
        self._monotonic = monotonic
        self._wall = wall
        self._merger = RecordMerger(monotonic)
        self.evacuations = Evacuations(self._flood_domains, events, monotonic)
        self.evacuations.on_change(self._changed)
        # Until when a replica is cold, by the clock of this node, counted from when its record
        # came: clocks of nodes differ, and may jump.
        self._cold_until: dict[str, float] = {}
        self._rebirth_listeners: list[Callable[[Upstream], None]] = []
        self._refused = RefusedRecords()
        self._upstreams: dict[str, Upstream] = {}
        self._digest = 0
        self._listeners: list[Callable[[], None]] = []
        self._rules: VersionRules = _AnyVersion()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def on_rebirth(self, listener: Callable[[Upstream], None]) -> None:
        """Call ``listener`` with the former record of each replica that has started again."""
        self._rebirth_listeners.append(listener)

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()

    def _flood_domains(self, records: list[DomainRecord], source: str) -> None:
        self._flood(UpstreamNews([], records), source)

    def takes_work(self, upstream: Upstream) -> bool:
        """Say whether ``upstream`` may be given new work."""
        if upstream.leaving or self.evacuations.active(upstream.failure_domain):
            return False
        return self.takes_version(upstream)

    def takes_version(self, upstream: Upstream) -> bool:
        """Say whether the software version of ``upstream`` may be given new work."""
        return self._rules.takes_work(upstream.pool, upstream.software_version)

    def follow_rollouts(self, rules: VersionRules) -> None:
        """Give work to software versions by ``rules`` from now on."""
        self._rules = rules
        self._changed()

    @property
    def follows_rollouts(self) -> bool:
        """Say whether rollouts decide which software versions are given work."""
        return not isinstance(self._rules, _AnyVersion)

    def rollouts_changed(self) -> None:
        """Take note that the rules of software versions say something else now."""
        self._changed()

    def rollout(self, pool: str) -> Order | None:
        """Return the order of the rollout of ``pool`` that runs, ``None`` if there is none."""
        return self._rules.running(pool)

    def keeps_prefixes(self, upstream: Upstream) -> bool:
        """Say whether prompts' beginnings may have their home at ``upstream``.

        They move to the target version of a rollout once that has succeeded.
        """
        return self.settled(upstream) and self.takes_work(upstream)

    def settled(self, upstream: Upstream) -> bool:
        """Say whether no rollout tries the version of ``upstream``, or has stopped it."""
        order = self.rollout(upstream.pool)
        if order is not None and upstream.software_version == order.target_version:
            return False
        return self.takes_version(upstream)

    def cold_seconds(self, name: str, after_evacuation: float) -> float:
        """Return for how many seconds a replica will be cold, 0 or less if it is not.

        After an evacuation it is taken for cold for ``after_evacuation`` seconds.
        """
        upstream = self._upstreams.get(name)
        if upstream is None:
            return 0.0
        by_itself = self._cold_until.get(name, 0.0) - self._monotonic()
        since_end = self.evacuations.seconds_since_end(upstream.failure_domain)
        return max(by_itself, after_evacuation - since_end)

    def get(self, name: str) -> Upstream | None:
        """Return the replica of ``name``."""
        return self._upstreams.get(name)

    def of_pool(self, pool: str) -> list[Upstream]:
        """Return the replicas of ``pool`` that are not gone, by name."""
        return sorted(self.each_of_pool(pool), key=lambda upstream: upstream.name)

    def each_of_pool(self, pool: str) -> Iterator[Upstream]:
        """Give the replicas of ``pool`` that are not gone, in any order."""
        for upstream in self._upstreams.values():
            if upstream.pool == pool and upstream.listed is not Listed.GONE:
                yield upstream

    def all(self) -> list[Upstream]:
        """Return all records, by name."""
        return [self._upstreams[name] for name in sorted(self._upstreams)]

    @property
    def digest(self) -> int:
        """Return a 32-bit sum over all records; equal directories have equal sums."""
        sums = (_digest_of_domain(evacuation) for evacuation in self.evacuations.all())
        return reduce(operator.xor, sums, self._digest)

    def listed(self, listing: Listing) -> None:
        """Take in a listing of the store; what it lacks is gone, unless it is not settled yet."""
        names = {stored.name for stored in listing.objects}
        events = [as_event(stored) for stored in listing.objects]
        for upstream in self.all() if listing.settled else ():
            if upstream.name not in names and upstream.version < listing.version:
                events.append(WatchEvent(KIND, upstream.name, listing.version, None))
        self._take([self._from_event(event) for event in events], "", Source.LIST)

    def seen(self, event: WatchEvent) -> None:
        """Take in a watch event of the store."""
        self._take([self._from_event(event)], "", Source.LIST)

    def received(self, node: str, news: UpstreamNews) -> None:
        """Take in news of a peer."""
        self.evacuations.received(node, news.domains)
        self._take([from_record(record) for record in news.upstreams], node, Source.PEER)

    def sign_leaving(self, name: str, source: Source, at: float) -> None:
        """Take note that a replica leaves, as ``source`` said; ``at`` is now, of the wall clock."""
        known = self._upstreams.get(name)
        if known is not None and not known.signed_leaving:
            self._sign(known, True, source, at)

    def withdraw(self, name: str, source: Source, at: float) -> None:
        """Take note that a replica leaves no more, as the ``source`` that had said so says now."""
        known = self._upstreams.get(name)
        if known is not None and known.signed_leaving:
            self._sign(known, False, source, at)

    def _sign(self, known: Upstream, leaving: bool, source: Source, at: float) -> None:
        # Clocks of nodes and replicas differ: a sign is never older than the life that it is of.
        at_ms = max(int(at * 1000), known.sign_at + 1, known.born)
        signed = replace(known, sign_version=known.version, sign_at=at_ms, sign_leaving=leaving)
        self._take([signed], "", source)

    def news_of(self, upstream: Upstream) -> UpstreamNews:
        """Return what is known of one replica, for a peer that seems not to know it."""
        return UpstreamNews([to_record(upstream)])

    def news(self) -> UpstreamNews:
        """Return all records, for a peer that asks."""
        records = [to_record(upstream) for upstream in self.all()]
        return UpstreamNews(records, self.evacuations.records())

    def _from_event(self, event: WatchEvent) -> Upstream | None:
        known = self._upstreams.get(event.name)
        parsed = parse_record(event, self._refused) if event.value is not None else None
        if parsed is not None or known is None:
            return parsed
        # A record that cannot be read names no replica, also where one was known by its name.
        return replace(known, version=event.version, listed=Listed.GONE)

    def _take(self, candidates: list[Upstream | None], node: str, source: Source) -> None:
        changed = []
        matters = False
        for candidate in candidates:
            merged = self._merge(candidate, source) if candidate else None
            if merged is not None:
                changed.append(merged)
                matters |= self._put(merged)
        if not changed:
            return
        self._flood(UpstreamNews([to_record(upstream) for upstream in changed]), node)
        if matters:
            self._changed()

    def _put(self, upstream: Upstream) -> bool:
        """Keep a record, and say whether it changes more than how long a replica stays cold."""
        # The sum goes into every heartbeat, so that it is kept and not made from all records.
        known = self._upstreams.get(upstream.name)
        if known is not None:
            self._digest ^= digest_of(known)
        self._digest ^= digest_of(upstream)
        self._upstreams[upstream.name] = upstream
        self._merger.kept(upstream)
        if known is None:
            self._note_cold(upstream)
            return True
        if upstream.version > known.version:
            self._note_cold(upstream)
        if upstream.born and known.born and upstream.born != known.born:
            self._tell_rebirth(known, upstream)
        same = replace(known, version=upstream.version, cold=upstream.cold)
        return same != upstream or upstream.cold > known.cold

    def _note_cold(self, upstream: Upstream) -> None:
        if upstream.cold:
            self._cold_until[upstream.name] = self._monotonic() + upstream.cold / 1000
        else:
            self._cold_until.pop(upstream.name, None)

    def _tell_rebirth(self, before: Upstream, upstream: Upstream) -> None:
        self._events.emit(
            Kind.UPSTREAM,
            "started again under its name",
            replica=upstream.name,
            pool=upstream.pool,
            born_ms=upstream.born,
            cold_ms=upstream.cold,
        )
        for listener in self._rebirth_listeners:
            listener(before)

    def _merge(self, candidate: Upstream, source: Source) -> Upstream | None:
        known = self._upstreams.get(candidate.name)
        if known is None:
            self._tell(candidate, source)
            return candidate
        merged = self._merger.merge(known, candidate)
        if merged == known:
            return None
        if merged.leaving != known.leaving:
            self._tell(merged, source)
        return merged

    def _tell(self, upstream: Upstream, source: Source) -> None:
        word = "leaving" if upstream.leaving else "live"
        self._events.emit(
            Kind.UPSTREAM,
            replica=upstream.name,
            pool=upstream.pool,
            state=word,
            listed=upstream.listed.name.lower(),
            listed_version=upstream.version,
            signed=str(upstream.signed_leaving).lower(),
            source=source,
            sign_age_ms=self._sign_age_ms(upstream) if source is not Source.LIST else 0,
        )

    def _sign_age_ms(self, upstream: Upstream) -> int:
        """Return how old the sign of a replica that leaves is, by the clocks of two nodes."""
        return round(self._wall() * 1000) - upstream.sign_at if upstream.signed_leaving else 0


def _digest_of_domain(evacuation: Evacuation) -> int:
    return zlib.crc32(f"{evacuation.domain} {evacuation.version}".encode())
