"""What is put down to the crash of a replica that broke off its calls."""

import random
import unittest
from dataclasses import dataclass
from unittest import mock

from railsail.core.events import EventLog
from railsail.core.fingerprints import part_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.quarantine import observer
from railsail.quarantine.observer import EndObserver
from tests.quarantine.test_service import Links

REQUEST, OTHER = 7, 8
BAD, SHARED = part_fingerprint("bad"), part_fingerprint("c0de")


@dataclass
class Replica:
    name: str = "i-1"
    endpoint: str = "127.0.0.1:1"
    born: int = 0


class Directory:
    def get(self, name: str) -> Replica:
        return Replica()

    def on_rebirth(self, listener) -> None:
        pass


class Quarantine:
    """Remembers the crashes that it was told of."""

    def __init__(self) -> None:
        self.blamed: list[frozenset[int]] = []
        self.times: list[float] = []

    def record_crash(self, crash) -> None:
        self.blamed.append(crash.fingerprints)
        self.times.append(crash.at)


class CrashTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = clock = Links().clock
        kernel = Kernel(clock, random.Random(1), EventLog("a", clock), Metrics())
        self.running: set[int] = set()
        self.survivors: set[int] = set()
        self.quarantine = Quarantine()
        self.observer = EndObserver(
            self.quarantine,
            Directory(),
            lambda replica, before: self.running,
            lambda replica, at: self.survivors,
            kernel,
        )
        self.addCleanup(self.observer.stop)
        self.refuses = mock.AsyncMock(return_value=True)
        patch = mock.patch.object(observer, "refuses_connections", self.refuses)
        patch.start()
        self.addCleanup(patch.stop)

    async def check(self) -> None:
        for task in list(self.observer._tasks._tasks):
            await task

    async def test_parts_that_ran_on_the_replica_are_left_out(self):
        self.running = {OTHER, SHARED}
        self.observer.record_broken_call("i-1", (REQUEST, BAD), ())
        self.assertTrue(self.observer.is_probing((BAD,)))
        await self.check()
        self.assertEqual(self.quarantine.blamed, [{REQUEST, OTHER, BAD, SHARED}])
        self.assertFalse(self.observer.is_probing((BAD,)))

    async def test_part_of_an_answer_that_went_on_for_long_is_blamed(self):
        self.running = {OTHER, SHARED}
        self.observer.record_broken_call("i-1", (REQUEST,), (SHARED,))
        await self.check()
        self.assertEqual(self.quarantine.blamed, [{REQUEST, OTHER}])

    async def test_part_of_an_answer_that_still_runs_for_long_is_blamed(self):
        self.survivors = {SHARED}
        self.observer.record_broken_call("i-1", (REQUEST, SHARED, BAD), ())
        await self.check()
        self.assertEqual(self.quarantine.blamed, [{REQUEST, BAD}])

    async def test_call_that_is_reported_later_brings_the_blame_back(self):
        self.observer.record_broken_call("i-1", (REQUEST,), (SHARED,))
        await self.check()
        self.observer.record_broken_call("i-1", (OTHER, SHARED), ())
        await self.check()
        self.assertEqual(self.quarantine.blamed, [{REQUEST}, {OTHER}])

    # Calls that ended early long before the crash, one after the other, moved its time to theirs.
    async def test_crash_is_dated_to_the_first_of_many_earlier_silences(self):
        started_at = self.clock.monotonic()
        self.refuses.return_value = False
        with mock.patch.object(observer, "PROBE_DELAYS_SECONDS", (0.0,)):
            for number in range(10):
                self.observer.record_abandoned_call("i-1", (100 + number,))
                await self.check()
                self.clock.advance(0.5)
            self.refuses.return_value = True
            self.observer.record_broken_call("i-1", (REQUEST,), ())
            await self.check()
        self.assertEqual(self.quarantine.blamed, [{108, 109, REQUEST}])
        self.assertAlmostEqual(self.quarantine.times[0], started_at + 4.0)
        self.assertEqual(self.observer._interrupted_calls, {})

    # What ended early would be remembered for as long as one call each second ends early.
    async def test_calls_that_ended_early_are_remembered_for_good(self):
        self.refuses.return_value = False
        with mock.patch.object(observer, "PROBE_DELAYS_SECONDS", (0.0,)):
            for number in range(50):
                self.observer.record_abandoned_call("i-1", (100 + number,))
                await self.check()
                self.clock.advance(0.5)
        self.assertEqual(len(self.observer._interrupted_calls["i-1"]), 3)


if __name__ == "__main__":
    unittest.main()
