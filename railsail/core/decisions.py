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

# The number of requests whose events are buffered at the same time. Beyond it, the oldest request's
# events are dropped.
MOST_HELD_BACK = 4096
_HASHES = 1 << 32


class Sampling:
    """Sample about ``per_second`` requests a second, with all of their events or none."""

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._share = 1.0
        self._begun = now
        self._seen = 0

    def request(self, now: float) -> None:
        """Count a new request at ``now``, in seconds, and adjust the ratio once a second."""
        self._seen += 1
        elapsed = now - self._begun
        if elapsed >= 1.0:
            self._share = min(1.0, self._per_second * elapsed / self._seen)
            self._begun = now
            self._seen = 0

    def chosen(self, request: str) -> bool:
        """Return True if ``request`` belongs to the sample."""
        return zlib.crc32(request.encode()) < self._share * _HASHES


def line_fields(event: Event) -> dict[str, Fact]:
    """Return the keys and values of the log line of ``event``, except its kind."""
    named = {"request": event.request, "workspace": event.workspace, "detail": event.detail}
    given = {name: text for name, text in named.items() if text}
    # The time of the event, which may have been buffered, and not the time at which it is written.
    moment = stamp_moment(event.stamp).isoformat(timespec="milliseconds")
    when = {"stamp": event.stamp, "timestamp": moment}
    return {"node": event.node, **when, **given, **event.facts}


def write_event(event: Event, ordinary: bool) -> None:
    """Write ``event`` as a log line; ``ordinary`` lines are the first to be dropped."""
    get_logger().info(event.kind, ordinary=ordinary, **line_fields(event))


class DecisionLog:
    """Buffer the events of one process, and write the notable and the sampled ones.

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
        self._sampling = Sampling(per_second, clock.monotonic())
        # The buffered events by request; ``None`` if all further events are written directly.
        self._held_back: dict[str, list[Event] | None] = {}

    def take(self, event: Event) -> None:
        """Write ``event`` now, or buffer it."""
        if not event.request:
            self._write(event, False)
            return
        if event.kind is Kind.RECEIVED:
            self._begin(event.request)
        if event.notable:
            self._write_held_back(event.request, ordinary=False)
            self._write(event, False)
            if event.request in self._held_back:
                self._held_back[event.request] = None
        else:
            self._hold_back(event)
        if event.kind is Kind.ENDED:
            self._end(event.request)

    def _hold_back(self, event: Event) -> None:
        held_back = self._held_back.get(event.request)
        if held_back is None:
            # The request had a notable event, or it started at another daemon.
            self._write(event, True)
        else:
            held_back.append(event)

    def _end(self, request: str) -> None:
        if self._sampling.chosen(request):
            self._write_held_back(request, ordinary=True)
        self._held_back.pop(request, None)

    def _write_held_back(self, request: str, ordinary: bool) -> None:
        for event in self._held_back.get(request) or ():
            self._write(event, ordinary)

    def _begin(self, request: str) -> None:
        self._sampling.request(self._clock.monotonic())
        self._held_back[request] = []
        if len(self._held_back) > MOST_HELD_BACK:
            del self._held_back[next(iter(self._held_back))]
