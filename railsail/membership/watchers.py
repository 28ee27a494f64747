"""Which nodes watch the platform's store; the others receive changes from their peers.

Only a few nodes watch, so that the calls to the store do not grow with the fleet. They are chosen
by hashing in each failure domain, since a domain that is cut off from the others may still reach
the store. If eight were chosen from a fleet of 62 nodes in three domains as a whole, a given domain
would have none of them in 3 of 100 fleets.
"""

from collections import defaultdict
from collections.abc import Iterable

from railsail.membership.placement import rank
from railsail.membership.table import Member

# Number of watchers in total, unless many failure domains need more.
TARGET_WATCHERS = 8
# Minimum number of watchers in each domain: one of them may be down.
MIN_WATCHERS_PER_DOMAIN = 2


def store_watchers(members: Iterable[Member]) -> set[str]:
    """Return those of ``members`` that watch the store."""
    nodes: defaultdict[str, list[str]] = defaultdict(list)
    for member in members:
        nodes[member.failure_domain].append(member.node)
    per_domain = max(MIN_WATCHERS_PER_DOMAIN, TARGET_WATCHERS // max(1, len(nodes)))
    chosen = [rank("store watchers", of_domain)[:per_domain] for of_domain in nodes.values()]
    return {node for of_domain in chosen for node in of_domain}
