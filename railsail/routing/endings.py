"""Check whether an answer that ends with its connection has come to its end.

An answer with neither a length nor chunks is complete when its connection is closed. If the process
of a replica dies, its kernel closes all connections in the same way, so that a truncated answer
looks complete. Only the replica itself shows the difference: a process that has died does not
listen any more.
"""

import enum

from railsail.routing.answer import ReplicaAnswer
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.probing import Probe, probe

# The answer is held back during the probe. The host of a replica answers within a round trip, which
# takes 40 ms between regions, so that only an unreachable host or a busy node takes longer.
PROBE_SECONDS = 0.5


class AnswerEnd(enum.Enum):
    """What the end of an answer was. An uncertain one is passed on, but proves nothing."""

    COMPLETE = enum.auto()
    CUT_OFF = enum.auto()
    UNCERTAIN = enum.auto()


_ENDS = {
    Probe.LISTENS: AnswerEnd.COMPLETE,
    Probe.REFUSED: AnswerEnd.CUT_OFF,
    Probe.UNKNOWN: AnswerEnd.UNCERTAIN,
}


async def check_end(answer: ReplicaAnswer, replica: str, directory: UpstreamDirectory) -> AnswerEnd:
    """Return what the end of ``answer`` was, which is the crash of ``replica`` if that is gone.

    A replica that leaves may exit right after its last answer, so that nothing is known of it.
    """
    if not answer.ends_with_connection or not answer.received_head.success:
        return AnswerEnd.COMPLETE
    upstream = directory.get(replica)
    if upstream is None or upstream.leaving:
        return AnswerEnd.UNCERTAIN
    return _ENDS[await probe(upstream.endpoint, PROBE_SECONDS)]
