"""Recover the readable objects from an answer of the store that is not valid JSON.

Programs other than railsail may write entries with invalid bytes, and the store returns them as
they are. One such entry must not hide the hundreds beside it, so an answer that cannot be decoded
is searched for the objects in it.
"""

import json
import math
import re

from railsail.core.exceptions import StoreUnavailable
from railsail.platform.decoding import without_deep_containers
from railsail.store.base import UNREADABLE

# Each object in an answer starts with its metadata.
_OBJECT = re.compile(r'\{\s*"metadata"\s*:')
_NAME = re.compile(r'"name"\s*:\s*"([^"\\]+)"')
_REVISION = re.compile(r'"revision"\s*:\s*(\d{1,18})')
_AT = re.compile(r'"at"\s*:\s*(\d{1,18})')
_MORE = re.compile(r'"more"\s*:\s*true')
_GONE = re.compile(r'"gone"\s*:\s*true')
_SURROGATE = re.compile("[\ud800-\udfff]")
# How many characters before an object are searched for the ``gone`` of its change. A change has
# fewer before its object.
_LOOKBEHIND_CHARACTERS = 60
# Infinite numbers are no JSON, but some programs write them.
_DECODER = json.JSONDecoder(parse_constant=lambda name: None)


def recover_objects(body: bytes) -> bytes:
    """Return the answer ``body`` as valid JSON with all objects that can be recovered.

    An object that cannot be decoded keeps its name and revision, but has no spec. Raise
    ``StoreUnavailable`` if not even the revision of the answer can be found.
    """
    text = body.decode("utf-8", "replace")
    starts = [found.start() for found in _OBJECT.finditer(text)]
    tail = text[starts[-1] :] if starts else text
    at = _last_number(_AT, tail) or _last_number(_AT, text[: starts[0]] if starts else "")
    if at is None:
        raise StoreUnavailable("the store's answer cannot be read, nor the objects in it")
    ends = [*starts[1:], len(text)]
    items = []
    events = []
    for start, end in zip(starts, ends, strict=True):
        item = _recover_object(text[start:end])
        if item is None:
            continue
        items.append(item)
        # The ``gone`` of a change is between the end of the previous change and its object.
        before = text[max(0, start - _LOOKBEHIND_CHARACTERS) : start].rpartition("}")[2]
        events.append({"object": item, "gone": _GONE.search(before) is not None})
    more = _MORE.search(tail) is not None
    return _encode({"items": items, "events": events, "at": at, "more": more})


def recover_object(body: bytes) -> bytes:
    """Return the single object ``body`` as valid JSON, without its spec if need be.

    Raise ``StoreUnavailable`` if it has no name.
    """
    item = _recover_object(body.decode("utf-8", "replace"))
    if item is None:
        raise StoreUnavailable("the store's answer cannot be read")
    return _encode(item)


def _encode(value: object) -> bytes:
    # An escape may stand for a single surrogate, which cannot be encoded as UTF-8. A number may
    # have an exponent that is too large.
    text = json.dumps(_finite(value), ensure_ascii=False)
    return _SURROGATE.sub(UNREADABLE, text).encode()


def _finite(value: object) -> object:
    """Return ``value`` with ``None`` in place of each infinite number."""
    if isinstance(value, dict):
        return {name: _finite(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_finite(item) for item in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def _last_number(pattern: re.Pattern[str], text: str) -> int | None:
    found = pattern.findall(text)
    return int(found[-1]) if found else None


def _recover_object(text: str) -> dict[str, object] | None:
    text = without_deep_containers(text.encode()).decode()
    try:
        item, _ = _DECODER.raw_decode(text)
        return item
    except ValueError:
        name = _NAME.search(text)
        revision = _REVISION.search(text)
    if name is None:
        return None
    number = int(revision[1]) if revision else 0
    return {"metadata": {"name": name[1], "revision": number}, "spec": None}
