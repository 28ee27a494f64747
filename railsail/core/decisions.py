"""The decision log: events of the time line as log lines.

What tells of trouble, or changes what the process believes, is written at once. The events of a
request are held back while it runs; where it runs into trouble, its whole story is written then. Of
requests that go well only a sample is written, at their ends, chosen by a hash of the request's id,
so that all daemons choose the same ones. A process that is killed loses what it held back.
"""

import zlib
from collections.abc import Callable

from railsail.core.clock import Clock, stamp_moment
from railsail.core.events import Event, Fact, Kind
from railsail.core.logs import get_logger

# Requests whose events are held back at once; of more than that the oldest are dropped.
MOST_HELD_BACK = 4096
_HASHES = 1 << 32


class Sampling:
    """Choose about ``per_second`` requests a second, all of their events or none."""

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._share = 1.0
        self._begun = now
        self._seen = 0

    def request(self, now: float) -> None:
        """Take note of a new request at ``now``, in seconds."""
        self._seen += 1
        elapsed = now - self._begun
        if elapsed >= 1.0:
            self._share = min(1.0, self._per_second * elapsed / self._seen)
            self._begun = now
            self._seen = 0

    def chosen(self, request: str) -> bool:
        """Say whether the events of ``request`` are written in any case."""
        return zlib.crc32(request.encode()) < self._share * _HASHES


def line_fields(event: Event) -> dict[str, Fact]:
    """Return what a log line tells of ``event`` besides its kind."""
    named = {"request": event.request, "workspace": event.workspace, "detail": event.detail}
    given = {name: text for name, text in named.items() if text}
    # A line that was held back tells when its event was, not when it is written.
    moment = stamp_moment(event.stamp).isoformat(timespec="milliseconds")
    when = {"stamp": event.stamp, "timestamp": moment}
    return {"node": event.node, **when, **given, **event.facts}


def write_event(event: Event, ordinary: bool) -> None:
    """Write ``event`` as a log line."""
    get_logger().info(event.kind, ordinary=ordinary, **line_fields(event))


class DecisionLog:
    """Write events of one process by ``write``; the second argument is true for a sample's."""

    def __init__(
        self,
        clock: Clock,
        per_second: float,
        write: Callable[[Event, bool], None] = write_event,
    ) -> None:
        self._clock = clock
        self._write = write
        self._sampling = Sampling(per_second, clock.monotonic())
        # ``None`` stands for a request whose events are all written from now on.
        self._held_back: dict[str, list[Event] | None] = {}

    def take(self, event: Event) -> None:
        """Write ``event`` now, or hold it back."""
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
            # Its story is told already, or began at another daemon.
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
