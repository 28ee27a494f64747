"""All replicas that the fleet knows, and which of them are leaving.

Two sources say so: the platform's list, which lags, with a version per record; and signs, by which
a daemon tells that a replica itself, or its failures, said that it leaves. The newest sign wins
among signs. A new version of the listed record clears older signs. Records merge by these numbers,
so that repeats and reorderings do no harm.
"""

import enum
import zlib
from collections.abc import Callable
from dataclasses import astuple, dataclass, replace

import msgspec

from railsail.conf.values import parse_endpoint
from railsail.core.events import EventLog, Kind
from railsail.core.logs import get_logger
from railsail.peers.messages import UpstreamNews, UpstreamRecord
from railsail.store.base import Listing, WatchEvent
from railsail.store.watcher import as_event

KIND = "upstream"


class Listed(enum.IntEnum):
    """What the platform's list says of a replica."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@dataclass(frozen=True)
class Upstream:
    """One replica; ``endpoint`` is ``ip:port``, ``slots`` is 0 where the list does not tell them.

    ``version`` is that of the listed record. The sign was given when the record had
    ``sign_version``, at ``sign_at`` milliseconds since the Unix epoch.
    """

    name: str
    pool: str
    endpoint: str
    failure_domain: str
    version: int
    listed: Listed
    sign_version: int = 0
    sign_at: int = 0
    sign_leaving: bool = False
    slots: int = 0

    @property
    def leaving(self) -> bool:
        """Say whether the replica must get no new work."""
        return self.signed_leaving or self.listed is not Listed.LIVE

    @property
    def signed_leaving(self) -> bool:
        """Say whether a sign that still counts says that the replica leaves."""
        return self.sign_leaving and self.sign_version >= self.version


class UpstreamDirectory:
    """Hold the records of all replicas; ``flood`` passes news to all neighbours but one."""

    def __init__(self, flood: Callable[[UpstreamNews, str], None], events: EventLog) -> None:
        self._flood = flood
        self._events = events
        self._upstreams: dict[str, Upstream] = {}
        self._digest = 0
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def get(self, name: str) -> Upstream | None:
        """Return the replica of ``name``."""
        return self._upstreams.get(name)

    def of_pool(self, pool: str) -> list[Upstream]:
        """Return the replicas of ``pool`` that are not gone, by name."""
        chosen = [u for u in self._upstreams.values() if u.pool == pool]
        present = [upstream for upstream in chosen if upstream.listed is not Listed.GONE]
        return sorted(present, key=lambda upstream: upstream.name)

    def all(self) -> list[Upstream]:
        """Return all records, by name."""
        return [self._upstreams[name] for name in sorted(self._upstreams)]

    @property
    def digest(self) -> int:
        """Return a 32-bit sum over all records; equal directories have equal sums."""
        return self._digest

    def listed(self, listing: Listing) -> None:
        """Take in a listing of the store; what it lacks is gone."""
        names = {stored.name for stored in listing.objects}
        events = [as_event(stored) for stored in listing.objects]
        for upstream in self.all():
            if upstream.name not in names and upstream.version < listing.version:
                events.append(WatchEvent(KIND, upstream.name, listing.version, None))
        self._take([self._from_event(event) for event in events], "")

    def seen(self, event: WatchEvent) -> None:
        """Take in a watch event of the store."""
        self._take([self._from_event(event)], "")

    def received(self, node: str, news: UpstreamNews) -> None:
        """Take in news of a peer."""
        self._take([_from_record(record) for record in news.upstreams], node)

    def sign(self, name: str, leaving: bool, at: float) -> None:
        """Take note that a replica itself, or a failed call, said whether it leaves."""
        known = self._upstreams.get(name)
        if known is None or known.signed_leaving == leaving:
            return
        at_ms = max(int(at * 1000), known.sign_at + 1)
        signed = replace(known, sign_version=known.version, sign_at=at_ms, sign_leaving=leaving)
        self._take([signed], "")

    def news(self) -> UpstreamNews:
        """Return all records, for a peer that asks."""
        return UpstreamNews([_to_record(upstream) for upstream in self.all()])

    def _from_event(self, event: WatchEvent) -> Upstream | None:
        known = self._upstreams.get(event.name)
        if event.value is None:
            if known is None:
                return None
            return replace(known, version=event.version, listed=Listed.GONE)
        return _parse(event)

    def _take(self, candidates: list[Upstream | None], source: str) -> None:
        changed = []
        for candidate in candidates:
            merged = self._merge(candidate) if candidate else None
            if merged is not None:
                changed.append(merged)
        if not changed:
            return
        for upstream in changed:
            self._put(upstream)
        self._flood(UpstreamNews([_to_record(upstream) for upstream in changed]), source)
        for listener in self._listeners:
            listener()

    def _put(self, upstream: Upstream) -> None:
        # The sum goes into every heartbeat, so that it is kept and not made from all records.
        known = self._upstreams.get(upstream.name)
        if known is not None:
            self._digest ^= _digest_of(known)
        self._digest ^= _digest_of(upstream)
        self._upstreams[upstream.name] = upstream

    def _merge(self, candidate: Upstream) -> Upstream | None:
        known = self._upstreams.get(candidate.name)
        if known is None:
            self._tell(candidate)
            return candidate
        merged = known
        if candidate.version > known.version:
            merged = replace(
                candidate,
                sign_version=known.sign_version,
                sign_at=known.sign_at,
                sign_leaving=known.sign_leaving,
            )
        if candidate.sign_at > known.sign_at:
            merged = replace(
                merged,
                sign_version=candidate.sign_version,
                sign_at=candidate.sign_at,
                sign_leaving=candidate.sign_leaving,
            )
        if merged == known:
            return None
        if merged.leaving != known.leaving:
            self._tell(merged)
        return merged

    def _tell(self, upstream: Upstream) -> None:
        word = "leaving" if upstream.leaving else "live"
        self._events.emit(
            Kind.UPSTREAM,
            replica=upstream.name,
            pool=upstream.pool,
            state=word,
            listed=upstream.listed.name.lower(),
            listed_version=upstream.version,
            signed=str(upstream.signed_leaving).lower(),
        )


def _parse(event: WatchEvent) -> Upstream | None:
    value = event.value or {}
    try:
        endpoint = str(parse_endpoint(str(value["endpoint"])))
        listed = Listed.LEAVING if value.get("state") == "leaving" else Listed.LIVE
        domain = str(value.get("failure_domain", ""))
        slots = int(value.get("slots", 0))
        return Upstream(
            event.name, str(value["pool"]), endpoint, domain, event.version, listed, slots=slots
        )
    except (KeyError, TypeError, ValueError) as problem:
        get_logger().warning("upstream record refused", name=event.name, reason=str(problem))
        return None


def _digest_of(upstream: Upstream) -> int:
    text = f"{upstream.name} {upstream.version} {upstream.sign_version} {upstream.sign_at}"
    return zlib.crc32(text.encode())


def _to_record(upstream: Upstream) -> UpstreamRecord:
    # Both have the same fields, in the same order.
    return UpstreamRecord(*astuple(upstream))


def _from_record(record: UpstreamRecord) -> Upstream:
    upstream = Upstream(*msgspec.structs.astuple(record))
    return replace(upstream, listed=Listed(record.listed))
