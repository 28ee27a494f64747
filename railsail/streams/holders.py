"""Which nodes keep the record of a stream's origin, and which are asked for it.

All nodes compute nearly the same result, from the members that each of them can reach. More nodes
are asked than keep a record, because callers return after members were lost: the asking node then
has other candidates than the one that began the stream.
"""

from collections.abc import Collection, Iterable

from railsail.membership.placement import rank
from railsail.membership.table import Member

# The nodes that keep a record. The node that began the stream keeps it as well, but is gone in most
# cases in which a caller resumes its stream elsewhere. If half of all nodes are lost at once, one
# stream in eight of those that they served has no record left.
COPIES = 3
# The nodes of a region that write a record to the store. One of them may be unable to reach it.
STORED_COPIES = 2
# The nodes of each region that are asked for a record. When half of a fleet is lost, half of its
# candidates may be new ones.
ASKED = 10
# The candidates are this share of a region's nodes, but not fewer than the minimum. Each node has
# links to all of them.
CANDIDATE_SHARE = 1 / 12
MIN_CANDIDATES = 10


def candidates(members: Iterable[Member], dispatchers: Collection[str]) -> dict[str, list[str]]:
    """Return the nodes of each region that may keep records.

    Nodes that dispatch are left out as long as there are enough others, because load on them delays
    the requests of a whole pool.
    """
    by_region: dict[str, list[str]] = {}
    for member in members:
        by_region.setdefault(member.region, []).append(member.node)
    return {region: _choose(nodes, dispatchers) for region, nodes in by_region.items()}


def _choose(nodes: list[str], dispatchers: Collection[str]) -> list[str]:
    count = max(MIN_CANDIDATES, round(CANDIDATE_SHARE * len(nodes)))
    ranked = rank("stream origins", nodes)
    others = [node for node in ranked if node not in dispatchers]
    return [*others, *(node for node in ranked if node in dispatchers)][:count]


def keepers(key: int, by_region: dict[str, list[str]], own_region: str) -> list[str]:
    """Return the nodes that keep the record of stream ``key``, which began in ``own_region``.

    One of them at least is in another region, if there is any, in case all nodes of a region are
    lost.
    """
    job = f"stream {key}"
    others = [node for region, nodes in by_region.items() if region != own_region for node in nodes]
    remote = rank(job, others)
    own = rank(job, by_region.get(own_region, ()))[: COPIES - 1 if remote else COPIES]
    return own + remote[: COPIES - len(own)]


def asked(key: int, by_region: dict[str, list[str]]) -> list[str]:
    """Return the nodes to ask for the record of stream ``key``."""
    return [node for nodes in by_region.values() for node in rank(f"stream {key}", nodes)[:ASKED]]


def writers(key: int, by_region: dict[str, list[str]], region: str) -> list[str]:
    """Return the nodes of ``region`` that write the record of stream ``key`` to the store.

    The candidates ``by_region`` include the asking node. Nearly all writers are nodes that began
    the stream or keep its record.
    """
    return rank(f"stream {key}", by_region.get(region, ()))[:STORED_COPIES]
