"""Record the signals that replicas give about themselves in answers of any kind."""

from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.http import HeadListener
from railsail.upstreams.records import Upstream
from railsail.upstreams.rests import ReplicaBackoffs
from railsail.upstreams.signs import AnswerSigns, Source

SignReader = Callable[[int, HTTPHeaders, float], AnswerSigns]


class HeardSigns:
    """Record the signals in the heads of replicas' answers.

    A signal that a replica is leaving is broadcast to all nodes by the directory. A request for
    backoff applies to this node only.
    """

    def __init__(
        self, directory: UpstreamDirectory, rests: ReplicaBackoffs, kernel: Kernel
    ) -> None:
        self._directory = directory
        self._rests = rests
        self._clock = kernel.clock
        self._events = kernel.events
        directory.on_rebirth(self._reborn)

    def listener(self, replica: str, read: SignReader) -> HeadListener:
        """Return a listener for the heads of answers of ``replica``; ``read`` parses signals."""

        def on_head(status: int, headers: HTTPHeaders) -> None:
            self._heard(replica, status, read(status, headers, self._clock.wall()))

        return on_head

    def _heard(self, replica: str, status: int, signs: AnswerSigns) -> None:
        if signs.leaving:
            self._directory.sign_leaving(replica, Source.ANSWER, self._clock.wall())
        now = self._clock.monotonic()
        if not signs.rest:
            self._rests.answered(replica, now)
        elif self._rests.asked(replica, signs.rest, now):
            self._events.emit(
                Kind.UPSTREAM,
                "the replica asked this node to back off",
                replica=replica,
                status=status,
                rest_ms=round(signs.rest * 1000),
            )

    def _reborn(self, before: Upstream) -> None:
        # The new process has asked for no backoff.
        self._rests.forget(before.name)
