"""Receive an answer that is used as a whole, such as a report, and keep it in memory until then."""

import asyncio
import contextlib

from tornado.httputil import HTTPHeaders

from railsail.core.buffers import BufferFull, Buffers
from railsail.upstreams.http import AnswerTooLong, CutOff, HttpRequest, NotSent, exchange


class Collector:
    """A receiver that keeps an answer in memory, within the bound of ``buffers`` on all of them.

    Its ``data`` raises ``AnswerTooLong`` if the body has more than ``max_bytes``, or if it has to
    be dropped for smaller ones.
    """

    def __init__(self, max_bytes: int = 1 << 20, buffers: Buffers | None = None) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self._pieces: list[bytes] = []
        self._max_bytes = max_bytes
        if buffers is None:
            self._share = Buffers(max_bytes).open()
        else:
            self._share = buffers.open(self._pieces.clear)

    @property
    def body(self) -> bytes:
        """Return the body."""
        return b"".join(self._pieces)

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        """Keep status and headers."""
        self.status = status
        self.headers = headers

    async def data(self, chunk: bytes) -> None:
        """Keep a chunk of the body."""
        self._check_kept()
        size = self._share.size + len(chunk)
        if size > self._max_bytes:
            raise AnswerTooLong("the answer is too long")
        try:
            self._share.resize(size)
        except BufferFull as problem:
            raise AnswerTooLong(str(problem)) from None
        self._pieces.append(chunk)

    def _check_kept(self) -> None:
        if self._share.is_evicted:
            raise AnswerTooLong("the answer is too long for the memory of this node beside others")

    def keep(self) -> None:
        """Hold a complete answer until it is released; raise ``AnswerTooLong`` if it is gone."""
        self._check_kept()
        self._share.keep()

    def release(self) -> None:
        """Release the memory of the answer."""
        self._pieces.clear()
        self._share.release()


async def fetch(request: HttpRequest, seconds: float, max_bytes: int = 1 << 20) -> Collector | None:
    """Return a short answer, or ``None`` if none was received within ``seconds``."""
    collector = Collector(max_bytes)
    with contextlib.suppress(NotSent, CutOff, TimeoutError):
        async with asyncio.timeout(seconds):
            await exchange(request, collector)
        return collector
    return None
