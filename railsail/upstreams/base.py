"""The interface to upstreams. Each kind of upstream is a plug-in in a module of its own."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from railsail.core.buffers import Buffers
from railsail.core.outcomes import Outcome
from railsail.objects.kinds import CostUnit
from railsail.scheduling.room import LoadReport
from railsail.upstreams.http import HeadListener, ignore_head


class UpstreamCall(msgspec.Struct, frozen=True):
    """One call to one replica.

    ``endpoint`` is ``ip:port``. ``priority`` is sent to the kinds that support it; lower numbers
    are served first. ``stream`` is true if the caller requested an event stream. ``on_head`` is
    called with the status and headers of each answer of the replica to this call, also of one that
    is discarded. ``buffers`` bounds the answers that are held before they are passed on.
    """

    endpoint: str
    request_id: str
    workspace: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    priority: int
    stream: bool
    cost_unit: CostUnit
    on_head: HeadListener = ignore_head
    buffers: Buffers = msgspec.field(default_factory=Buffers)


class AnswerSink(Protocol):
    """The destination of an answer.

    A kind awaits each call, so that a slow caller slows the replica down. ``started`` is true once
    ``start`` was called.
    """

    started: bool

    async def start(self, status: int, content_type: str, whole: bool = False) -> None:
        """Start the answer; ``whole`` is true if it was already received completely."""

    async def write(self, chunk: bytes) -> None:
        """Append ``chunk`` to the body of the answer."""

    def progress(self, cost: float) -> None:
        """Record the cost of the call so far, in cost units of the pool."""


class UpstreamKind:
    """The base class of all kinds of upstreams.

    Override ``run``. Override ``load`` and set ``reports_load`` if the replicas report their load.
    Override ``cancel`` if a call continues after its connection was closed.
    """

    reports_load = False

    async def run(self, call: UpstreamCall, sink: AnswerSink) -> Outcome:
        """Make ``call`` once, write the answer into ``sink``, and return the outcome.

        ``NotRun`` is returned only if no byte was sent, or if the replica said that it did not run
        the request.
        """
        raise NotImplementedError

    async def load(self, endpoint: str, on_head: HeadListener) -> LoadReport | None:
        """Return the load that the replica reports, or ``None`` if it did not answer.

        ``on_head`` is called with the status and headers of its answer.
        """
        return None

    async def cancel(self, call: UpstreamCall) -> None:
        """Ask the replica to stop a call whose answer nobody waits for any more."""
