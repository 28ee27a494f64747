"""Receive a replica's answer: buffer it until it is complete, or forward it event by event."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from railsail.core.buffers import BufferFull, Buffers
from railsail.core.exceptions import RailsailError
from railsail.core.responses import has_body, named_length
from railsail.routing.client import ClientAnswer
from railsail.routing.messages import AnswerHead, RoutedRequest
from railsail.routing.protocol import RouteProtocol
from railsail.upstreams.http import is_delimited
from railsail.upstreams.sse import EventSplitter, StreamEvent

# The body of an answer that says that the request did not run is not passed on.
MAX_REFUSAL_BYTES = 64 << 10
TOO_LONG = "the answer is too long for the memory that this node has for all answers"


class AnswerRefused(RailsailError):
    """The replica's answer is not valid and must not be forwarded to the caller."""


class StreamState:
    """What the caller has received of an event stream, from all replicas that sent a part of it.

    ``software_version`` is the version that began the stream, ``None`` before its first event. What
    two versions write does not fit together, so that no other version may continue it. ``on_begin``
    is called with it before the caller is sent the first event of this answer.
    """

    def __init__(
        self,
        client: ClientAnswer,
        last_event: str,
        software_version: str | None,
        on_begin: Callable[[str], None],
    ) -> None:
        self.client = client
        self.head: AnswerHead | None = None
        self.last_event = last_event
        self.software_version = software_version
        self._on_begin = on_begin

    async def forward(
        self,
        head: AnswerHead,
        events: list[StreamEvent],
        software_version: str,
        on_accepted: Callable[[], None],
    ) -> None:
        """Send whole events to the caller, the first ones together with the head of the answer.

        ``software_version`` is that of the replica that wrote the events. ``on_accepted`` is called
        just before they are sent. Raise ``AnswerRefused`` if the number of an event is not above
        that of the event before it.
        """
        checked = self._check_order(events)
        if not checked:
            return
        on_accepted()
        if self.software_version is None:
            self.software_version = software_version
        data = b"".join(event.raw for event in checked)
        numbered = [event.number for event in checked if event.number >= 0]
        if numbered:
            self.last_event = str(numbered[-1])
        if self.head is None:
            self.head = head
            self._on_begin(self.software_version)
            await self.client.start(head.status, head.headers, data)
        else:
            await self.client.write(data)

    def _check_order(self, events: list[StreamEvent]) -> list[StreamEvent]:
        last = int(self.last_event) if self.last_event else -1
        checked = []
        for event in events:
            if 0 <= event.number <= last:
                raise AnswerRefused(f"event {event.number} came after event {last}")
            if event.number >= 0:
                last = event.number
            checked.append(event)
        return checked


class ReplicaAnswer:
    """Receiver of one answer of one replica.

    An event stream is forwarded in whole events, so that another replica can resume a stream that
    breaks within an event. Any other answer is buffered until it is complete, within the bound of
    ``buffers`` on all answers. ``software_version`` is that of the replica. ``on_body`` is called
    for each piece of the body of a successful answer, ``on_events`` just before events of a stream
    are passed on to the caller.
    """

    def __init__(
        self,
        protocol: RouteProtocol,
        request: RoutedRequest,
        streaming: bool,
        stream: StreamState,
        software_version: str,
        buffers: Buffers,
        on_body: Callable[[], None],
        on_events: Callable[[], None],
    ) -> None:
        self.received_head: AnswerHead | None = None
        self.stream = stream
        self.is_stream = False
        # True if only the end of the connection marks the end of the answer.
        self.ends_with_connection = False
        # False if the answer consists of its head alone.
        self.has_body = True
        # The length that the head names, ``None`` for none.
        self.named_length: int | None = None
        self._protocol = protocol
        self._request = request
        self._streaming = streaming
        self._software_version = software_version
        self._on_body = on_body
        self._on_events = on_events
        self._splitter = EventSplitter()
        self._buffer: list[bytes] = []
        self._share = buffers.open(self._buffer.clear)
        self._progressed_at = asyncio.get_running_loop().time()
        self._waits_for_caller = False

    @property
    def progressed_at(self) -> float:
        """Return when the replica last sent anything, in seconds of the event loop.

        It is now while a slow caller holds the answer up, which is no silence of the replica.
        """
        if self._waits_for_caller:
            return asyncio.get_running_loop().time()
        return self._progressed_at

    async def head(self, status: int, headers: HTTPHeaders) -> None:
        """Check the status and headers.

        Raise ``AnswerRefused`` if the answer has the id of another request, or if it is a success
        without a signature.
        """
        head = self._protocol.read_answer(status, headers)
        if head.request_id and head.request_id != self._request.id:
            raise AnswerRefused("the answer bears another request's id")
        if head.success and not head.signed:
            raise AnswerRefused("a success without a signature")
        self.received_head = head
        self.is_stream = self._streaming and head.success and head.event_stream
        self.has_body = has_body(self._request.method, status)
        self.ends_with_connection = self.has_body and not is_delimited(headers)
        self.named_length = named_length(headers)
        if self.has_body and not self.is_stream and (self.named_length or 0) > self._max_bytes:
            raise AnswerRefused(TOO_LONG)
        self._record_progress()

    async def data(self, chunk: bytes) -> None:
        """Forward or buffer a piece of the body.

        Raise ``AnswerRefused`` if an event is out of order, or if the answer is too long.
        """
        self.check_kept()
        if self.received_head is not None and self.received_head.success:
            self._on_body()
        self._record_progress()
        if self.is_stream:
            events = self._splitter.feed(chunk)
            self._hold(len(self._splitter.rest))
            self._waits_for_caller = True
            try:
                await self.stream.forward(
                    self.received_head, events, self._software_version, self._on_events
                )
            finally:
                self._waits_for_caller = False
                self._record_progress()
            return
        self._hold(self._share.size + len(chunk))
        self._buffer.append(chunk)

    @property
    def _max_bytes(self) -> int:
        """Return how long the answer may be at most if it is alone."""
        is_refusal = self.received_head is not None and self.received_head.not_run
        return MAX_REFUSAL_BYTES if is_refusal else self._share.max_bytes

    def _hold(self, size: int) -> None:
        if size > self._max_bytes:
            raise AnswerRefused(TOO_LONG)
        try:
            self._share.resize(size)
        except BufferFull:
            raise AnswerRefused(TOO_LONG) from None

    def check_kept(self) -> None:
        """Raise ``AnswerRefused`` if what was received had to be dropped for other answers."""
        if self._share.is_evicted:
            raise AnswerRefused(TOO_LONG)

    def keep(self) -> None:
        """Hold a complete answer until it is released; raise ``AnswerRefused`` if it is gone."""
        self.check_kept()
        self._share.keep()

    def release(self) -> None:
        """Release the memory of the answer."""
        self._buffer.clear()
        self._share.release()

    def take_body(self) -> bytes:
        """Return the buffered body, once."""
        body = b"".join(self._buffer)
        self._buffer.clear()
        return body

    def trailing_bytes(self) -> bytes:
        """Return the bytes that follow the last whole event."""
        return self._splitter.rest

    def _record_progress(self) -> None:
        self._progressed_at = asyncio.get_running_loop().time()
