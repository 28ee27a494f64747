"""The base class of all messages between daemons, and the types of their fields."""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, ClassVar, Self

import msgspec

# Peers of another version are refused. Compatible changes of the messages raise the level instead
# (see ``railsail.peers.levels``).
PROTOCOL_VERSION = 1

Text = Annotated[str, msgspec.Meta(max_length=256)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Signed = Annotated[int, msgspec.Meta(ge=-(1 << 62), le=(1 << 62))]
Digest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
MAX_BLOB_BYTES = 900_000
Blob = Annotated[bytes, msgspec.Meta(max_length=MAX_BLOB_BYTES)]


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The base class of messages, and of the records that they contain.

    If ``SHARES_FRAME`` is set, a message may be delayed a little to share a frame with later ones.
    Only peers of level ``SINCE_LEVEL`` and higher know the message (see ``railsail.peers.levels``).
    If lower levels know fewer of its fields, ``FIELD_COUNTS`` maps the last level of each such form
    to its number of fields. A message whose lists may be sent in parts, one message after the
    other, names in ``PART_LENGTHS`` how many records of each list a part has at most.
    """

    SHARES_FRAME: ClassVar[bool] = False
    SINCE_LEVEL: ClassVar[int] = 0
    FIELD_COUNTS: ClassVar[Mapping[int, int]] = MappingProxyType({})
    PART_LENGTHS: ClassVar[Mapping[str, int]] = MappingProxyType({})

    def split(self) -> list[Self]:
        """Return the message as one or several whose lists are within ``PART_LENGTHS``."""
        if not self.PART_LENGTHS:
            return [self]
        lists = {name: getattr(self, name) for name in self.PART_LENGTHS}
        counts = [math.ceil(len(lists[name]) / each) for name, each in self.PART_LENGTHS.items()]
        if max(counts) <= 1:
            return [self]
        return [self._part(number, lists) for number in range(max(counts))]

    def _part(self, number: int, lists: Mapping[str, list]) -> Self:
        slices = {
            name: lists[name][number * each : (number + 1) * each]
            for name, each in self.PART_LENGTHS.items()
        }
        return msgspec.structs.replace(self, **slices)

    def field_count(self, level: int) -> int:
        """Return how many of the fields peers of ``level`` know."""
        last_levels = [last for last in self.FIELD_COUNTS if level <= last]
        return self.FIELD_COUNTS[min(last_levels)] if last_levels else len(self.__struct_fields__)

    def for_level(self, level: int) -> Self:
        """Return the message, with unknown values replaced by ones that peers of ``level`` know."""
        return self
