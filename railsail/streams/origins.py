"""Where event streams began: records by stream, kept for as long as their callers may return."""

import hashlib
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

# A caller resumes an interrupted stream within this many seconds of the longest time that the
# stream may take.
RETURN_SECONDS = 15.0
# The oldest records are dropped beyond this number. One takes about 300 bytes.
MAX_RECORDS = 20_000
_DIGEST_BYTES = 8
# The integers of peer messages have at most 62 bits.
_UNUSED_BITS = 2


def stream_key(workspace: str, request_id: str) -> int:
    """Return the key of the stream that the request ``request_id`` of ``workspace`` began.

    The ids of another workspace's requests have other keys, so that none finds its streams.
    """
    text = f"{workspace}\0{request_id}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES, key=b"stream").digest()
    return int.from_bytes(digest, "big") >> _UNUSED_BITS


@dataclass(frozen=True, order=True)
class StreamOrigin:
    """The pool and the software version of the replica that wrote the first event of a stream."""

    pool: str
    software_version: str


@dataclass(frozen=True)
class OriginRecord:
    """The origin of one stream, recorded at ``recorded_at`` and kept until ``expires_at``.

    Both are in seconds of the monotonic clock.
    """

    origin: StreamOrigin
    recorded_at: float
    expires_at: float


class OriginTable:
    """The origins of streams that this node knows."""

    def __init__(self) -> None:
        self._records: OrderedDict[int, OriginRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, key: int, origin: StreamOrigin, keep_seconds: float, now: float) -> None:
        """Record the origin of stream ``key`` for ``keep_seconds``.

        A stream whose origin is known keeps it: only the time for which it is kept is extended.
        """
        known = self.find(key, now)
        expires_at = now + keep_seconds
        if known is not None:
            origin = known.origin
            expires_at = max(expires_at, known.expires_at)
        self._records[key] = OriginRecord(origin, known.recorded_at if known else now, expires_at)
        self._records.move_to_end(key)
        self._drop_oldest(now)

    def find(self, key: int, now: float) -> OriginRecord | None:
        """Return the record of stream ``key``, ``None`` if there is none."""
        record = self._records.get(key)
        return record if record is not None and now < record.expires_at else None

    def of_pools(self, pools: Collection[str], now: float) -> dict[int, StreamOrigin]:
        """Return the origins of the streams that began in ``pools``."""
        return {
            key: record.origin
            for key, record in self._records.items()
            if record.origin.pool in pools and now < record.expires_at
        }

    def _drop_oldest(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if len(self._records) <= MAX_RECORDS and now < oldest.expires_at:
                return
            self._records.popitem(last=False)
