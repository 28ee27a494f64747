"""Which failure domains are evacuated: their replicas are to get no new work.

The platform's store says so, with a version for each domain. Records merge by version, so that
repeats and reorderings do no harm, and an older list never takes an evacuation back. Nodes pass
them on, so that they hold while the store is away and for nodes that start meanwhile.
"""

from collections.abc import Callable

import msgspec

from railsail.core.events import EventLog, Kind
from railsail.peers.records import DomainRecord
from railsail.store.base import Listing, WatchEvent

KIND = "evacuation"


class Evacuation(msgspec.Struct, frozen=True):
    """Whether ``domain`` is evacuated, as the store had it at ``version``."""

    domain: str
    version: int
    evacuated: bool


class Evacuations:
    """Hold the newest record of each failure domain.

    ``flood`` passes records to all neighbours but the one named; ``monotonic`` tells seconds.
    """

    def __init__(
        self,
        flood: Callable[[list[DomainRecord], str], None],
        events: EventLog,
        monotonic: Callable[[], float],
    ) -> None:
        self._flood = flood
        self._events = events
        self._monotonic = monotonic
        self._known: dict[str, Evacuation] = {}
        # When each domain was taken back, as far as this node has heard.
        self._ended_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def active(self, domain: str) -> bool:
        """Say whether ``domain`` is evacuated."""
        known = self._known.get(domain)
        return known is not None and known.evacuated

    def seconds_since_end(self, domain: str) -> float:
        """Return for how long ``domain`` has been in use again, infinite if it always was."""
        ended_at = self._ended_at.get(domain)
        return float("inf") if ended_at is None else self._monotonic() - ended_at

    def all(self) -> list[Evacuation]:
        """Return all records, by domain."""
        return [self._known[domain] for domain in sorted(self._known)]

    def listed(self, listing: Listing) -> None:
        """Take in a listing of the store; a domain that it lacks is in use again.

        One that is not settled yet may lack evacuations that the operator writes again.
        """
        found = [Evacuation(stored.name, stored.version, True) for stored in listing.objects]
        names = {evacuation.domain for evacuation in found}
        for known in self.all() if listing.settled else ():
            if known.domain not in names and known.evacuated:
                found.append(Evacuation(known.domain, listing.version, False))
        self._take(found, "")

    def seen(self, event: WatchEvent) -> None:
        """Take in a watch event of the store."""
        self._take([Evacuation(event.name, event.version, event.value is not None)], "")

    def received(self, node: str, records: list[DomainRecord]) -> None:
        """Take in records of the peer ``node``."""
        self._take([Evacuation(r.domain, r.version, r.evacuated) for r in records], node)

    def records(self) -> list[DomainRecord]:
        """Return all records, for a peer that asks."""
        return [_to_record(evacuation) for evacuation in self.all()]

    def _take(self, candidates: list[Evacuation], source: str) -> None:
        newer = [candidate for candidate in candidates if self._is_newer(candidate)]
        if not newer:
            return
        for evacuation in newer:
            self._put(evacuation)
        self._flood([_to_record(evacuation) for evacuation in newer], source)
        for listener in self._listeners:
            listener()

    def _is_newer(self, candidate: Evacuation) -> bool:
        known = self._known.get(candidate.domain)
        return known is None or candidate.version > known.version

    def _put(self, evacuation: Evacuation) -> None:
        was_active = self.active(evacuation.domain)
        self._known[evacuation.domain] = evacuation
        if not evacuation.evacuated:
            # Its replicas may have lost their warmth meanwhile, before they say so themselves.
            self._ended_at[evacuation.domain] = self._monotonic()
        if was_active != evacuation.evacuated:
            self._events.emit(
                Kind.EVACUATION,
                failure_domain=evacuation.domain,
                state="evacuated" if evacuation.evacuated else "in use",
                listed_version=evacuation.version,
            )


def _to_record(evacuation: Evacuation) -> DomainRecord:
    return DomainRecord(evacuation.domain, evacuation.version, evacuation.evacuated)
