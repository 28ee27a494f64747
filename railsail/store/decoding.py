"""Decode what is in the store, where any program may have written anything.

Whatever the bytes are, decoding ends with a value or with ``UndecodableObject``. In particular,
containers that are nested deeper than any decoder can follow are left out, so that an object that
has them in a field of no meaning is read, and so are the objects beside it.
"""

import re
from typing import Any, TypeVar

import msgspec

from railsail.core.exceptions import RailsailError

# Objects of platforms and of railsail are nested less than half as deeply.
MAX_DEPTH = 64
# Strings are matched so that brackets in them do not count. One that is not closed extends to the
# end: otherwise it would be searched again from each quotation mark that it has.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[\[{]+|[\]}]+', re.DOTALL)
_LEFT_OUT = b"null"

T = TypeVar("T")


class UndecodableObject(RailsailError):
    """A value in the store is not valid, or not of the form that it should have."""


def decode(data: bytes, shape: type[T] | Any) -> T:
    """Return ``data`` as a value of ``shape``; raise ``UndecodableObject`` if it is none.

    Containers below ``MAX_DEPTH`` are taken for ``null`` if there are more than can be decoded.
    """
    try:
        return msgspec.json.decode(data, type=shape)
    except ValueError as problem:
        raise UndecodableObject(str(problem)) from None
    except RecursionError:
        pass
    try:
        return msgspec.json.decode(without_deep_containers(data), type=shape)
    except (ValueError, RecursionError) as problem:
        raise UndecodableObject(f"nested too deeply: {problem}") from None


def decode_plain(data: bytes) -> dict[str, object]:
    """Return an object as plain JSON data of at most ``MAX_DEPTH`` levels.

    Raise ``UndecodableObject`` if it is none.
    """
    value = decode(data, dict[str, object])
    if is_deep(value):
        # What handles the value may not be able to follow it.
        raise UndecodableObject(f"nested deeper than {MAX_DEPTH} levels")
    return value


def is_deep(value: object) -> bool:
    """Return True if ``value`` has more than ``MAX_DEPTH`` levels."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [item for container in level for item in _items(container)]
        if not level:
            return False
    return True


def _items(value: object) -> list[object]:
    """Return the items of a container, none if ``value`` is no container."""
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def without_deep_containers(data: bytes) -> bytes:
    """Return the JSON ``data`` with ``null`` in place of each container below ``MAX_DEPTH``."""
    kept: list[bytes] = []
    depth = 0
    # Where the part of ``data`` starts that is kept next.
    start = 0
    for token in _TOKEN.finditer(data):
        length = token.end() - token.start()
        first = data[token.start()]
        if first in b"[{":
            if depth <= MAX_DEPTH < depth + length:
                kept += [data[start : token.start() + MAX_DEPTH - depth], _LEFT_OUT]
            depth += length
        elif first in b"]}":
            if depth - length <= MAX_DEPTH < depth:
                start = token.end() - (MAX_DEPTH - (depth - length))
            depth -= length
    if depth <= MAX_DEPTH:
        kept.append(data[start:])
    return b"".join(kept)
