"""Connections to replicas that are kept between requests: a connection pool for each replica.

A replica may forget an idle connection without a word, and resets what is next sent on it; whether
a request ran is then not known. So the first line of a request goes ahead, which no replica can
run. The rest follows when the line was acknowledged and nothing else came. If that fails, no
request was sent, and it goes on a new connection. This takes a round trip, as connecting does.
"""

import asyncio
from collections.abc import Callable

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.upstreams.http import CutOff, HttpRequest, connect, first_line
from railsail.upstreams.idle import MOST_AT_PLACE, IdleConnections, Place
from railsail.upstreams.streams import UpstreamStream

# A connection is looked at after the time that it took to connect and a little more, and then less
# and less often. The replica's process may reset it after its system has acknowledged the line.
SETTLE_SECONDS = 0.003
MOST_PAUSE_SECONDS = 0.05
# Acknowledgements may be held back for 40 ms.
MOST_CHECK_SECONDS = 0.1


class ConnectionPool:
    """Keep idle connections to replicas for at most ``seconds``.

    ``takes_work`` says whether requests may be sent to a place.
    """

    def __init__(
        self,
        seconds: float,
        takes_work: Callable[[Place], bool],
        kernel: Kernel,
        most_at_place: int = MOST_AT_PLACE,
    ) -> None:
        self.most_idle_seconds = seconds
        self._takes_work = takes_work
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._idle: IdleConnections[UpstreamStream] = IdleConnections(most_at_place)
        self._expiries: dict[UpstreamStream, asyncio.TimerHandle] = {}
        self._closed = False
        # Replicas may have forgotten the connections of a process that stood still.
        kernel.pauses.on_end(lambda seconds: self.clear("pause"))

    def __len__(self) -> int:
        return len(self._idle)

    def keeps(self, request: HttpRequest) -> bool:
        """Say whether the connection of ``request`` may be kept.

        Without an id a late answer to another request cannot be told from its own. A path that
        breaks the first line is refused by the codec, and must not be sent ahead.
        """
        if self._closed or not self.most_idle_seconds:
            return False
        named = request.replica and request.request_id
        return bool(named) and request.method != "HEAD" and request.path.isprintable()

    async def take(self, request: HttpRequest) -> UpstreamStream:
        """Return a connection for ``request``; raise ``NotSent`` if there is none."""
        if self.keeps(request):
            stream = await self._take_idle(request)
            if stream is not None:
                self._metrics.upstream_connections.inc({"use": "kept"})
                return stream
        stream = await connect(request)
        self._metrics.upstream_connections.inc({"use": "new"})
        return stream

    async def _take_idle(self, request: HttpRequest) -> UpstreamStream | None:
        stream = self._idle.take(_place(request))
        if stream is None:
            return None
        self._expiries.pop(stream).cancel()
        stream.set_close_callback(None)
        reason = "cancelled"
        try:
            reason = await _check(stream, first_line(request))
        finally:
            if reason:
                self._discard(stream, reason)
        if not reason:
            return stream
        self._tell(f"an idle connection is {reason}", request, stream)
        # What ended this connection may have ended the others of its replica.
        self.drop(request.replica, reason)
        return None

    def give_back(self, request: HttpRequest, stream: UpstreamStream, seconds: float) -> None:
        """Take back the connection of a whole answer, which may be idle for ``seconds``."""
        stream.answers += 1
        stream.answered_at = self._clock.monotonic()
        reason = self._unfit(request, stream, seconds)
        if reason:
            self._discard(stream, reason)
            return
        for surplus in self._idle.put(_place(request), stream):
            self._end(surplus, "surplus")
        loop = asyncio.get_running_loop()
        self._expiries[stream] = loop.call_later(seconds, self._remove, stream, "idle")
        stream.set_close_callback(lambda: self._remove(stream, "closed"))

    def _unfit(self, request: HttpRequest, stream: UpstreamStream, seconds: float) -> str:
        if seconds <= 0 or not self.keeps(request):
            return "not-kept"
        if not self._takes_work(_place(request)):
            return "leaving"
        # A request that is not written whole would go on where the next one is due.
        if stream.writing() or not stream.quiet():
            return "unread"
        return ""

    def broke(self, request: HttpRequest, stream: UpstreamStream, problem: BaseException) -> None:
        """Close the connection of an exchange that ended with ``problem``."""
        self._discard(stream, "broke")
        if not isinstance(problem, CutOff):
            return
        self.drop(request.replica, "broke")
        if stream.reused:
            detail = "a kept connection broke under a request"
            self._tell(detail, request, stream, notable=True, problem=str(problem))

    def _tell(
        self, detail: str, request: HttpRequest, stream: UpstreamStream, **facts: Fact
    ) -> None:
        self._events.emit(
            Kind.UPSTREAM,
            detail,
            request.request_id,
            replica=request.replica,
            answers=stream.answers,
            since_answer_ms=round((self._clock.monotonic() - stream.answered_at) * 1000),
            **facts,
        )

    def drop(self, replica: str, reason: str) -> None:
        """Close the idle connections of ``replica``."""
        for place in self._idle.places():
            if place.replica == replica:
                self._drop_place(place, reason)

    def _drop_place(self, place: Place, reason: str) -> None:
        for stream in self._idle.drop(place):
            self._end(stream, reason)

    def review(self) -> None:
        """Close the idle connections of replicas that may not be sent requests any more."""
        for place in self._idle.places():
            if not self._takes_work(place):
                self._drop_place(place, "leaving")

    def clear(self, reason: str) -> None:
        """Close all idle connections."""
        for place in self._idle.places():
            self._drop_place(place, reason)

    def close(self) -> None:
        """Close all idle connections, and keep no more."""
        self._closed = True
        self.clear("stop")

    def _remove(self, stream: UpstreamStream, reason: str) -> None:
        if self._idle.remove(stream):
            self._end(stream, reason)

    def _end(self, stream: UpstreamStream, reason: str) -> None:
        expiry = self._expiries.pop(stream, None)
        if expiry is not None:
            expiry.cancel()
        stream.set_close_callback(None)
        self._discard(stream, reason)

    def _discard(self, stream: UpstreamStream, reason: str) -> None:
        stream.close()
        self._metrics.upstream_connections_closed.inc({"reason": reason})


def _place(request: HttpRequest) -> Place:
    return Place(request.replica, request.endpoint)


async def _check(stream: UpstreamStream, line: bytes) -> str:
    """Send ``line`` ahead; return why the connection cannot be used, nothing if it can."""
    if not stream.quiet():
        return "closed"
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + MOST_CHECK_SECONDS
    pause = min(stream.connect_seconds + SETTLE_SECONDS, MOST_PAUSE_SECONDS)
    stream.set_nodelay(True)
    stream.send_ahead(line)
    while loop.time() < ends_at:
        await asyncio.sleep(min(pause, ends_at - loop.time()))
        acknowledged = stream.acknowledged()
        if not stream.quiet():
            return "forgotten"
        if acknowledged:
            return ""
        pause *= 2
    return "silent"
