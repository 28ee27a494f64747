"""The decision log: events of the time line as log lines.

What tells of trouble, or changes what the process believes, is always written. Of requests that go
well only a sample is, chosen by a hash of the request's id, so that all daemons choose the same
ones. The events of other requests are held back while they run; where one of them runs into
trouble, all of its story is written after all.
"""

import zlib
from collections.abc import Callable

from railsail.core.clock import Clock
from railsail.core.events import Event, Fact, Kind
from railsail.core.logs import get_logger

DEFAULT_SAMPLED_PER_SECOND = 10.0
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
    return {"node": event.node, "stamp": event.stamp, **given, **event.facts}


def write_event(event: Event, ordinary: bool) -> None:
    """Write ``event`` as a log line."""
    get_logger().info(event.kind, ordinary=ordinary, **line_fields(event))


class DecisionLog:
    """Write events of one process by ``write``; the second argument is true for a sample's."""

    def __init__(
        self,
        clock: Clock,
        per_second: float = DEFAULT_SAMPLED_PER_SECOND,
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
        held_back = self._held_back.get(event.request)
        if event.notable and held_back:
            for earlier in held_back:
                self._write(earlier, False)
        if held_back is None:
            self._write(event, not event.notable)
        elif event.notable:
            self._held_back[event.request] = None
            self._write(event, False)
        else:
            held_back.append(event)
        if event.kind is Kind.ENDED:
            self._held_back.pop(event.request, None)

    def _begin(self, request: str) -> None:
        self._sampling.request(self._clock.monotonic())
        if self._sampling.chosen(request):
            return
        self._held_back[request] = []
        if len(self._held_back) > MOST_HELD_BACK:
            del self._held_back[next(iter(self._held_back))]
