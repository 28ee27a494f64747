"""The order in which two attempts of one request begin and end."""

import asyncio
import math
import time
import unittest
from unittest import mock

from railsail.core.outcomes import Completed, NotRun, Reason, Unknown, truth_of
from railsail.routing.hedging import Attempt, HedgedAttempts


class HedgedAttemptsTests(unittest.IsolatedAsyncioTestCase):
    """Attempts whose steps the test decides."""

    def setUp(self) -> None:
        self.context = mock.Mock(can_retry=True, silence_timeout=0.05, may_have_run=False)
        self.context.max_overlap = None
        self.grant: asyncio.Future | None = None

    def attempts(self, send, withdraw=lambda booking: None) -> HedgedAttempts:
        async def find(silent: str):
            return await self.grant

        silences = mock.Mock()
        silences.begin.side_effect = lambda context, replica, since: mock.Mock(since=since)
        pauses = mock.Mock(ended_at=-math.inf)
        return HedgedAttempts(self.context, send, find, withdraw, silences, pauses)

    def go_on(self, attempt: Attempt) -> None:
        """Pass on a part of the answer of ``attempt``, which does not fall silent again."""
        attempt.go_on()
        attempt.answer = mock.Mock(progressed_at=math.inf)

    async def test_attempt_granted_as_the_silence_ends_is_not_left_running(self):
        self.grant = asyncio.get_running_loop().create_future()

        async def send(attempt: Attempt):
            try:
                if attempt.replica == "a":
                    await asyncio.sleep(0.2)
                    self.go_on(attempt)
                    self.grant.set_result(mock.Mock(replica="b"))
                    await asyncio.sleep(0.3)
                    attempt.go_on()
                    return Completed(200, 0.0)
                attempt.connected()
                await asyncio.sleep(0.05)
                self.go_on(attempt)
                await asyncio.sleep(0.1)
                return Completed(200, 0.0)
            except asyncio.CancelledError:
                if attempt.superseded_by is None:
                    raise
                return Unknown("another attempt went on first")

        self.context.max_overlap = 1.0
        outcome = await self.attempts(send).run(mock.Mock(replica="a"))
        self.assertIsInstance(outcome, Completed)

    async def test_attempt_refused_as_it_replaces_does_not_end_the_silent_one(self):
        self.grant = asyncio.get_running_loop().create_future()
        self.grant.set_result(mock.Mock(replica="b"))

        async def send(attempt: Attempt):
            if attempt.replica == "a":
                call = asyncio.ensure_future(asyncio.sleep(0.5))
                try:
                    await call
                except asyncio.CancelledError:
                    self.context.may_have_run = True
                    return Unknown("another attempt went on first")
                attempt.go_on()
                return Completed(200, 0.0)
            attempt.connected()
            # This process stands still while the refusal arrives and the overlap ends.
            asyncio.get_running_loop().call_later(0.02, time.sleep, 0.1)
            await asyncio.ensure_future(asyncio.sleep(0.04))
            return NotRun(Reason.REFUSED)

        self.context.max_overlap = 0.05
        outcome = await self.attempts(send).run(mock.Mock(replica="a"))
        said = truth_of(outcome, self.context.may_have_run)
        self.assertNotIsInstance(said, NotRun, "it was sent to the first replica")
        self.assertIsInstance(said, Completed)

    async def test_exception_of_the_second_attempt_does_not_end_the_silent_one(self):
        self.grant = asyncio.get_running_loop().create_future()
        self.grant.set_result(mock.Mock(replica="b"))

        async def send(attempt: Attempt):
            if attempt.replica == "b":
                self.grant = asyncio.get_running_loop().create_future()
                raise KeyError("a fault of this node")
            await asyncio.sleep(0.3)
            attempt.go_on()
            return Completed(200, 0.0)

        outcome = await self.attempts(send).run(mock.Mock(replica="a"))
        self.assertIsInstance(outcome, Completed)


if __name__ == "__main__":
    unittest.main()
