"""New connections are started a few at a turn of the event loop, the newest first."""

import asyncio
import random
import unittest

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.core.retryafter import MAX_RETRY_AFTER_SECONDS, MIN_RETRY_AFTER_SECONDS
from railsail.routing.intake import (
    MAX_STANDING_WAIT_SECONDS,
    MAX_WAIT_SECONDS,
    STANDING_SECONDS,
    STARTS_PER_TURN,
    Intake,
)

CONNECTIONS = 3 * STARTS_PER_TURN


class CallersSocket:
    """The socket of a connection on which ``received`` has arrived."""

    def __init__(self, received: bytes) -> None:
        self._received = received

    def recv(self, size: int, flags: int) -> bytes:
        if not self._received:
            raise BlockingIOError
        return self._received[:size]


class Connection:
    """A connection of a caller that has sent ``received``."""

    def __init__(self, received: bytes = b"GET / HTTP/1.1\r\n\r\n") -> None:
        self.sent = b""
        self.closed = False
        self.socket = CallersSocket(received)

    def read_bytes(self, most: int, partial: bool) -> None:
        pass

    def write(self, data: bytes) -> None:
        self.sent += data

    def close(self) -> None:
        self.closed = True


class IntakeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        kernel = Kernel(self.clock, random.Random(1), EventLog("n1", self.clock), Metrics())
        self.intake = Intake({"k1": "w1", "k2": "w2"}.get, kernel)
        self.connections = [Connection() for _ in range(CONNECTIONS)]
        self.started = []

    def add(self, numbers) -> None:
        for number in numbers:
            self.intake.add(self.connections[number], lambda n=number: self.started.append(n))

    async def test_single_connection_is_started_at_once(self):
        self.add([0])
        self.assertEqual(self.started, [0])
        self.assertFalse(self.intake.overloaded)

    async def test_turn_starts_a_few_connections(self):
        self.add(range(CONNECTIONS))
        self.assertEqual(len(self.started), STARTS_PER_TURN)
        self.assertTrue(self.intake.overloaded)
        for turn in range(2, 4):
            await asyncio.sleep(0)
            self.assertEqual(len(self.started), turn * STARTS_PER_TURN)
        self.assertEqual(self.intake.waiting, 0)

    async def test_newest_connection_that_waits_is_started_first(self):
        self.add(range(CONNECTIONS))
        await asyncio.sleep(0)
        newest = range(CONNECTIONS - 1, CONNECTIONS - 1 - STARTS_PER_TURN, -1)
        self.assertEqual(self.started[STARTS_PER_TURN:], list(newest))

    async def pass_wait(self) -> None:
        """Let the connections that are not started wait for too long."""
        self.clock.advance(MAX_WAIT_SECONDS * 1.01)
        for _ in range(3):
            await asyncio.sleep(0)

    async def test_workspaces_take_turns(self):
        """One workspace took the time of a node that others' callers reach as well."""
        flooding = b"GET / HTTP/1.1\r\nAuthorization: Bearer k1\r\n\r\n"
        self.connections = [Connection(flooding) for _ in range(CONNECTIONS)]
        self.add(range(STARTS_PER_TURN))
        other = b"GET / HTTP/1.1\r\nauthorization: bearer k2\r\n\r\n"
        first = STARTS_PER_TURN
        self.connections[first : first + 2] = [Connection(other), Connection(other)]
        self.add(range(first, CONNECTIONS))
        await asyncio.sleep(0)
        self.assertLessEqual({first, first + 1}, set(self.started))

    async def test_connection_that_waited_too_long_is_refused_as_not_run(self):
        self.add(range(CONNECTIONS))
        await self.pass_wait()
        self.assertEqual(self.started, list(range(STARTS_PER_TURN)))
        for refused in self.connections[STARTS_PER_TURN:]:
            line, *headers = refused.sent.decode().partition("\r\n\r\n")[0].split("\r\n")
            self.assertEqual(line, "HTTP/1.1 503 Service Unavailable")
            seconds = float(dict(h.split(": ") for h in headers)["Retry-After"])
            self.assertGreaterEqual(seconds, MIN_RETRY_AFTER_SECONDS)
            self.assertLessEqual(seconds, MAX_RETRY_AFTER_SECONDS)
            self.assertTrue(refused.closed)
        self.assertFalse(any(each.closed for each in self.connections[:STARTS_PER_TURN]))

    async def test_queue_is_standing_once_connections_have_waited_without_a_break(self):
        self.assertFalse(self.intake.standing)
        self.add(range(CONNECTIONS))
        self.assertFalse(self.intake.standing)
        self.clock.advance(STANDING_SECONDS * 1.01)
        self.assertTrue(self.intake.standing)
        await asyncio.sleep(0)
        self.assertEqual(self.intake.waiting, 0)
        self.assertFalse(self.intake.standing)

    async def test_connection_without_a_request_is_started_instead_of_refused(self):
        self.connections[-1] = Connection(b"")
        self.add(range(CONNECTIONS))
        await self.pass_wait()
        self.assertIn(CONNECTIONS - 1, self.started)
        self.assertFalse(self.connections[-1].closed)

    async def test_connections_wait_shorter_once_others_have_been_waiting_all_the_time(self):
        waits_in_time = MAX_STANDING_WAIT_SECONDS * 1.01
        first, second = CONNECTIONS - 2, CONNECTIONS - 1
        self.add(range(first + 1))
        self.clock.advance(waits_in_time)
        self.intake._refuse_expired()
        self.assertFalse(self.connections[first].closed)
        self.clock.advance(STANDING_SECONDS - waits_in_time)
        self.add([second])
        self.clock.advance(waits_in_time)
        self.intake._refuse_expired()
        self.assertTrue(self.connections[second].closed)


if __name__ == "__main__":
    unittest.main()
