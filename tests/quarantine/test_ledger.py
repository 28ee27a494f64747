"""The stored quarantine: another program may have written it, in part or as a whole."""

import asyncio
import random
import unittest
from unittest.mock import Mock

from hypothesis import given, settings

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.logs import configure_logs
from railsail.core.metrics import Metrics
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.quarantine import ledger as module
from railsail.quarantine.crashes import ReplicaCrash
from railsail.quarantine.ledger import KIND, OBJECT_NAME, QuarantineLedger
from railsail.quarantine.service import Quarantine
from railsail.store.base import Listing, StoredObject
from tests.anyjson import near
from tests.rollouts.base import FakeStore

SOUND = {"replica": "i-1", "life": 1, "at": 1_800_000_000_000, "requests": ["0f"], "cleared": []}


class StoredQuarantineTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        configure_logs("critical", "test")

    def make(self, isolated: bool = False) -> None:
        self.store = FakeStore()
        self.sent = []
        clock = Clock()
        self.quarantine = Quarantine(
            lambda message, source: self.sent.append(message),
            Mock(),
            Kernel(clock, random.Random(1), EventLog("n", clock), Metrics()),
        )
        self.ledger = QuarantineLedger(
            self.store, self.quarantine, lambda: isolated, clock, random.Random(1)
        )

    def listed(self, value: dict) -> None:
        self.ledger.listed(Listing(9, (StoredObject(KIND, OBJECT_NAME, 1, value),)))

    async def test_value_of_any_form_hides_no_crash_here_or_at_peers(self):
        @settings(max_examples=300)
        @given(near(SOUND))
        def check(odd):
            self.make()
            self.listed({"ends": [odd, SOUND | {"replica": "i-2"}, odd]})
            self.assertIn("i-2", [crash.replica for crash in self.quarantine.table.crashes()])
            for message in (*self.sent, self.quarantine._to_update(self.crashes())):
                decode_frame(join_frame(1, [encode_message(message)]))

        check()

    def crashes(self) -> list[ReplicaCrash]:
        return self.quarantine.table.crashes()

    async def test_crashes_observed_here_are_written_again_over_a_value_that_is_none(self):
        self.make(isolated=True)
        crash = ReplicaCrash("i-1", 1, Clock().monotonic(), frozenset({15}))
        self.quarantine.record_crash(crash)
        await asyncio.sleep(3 * module.BATCH_SECONDS)
        self.assertEqual(len(self.store.objects[KIND, OBJECT_NAME].value["ends"]), 1)
        for odd in ({}, {"ends": 7}, {"ends": [[]]}):
            with self.subTest(odd=odd):
                self.store.set(KIND, OBJECT_NAME, odd)
                self.listed(odd)
                await asyncio.sleep(3 * module.BATCH_SECONDS)
                (stored,) = self.store.objects[KIND, OBJECT_NAME].value["ends"]
                self.assertEqual(stored["replica"], "i-1")


if __name__ == "__main__":
    unittest.main()
