"""What comes back from a replica: held until it is whole, or passed on event by event."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from railsail.core.exceptions import RailsailError
from railsail.routing.client import ClientAnswer
from railsail.routing.messages import AnswerHead, RoutedRequest
from railsail.routing.protocol import RouteProtocol
from railsail.upstreams.sse import EventSplitter, StreamEvent

MOST_HELD_BYTES = 64 << 20


class AnswerRefused(RailsailError):
    """The answer cannot be passed on, or goes on where it must not."""


class StreamState:
    """What of a stream has reached the caller, over all replicas that made a part of it."""

    def __init__(self, client: ClientAnswer, last_event: str) -> None:
        self.client = client
        self.head: AnswerHead | None = None
        self.last_event = last_event

    async def pass_on(self, head: AnswerHead, events: list[StreamEvent]) -> None:
        """Pass whole events on to the caller; the first ones go with the head."""
        fresh = self._fresh(events)
        if not fresh:
            return
        data = b"".join(event.raw for event in fresh)
        numbered = [event.number for event in fresh if event.number >= 0]
        if numbered:
            self.last_event = str(numbered[-1])
        if self.head is None:
            self.head = head
            await self.client.begin(head.status, head.headers, data)
        else:
            await self.client.write(data)

    def _fresh(self, events: list[StreamEvent]) -> list[StreamEvent]:
        last = int(self.last_event) if self.last_event else -1
        fresh = []
        for event in events:
            if 0 <= event.number <= last:
                raise AnswerRefused(f"event {event.number} came after event {last}")
            if event.number >= 0:
                last = event.number
            fresh.append(event)
        return fresh


class ReplicaAnswer:
    """Receive one answer of one replica.

    An event stream is passed on as whole events, so that a stream that breaks within one can go on
    at another replica. Any other answer is held until it is whole. ``begun`` is called when the
    body of a success begins.
    """

    def __init__(
        self,
        protocol: RouteProtocol,
        request: RoutedRequest,
        streaming: bool,
        stream: StreamState,
        begun: Callable[[], None],
    ) -> None:
        self.answered: AnswerHead | None = None
        self.stream = stream
        self.streams = False
        self._protocol = protocol
        self._request = request
        self._streaming = streaming
        self._begun = begun
        self._splitter = EventSplitter()
        self._held: list[bytes] = []
        self._held_bytes = 0
        self.progressed_at = asyncio.get_running_loop().time()

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        """Take status and headers; raise ``AnswerRefused`` if they answer another request."""
        head = self._protocol.read_answer(status, headers)
        if head.request_id and head.request_id != self._request.id:
            raise AnswerRefused("the answer bears another request's id")
        if head.success and not head.signed:
            raise AnswerRefused("a success without a signature")
        self.answered = head
        self.streams = self._streaming and head.success and head.event_stream
        self._progressed()

    async def data(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        if self.answered is not None and self.answered.success:
            self._begun()
        self._progressed()
        if self.streams:
            await self.stream.pass_on(self.answered, self._splitter.feed(chunk))
            self._progressed()
            return
        self._held_bytes += len(chunk)
        if self._held_bytes > MOST_HELD_BYTES:
            raise AnswerRefused("the answer is too long")
        self._held.append(chunk)

    def body(self) -> bytes:
        """Return a body that was held."""
        return b"".join(self._held)

    def rest(self) -> bytes:
        """Return what came after the last whole event."""
        return self._splitter.rest

    def _progressed(self) -> None:
        self.progressed_at = asyncio.get_running_loop().time()
