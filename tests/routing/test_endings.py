"""What the end of an answer was that ends with its connection."""

import asyncio
import socket
import unittest
from dataclasses import dataclass, field
from unittest import mock

from railsail.routing import endings
from railsail.routing.endings import AnswerEnd, check_end
from railsail.upstreams.probing import Probe

LOOPBACK = "127.0.0.1"


@dataclass
class Head:
    success: bool = True


@dataclass
class Answer:
    ends_with_connection: bool = True
    received_head: Head = field(default_factory=Head)


@dataclass
class Replica:
    endpoint: str
    leaving: bool = False


class Directory:
    def __init__(self, replica: Replica | None) -> None:
        self._replica = replica

    def get(self, name: str) -> Replica | None:
        return self._replica


class EndTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        # A process that stands still: it listens, and never accepts a connection.
        self.listener = socket.create_server((LOOPBACK, 0))
        self.addCleanup(self.listener.close)
        self.replica = Replica(f"{LOOPBACK}:{self.listener.getsockname()[1]}")

    async def check(self) -> AnswerEnd:
        async with asyncio.timeout(30.0):
            return await check_end(Answer(), "i-1", Directory(self.replica))

    # The answer would be repeated, or fail, although it was complete.
    async def test_answer_of_a_replica_that_stands_still_is_cut_off(self):
        self.assertIs(await self.check(), AnswerEnd.COMPLETE)

    async def test_answer_of_a_process_that_is_gone_is_complete(self):
        self.listener.close()
        self.assertIs(await self.check(), AnswerEnd.CUT_OFF)

    # A link that is cut for a moment shows nothing: the answer is passed on, and proves nothing.
    async def test_answer_of_a_replica_whose_host_is_not_heard_is_cut_off(self):
        with mock.patch.object(endings, "probe", mock.AsyncMock(return_value=Probe.UNKNOWN)):
            self.assertIs(await self.check(), AnswerEnd.UNCERTAIN)


if __name__ == "__main__":
    unittest.main()
