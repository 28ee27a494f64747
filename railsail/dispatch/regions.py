"""The regions of the fleet, as one node knows them.

``--domain-regions`` names the region of each failure domain, of nodes and of replicas alike.
"""

import functools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from railsail.scheduling.overflow import WAY_SECONDS


@dataclass(frozen=True)
class FleetRegions:
    """What a node knows of the regions; with one region or none, nothing depends on them.

    ``own`` is this node's, ``of_domains`` names that of each failure domain, ``of_node`` that of a
    node, empty where it is not known.
    """

    own: str = ""
    of_domains: Mapping[str, str] = field(default_factory=dict)
    of_node: Callable[[str], str] = lambda node: ""

    @functools.cached_property
    def named(self) -> frozenset[str]:
        """Return the regions of the fleet."""
        return frozenset(self.of_domains.values())

    def way_seconds(self, entry: str, dispatcher: str) -> float:
        """Return how long a ticket and its grant are on their way between two nodes."""
        if len(self.named) <= 1:
            return 0.0
        regions = {self.of_node(entry), self.of_node(dispatcher)}
        return WAY_SECONDS if len(regions) > 1 and "" not in regions else 0.0
