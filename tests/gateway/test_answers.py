"""Answers to claimed requests that other nodes have kept."""

import asyncio
import random
import unittest

from railsail.gateway.answers import AnswerCache, KeptAnswer
from railsail.peers.messages import AnswerReply, AnswerRequest

NODE = "127.0.0.1:1"
KEY = b"k"


class Hub:
    """The links to another node, which answers each request with ``status``."""

    def __init__(self, status: int) -> None:
        self.own = type("Own", (), {"node": "127.0.0.1:2"})
        self._status = status
        self._handlers = {}

    def handle(self, kind: type, handler) -> None:
        self._handlers[kind] = handler

    def send(self, node: str, message: AnswerRequest) -> bool:
        reply = AnswerReply(message.number, self._status, "text/plain", "r-1", b"hello")
        asyncio.get_running_loop().call_soon(self._handlers[AnswerReply], node, reply)
        return True


class KeptAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def find(self, status: int) -> KeptAnswer | None:
        cache = AnswerCache(Hub(status), lambda node, start_id: False, random.Random(1))
        return await cache.find(KEY, NODE, 1, 20.0)

    async def test_kept_answer_is_returned(self):
        self.assertEqual(await self.find(200), KeptAnswer(200, "text/plain", "r-1", b"hello"))

    async def test_answer_that_a_node_does_not_have_is_none(self):
        self.assertIsNone(await self.find(0))

    async def test_kept_answer_whose_status_is_none_of_http_is_not_returned(self):
        """A node of an earlier build keeps any status that a replica sends."""
        for status in (1, 99):
            with self.subTest(status=status):
                self.assertIsNone(await self.find(status))


if __name__ == "__main__":
    unittest.main()
