"""The record of one replica: what the list says of it, and a sign that it leaves."""

import enum
import zlib
from dataclasses import dataclass, fields
from operator import attrgetter

import msgspec

from railsail.conf.values import parse_endpoint
from railsail.peers.records import UpstreamRecord
from railsail.store.base import WatchEvent
from railsail.upstreams.refused import RefusedRecords


class Listed(enum.IntEnum):
    """What the platform's list says of a replica."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@dataclass(frozen=True)
class Upstream:
    """One replica; ``endpoint`` is ``ip:port``, ``slots`` is 0 where the list does not tell them.

    ``version`` is that of the listed record. The sign was given when the record had
    ``sign_version``, at ``sign_at`` milliseconds since the Unix epoch. ``born`` is when the replica
    started, in the same unit, 0 where it does not say so: it tells lives under one name apart. The
    replica was cold for ``cold`` milliseconds more when it wrote the record. It runs
    ``software_version``, empty where it does not say so.
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
    born: int = 0
    cold: int = 0
    software_version: str = ""

    @property
    def leaving(self) -> bool:
        """Say whether the replica must get no new work."""
        return self.signed_leaving or self.listed is not Listed.LIVE

    @property
    def signed_leaving(self) -> bool:
        """Say whether a sign says that the replica leaves, and not one of a life before."""
        return self.sign_leaving and self.sign_at >= self.born


def parse_record(event: WatchEvent, refused: RefusedRecords) -> Upstream | None:
    """Return the record that the list holds, or ``None`` if it cannot be read."""
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
            cold=int(value.get("cold", 0)),
            software_version=str(value.get("software_version", "")),
        )
    except (KeyError, TypeError, ValueError) as problem:
        refused.refused(event.name, f"{type(problem).__name__}: {problem}")
        return None
    refused.accepted(event.name)
    return parsed


def digest_of(upstream: Upstream) -> int:
    """Return a sum of what of a record nodes must agree on."""
    text = f"{upstream.name} {upstream.version} {upstream.sign_version} {upstream.sign_at}"
    return zlib.crc32(text.encode())


# Both have the same fields, in the same order.
_fields = attrgetter(*(field.name for field in fields(Upstream)))


def to_record(upstream: Upstream) -> UpstreamRecord:
    """Return the message's record of ``upstream``."""
    return UpstreamRecord(*_fields(upstream))


def from_record(record: UpstreamRecord) -> Upstream:
    """Return the record that a peer sent."""
    name, pool, endpoint, domain, version, listed, *rest = msgspec.structs.astuple(record)
    return Upstream(name, pool, endpoint, domain, version, Listed(listed), *rest)
