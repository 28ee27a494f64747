"""Fingerprints: hashes that identify repeats of a request, and parts that prompts share.

The same request may arrive several times: callers retry after a refusal or a failure, and several
callers may send the same request. Each arrival has its own request id, so that repeats can only be
recognized by their contents.

Fingerprints of requests and of parts of prompts are kept in the same places. The lowest bits tell
them apart.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# The bits of a fingerprint. It fits into the integers of peer messages. Among a billion different
# requests, the probability that any two share a fingerprint is 1 in 10.
FINGERPRINT_BITS = 62
_DIGEST_BYTES = 8
# The two kinds of things that have fingerprints.
REQUEST = "request"
PART = "part"
# The lowest bits of the fingerprint of a part; no fingerprint of a request ends in them.
_PART_TAG = 0x9A57
_TAG_BITS = 16
_TAG_MASK = (1 << _TAG_BITS) - 1
# The number of routes whose fingerprints are cached.
MAX_CACHED_ROUTES = 4096
# The number of parts whose fingerprints are cached. The last part of each prompt is new, so that
# shared ones are evicted unless the cache holds the parts of a few seconds.
MAX_CACHED_PARTS = 8192


def request_fingerprint(head: Iterable[str], body: bytes) -> int:
    """Return the fingerprint of a request, which is never 0.

    ``head`` holds its workspace, method, host, and path with query. Headers are left out, since
    some differ between repeats: the deadline, or the event after which a stream is resumed.
    """
    digest = hashlib.blake2b("\0".join(head).encode(), digest_size=_DIGEST_BYTES, key=b"head")
    digest.update(b"\0")
    digest.update(body)
    value = _to_fingerprint(digest.digest())
    return value ^ 1 if is_part(value) else value


@lru_cache(maxsize=MAX_CACHED_PARTS)
def part_fingerprint(part: str) -> int:
    """Return the fingerprint of the part of a prompt whose id is ``part``."""
    digest = hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES, key=b"part").digest()
    return _to_fingerprint(digest) & ~_TAG_MASK | _PART_TAG


def is_part(value: int) -> bool:
    """Return True if ``value`` is the fingerprint of a part of a prompt."""
    return value & _TAG_MASK == _PART_TAG


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def route_fingerprint(name: str) -> int:
    """Return the fingerprint of the route ``name``, which is never 0."""
    return _to_fingerprint(
        hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES, key=b"route").digest()
    )


def _to_fingerprint(digest: bytes) -> int:
    return (int.from_bytes(digest, "big") >> (8 * _DIGEST_BYTES - FINGERPRINT_BITS)) or 1


def fingerprint_kind(value: int) -> str:
    """Return how metrics, logs and the operators' interface name what ``value`` stands for."""
    return PART if is_part(value) else REQUEST


def fingerprint_name(value: int) -> str:
    """Return a fingerprint as logs and the operators' interface show it: 16 hexadecimal digits."""
    return f"{value:016x}"
