"""Parse the server-sent events that model engines stream."""

import msgspec

MAX_EVENT_BYTES = 1 << 20
DONE = b"[DONE]"


class Usage(msgspec.Struct, frozen=True):
    """The cost of a stream so far, in tokens."""

    total_tokens: float = 0.0


class EventBody(msgspec.Struct, frozen=True):
    """The parsed part of an event's data; the rest is forwarded unparsed."""

    id: str
    usage: Usage = Usage()


_DECODER = msgspec.json.Decoder(EventBody)


class BadStream(ValueError):
    """The stream does not follow the protocol of engines."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One event: its bytes as received, its number in the stream (``id:``), and its data."""

    raw: bytes
    number: int
    data: bytes

    @property
    def done(self) -> bool:
        """Return True if this is the event that ends a complete stream."""
        return self.data == DONE

    def body(self) -> EventBody:
        """Return the parsed data; raise ``BadStream`` if it is not an event of an engine."""
        try:
            return _DECODER.decode(self.data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            raise BadStream(f"an event cannot be read: {problem}") from None


class EventSplitter:
    """A parser that splits a body, fed in chunks, into events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes that belong to an incomplete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes; raise ``BadStream`` if one is too long."""
        self._buffer += chunk
        *complete, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BadStream("an event is too long")
        return [_parse(raw) for raw in complete if raw.strip()]


def _parse(raw: bytes) -> StreamEvent:
    number = -1
    data = b""
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        if field == b"id":
            number = _parse_number(value)
        elif field == b"data":
            data = value.strip()
    return StreamEvent(raw + b"\n\n", number, data)


def _parse_number(value: bytes) -> int:
    text = value.strip()
    if not text.isdigit() or len(text) > 18:
        raise BadStream("an event has no number")
    return int(text)
