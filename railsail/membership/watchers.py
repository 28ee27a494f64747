"""Which nodes watch the platform's store; the others hear of changes from their peers.

The few that watch are named by hashing, so that the store's calls do not grow with the fleet, and
so many in each failure domain: a domain that is cut off from the others may reach the store all the
same. Named over a fleet of 62 nodes in three domains as a whole, of eight none would be in a given
domain in 3 of 100 fleets.
"""

from collections import defaultdict
from collections.abc import Iterable

from railsail.membership.placement import rank
from railsail.membership.table import Member

# So many watch in all, where there are few failure domains.
WATCHERS = 8
# So many watch in each domain at least: one of them may be down.
LEAST_OF_DOMAIN = 2


def store_watchers(members: Iterable[Member]) -> set[str]:
    """Return those of ``members`` that watch the store."""
    nodes: defaultdict[str, list[str]] = defaultdict(list)
    for member in members:
        nodes[member.failure_domain].append(member.node)
    each = max(LEAST_OF_DOMAIN, WATCHERS // max(1, len(nodes)))
    chosen = [rank("store watchers", of_domain)[:each] for of_domain in nodes.values()]
    return {node for of_domain in chosen for node in of_domain}
