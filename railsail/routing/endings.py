"""Check whether an answer that ends with its connection has come to its end.

An answer with neither a length nor chunks is complete when its connection is closed. If the process
of a replica dies, its kernel closes all connections in the same way, so that a truncated answer
looks complete. Only the replica itself shows the difference: a process that has died does not
listen any more.
"""

from railsail.routing.answer import ReplicaAnswer
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.probing import refuses_connections

# The answer is held back during the probe. The host of a replica that has died refuses within a
# round trip, which takes 40 ms between regions.
PROBE_SECONDS = 0.1


async def is_cut_off(answer: ReplicaAnswer, replica: str, directory: UpstreamDirectory) -> bool:
    """Return True if the end of ``answer`` is the crash of ``replica``.

    A replica that leaves may exit right after its last answer, so that nothing is known of it.
    """
    if not answer.ends_with_connection or not answer.received_head.success:
        return False
    upstream = directory.get(replica)
    if upstream is None or upstream.leaving:
        return False
    return await refuses_connections(upstream.endpoint, PROBE_SECONDS)
