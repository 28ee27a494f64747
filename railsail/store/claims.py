"""Claims of idempotency keys: a key is claimed in the store before its request is sent.

Keys are hashed to shards, and each shard is a journal. Rendezvous hashing over the members names
one daemon that writes the claims of a shard, in batches. Only the conditional update of the journal
makes this safe: two daemons that both write a shard cannot both claim a key. Each record holds the
attempt that made it, so that a write whose reply was lost is found when the journal is read again.
"""

import asyncio
import enum
import hashlib
import random
from dataclasses import dataclass, field

import msgspec

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import get_logger
from railsail.store.base import Store
from railsail.store.journal import Backoff, Head, Journal, Record, UnreadableJournal

KIND = "claims"
SHARD_COUNT = 16
RECORDS_PER_PART = 32
MAX_BATCH_SIZE = 32
# Upper bound for all shards together; the store handles about a hundred writes a second.
MAX_WRITES_PER_SECOND = 40.0
MIN_WRITE_INTERVAL_SECONDS = SHARD_COUNT / MAX_WRITES_PER_SECOND
KEY_BYTES = 16
MAX_PENDING_CLAIMS = 10_000


class ClaimResult(enum.IntEnum):
    """The result of a claim or of its release.

    ``HELD`` means that another claim holds the key.
    """

    CLAIMED = 0
    HELD = 1
    UNAVAILABLE = 2
    RELEASED = 3


@dataclass(frozen=True)
class Claim:
    """A claim of a key by a request, or its release.

    ``key`` is the digest of the workspace and its idempotency key, and ``fingerprint`` that of the
    request. ``attempt`` is unique among the claims of the same ``node`` and ``start_id``; the
    release of a claim has the same one.
    """

    key: bytes
    fingerprint: bytes
    node: str
    start_id: int
    attempt: int
    release: bool = False

    @property
    def owner(self) -> tuple[str, int, int]:
        """Return the id that distinguishes this claim from others of the same key."""
        return (self.node, self.start_id, self.attempt)


class ClaimAnswer(msgspec.Struct, frozen=True):
    """The result of a claim, and the claim that holds the key, if any."""

    result: ClaimResult
    holder: Claim | None = None


def claim_key(workspace: str, key: str) -> bytes:
    """Return the digest of a workspace's idempotency ``key``."""
    return hashlib.blake2b(f"{workspace}\0{key}".encode(), digest_size=KEY_BYTES).digest()


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return the digest of a request, which detects a different request under the same key."""
    head = f"{method} {path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=KEY_BYTES).digest()


def shard_of(key: bytes) -> int:
    """Return the shard of a key's digest."""
    return key[0] % SHARD_COUNT


@dataclass
class _Pending:
    claim: Claim
    answer: asyncio.Future = field(default_factory=asyncio.Future)


class ClaimShard:
    """The claims of one shard, which are written to its journal in batches.

    They are kept for at least ``keep_seconds``.
    """

    def __init__(
        self, store: Store, number: int, keep_seconds: float, clock: Clock, rng: random.Random
    ) -> None:
        self._journal = Journal(store, KIND, f"shard-{number:02d}", RECORDS_PER_PART)
        self._keep_seconds = keep_seconds
        self._clock = clock
        self._backoff = Backoff(rng, 0.05, 2.0)
        self._head: Head | None = None
        # By the number of an archived part that was read: the time of its last record.
        self._part_end_times: dict[int, float] = {}
        # By key: the last record of the journal, as its time and claim.
        self._index: dict[bytes, tuple[float, Claim]] = {}
        self._pending: list[_Pending] = []
        self._writing: asyncio.Task | None = None
        # When the journal was last written, or read again for an answer.
        self._last_call = 0.0

    async def make(self, claim: Claim) -> ClaimAnswer:
        """Claim a key or release it; return once this is stored, or another claim holds the key."""
        if len(self._pending) >= MAX_PENDING_CLAIMS:
            return ClaimAnswer(ClaimResult.UNAVAILABLE)
        pending = _Pending(claim)
        self._pending.append(pending)
        if self._writing is None or self._writing.done():
            self._writing = asyncio.ensure_future(self._write_pending())
        return await pending.answer

    async def _write_pending(self) -> None:
        while self._pending:
            wait = self._last_call + MIN_WRITE_INTERVAL_SECONDS - self._clock.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            batch = self._pending[:MAX_BATCH_SIZE]
            try:
                await self._write(batch)
                self._backoff.reset()
            except StoreConflict:
                # Another daemon wrote this shard; its records are read before the next attempt.
                self._head = None
            except StoreUnavailable as problem:
                get_logger().info("claims could not be stored", reason=str(problem))
                # The write may have taken effect. The journal is read again, and if it holds the
                # claims, they are answered from the index.
                self._head = None
                self._drop_answered()
                await asyncio.sleep(self._backoff.pause())

    async def _write(self, batch: list[_Pending]) -> None:
        was_read_earlier = self._head is not None
        await self._read_journal()
        if was_read_earlier and any(self._rests_on_others(pending) for pending in batch):
            # Another daemon may have written this shard since. A claim that was released there
            # would be answered as held, and a release would not be written.
            self._last_call = self._clock.monotonic()
            self._head = None
            await self._read_journal()
        records: list[Record] = []
        batch_claims: dict[bytes, Claim] = {}
        for pending in batch:
            if pending.answer.done() or self._try_answer(pending, batch_claims):
                continue
            batch_claims[pending.claim.key] = pending.claim
            records.append(_to_record(pending.claim, self._clock.wall()))
        if records:
            self._last_call = self._clock.monotonic()
            self._head = await self._journal.append(self._head, records)
            self._index_records(records)
            for number in self._journal.parts(self._head):
                self._part_end_times.setdefault(number, self._clock.wall())
        for pending in batch:
            if not pending.answer.done():
                self._try_answer(pending, {})
        self._pending = [pending for pending in self._pending if not pending.answer.done()]
        await self._drop_expired_parts()

    def _try_answer(self, pending: _Pending, batch_claims: dict[bytes, Claim]) -> bool:
        """Answer ``pending`` if the index decides it; return True if nothing must be written now.

        ``batch_claims`` holds the claims that are already part of the batch, by key.
        """
        if pending.claim.key in batch_claims:
            # The batch has another claim of this key. This one is decided after it was written.
            return True
        answer = self._find_answer(pending.claim)
        if answer is None:
            return False
        pending.answer.set_result(answer)
        return True

    def _find_answer(self, claim: Claim) -> ClaimAnswer | None:
        """Return the answer to ``claim`` by the index, ``None`` if it has to be written."""
        known = self._index.get(claim.key)
        current = known[1] if known else None
        if claim.release:
            if current is None or current.owner != claim.owner or current.release:
                return ClaimAnswer(ClaimResult.RELEASED)
            return None
        own = current is not None and current.owner == claim.owner
        if own and current.release:
            # It arrives late, by way of another batcher. Nobody would release it again.
            return ClaimAnswer(ClaimResult.UNAVAILABLE)
        if current is None or current.release:
            return None
        return ClaimAnswer(ClaimResult.CLAIMED if own else ClaimResult.HELD, current)

    def _rests_on_others(self, pending: _Pending) -> bool:
        """Return True if the answer to ``pending`` rests on what other attempts wrote, or did not.

        An attempt that is written itself is safe from outdated records: the write is conditional.
        """
        answer = self._find_answer(pending.claim)
        return answer is not None and answer.result is not ClaimResult.CLAIMED

    async def _read_journal(self) -> None:
        if self._head is not None:
            return
        head = await self._journal.read_head()
        for number in self._journal.parts(head):
            if number not in self._part_end_times:
                records = await self._journal.read_part(number)
                self._index_records(records)
                self._part_end_times[number] = _from_record(records[-1])[0]
        self._index_records(head.tail)
        self._head = head

    def _index_records(self, records) -> None:
        for record in records:
            # Records are in the order of the journal: the last one of a key is in force.
            recorded_at, claim = _from_record(record)
            self._index[claim.key] = (recorded_at, claim)

    async def _drop_expired_parts(self) -> None:
        expired_before = self._clock.wall() - self._keep_seconds
        first_part = self._head.first_part
        while self._part_end_times.get(first_part, expired_before) < expired_before:
            first_part += 1
        if first_part == self._head.first_part:
            return
        self._head = await self._journal.drop_parts(self._head, first_part)
        self._part_end_times = {
            n: end for n, end in self._part_end_times.items() if n >= first_part
        }
        for key, (recorded_at, _) in list(self._index.items()):
            if recorded_at < expired_before:
                del self._index[key]

    def _drop_answered(self) -> None:
        # A requester that gave up by its own timeout has cancelled the future of the answer.
        self._pending = [pending for pending in self._pending if not pending.answer.done()]


def _to_record(claim: Claim, recorded_at: float) -> Record:
    return {
        "k": claim.key.hex(),
        "f": claim.fingerprint.hex(),
        "n": claim.node,
        "s": claim.start_id,
        "a": claim.attempt,
        "r": int(claim.release),
        "t": round(recorded_at, 3),
    }


class _StoredClaim(msgspec.Struct, frozen=True):
    k: str
    f: str
    n: str
    s: int
    a: int
    r: int
    t: float


def _from_record(record: Record) -> tuple[float, Claim]:
    try:
        stored = msgspec.convert(record, _StoredClaim)
        key, request = bytes.fromhex(stored.k), bytes.fromhex(stored.f)
    except ValueError as problem:
        # It may be the claim of any key.
        raise UnreadableJournal(f"a claim cannot be read: {problem}") from None
    return stored.t, Claim(key, request, stored.n, stored.s, stored.a, bool(stored.r))
