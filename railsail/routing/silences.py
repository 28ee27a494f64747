"""Track which replicas are silent under requests of this node, and record how each silence ends."""

import asyncio
import enum
from collections import Counter
from dataclasses import dataclass

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.routing.context import RoutingContext


class SilenceEnd(enum.StrEnum):
    """How a silence ended, which is a label of the metric."""

    WENT_ON = "went-on"
    REPLACED = "replaced"
    FAILED = "failed"
    DEADLINE = "deadline"
    CALLER_LEFT = "caller-left"


_DETAILS = {
    SilenceEnd.WENT_ON: "the silent replica went on",
    SilenceEnd.REPLACED: "another attempt replaces the silent one",
    SilenceEnd.FAILED: "the attempt failed while its replica was silent",
    SilenceEnd.DEADLINE: "the deadline passed while the replica was silent",
    SilenceEnd.CALLER_LEFT: "the caller left while the replica was silent",
}


@dataclass(frozen=True)
class Silence:
    """A silence of ``replica`` since ``since``, in seconds of the event loop."""

    owner: "Silences"
    context: RoutingContext
    replica: str
    since: float

    def ended(self, end: SilenceEnd, replica: str) -> None:
        """Record how the silence ended, and at which replica the request goes on, if at any."""
        self.owner.record_end(self, end, replica)

    @property
    def facts(self) -> dict[str, Fact]:
        """Return what to log about the silence."""
        seconds = asyncio.get_running_loop().time() - self.since
        facts: dict[str, Fact] = {"replica": self.replica, "silent_ms": round(seconds * 1000)}
        facts["attempts"] = self.context.attempts
        if self.context.stream.last_event:
            facts["last_event"] = self.context.stream.last_event
        return facts


class Silences:
    """The silences of replicas under requests of this node, in the metrics and on the time line."""

    def __init__(self, kernel: Kernel) -> None:
        self._silent: Counter[str] = Counter()
        self._events = kernel.events
        self._metrics = kernel.metrics

    @property
    def silent_replicas(self) -> frozenset[str]:
        """Return the replicas that are silent under a request now."""
        return frozenset(self._silent)

    def begin(self, context: RoutingContext, replica: str, since: float) -> Silence:
        """Record that ``replica`` has sent nothing since ``since``, and return the silence."""
        silence = Silence(self, context, replica, since)
        self._silent[replica] += 1
        self._emit(context, "the replica is silent, the attempt goes on", silence.facts)
        return silence

    def record_end(self, silence: Silence, end: SilenceEnd, replica: str) -> None:
        """Record how ``silence`` ended, and the ``replica`` at which the request goes on."""
        self._silent -= Counter([silence.replica])
        self._metrics.silences.inc({"end": end})
        facts: dict[str, Fact] = {"end": end, **silence.facts}
        if end is SilenceEnd.REPLACED:
            facts["replaced_by"] = replica
        elif silence.context.give_up_reason:
            facts["not_replaced"] = silence.context.give_up_reason
        self._emit(silence.context, _DETAILS[end], facts)

    def replacement_failed(self, context: RoutingContext, replica: str) -> None:
        """Record that an attempt at ``replica`` failed, which was to replace a silent one."""
        detail = "the attempt that was to replace the silent one failed"
        self._emit(context, detail, {"replica": replica, "attempts": context.attempts})

    def _emit(self, context: RoutingContext, detail: str, facts: dict[str, Fact]) -> None:
        self._events.emit(Kind.SILENT, detail, context.request.id, context.workspace, **facts)
