"""What all messages between daemons are made of: their base, and the types of their fields."""

from typing import Annotated, ClassVar

import msgspec

PROTOCOL_VERSION = 1

Text = Annotated[str, msgspec.Meta(max_length=256)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Signed = Annotated[int, msgspec.Meta(ge=-(1 << 62), le=(1 << 62))]
Digest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
Blob = Annotated[bytes, msgspec.Meta(max_length=900_000)]


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The base of all messages.

    A ``PATIENT`` message may wait a little for others to share its frame.
    """

    PATIENT: ClassVar[bool] = False
