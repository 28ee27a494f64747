"""What a request has in common with its repeats, which bear other ids.

Callers send the same request again: after a refusal, after a failure, or since many ask for the
same. Each arrival has an id of its own, so that only what is asked for tells that two are alike.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# A fingerprint has so many bits: it fits into the whole numbers of messages, and among a billion
# requests two that differ share one with a probability of 1 in 10.
FINGERPRINT_BITS = 62
_DIGEST_BYTES = 8
# Routes whose fingerprint is remembered.
MOST_ROUTES = 4096


def request_fingerprint(head: Iterable[str], body: bytes) -> int:
    """Return the fingerprint of a request, which is never 0.

    ``head`` are its workspace, method, host and path with query. Headers are left out: they differ
    between repeats, such as the deadline or the event after which a stream is resumed.
    """
    digest = hashlib.blake2b("\0".join(head).encode(), digest_size=_DIGEST_BYTES, key=b"head")
    digest.update(b"\0")
    digest.update(body)
    return _to_fingerprint(digest.digest())


@lru_cache(maxsize=MOST_ROUTES)
def route_fingerprint(name: str) -> int:
    """Return the fingerprint of the route ``name``, which is never 0."""
    return _to_fingerprint(
        hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES, key=b"route").digest()
    )


def _to_fingerprint(digest: bytes) -> int:
    return (int.from_bytes(digest, "big") >> (8 * _DIGEST_BYTES - FINGERPRINT_BITS)) or 1


def fingerprint_name(value: int) -> str:
    """Return how logs and operators name a fingerprint."""
    return f"{value:016x}"
