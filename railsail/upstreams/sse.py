"""Events of a server-sent event stream, as engines send them."""

import json
from dataclasses import dataclass

MOST_EVENT_BYTES = 1 << 20
DONE = b"[DONE]"


class BadStream(ValueError):
    """The stream is not what an engine sends."""


@dataclass(frozen=True)
class StreamEvent:
    """One event: its bytes as received, its number in the stream, and its data."""

    raw: bytes
    number: int
    data: bytes

    @property
    def done(self) -> bool:
        """Say whether this is the last event of a whole stream."""
        return self.data == DONE

    def body(self) -> dict[str, object]:
        """Return the data as JSON; raise ``BadStream`` if it is not an object."""
        try:
            body = json.loads(self.data)
        except ValueError as problem:
            raise BadStream(f"an event is not JSON: {problem}") from None
        if not isinstance(body, dict):
            raise BadStream("an event is not an object")
        return body


class EventSplitter:
    """Split the pieces of a body into whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes; raise ``BadStream`` if one is too long."""
        self._buffer += chunk
        *whole, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MOST_EVENT_BYTES:
            raise BadStream("an event is too long")
        return [_parse(raw) for raw in whole if raw.strip()]


def _parse(raw: bytes) -> StreamEvent:
    number = -1
    data = b""
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        if field == b"id":
            number = _number(value)
        elif field == b"data":
            data = value.strip()
    return StreamEvent(raw + b"\n\n", number, data)


def _number(value: bytes) -> int:
    text = value.strip()
    if not text.isdigit() or len(text) > 18:
        raise BadStream("an event has no number")
    return int(text)
