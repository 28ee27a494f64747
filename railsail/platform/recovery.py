"""Recover the readable objects from an answer of the store that is not valid JSON.

Programs other than railsail may write entries with invalid bytes, and the store returns them as
they are. One such entry must not hide the hundreds beside it, so an answer that cannot be decoded
is searched for the objects in it.
"""

import json
import re

from railsail.core.exceptions import StoreUnavailable
from railsail.store.base import UNREADABLE

# Each object in an answer starts with its metadata.
_OBJECT = re.compile(r'\{\s*"metadata"\s*:')
_NAME = re.compile(r'"name"\s*:\s*"([^"\\]+)"')
_REVISION = re.compile(r'"revision"\s*:\s*(\d+)')
_AT = re.compile(r'"at"\s*:\s*(\d+)')
_MORE = re.compile(r'"more"\s*:\s*true')
_GONE = re.compile(r'"gone"\s*:\s*true')
_SURROGATE = re.compile("[\ud800-\udfff]")
# How many characters before an object are searched for the ``gone`` of its change. A change has
# fewer before its object.
_LOOKBEHIND_CHARACTERS = 60
_DECODER = json.JSONDecoder()


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
    answer = {"items": items, "events": events, "at": at, "more": more}
    # An escape may stand for a single surrogate, which cannot be encoded as UTF-8.
    text = _SURROGATE.sub(UNREADABLE, json.dumps(answer, ensure_ascii=False))
    return text.encode()


def _last_number(pattern: re.Pattern[str], text: str) -> int | None:
    found = pattern.findall(text)
    return int(found[-1]) if found else None


def _recover_object(text: str) -> dict[str, object] | None:
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
