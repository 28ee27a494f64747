"""The decision log: events of the time line, written as log lines.

Notable events, and events that belong to no request, are written at once. The other events of a
request are buffered while it runs. A notable event of the request flushes the buffer, and from then
on its events are written directly. Of the remaining requests only a sample is written, when they
end. The sample is chosen by a hash of the request id, so that all daemons choose the same requests.
A process that is killed loses its buffered events.
"""

import zlib
from collections.abc import Callable

from railsail.core.clock import Clock, stamp_moment
from railsail.core.events import Event, Fact, Kind
from railsail.core.logs import get_logger

# The maximum number of requests whose events are buffered at the same time. Beyond it, the buffer
# of the oldest request is dropped.
MAX_BUFFERED_REQUESTS = 4096
_HASH_RANGE = 1 << 32


class RequestSampler:
    """A sampler that includes about ``per_second`` requests a second."""

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._ratio = 1.0
        self._window_started_at = now
        self._window_requests = 0

    def count_request(self, now: float) -> None:
        """Count a new request at ``now``, in seconds, and adjust the ratio once a second."""
        self._window_requests += 1
        elapsed = now - self._window_started_at
        if elapsed >= 1.0:
            self._ratio = min(1.0, self._per_second * elapsed / self._window_requests)
            self._window_started_at = now
            self._window_requests = 0

    def includes(self, request: str) -> bool:
        """Return True if ``request`` belongs to the sample."""
        return zlib.crc32(request.encode()) < self._ratio * _HASH_RANGE


def line_fields(event: Event) -> dict[str, Fact]:
    """Return the keys and values of the log line of ``event``, except its kind."""
    texts = {"request": event.request, "workspace": event.workspace, "detail": event.detail}
    present = {name: text for name, text in texts.items() if text}
    # The time of the event, which may have been buffered, and not the time at which it is written.
    timestamp = stamp_moment(event.stamp).isoformat(timespec="milliseconds")
    times = {"stamp": event.stamp, "timestamp": timestamp}
    return {"node": event.node, **times, **present, **event.facts}


def write_event(event: Event, ordinary: bool) -> None:
    """Write ``event`` as a log line; ``ordinary`` lines are the first to be dropped."""
    get_logger().info(event.kind, ordinary=ordinary, **line_fields(event))


class DecisionLog:
    """The decision log of one process, which passes events to ``write``, some after buffering.

    The second argument of ``write`` says whether the event is ordinary, that is, whether its line
    may be dropped first. Events without a request, notable events, and the events buffered before a
    notable event of the same request are not ordinary.
    """

    def __init__(
        self,
        clock: Clock,
        per_second: float,
        write: Callable[[Event, bool], None] = write_event,
    ) -> None:
        self._clock = clock
        self._write = write
        self._sampler = RequestSampler(per_second, clock.monotonic())
        # The buffered events by request; ``None`` if all further events are written directly.
        self._buffered: dict[str, list[Event] | None] = {}

    def handle(self, event: Event) -> None:
        """Write ``event`` now, or buffer it."""
        if not event.request:
            self._write(event, False)
            return
        if event.kind is Kind.RECEIVED:
            self._start_request(event.request)
        if event.notable:
            self._write_buffered(event.request, ordinary=False)
            self._write(event, False)
            if event.request in self._buffered:
                self._buffered[event.request] = None
        else:
            self._buffer_or_write(event)
        if event.kind is Kind.ENDED:
            self._end_request(event.request)

    def _buffer_or_write(self, event: Event) -> None:
        buffered = self._buffered.get(event.request)
        if buffered is None:
            # The request had a notable event, started at another daemon, or lost its buffer.
            self._write(event, True)
        else:
            buffered.append(event)

    def _end_request(self, request: str) -> None:
        if self._sampler.includes(request):
            self._write_buffered(request, ordinary=True)
        self._buffered.pop(request, None)

    def _write_buffered(self, request: str, ordinary: bool) -> None:
        for event in self._buffered.get(request) or ():
            self._write(event, ordinary)

    def _start_request(self, request: str) -> None:
        self._sampler.count_request(self._clock.monotonic())
        self._buffered[request] = []
        if len(self._buffered) > MAX_BUFFERED_REQUESTS:
            del self._buffered[next(iter(self._buffered))]
