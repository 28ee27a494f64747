"""The ledger: conditional writes, lost answers, and the entry that a successor starts from."""

import asyncio
import unittest

import msgspec
from hypothesis import given, settings

from railsail.core.clock import ManualClock
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.peers.messages import RolloutAllowance
from railsail.rollouts.ledger import KIND, Ledger, takeover_entry
from railsail.rollouts.orders import Order, State
from railsail.rollouts.stages import Stage
from tests.anyjson import near
from tests.rollouts.base import SERVICE, START, FakeStore

ORDER = Order(SERVICE, 5, "v2", 20.0)


class TakeoverEntryTests(unittest.TestCase):
    def test_first_holder_starts_with_nothing_reserved(self):
        entry = takeover_entry(None, ORDER, "a", START, True)
        self.assertEqual((entry.term, entry.reserved, entry.arrivals), (1, 0, 0))
        self.assertEqual((entry.seen, entry.ends), (1_000_000, 1_020_000))

    def test_successor_keeps_the_reserved_calls_and_the_deadline(self):
        entry = takeover_entry(None, ORDER, "a", START, True)
        spent = type(entry)(**{**_fields(entry), "reserved": 70, "stage": Stage.SHIFT})
        successor = takeover_entry(spent, ORDER, "b", START + 9, False)
        self.assertEqual((successor.holder, successor.term, successor.reserved), ("b", 2, 70))
        self.assertEqual((successor.ends, successor.stage), (entry.ends, Stage.HOLD))

    def test_new_order_starts_with_nothing_reserved_in_a_higher_term(self):
        entry = takeover_entry(None, ORDER, "a", START, True)
        ended = type(entry)(**{**_fields(entry), "reserved": 70, "state": State.ROLLED_BACK})
        other = Order(SERVICE, 9, "v3", 20.0)
        fresh = takeover_entry(ended, other, "b", START + 9, True)
        self.assertEqual((fresh.term, fresh.reserved, fresh.state), (2, 0, State.RUNNING))
        self.assertFalse(ended.same_order(other))


class OddLedgerTests(unittest.IsolatedAsyncioTestCase):
    """Another program has written the ledger."""

    async def test_what_was_read_before_is_kept(self):
        clock, store = ManualClock(START), FakeStore()
        ledger = Ledger(store, SERVICE, clock.monotonic)
        entry = takeover_entry(None, ORDER, "a", START, True)
        await ledger.read()
        await ledger.write(type(entry)(**{**_fields(entry), "reserved": 70}))
        store.set(KIND, SERVICE, {"holder": []})
        clock.advance(1.5)
        await ledger.read()
        self.assertEqual((ledger.entry.reserved, ledger.is_unreadable), (70, True))
        self.assertEqual(ledger.age, 0.0)

    async def test_ledger_of_any_form_is_read_or_refused_and_fits_into_messages(self):
        entry = msgspec.to_builtins(takeover_entry(None, ORDER, "a", START, True))

        @settings(max_examples=300)
        @given(near(entry))
        def check(value):
            asyncio.run(read(value))

        async def read(value):
            store = FakeStore()
            ledger = Ledger(store, SERVICE, ManualClock(START).monotonic)
            store.set(KIND, SERVICE, value)
            await ledger.read()
            if ledger.entry is None:
                self.assertTrue(ledger.is_unreadable)
                return
            found = ledger.entry
            numbers = (found.order, found.term, found.beat, int(found.stage), found.reserved)
            message = RolloutAllowance(SERVICE, 0, *numbers, found.ends)
            self.assertEqual(decode_frame(join_frame(1, [encode_message(message)]))[1], [message])

        await asyncio.to_thread(check)


class LedgerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(START)
        self.store = FakeStore()
        self.ledger = Ledger(self.store, SERVICE, self.clock.monotonic)
        self.other = Ledger(self.store, SERVICE, self.clock.monotonic)

    async def test_one_of_two_writers_wins(self):
        await self.ledger.read()
        await self.other.read()
        await self.ledger.write(takeover_entry(None, ORDER, "a", START, True))
        with self.assertRaises(StoreConflict):
            await self.other.write(takeover_entry(None, ORDER, "b", START, True))
        await self.other.read()
        self.assertEqual(self.other.entry.holder, "a")

    async def test_age_counts_from_the_last_change_that_this_node_saw(self):
        await self.ledger.read()
        await self.ledger.write(takeover_entry(None, ORDER, "a", START, True))
        self.clock.advance(1.5)
        await self.other.read()
        self.assertEqual((self.ledger.age, self.other.age), (1.5, 0.0))
        await self.ledger.read()
        self.assertEqual(self.ledger.age, 1.5)

    async def test_lost_answer_requires_a_read(self):
        await self.ledger.read()
        self.store.loses_answer = True
        with self.assertRaises(StoreUnavailable):
            await self.ledger.write(takeover_entry(None, ORDER, "a", START, True))
        self.assertTrue(self.ledger.needs_read)
        await self.ledger.read()
        self.assertFalse(self.ledger.needs_read)
        self.assertEqual(self.ledger.entry.holder, "a")

    async def test_delayed_write_fails_after_a_write_of_another_node(self):
        await self.ledger.read()
        self.store.holds_back = True
        with self.assertRaises(StoreUnavailable):
            await self.ledger.write(takeover_entry(None, ORDER, "a", START, True))
        await self.other.read()
        await self.other.write(takeover_entry(None, ORDER, "b", START, True))
        self.store.release()
        self.assertEqual(self.store.ledger()["holder"], "b")

    async def test_invalid_entry_is_overwritten(self):
        self.store.set(KIND, SERVICE, {"holder": 7})
        await self.ledger.read()
        self.assertIsNone(self.ledger.entry)
        await self.ledger.write(takeover_entry(None, ORDER, "a", START, True))
        self.assertEqual(self.store.ledger()["holder"], "a")


def _fields(entry) -> dict:
    return {name: getattr(entry, name) for name in entry.__struct_fields__}


if __name__ == "__main__":
    unittest.main()
