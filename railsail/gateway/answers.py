"""A cache of the answers to claimed requests, for retries with the same key at any node.

Only the node that ran a request has its answer. Memory is bounded: long answers are not kept, and
the oldest ones are dropped.
"""

import asyncio
import contextlib
import random
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from railsail.core.responses import is_status
from railsail.core.tasks import TaskSet
from railsail.peers.hub import PeerHub
from railsail.peers.messages import AnswerReply, AnswerRequest

MAX_ANSWER_BYTES = 256 << 10
MAX_CACHE_BYTES = 8 << 20
FETCH_TIMEOUT_SECONDS = 30.0
LINK_RETRY_SECONDS = 0.1


class KeptAnswer(msgspec.Struct, frozen=True):
    """A complete answer; ``request`` is the id of the request that it was given to."""

    status: int
    content_type: str
    request: str
    body: bytes


class AnswerCache:
    """Cache of the answers to this node's claimed requests, which also fetches those of others.

    ``gone`` returns whether the process of a node with a given start id is known to have ended. Its
    answers are lost then, and a retry learns so at once.
    """

    def __init__(self, hub: PeerHub, gone: Callable[[str, int], bool], rng: random.Random) -> None:
        self._hub = hub
        self._gone = gone
        self._rng = rng
        self._kept: OrderedDict[bytes, KeptAnswer] = OrderedDict()
        self._bytes = 0
        self._running: dict[bytes, list[asyncio.Future]] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._tasks = TaskSet()
        hub.handle(AnswerRequest, self._handle_request)
        hub.handle(AnswerReply, self._handle_reply)

    def start_attempt(self, key: bytes) -> asyncio.Future:
        """Record that an attempt with ``key`` runs here, and return a future for its answer.

        Each attempt that was started must be ended by ``end_attempt`` with that future.
        """
        attempt: asyncio.Future = asyncio.get_running_loop().create_future()
        self._running.setdefault(key, []).append(attempt)
        return attempt

    def end_attempt(self, key: bytes, attempt: asyncio.Future, answer: KeptAnswer | None) -> None:
        """Record the answer of an attempt, ``None`` if it got no complete answer itself."""
        if answer is not None and len(answer.body) <= MAX_ANSWER_BYTES:
            self._keep(key, answer)
        else:
            answer = None
        attempts = self._running[key]
        attempts.remove(attempt)
        if not attempts:
            del self._running[key]
        if not attempt.done():
            attempt.set_result(answer)

    def _keep(self, key: bytes, answer: KeptAnswer) -> None:
        self._kept[key] = answer
        self._bytes += len(answer.body)
        while self._bytes > MAX_CACHE_BYTES:
            _, oldest = self._kept.popitem(last=False)
            self._bytes -= len(oldest.body)

    async def find(self, key: bytes, node: str, start_id: int, seconds: float) -> KeptAnswer | None:
        """Return the answer for ``key`` from the node that claimed it, or ``None``.

        Wait for it at most ``seconds``.
        """
        seconds = min(seconds, FETCH_TIMEOUT_SECONDS)
        if self._gone(node, start_id):
            return None
        if node == self._hub.own.node:
            return await self._find_local(key, seconds)
        return await self._fetch(key, node, start_id, seconds)

    async def _find_local(self, key: bytes, seconds: float) -> KeptAnswer | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while key in self._running and key not in self._kept:
                    await asyncio.shield(self._running[key][0])
        return self._kept.get(key)

    async def _fetch(
        self, key: bytes, node: str, start_id: int, seconds: float
    ) -> KeptAnswer | None:
        number = self._rng.getrandbits(32)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        request = AnswerRequest(number, key, int(seconds * 1000))
        try:
            async with asyncio.timeout(seconds):
                while not self._hub.send(node, request):
                    if self._gone(node, start_id):
                        return None
                    await asyncio.sleep(LINK_RETRY_SECONDS)
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _handle_request(self, node: str, message: AnswerRequest) -> None:
        self._tasks.start(self._serve_request(node, message))

    async def _serve_request(self, node: str, message: AnswerRequest) -> None:
        answer = await self._find_local(message.key, message.wait / 1000)
        if answer is None:
            self._hub.send(node, AnswerReply(message.number, 0, "", "", b""))
            return
        reply = AnswerReply(
            message.number, answer.status, answer.content_type, answer.request, answer.body
        )
        self._hub.send(node, reply)

    def _handle_reply(self, node: str, message: AnswerReply) -> None:
        future = self._pending.get(message.number)
        if future is None or future.done():
            return
        if not is_status(message.status):
            future.set_result(None)
            return
        answer = KeptAnswer(message.status, message.content_type, message.request, message.body)
        future.set_result(answer)
