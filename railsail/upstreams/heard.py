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

SignalReader = Callable[[int, HTTPHeaders, float], AnswerSigns]


class HeardSigns:
    """The recorder of the signals in the heads of replicas' answers.

    A signal that a replica is leaving is broadcast to all nodes by the directory. A request for
    backoff applies to this node only.
    """

    def __init__(
        self, directory: UpstreamDirectory, backoffs: ReplicaBackoffs, kernel: Kernel
    ) -> None:
        self._directory = directory
        self._backoffs = backoffs
        self._clock = kernel.clock
        self._events = kernel.events
        directory.on_rebirth(self._on_restart)

    def listener(self, replica: str, read: SignalReader) -> HeadListener:
        """Return a listener for the heads of answers of ``replica``; ``read`` parses signals."""

        def on_head(status: int, headers: HTTPHeaders) -> None:
            self._record(replica, status, read(status, headers, self._clock.wall()))

        return on_head

    def _record(self, replica: str, status: int, signals: AnswerSigns) -> None:
        if signals.leaving:
            self._directory.sign_leaving(replica, Source.ANSWER, self._clock.wall())
        now = self._clock.monotonic()
        if not signals.backoff_seconds:
            self._backoffs.record_answer(replica, now)
        elif self._backoffs.extend(replica, signals.backoff_seconds, now):
            self._events.emit(
                Kind.UPSTREAM,
                "the replica asked this node to back off",
                replica=replica,
                status=status,
                rest_ms=round(signals.backoff_seconds * 1000),
            )

    def _on_restart(self, former: Upstream) -> None:
        # The new process has asked for no backoff.
        self._backoffs.forget(former.name)
