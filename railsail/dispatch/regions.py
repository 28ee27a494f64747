"""The regions of the fleet.

The setting ``--domain-regions`` assigns each failure domain, and so its nodes and replicas, to a
region.
"""

import functools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from railsail.scheduling.overflow import WAY_SECONDS


@dataclass(frozen=True)
class FleetRegions:
    """The regions of this node, of failure domains and of other nodes.

    ``own`` is the region of this node. ``of_domains`` maps failure domains to regions, and
    ``of_node`` returns the region of a node, an empty string if it is unknown. With fewer than two
    regions, nothing depends on them.
    """

    own: str = ""
    of_domains: Mapping[str, str] = field(default_factory=dict)
    of_node: Callable[[str], str] = lambda node: ""

    @functools.cached_property
    def named(self) -> frozenset[str]:
        """Return the names of all regions of the fleet."""
        return frozenset(self.of_domains.values())

    def way_seconds(self, entry: str, dispatcher: str) -> float:
        """Return the network round trip of a ticket and its grant between two nodes.

        It is 0 within a region, and where the region of a node is unknown.
        """
        if len(self.named) <= 1:
            return 0.0
        regions = {self.of_node(entry), self.of_node(dispatcher)}
        return WAY_SECONDS if len(regions) > 1 and "" not in regions else 0.0
