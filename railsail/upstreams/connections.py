"""A pool of keep-alive connections to replicas.

A replica may drop an idle connection without notice and reset it when the next request arrives. It
is then not known whether that request ran. A kept connection is therefore probed with the first
line of the request, which no replica can run on its own. The rest of the request follows once the
line was acknowledged and nothing else was received. If the probe fails, no request was sent, and
the request uses a new connection. The probe takes a round trip, as connecting does.
"""

import asyncio
from collections.abc import Callable

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.upstreams.http import CutOff, HttpRequest, connect, first_line
from railsail.upstreams.idle import MAX_IDLE_PER_REPLICA, IdleConnections, Place
from railsail.upstreams.streams import UpstreamStream

# A probe is first checked after the time that the connection took to connect plus this margin, then
# with exponential backoff. The margin leaves the replica's process the time to reset the connection
# after its operating system has acknowledged the line.
PROBE_MARGIN_SECONDS = 0.003
# Bounds the time to the first check.
MAX_FIRST_CHECK_SECONDS = 0.05
# Bounds the whole probe. An operating system may delay an acknowledgement by 40 ms.
MAX_PROBE_SECONDS = 0.1


class ConnectionPool:
    """A pool of idle connections to replicas, which are kept for at most ``seconds``.

    ``takes_work`` returns whether requests may be sent to a replica at its endpoint. At most
    ``max_per_replica`` idle connections are kept for each of them.
    """

    def __init__(
        self,
        seconds: float,
        takes_work: Callable[[Place], bool],
        kernel: Kernel,
        max_per_replica: int = MAX_IDLE_PER_REPLICA,
    ) -> None:
        self.max_idle_seconds = seconds
        self._takes_work = takes_work
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._idle: IdleConnections[UpstreamStream] = IdleConnections(max_per_replica)
        self._expiries: dict[UpstreamStream, asyncio.TimerHandle] = {}
        self._closed = False
        # While this process was suspended, replicas may have dropped their connections to it.
        kernel.pauses.on_end(lambda seconds: self.clear("pause"))

    def __len__(self) -> int:
        return len(self._idle)

    def can_keep(self, request: HttpRequest) -> bool:
        """Return True if ``request`` may use a kept connection, and its own be kept after it.

        A request without an id may not, because a late answer to an earlier request could be taken
        for its own. Neither may one with a control character in its path: the codec refuses it, so
        its first line must not be sent either.
        """
        if self._closed or not self.max_idle_seconds:
            return False
        named = request.replica and request.request_id
        return bool(named) and request.method != "HEAD" and request.path.isprintable()

    async def acquire(self, request: HttpRequest) -> UpstreamStream:
        """Return a connection for ``request``; raise ``NotSent`` if there is none."""
        if self.can_keep(request):
            stream = await self._acquire_idle(request)
            if stream is not None:
                self._metrics.upstream_connections.inc({"use": "kept"})
                return stream
        stream = await connect(request)
        self._metrics.upstream_connections.inc({"use": "new"})
        return stream

    async def _acquire_idle(self, request: HttpRequest) -> UpstreamStream | None:
        stream = self._idle.take(_target(request))
        if stream is None:
            return None
        self._expiries.pop(stream).cancel()
        stream.set_close_callback(None)
        reason = "cancelled"
        try:
            reason = await _probe(stream, first_line(request))
        finally:
            if reason:
                self._discard(stream, reason)
        if not reason:
            return stream
        self._log(f"an idle connection cannot be used: {reason}", request, stream)
        # The cause, such as a restart of the replica, may affect its other connections too.
        self.drop(request.replica, reason)
        return None

    def release(self, request: HttpRequest, stream: UpstreamStream, seconds: float) -> None:
        """Keep a connection after a complete answer, idle for at most ``seconds``, or close it."""
        stream.answers += 1
        stream.answered_at = self._clock.monotonic()
        reason = self._reason_to_close(request, stream, seconds)
        if reason:
            self._discard(stream, reason)
            return
        for surplus in self._idle.put(_target(request), stream):
            self._close_idle(surplus, "surplus")
        loop = asyncio.get_running_loop()
        self._expiries[stream] = loop.call_later(seconds, self._remove, stream, "idle")
        stream.set_close_callback(lambda: self._remove(stream, "closed"))

    def _reason_to_close(self, request: HttpRequest, stream: UpstreamStream, seconds: float) -> str:
        if seconds <= 0 or not self.can_keep(request):
            return "not-kept"
        if not self._takes_work(_target(request)):
            return "leaving"
        # The unwritten rest of this request would be sent in front of the next one.
        if stream.writing() or not stream.is_idle():
            return "unread"
        return ""

    def release_failed(
        self, request: HttpRequest, stream: UpstreamStream, problem: BaseException
    ) -> None:
        """Close the connection of an exchange that failed with ``problem``."""
        self._discard(stream, "broke")
        if not isinstance(problem, CutOff):
            return
        self.drop(request.replica, "broke")
        if stream.reused:
            detail = "a kept connection broke under a request"
            self._log(detail, request, stream, notable=True, problem=str(problem))

    def _log(
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
        """Close the idle connections to ``replica``; ``reason`` is a label of the metric."""
        for target in self._idle.targets():
            if target.replica == replica:
                self._drop_target(target, reason)

    def _drop_target(self, target: Place, reason: str) -> None:
        for stream in self._idle.drop(target):
            self._close_idle(stream, reason)

    def review(self) -> None:
        """Close the idle connections to replicas that may not be sent requests any more."""
        for target in self._idle.targets():
            if not self._takes_work(target):
                self._drop_target(target, "leaving")

    def clear(self, reason: str) -> None:
        """Close all idle connections."""
        for target in self._idle.targets():
            self._drop_target(target, reason)

    def close(self) -> None:
        """Close all idle connections, and keep none from now on."""
        self._closed = True
        self.clear("stop")

    def _remove(self, stream: UpstreamStream, reason: str) -> None:
        if self._idle.remove(stream):
            self._close_idle(stream, reason)

    def _close_idle(self, stream: UpstreamStream, reason: str) -> None:
        expiry = self._expiries.pop(stream, None)
        if expiry is not None:
            expiry.cancel()
        stream.set_close_callback(None)
        self._discard(stream, reason)

    def _discard(self, stream: UpstreamStream, reason: str) -> None:
        stream.close()
        self._metrics.upstream_connections_closed.inc({"reason": reason})


def _target(request: HttpRequest) -> Place:
    return Place(request.replica, request.endpoint)


async def _probe(stream: UpstreamStream, line: bytes) -> str:
    """Probe a kept connection with ``line``, the first line of the next request.

    Return why the connection cannot be used, as a label of the metric; an empty string if it can.
    """
    if not stream.is_idle():
        return "closed"
    loop = asyncio.get_running_loop()
    pause = min(stream.connect_seconds + PROBE_MARGIN_SECONDS, MAX_FIRST_CHECK_SECONDS)
    stream.set_nodelay(True)
    stream.send_in_advance(line)
    ends_at = loop.time() + MAX_PROBE_SECONDS
    # It is checked at least once, however late this process continues: a process that stalled while
    # it sent the line would otherwise take a sound connection for a silent one.
    while True:
        await asyncio.sleep(min(pause, max(0.0, ends_at - loop.time())))
        acknowledged = stream.acknowledged()
        if not stream.is_idle():
            return "forgotten"
        if acknowledged:
            return ""
        if loop.time() >= ends_at:
            return "silent"
        pause *= 2
