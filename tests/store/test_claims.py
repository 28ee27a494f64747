"""Claims: a key has at most one holder, also if store calls fail and two batchers compete."""

import asyncio
import contextlib
import random
import unittest
from unittest import mock

from hypothesis import given, settings

from railsail.core.clock import Clock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.logs import configure_logs
from railsail.store import claims
from railsail.store.base import StoredObject
from railsail.store.claims import Claim, ClaimAnswer, ClaimResult, ClaimShard, claim_key
from railsail.store.journal import Head, Journal
from tests.anyjson import near


class MemoryStore:
    """A store in memory that loses replies and fails at random."""

    def __init__(self, seed: int, lose: float = 0.0, fail: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.lose = lose
        self.fail = fail
        self.version = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.puts = 0

    async def get(self, kind, name):
        await self._maybe_fail()
        return self.objects.get((kind, name))

    async def put(self, kind, name, value, expected):
        await self._maybe_fail()
        stored = self.objects.get((kind, name))
        if expected != (stored.version if stored else 0):
            raise StoreConflict(name)
        self.version += 1
        self.puts += 1
        self.objects[(kind, name)] = StoredObject(kind, name, self.version, value)
        if self.rng.random() < self.lose:
            raise StoreUnavailable("the reply was lost")
        return self.version

    async def delete(self, kind, name, expected):
        await self._maybe_fail()
        self.objects.pop((kind, name), None)

    async def _maybe_fail(self):
        await asyncio.sleep(0)
        if self.rng.random() < self.fail:
            raise StoreUnavailable("down")


def claim(name: str, node: str, attempt: int = 1, release: bool = False) -> Claim:
    return Claim(claim_key("w", name), b"f" * 16, node, 1, attempt, release)


class ShardTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # The minimum interval between writes only limits the load of the store.
        self.addCleanup(
            setattr, claims, "MIN_WRITE_INTERVAL_SECONDS", claims.MIN_WRITE_INTERVAL_SECONDS
        )
        claims.MIN_WRITE_INTERVAL_SECONDS = 0.0

    def shard(self, store: MemoryStore, keep: float = 3600.0) -> ClaimShard:
        shard = ClaimShard(store, 0, keep, Clock(), random.Random(5))
        shard._backoff._initial = 0.0005
        shard._backoff._maximum = 0.001
        return shard


class ClaimTests(ShardTestCase):
    async def race(self, store: MemoryStore, keys: int) -> None:
        """Claim the same keys for three nodes by two batchers; check that each has one holder."""
        shards = [self.shard(store), self.shard(store)]
        attempts = []
        for number in range(keys):
            for node, shard in (("n0", shards[0]), ("n1", shards[1]), ("n2", shards[0])):
                attempts.append((number, shard.make(claim(f"key{number}", node))))
        answers = await asyncio.gather(*(made for _, made in attempts))
        holders = dict.fromkeys(range(keys), 0)
        for (number, _), answer in zip(attempts, answers, strict=True):
            holders[number] += answer.result is ClaimResult.CLAIMED
        self.assertEqual(set(holders.values()), {1})

    async def test_two_batchers_of_one_shard_leave_one_holder(self):
        await self.race(MemoryStore(1), keys=150)

    async def test_lost_replies_and_failures_leave_one_holder(self):
        for seed in range(5):
            await self.race(MemoryStore(seed, lose=0.3, fail=0.1), keys=100)

    async def test_store_without_conditional_writes_lets_two_hold_a_key(self):
        # Shows that the tests above can fail.
        store = MemoryStore(1)

        async def unconditional_put(kind, name, value, expected):
            await asyncio.sleep(0)
            store.version += 1
            store.objects[(kind, name)] = StoredObject(kind, name, store.version, value)
            return store.version

        store.put = unconditional_put
        with self.assertRaises(AssertionError):
            await self.race(store, keys=150)

    async def test_released_key_can_be_claimed_again(self):
        shard = self.shard(MemoryStore(1))
        await shard.make(claim("k", "n0"))
        await shard.make(claim("k", "n0", release=True))
        answer = await shard.make(claim("k", "n1"))
        self.assertIs(answer.result, ClaimResult.CLAIMED)

    async def test_only_the_holder_can_release(self):
        shard = self.shard(MemoryStore(1))
        await shard.make(claim("k", "n0"))
        await shard.make(claim("k", "n1", release=True))
        answer = await shard.make(claim("k", "n2"))
        self.assertEqual((answer.result, answer.holder.node), (ClaimResult.HELD, "n0"))

    async def test_new_batcher_reads_archived_claims(self):
        store = MemoryStore(1)
        writer = self.shard(store)
        for number in range(200):
            await writer.make(claim(f"k{number}", "n0"))
        answer = await self.shard(store).make(claim("k3", "n1"))
        self.assertIs(answer.result, ClaimResult.HELD)

    async def test_key_that_was_released_elsewhere_is_not_held_at_a_batcher_out_of_step(self):
        """Its callers were told that an earlier try had the key, though it had not run."""
        store = MemoryStore(1)
        shard, other = self.shard(store), self.shard(store)
        await shard.make(claim("k", "n0"))
        await other.make(claim("k", "n0", release=True))
        answer = await shard.make(claim("k", "n1"))
        self.assertIs(answer.result, ClaimResult.CLAIMED)

    async def test_release_at_a_batcher_that_does_not_know_the_claim_takes_effect(self):
        store = MemoryStore(1)
        shard, other = self.shard(store), self.shard(store)
        await shard.make(claim("another", "n0"))
        await other.make(claim("k", "n0", attempt=2))
        await shard.make(claim("k", "n0", attempt=2, release=True))
        answer = await other.make(claim("k", "n1"))
        self.assertIs(answer.result, ClaimResult.CLAIMED)

    async def test_claim_that_arrives_late_does_not_take_a_key_that_it_has_released(self):
        """A batcher that could not reach the store kept it, while another one was asked as well."""
        store = MemoryStore(1)
        shard, late = self.shard(store), self.shard(store)
        await shard.make(claim("k", "n0"))
        await shard.make(claim("k", "n0", release=True))
        answer = await late.make(claim("k", "n0"))
        self.assertIs(answer.result, ClaimResult.UNAVAILABLE)
        answer = await shard.make(claim("k", "n1"))
        self.assertIs(answer.result, ClaimResult.CLAIMED)

    async def test_claims_of_new_keys_read_the_journal_once(self):
        store = MemoryStore(1)
        shard = self.shard(store)
        with mock.patch.object(store, "get", wraps=store.get) as get:
            for number in range(10):
                await shard.make(claim(f"k{number}", "n0"))
                await shard.make(claim(f"k{number}", "n0", release=True))
        self.assertEqual(get.call_count, 1)

    async def test_many_claims_share_a_write(self):
        store = MemoryStore(1)
        shard = self.shard(store)
        await asyncio.gather(*(shard.make(claim(f"k{n}", "n0")) for n in range(30)))
        self.assertLessEqual(store.puts, 2)

    async def test_expired_parts_are_deleted(self):
        store = MemoryStore(1)
        shard = self.shard(store, keep=-1.0)
        for number in range(200):
            await shard.make(claim(f"k{number}", "n0"))
        self.assertLessEqual(len(store.objects), 3)


class OddJournalTests(ShardTestCase):
    """Another program has written an object of the journal."""

    def setUp(self):
        super().setUp()
        configure_logs("critical", "test")

    async def results_of(self, shard: ClaimShard, key: str) -> ClaimAnswer | None:
        """Return the answer to a claim, ``None`` if there is none while the journal is unreadable.

        The loop yields often enough for several attempts.
        """
        making = asyncio.ensure_future(shard.make(claim(key, "n1")))
        for _ in range(20):
            await asyncio.sleep(0.0005)
            if shard._writing is not None and shard._writing.done():
                break
        if not making.done():
            making.cancel()
            await asyncio.sleep(0)
            return None
        return making.result()

    async def test_no_key_is_claimed_beside_an_object_that_another_program_wrote(self):
        for name, value in (
            ("shard-00", {}),
            ("shard-00", {"next": 1 << 62, "first": 0, "tail": []}),
            ("shard-00", {"next": 70, "first": 0, "tail": [{"k": "zz"}] * 6}),
            ("shard-00", {"next": 70, "first": "0", "tail": 7}),
            ("shard-00-1", {}),
            ("shard-00-1", {"records": []}),
            ("shard-00-1", {"records": [{}] * 32}),
        ):
            with self.subTest(name=name, value=str(value)[:60]):
                store = MemoryStore(1)
                writer = self.shard(store)
                for number in range(70):
                    await writer.make(claim(f"k{number}", "n0"))
                held = store.objects["claims", name]
                store.version += 1
                odd = StoredObject("claims", name, store.version, value)
                store.objects["claims", name] = odd
                shard = self.shard(store)
                self.assertIsNone(await self.results_of(shard, "k40"))
                self.assertFalse(shard._writing.done(), "the writer has ended")
                self.assertIs(store.objects["claims", name], odd)
                # It is as it was again.
                store.objects["claims", name] = held
                answer = await asyncio.wait_for(shard.make(claim("k40", "n1")), 30)
                self.assertIs(answer.result, ClaimResult.HELD)

    async def test_journal_of_any_form_is_refused_by_one_error(self):
        records = [{"k": "00", "f": "00", "n": "n", "s": 1, "a": 1, "r": 0, "t": 1.0}]
        heads = near({"next": 1, "first": 0, "tail": records})
        parts = near({"records": records})

        @settings(max_examples=200)
        @given(heads, parts)
        def check(head, part):
            asyncio.run(read(head, part))

        async def read(head, part):
            store = MemoryStore(1)
            store.objects["claims", "shard-00"] = StoredObject("claims", "shard-00", 1, head)
            for number in range(3):
                name = f"shard-00-{number}"
                store.objects["claims", name] = StoredObject("claims", name, 1, part)
            with contextlib.suppress(StoreUnavailable):
                await self.shard(store)._read_journal()

        await asyncio.to_thread(check)


class JournalTests(unittest.IsolatedAsyncioTestCase):
    async def test_append_to_an_outdated_head_is_refused(self):
        store = MemoryStore(1)
        paused = Journal(store, "claims", "j", part_size=4)
        head = await paused.append(Head(), [{"n": 0}])
        other = Journal(store, "claims", "j", part_size=4)
        newer = await other.read_head()
        for number in range(1, 20):
            newer = await other.append(newer, [{"n": number}])
        with self.assertRaises(StoreConflict):
            await paused.append(head, [{"n": "late"}])
        self.assertEqual(await self.numbers(other, newer), list(range(20)))

    async def test_batches_larger_than_a_part_are_kept_in_order(self):
        journal = Journal(MemoryStore(1), "claims", "j", part_size=4)
        head = Head()
        for start in range(0, 60, 10):
            records = [{"n": number} for number in range(start, start + 10)]
            head = await journal.append(head, records)
        self.assertEqual(await self.numbers(journal, head), list(range(60)))

    async def numbers(self, journal: Journal, head: Head) -> list[int]:
        records = []
        for number in journal.parts(head):
            records += await journal.read_part(number)
        return [record["n"] for record in [*records, *head.tail]]


if __name__ == "__main__":
    unittest.main()
