"""The objects in the store that say where streams began, for when all nodes are lost at once.

One object holds where streams may have begun at all. Further ones hold records of single streams,
which are needed only while streams of one host may have begun in several places.
"""

import base64
import struct
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec

from railsail.core.logs import get_logger
from railsail.peers.base import Text
from railsail.store.base import StoredObject
from railsail.streams.origins import StreamOrigin

KIND = "stream-origins"
PLACES_NAME = "places"
BATCH_PREFIX = "records-"
_KEY = struct.Struct(">Q")

Count = Annotated[int, msgspec.Meta(ge=0)]


@dataclass(frozen=True, order=True)
class HostPool:
    """A pool to which streams of ``host`` are routed."""

    host: str
    pool: str


@dataclass(frozen=True, order=True)
class PoolVersion:
    """A software version that replicas of ``pool`` have."""

    pool: str
    software_version: str


Place = HostPool | PoolVersion


class StoredPlaces(msgspec.Struct, frozen=True):
    """The value of the object that says where streams may have begun.

    ``era`` is the store generation in which it was complete. A store that was restored from an
    older copy may lack places that were added after the copy was made.
    """

    era: Count
    hosts: dict[str, list[Text]] = {}
    versions: dict[Text, list[Text]] = {}

    @property
    def places(self) -> frozenset[Place]:
        """Return the places."""
        hosts = (HostPool(host, pool) for host, pools in self.hosts.items() for pool in pools)
        versions = (PoolVersion(pool, v) for pool, found in self.versions.items() for v in found)
        return frozenset((*hosts, *versions))


class StoredGroup(msgspec.Struct, frozen=True):
    """The keys of the streams of one origin, packed as Base64."""

    pool: Text
    software_version: Text
    keys: str


class StoredBatch(msgspec.Struct, frozen=True):
    """The value of an object with records of streams."""

    groups: list[StoredGroup] = []


def to_stored_places(places: Iterable[Place], era: int) -> StoredPlaces:
    """Return the value of the object for ``places``, complete in store generation ``era``."""
    hosts: dict[str, list[str]] = {}
    versions: dict[str, list[str]] = {}
    for place in sorted(places, key=repr):
        if isinstance(place, HostPool):
            hosts.setdefault(place.host, []).append(place.pool)
        else:
            versions.setdefault(place.pool, []).append(place.software_version)
    return StoredPlaces(era, hosts, versions)


def to_stored_batch(keys_by_origin: Mapping[StreamOrigin, Collection[int]]) -> StoredBatch:
    """Return the value of an object with the given records."""
    return StoredBatch(
        [
            StoredGroup(origin.pool, origin.software_version, pack_keys(keys))
            for origin, keys in sorted(keys_by_origin.items())
        ]
    )


def pack_keys(keys: Iterable[int]) -> str:
    """Return the ``keys`` of streams as Base64."""
    return base64.b64encode(b"".join(_KEY.pack(key) for key in keys)).decode()


def unpack_keys(text: str) -> list[int]:
    """Return the keys in ``text``; raise ``ValueError`` if it cannot be decoded."""
    data = base64.b64decode(text, validate=True)
    if len(data) % _KEY.size:
        raise ValueError("the length is not that of whole keys")
    return [key for (key,) in _KEY.iter_unpack(data)]


def read_places(stored: StoredObject) -> StoredPlaces | None:
    """Return the places that ``stored`` holds, ``None`` if it is invalid."""
    try:
        return msgspec.convert(stored.value, StoredPlaces)
    except msgspec.ValidationError as problem:
        get_logger().warning("stored places of streams refused", reason=str(problem))
        return None


def read_batch(stored: StoredObject) -> dict[StreamOrigin, list[int]]:
    """Return the keys of each origin that ``stored`` holds, none if it is invalid."""
    try:
        batch = msgspec.convert(stored.value, StoredBatch)
        return {
            StreamOrigin(group.pool, group.software_version): unpack_keys(group.keys)
            for group in batch.groups
        }
    except ValueError as problem:
        get_logger().warning(
            "stored records of streams refused", name=stored.name, reason=str(problem)
        )
        return {}
