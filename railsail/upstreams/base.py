"""The typed interface to upstreams; each kind is a plug-in in its own module."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from railsail.core.outcomes import Outcome
from railsail.objects.kinds import CostUnit
from railsail.scheduling.room import LoadReport
from railsail.upstreams.http import HeadListener, ignore_head


class UpstreamCall(msgspec.Struct, frozen=True):
    """One call to one replica.

    ``endpoint`` is ``ip:port``. ``priority`` is passed to kinds that honour one, lower first.
    ``stream`` says that the caller asked for an event stream. ``on_head`` hears the head of each
    answer of the replica to this call, whatever becomes of it.
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


class AnswerSink(Protocol):
    """Where a kind puts the answer; awaiting it holds the replica back while the caller is slow."""

    started: bool

    async def start(self, status: int, content_type: str, whole: bool = False) -> None:
        """Begin the answer; ``whole`` says that all of it is there already."""

    async def write(self, chunk: bytes) -> None:
        """Add to the body of the answer."""

    def progress(self, cost: float) -> None:
        """Take note of the cost so far, in cost units."""


class UpstreamKind:
    """The base of all kinds of upstreams.

    Override ``run``; override ``load`` where replicas report their load, and ``cancel`` where a
    call goes on after its connection was closed.
    """

    reports_load = False

    async def run(self, call: UpstreamCall, sink: AnswerSink) -> Outcome:
        """Make ``call`` once, put a whole answer into ``sink``, and return the outcome.

        ``NotRun`` is returned only if no byte was sent, or the replica said so.
        """
        raise NotImplementedError

    async def load(self, endpoint: str, on_head: HeadListener) -> LoadReport | None:
        """Return the load that the replica reports, or ``None`` if it did not answer.

        ``on_head`` hears the head of its answer.
        """
        return None

    async def cancel(self, call: UpstreamCall) -> None:
        """Tell the replica that nobody waits for the answer any more."""
