"""The evacuated failure domains, whose replicas get no new work.

Evacuations are written to the platform's store, with a version for each domain. Records merge by
version, so that duplicates and reordering do no harm and an older list never ends an evacuation.
Nodes broadcast them, so that they apply during an outage of the store too, also on nodes that start
during it.
"""

from collections.abc import Callable

import msgspec

from railsail.core.events import EventLog, Kind
from railsail.peers.records import DomainRecord
from railsail.store.base import Listing, WatchEvent
from railsail.upstreams.invalidrecords import InvalidRecords

KIND = "evacuation"


class Evacuation(msgspec.Struct, frozen=True):
    """Whether ``domain`` was evacuated at ``version`` of the store."""

    domain: str
    version: int
    evacuated: bool


class Evacuations:
    """The newest record of each failure domain.

    ``broadcast`` sends records to all neighbours but the given one; ``monotonic`` returns seconds.
    ``count_invalid`` is called with the kind of each object that is found invalid.
    """

    def __init__(
        self,
        broadcast: Callable[[list[DomainRecord], str], None],
        events: EventLog,
        monotonic: Callable[[], float],
        count_invalid: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._broadcast = broadcast
        self._events = events
        self._monotonic = monotonic
        self._invalid_records = InvalidRecords(KIND, count_invalid)
        self._known: dict[str, Evacuation] = {}
        # When this node learnt that the evacuation of each domain had ended.
        self._ended_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def active(self, domain: str) -> bool:
        """Return True if ``domain`` is evacuated."""
        known = self._known.get(domain)
        return known is not None and known.evacuated

    def seconds_since_end(self, domain: str) -> float:
        """Return the seconds since the evacuation of ``domain`` ended, infinite if it had none."""
        ended_at = self._ended_at.get(domain)
        return float("inf") if ended_at is None else self._monotonic() - ended_at

    def all(self) -> list[Evacuation]:
        """Return all records, sorted by domain."""
        return [self._known[domain] for domain in sorted(self._known)]

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the store; the evacuation of a domain that it lacks has ended.

        A listing that is not settled ends no evacuation, because the operator may still have to
        write some of them again.
        """
        found = [Evacuation(stored.name, stored.version, True) for stored in listing.objects]
        names = {evacuation.domain for evacuation in found}
        for known in self.all() if listing.settled else ():
            if known.domain not in names and known.evacuated:
                found.append(Evacuation(known.domain, listing.version, False))
        self._apply([evacuation for evacuation in found if self._is_valid(evacuation)], "")

    def seen(self, event: WatchEvent) -> None:
        """Apply a watch event of the store."""
        evacuation = Evacuation(event.name, event.version, event.value is not None)
        self._apply([evacuation] if self._is_valid(evacuation) else [], "")

    def received(self, node: str, records: list[DomainRecord]) -> None:
        """Apply records of the peer ``node``."""
        self._apply([Evacuation(r.domain, r.version, r.evacuated) for r in records], node)

    def records(self) -> list[DomainRecord]:
        """Return all records, for a peer that requested them."""
        return [_to_record(evacuation) for evacuation in self.all()]

    def _is_valid(self, evacuation: Evacuation) -> bool:
        """Return False if peers would refuse ``evacuation``, with the message that it is in.

        No replica is in such a domain, since its record would be refused too.
        """
        try:
            msgspec.convert(msgspec.structs.astuple(evacuation), DomainRecord)
        except msgspec.ValidationError as problem:
            self._invalid_records.reject(evacuation.domain, str(problem))
            return False
        return True

    def _apply(self, candidates: list[Evacuation], source: str) -> None:
        newer = [candidate for candidate in candidates if self._is_newer(candidate)]
        if not newer:
            return
        for evacuation in newer:
            self._store(evacuation)
        self._broadcast([_to_record(evacuation) for evacuation in newer], source)
        for listener in self._listeners:
            listener()

    def _is_newer(self, candidate: Evacuation) -> bool:
        known = self._known.get(candidate.domain)
        return known is None or candidate.version > known.version

    def _store(self, evacuation: Evacuation) -> None:
        was_active = self.active(evacuation.domain)
        self._known[evacuation.domain] = evacuation
        if not evacuation.evacuated:
            # The replicas may have become cold in the meantime, and not have reported it yet.
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
