"""Encoding of messages as CBOR frames.

A frame is an array: the sender's logical time in milliseconds, modulo 65,536, then the messages.
The times keep events of several nodes in causal order when their logs are merged into one time
line.
"""

import typing

import cbor2
import msgspec

from railsail.core.exceptions import ProtocolError
from railsail.peers.base import Message
from railsail.peers.handshake import AnyHandshake
from railsail.peers.levels import NEWEST, to_array
from railsail.peers.messages import AnyMessage

MAX_FRAME_BYTES = 1 << 20
MAX_DEPTH = 8
TIME_MODULUS = 1 << 16


class _Messages(msgspec.Struct, array_like=True):
    """The messages of a frame.

    This is a struct because ``msgspec`` prepares the types of a struct once, but those of a union
    at each conversion.
    """

    all: list[AnyMessage]


class InvalidMessage(msgspec.Struct, frozen=True):
    """A message that is out of bounds or not known: its kind, and what is wrong."""

    kind: str
    problem: str


_KINDS = {kind.__struct_config__.tag: kind.__name__ for kind in typing.get_args(AnyMessage)}


def encode_message(message: Message, level: int = NEWEST) -> bytes:
    """Return ``message`` as one CBOR item that peers of ``level`` can read."""
    if level < NEWEST:
        return cbor2.dumps(to_array(message, level))
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def join_frame(time_ms: int, encoded: list[bytes]) -> bytes:
    """Return the frame of messages that were encoded by ``encode_message``."""
    head = _array_head(len(encoded) + 1)
    return head + cbor2.dumps(time_ms % TIME_MODULUS) + b"".join(encoded)


def _array_head(length: int) -> bytes:
    # Built by hand (RFC 8949, section 3), because the items that follow it are already encoded.
    if length < 24:
        return bytes((0x80 | length,))
    return b"\x99" + length.to_bytes(2, "big")


def decode_frame(data: bytes) -> tuple[int, list[AnyMessage]]:
    """Return the time and the messages of a frame; raise ``ProtocolError`` if it is invalid."""
    items = load_frame(data)
    return items[0] % TIME_MODULUS, parse_messages(items)


def load_frame(data: bytes) -> list:
    """Return the time and the raw messages of a frame as one list.

    Raise ``ProtocolError`` if ``data`` is not a frame. The messages are not checked.
    """
    items = _load(data)
    if not isinstance(items, list) or not items or not isinstance(items[0], int):
        raise ProtocolError("a frame must be an array that begins with a time")
    return items


def parse_messages(items: list) -> list[AnyMessage]:
    """Return the messages of a loaded frame; raise ``ProtocolError`` if one of them is invalid."""
    try:
        return msgspec.convert([items[1:]], _Messages).all
    except msgspec.ValidationError as problem:
        raise ProtocolError(f"invalid message: {problem}") from None


def parse_each(items: list) -> list[AnyMessage | InvalidMessage]:
    """Return the messages of a loaded frame, with an ``InvalidMessage`` for each invalid one."""
    return [_parse_one(item) for item in items[1:]]


def _parse_one(item: object) -> AnyMessage | InvalidMessage:
    try:
        return msgspec.convert([[item]], _Messages).all[0]
    except msgspec.ValidationError as problem:
        number = item[0] if isinstance(item, list) and item else None
        kind = _KINDS.get(number, "unknown") if isinstance(number, int) else "unknown"
        return InvalidMessage(kind, str(problem))


def decode_handshake(data: bytes) -> AnyHandshake:
    """Return a message of the handshake; raise ``ProtocolError`` if it is invalid."""
    try:
        return msgspec.convert(_load(data), AnyHandshake)
    except msgspec.ValidationError as problem:
        raise ProtocolError(f"invalid handshake: {problem}") from None


def _load(data: bytes) -> object:
    if not isinstance(data, bytes) or len(data) > MAX_FRAME_BYTES:
        raise ProtocolError("a frame must be binary and not too long")
    try:
        return cbor2.loads(data, max_depth=MAX_DEPTH, allow_indefinite=False)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError, OverflowError) as problem:
        raise ProtocolError(f"not CBOR: {problem}") from None
