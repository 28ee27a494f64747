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

    ``own`` is the region of this node. ``by_domain`` maps failure domains to regions, and
    ``region_of`` returns the region of a node, or an empty string if it is unknown. In a fleet of
    one region, or none, no decision depends on them.
    """

    own: str = ""
    by_domain: Mapping[str, str] = field(default_factory=dict)
    region_of: Callable[[str], str] = lambda node: ""

    @functools.cached_property
    def names(self) -> frozenset[str]:
        """Return the names of all regions of the fleet."""
        return frozenset(self.by_domain.values())

    def round_trip_seconds(self, entry: str, dispatcher: str) -> float:
        """Return the seconds that a ticket and its grant take between two nodes.

        Only the network between regions counts: the result is 0 within a region, and where the
        region of a node is unknown.
        """
        if len(self.names) <= 1:
            return 0.0
        regions = {self.region_of(entry), self.region_of(dispatcher)}
        return WAY_SECONDS if len(regions) > 1 and "" not in regions else 0.0
