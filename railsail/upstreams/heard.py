"""Take note of what replicas say about themselves in answers, on every way that answers come."""

from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.upstreams.http import HeadListener
from railsail.upstreams.signs import AnswerSigns

SignReader = Callable[[int, HTTPHeaders, float], AnswerSigns]


class HeardSigns:
    """Hear the heads of replicas' answers."""

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._events = kernel.events

    def listener(self, replica: str, read: SignReader) -> HeadListener:
        """Return what hears the heads of answers of ``replica``, whose signs are ``read``."""

        def on_head(status: int, headers: HTTPHeaders) -> None:
            self._heard(replica, status, read(status, headers, self._clock.wall()))

        return on_head

    def _heard(self, replica: str, status: int, signs: AnswerSigns) -> None:
        if signs.leaving:
            self._events.emit(
                Kind.UPSTREAM, "said in an answer that it leaves", replica=replica, status=status
            )
        if signs.rest:
            self._events.emit(
                Kind.UPSTREAM,
                "asked this node for rest",
                replica=replica,
                status=status,
                rest_ms=round(signs.rest * 1000),
            )
