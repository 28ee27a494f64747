"""Recover the readable objects from an answer of the store that is not valid JSON.

Programs other than railsail may write entries with invalid bytes, and the store returns them as
they are. One such entry must not hide the hundreds beside it, so an answer that cannot be decoded
is searched for the objects in it.
"""

import json
import math
import re
from dataclasses import dataclass

from railsail.core.exceptions import StoreUnavailable
from railsail.store.base import UNREADABLE
from railsail.store.decoding import is_deep, without_deep_containers

# Each object in an answer starts with its metadata.
_OBJECT = re.compile(r'\{\s*"metadata"\s*:\s*')
# What is before an object of a list or of changes, and after the one before it.
_BEFORE_ITEM = re.compile(r'(?:"items"\s*:\s*\[|\}\s*,)\s*\Z')
_BEFORE_CHANGE = re.compile(
    r'(?:"events"\s*:\s*\[|\}\s*,)\s*\{\s*(?:"gone"\s*:\s*(true|false)\s*,\s*)?"object"\s*:\s*\Z'
)
_GONE_AFTER = re.compile(r'\s*,\s*"gone"\s*:\s*(true|false)\s*\}')
_CHANGES = re.compile(r'"events"\s*:\s*\[')
_NAME = re.compile(r'"name"\s*:\s*"([^"\\]+)"')
_REVISION = re.compile(r'"revision"\s*:\s*(\d{1,18})')
_AT = re.compile(r'"at"\s*:\s*(\d{1,18})')
_MORE = re.compile(r'"more"\s*:\s*(true|false)')
_SURROGATE = re.compile("[\ud800-\udfff]")
# How many characters before an object are searched for what has to be there.
_LOOKBEHIND_CHARACTERS = 80
# How often the whole text may be decoded, in sum, to find where objects end.
MAX_PASSES = 8
# Infinite numbers are no JSON, but some programs write them.
_DECODER = json.JSONDecoder(parse_constant=lambda name: None)


@dataclass(frozen=True)
class _Found:
    """An object of an answer: where it starts and ends, and whether its change is a removal.

    ``is_whole`` is False if its own text is invalid. It then ends where the next one starts.
    """

    item: dict[str, object]
    start: int
    end: int
    is_gone: bool
    is_whole: bool


def recover_objects(body: bytes) -> bytes:
    """Return the answer ``body`` as valid JSON with all objects that can be recovered.

    An object that cannot be decoded keeps its name and revision, but has no spec. Raise
    ``StoreUnavailable`` if not even the revision of the answer can be found.
    """
    text = body.decode("utf-8", "replace")
    found = _find_objects(text)
    head = text[: found[0].start] if found else text
    # Only the last object can have text of its own in the tail, before that of the answer.
    tail = "" if not found else text[found[-1].end if found[-1].is_whole else found[-1].start :]
    at = _last(_AT, head) or _last(_AT, tail)
    if at is None:
        raise StoreUnavailable("the store's answer cannot be read, nor the objects in it")
    more = (_last(_MORE, head) or _last(_MORE, tail)) == "true"
    real = _without_copies(found, int(at))
    return _encode(
        {
            "items": [each.item for each in real],
            "events": [{"object": each.item, "gone": each.is_gone} for each in real],
            "at": int(at),
            "more": more,
        }
    )


def _find_objects(text: str) -> list[_Found]:
    """Return the objects of an answer, in order.

    The text of an object that can be decoded is passed over, since it may have other objects in its
    fields.
    """
    is_change = _CHANGES.search(text[: _first_start(text)]) is not None
    before = _BEFORE_CHANGE if is_change else _BEFORE_ITEM
    found: list[_Found] = []
    # Decoding the rest of the text again and again would take minutes for a million characters.
    budget = MAX_PASSES * len(text)
    start = _next_start(text, 0, before)
    while start is not None:
        following = _next_start(text, start + 1, before)
        item, end = _decode_at(text, start, following)
        if item is None and following is not None and budget > 0:
            # What was taken for the next object may be in a field of this one.
            budget -= len(text) - start
            item, end = _decode_at(text, start, None)
            following = _next_start(text, end, before) if end else following
        if item is None or is_deep(item):
            item = _recover_object(text[start : end or following])
        if item is not None:
            last = end or following or len(text)
            is_gone = is_change and _is_gone(text, start, last, end > 0)
            found.append(_Found(item, start, last, is_gone, end > 0))
        start = following
    return found


def _first_start(text: str) -> int:
    first = _OBJECT.search(text)
    return first.start() if first else len(text)


def _next_start(text: str, position: int, before: re.Pattern[str]) -> int | None:
    """Return where the next object starts from ``position`` on, ``None`` if there is none."""
    for candidate in _OBJECT.finditer(text, position):
        start = candidate.start()
        if before.search(text[max(0, start - _LOOKBEHIND_CHARACTERS) : start]):
            return start
    return None


def _decode_at(text: str, start: int, end: int | None) -> tuple[dict[str, object] | None, int]:
    """Return the object at ``start`` and where it ends, or ``None`` and 0 if it is invalid.

    The text from ``end`` on is left out.
    """
    try:
        item, length = _DECODER.raw_decode(text[start:end])
    except (ValueError, RecursionError):
        return None, 0
    return item, start + length


def _is_gone(text: str, start: int, end: int, is_whole: bool) -> bool:
    """Return True if the change of an object is its removal; ``gone`` is before or after it."""
    opening = _BEFORE_CHANGE.search(text[max(0, start - _LOOKBEHIND_CHARACTERS) : start])
    if opening is not None and opening[1]:
        return opening[1] == "true"
    if is_whole:
        after = _GONE_AFTER.match(text, end)
        return after is not None and after[1] == "true"
    return _last(_GONE_AFTER, text[max(start, end - _LOOKBEHIND_CHARACTERS) : end]) == "true"


def _without_copies(found: list[_Found], at: int) -> list[_Found]:
    """Return the objects without those that the text of an invalid one makes up.

    No object has a revision above that of the answer. Of several with one name and revision, one
    that can be decoded counts.
    """
    kept: dict[tuple[object, object], _Found] = {}
    for each in found:
        metadata = each.item.get("metadata")
        fields = metadata if isinstance(metadata, dict) else {}
        name, revision = fields.get("name"), fields.get("revision")
        if not isinstance(name, str) or not isinstance(revision, int) or revision > at:
            continue
        if (name, revision) not in kept or not kept[name, revision].is_whole:
            kept[name, revision] = each
    return list(kept.values())


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


def _last(pattern: re.Pattern[str], text: str) -> str | None:
    found = pattern.findall(text)
    return found[-1] if found else None


def _recover_object(text: str) -> dict[str, object] | None:
    text = without_deep_containers(text.encode()).decode()
    try:
        item, _ = _DECODER.raw_decode(text)
        return item
    except ValueError:
        metadata = _recover_metadata(text)
    return {"metadata": metadata, "spec": None} if metadata else None


def _recover_metadata(text: str) -> dict[str, object] | None:
    """Return name and revision of an object whose text is invalid, ``None`` if it has no name."""
    start = _OBJECT.match(text)
    try:
        metadata, _ = _DECODER.raw_decode(text, start.end() if start else 0)
    except ValueError:
        metadata = None
    if isinstance(metadata, dict) and isinstance(metadata.get("name"), str):
        return {"name": metadata["name"], "revision": metadata.get("revision", 0)}
    name = _NAME.search(text)
    revision = _REVISION.search(text)
    if name is None:
        return None
    return {"name": name[1], "revision": int(revision[1]) if revision else 0}
