"""The record of one replica: what the platform's list says, and a signal that it is leaving."""

import enum
import zlib
from dataclasses import dataclass, fields
from operator import attrgetter

import msgspec

from railsail.conf.values import parse_endpoint
from railsail.peers.records import UpstreamRecord
from railsail.store.base import WatchEvent
from railsail.store.unreadable import UnreadableValue
from railsail.upstreams.invalidrecords import InvalidRecords


class Listed(enum.IntEnum):
    """The state of a replica in the platform's list."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@dataclass(frozen=True)
class Upstream:
    """One replica.

    ``endpoint`` is ``ip:port``. ``version`` is the version of the listed record. ``signal_leaving``
    is the newest signal: whether the replica is leaving. It was given ``signalled_at_ms``
    milliseconds since the Unix epoch, when the record had the version ``signal_version``. ``slots``
    is the number of concurrent calls, 0 if not listed. ``born`` is when the replica started, in
    milliseconds since the Unix epoch, 0 if not listed; it changes with each restart. ``cold_ms`` is
    for how many more milliseconds the replica was cold when the record was written.
    ``software_version`` is empty if not listed.
    """

    name: str
    pool: str
    endpoint: str
    failure_domain: str
    version: int
    listed: Listed
    signal_version: int = 0
    signalled_at_ms: int = 0
    signal_leaving: bool = False
    slots: int = 0
    born: int = 0
    cold_ms: int = 0
    software_version: str = ""

    @property
    def leaving(self) -> bool:
        """Return True if the replica drains before it stops, or is gone, and gets no new work."""
        return self.leaving_by_signal or self.listed is not Listed.LIVE

    @property
    def leaving_by_signal(self) -> bool:
        """Return True if a signal since the start of the replica says that it is leaving."""
        return self.signal_leaving and self.signalled_at_ms >= self.born


def parse_record(event: WatchEvent, invalid_records: InvalidRecords) -> Upstream | None:
    """Return the listed record of ``event``, or ``None`` if it is invalid."""
    if isinstance(event.value, UnreadableValue):
        return None
    value = event.value or {}
    try:
        endpoint = str(parse_endpoint(str(value["endpoint"])))
        listed = Listed.LEAVING if value.get("state") == "leaving" else Listed.LIVE
        domain = str(value.get("failure_domain", ""))
        slots = int(value.get("slots", 0))
        parsed = Upstream(
            event.name,
            str(value["pool"]),
            endpoint,
            domain,
            event.version,
            listed,
            slots=slots,
            born=int(value.get("born", 0)),
            cold_ms=int(value.get("cold", 0)),
            software_version=str(value.get("software_version", "")),
        )
        _check_bounds(parsed)
    except (KeyError, TypeError, ValueError, OverflowError) as problem:
        invalid_records.reject(event.name, f"{type(problem).__name__}: {problem}")
        return None
    invalid_records.accept(event.name)
    return parsed


def digest_of(upstream: Upstream) -> int:
    """Return a checksum of the parts of a record that must be equal on all nodes."""
    text = (
        f"{upstream.name} {upstream.version} {upstream.signal_version} {upstream.signalled_at_ms}"
    )
    return zlib.crc32(text.encode())


# ``UpstreamRecord`` has the same fields as ``Upstream``, in the same order.
_fields = attrgetter(*(field.name for field in fields(Upstream)))


def to_record(upstream: Upstream) -> UpstreamRecord:
    """Return ``upstream`` in the form in which it is sent to peers."""
    return UpstreamRecord(*_fields(upstream))


def _check_bounds(upstream: Upstream) -> None:
    """Raise ``ValueError`` if peers would refuse ``upstream``, with the message that it is in."""
    msgspec.convert(_fields(upstream), UpstreamRecord)


def from_record(record: UpstreamRecord) -> Upstream:
    """Return the replica that ``record``, received from a peer, describes."""
    name, pool, endpoint, domain, version, listed, *rest = msgspec.structs.astuple(record)
    return Upstream(name, pool, endpoint, domain, version, Listed(listed), *rest)
