"""Fingerprints: hashes that identify repeats of a request.

The same request may arrive several times: callers retry after a refusal or a failure, and several
callers may send the same request. Each arrival has its own request id, so that repeats can only be
recognized by their contents.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# The bits of a fingerprint. It fits into the integers of peer messages. Among a billion different
# requests, the probability that any two share a fingerprint is 1 in 10.
FINGERPRINT_BITS = 62
_DIGEST_BYTES = 8
# The number of routes whose fingerprints are cached.
MAX_CACHED_ROUTES = 4096


def request_fingerprint(head: Iterable[str], body: bytes) -> int:
    """Return the fingerprint of a request, which is never 0.

    ``head`` holds its workspace, method, host, and path with query. Headers are left out, since
    some differ between repeats: the deadline, or the event after which a stream is resumed.
    """
    digest = hashlib.blake2b("\0".join(head).encode(), digest_size=_DIGEST_BYTES, key=b"head")
    digest.update(b"\0")
    digest.update(body)
    return _to_fingerprint(digest.digest())


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def route_fingerprint(name: str) -> int:
    """Return the fingerprint of the route ``name``, which is never 0."""
    return _to_fingerprint(
        hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES, key=b"route").digest()
    )


def _to_fingerprint(digest: bytes) -> int:
    return (int.from_bytes(digest, "big") >> (8 * _DIGEST_BYTES - FINGERPRINT_BITS)) or 1


def fingerprint_name(value: int) -> str:
    """Return a fingerprint as logs and the operators' interface show it: 16 hexadecimal digits."""
    return f"{value:016x}"
