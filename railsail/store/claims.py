"""Claims of idempotency keys: a key is claimed in the store before its request is sent.

Keys are spread over shards, each a journal. The daemon that hashing names for a shard writes its
claims, many in one conditional update; safety rests on that update alone, never on who believes
itself to be the one. Each record carries the attempt that made it, so that a write whose reply was
lost is found when the journal is read again.
"""

import asyncio
import enum
import hashlib
import random
from dataclasses import dataclass, field

import msgspec

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.store.base import Store
from railsail.store.journal import Backoff, Head, Journal, Record

KIND = "claims"
SHARDS = 16
PART_SIZE = 32
MOST_IN_BATCH = 32
# The shards together write at most this often; the store takes about a hundred writes a second.
WRITES_PER_SECOND = 40.0
SPACING_SECONDS = SHARDS / WRITES_PER_SECOND
KEY_BYTES = 16
MOST_PENDING = 10_000


class ClaimResult(enum.IntEnum):
    """How a claim ended."""

    CLAIMED = 0
    HELD = 1
    UNAVAILABLE = 2
    RELEASED = 3


@dataclass(frozen=True)
class Claim:
    """One claim: the digest of the key, that of the request, and who made it.

    ``attempt`` is a number that no other claim of the same ``node`` and ``start_id`` has.
    """

    key: bytes
    fingerprint: bytes
    node: str
    start_id: int
    attempt: int
    release: bool = False

    @property
    def owner(self) -> tuple[str, int, int]:
        """Return what tells this claim from any other of the same key."""
        return (self.node, self.start_id, self.attempt)


class ClaimAnswer(msgspec.Struct, frozen=True):
    """The result of a claim, and the claim that stands."""

    result: ClaimResult
    holder: Claim | None = None


def claim_key(workspace: str, key: str) -> bytes:
    """Return the digest of a workspace's idempotency ``key``."""
    return hashlib.blake2b(f"{workspace}\0{key}".encode(), digest_size=KEY_BYTES).digest()


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return the digest of a request, by which another one under the same key is told apart."""
    head = f"{method} {path}\0".encode()
    return hashlib.blake2b(head + body, digest_size=KEY_BYTES).digest()


def shard_of(key: bytes) -> int:
    """Return the shard of a key's digest."""
    return key[0] % SHARDS


@dataclass
class _Pending:
    claim: Claim
    answer: asyncio.Future = field(default_factory=asyncio.Future)


class ClaimShard:
    """Make the claims of one shard, in batches."""

    def __init__(
        self, store: Store, number: int, keep_seconds: float, clock: Clock, rng: random.Random
    ) -> None:
        self._journal = Journal(store, KIND, f"shard-{number:02d}", PART_SIZE)
        self._keep_seconds = keep_seconds
        self._clock = clock
        self._backoff = Backoff(rng, 0.05, 2.0)
        self._head: Head | None = None
        # The time of the last record of each archived part that was read, by part number.
        self._part_ends: dict[int, float] = {}
        self._index: dict[bytes, tuple[float, Claim]] = {}
        self._pending: list[_Pending] = []
        self._running: asyncio.Task | None = None
        self._last_write = 0.0

    async def make(self, claim: Claim) -> ClaimAnswer:
        """Make ``claim``, or release it; return when the store has it, or another one stands."""
        if len(self._pending) >= MOST_PENDING:
            return ClaimAnswer(ClaimResult.UNAVAILABLE)
        pending = _Pending(claim)
        self._pending.append(pending)
        if self._running is None or self._running.done():
            self._running = asyncio.ensure_future(self._work())
        return await pending.answer

    async def _work(self) -> None:
        while self._pending:
            wait = self._last_write + SPACING_SECONDS - self._clock.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            batch = self._pending[:MOST_IN_BATCH]
            try:
                await self._write(batch)
                self._backoff.reset()
            except StoreConflict:
                # Another daemon wrote this shard; what it wrote is read before the next try.
                self._head = None
            except StoreUnavailable:
                # The write may have taken effect: the journal tells, and the index then shows it.
                self._head = None
                self._drop_abandoned()
                await asyncio.sleep(self._backoff.pause())

    async def _write(self, batch: list[_Pending]) -> None:
        await self._refresh()
        records: list[Record] = []
        made: dict[bytes, Claim] = {}
        for pending in batch:
            if pending.answer.done() or self._settle(pending, made):
                continue
            made[pending.claim.key] = pending.claim
            records.append(_to_record(pending.claim, self._clock.wall()))
        if records:
            self._last_write = self._clock.monotonic()
            self._head = await self._journal.append(self._head, records)
            self._enter(records)
            for number in self._journal.parts(self._head):
                self._part_ends.setdefault(number, self._clock.wall())
        for pending in batch:
            if not pending.answer.done():
                self._settle(pending, {})
        self._pending = [pending for pending in self._pending if not pending.answer.done()]
        await self._expire()

    def _settle(self, pending: _Pending, made: dict[bytes, Claim]) -> bool:
        """Answer ``pending`` if the index decides it; say whether nothing is to be written now."""
        claim = pending.claim
        if claim.key in made:
            # Another claim of the key is in this batch; this one is decided after it.
            return True
        known = self._index.get(claim.key)
        standing = known[1] if known else None
        if claim.release:
            if standing is None or standing.owner != claim.owner or standing.release:
                pending.answer.set_result(ClaimAnswer(ClaimResult.RELEASED))
                return True
            return False
        if standing is None or standing.release:
            return False
        own = standing.owner == claim.owner
        result = ClaimResult.CLAIMED if own else ClaimResult.HELD
        pending.answer.set_result(ClaimAnswer(result, standing))
        return True

    async def _refresh(self) -> None:
        if self._head is not None:
            return
        head = await self._journal.read_head()
        for number in self._journal.parts(head):
            if number not in self._part_ends:
                records = await self._journal.read_part(number)
                self._enter(records)
                self._part_ends[number] = records[-1]["t"] if records else 0.0
        self._enter(head.tail)
        self._head = head

    def _enter(self, records) -> None:
        for record in records:
            # Records come in the order of the journal, so that the last one of a key stands.
            at, claim = _from_record(record)
            self._index[claim.key] = (at, claim)

    async def _expire(self) -> None:
        before = self._clock.wall() - self._keep_seconds
        first = self._head.first
        while self._part_ends.get(first, before) < before:
            first += 1
        if first == self._head.first:
            return
        self._head = await self._journal.drop_parts(self._head, first)
        self._part_ends = {n: end for n, end in self._part_ends.items() if n >= first}
        for key, (at, _) in list(self._index.items()):
            if at < before:
                del self._index[key]

    def _drop_abandoned(self) -> None:
        # Those who asked have given up by a timeout of their own, which cancels the answer.
        self._pending = [pending for pending in self._pending if not pending.answer.done()]


def _to_record(claim: Claim, at: float) -> Record:
    return {
        "k": claim.key.hex(),
        "f": claim.fingerprint.hex(),
        "n": claim.node,
        "s": claim.start_id,
        "a": claim.attempt,
        "r": int(claim.release),
        "t": round(at, 3),
    }


def _from_record(record: Record) -> tuple[float, Claim]:
    claim = Claim(
        bytes.fromhex(record["k"]),
        bytes.fromhex(record["f"]),
        record["n"],
        record["s"],
        record["a"],
        bool(record["r"]),
    )
    return record["t"], claim
