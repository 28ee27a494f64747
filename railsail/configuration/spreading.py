"""Pass configurations on to neighbours: whole within a region, announced to other regions.

Each node passes a new configuration on to all its neighbours, so that most get it several times.
Between regions that is most of what daemons send. So neighbours in other regions are told the
version alone, a moment later: whoever lacks it by then asks for it.
"""

import asyncio

from railsail.membership.service import Membership
from railsail.peers.hub import PeerHub
from railsail.peers.messages import ConfigurationNews

# Within a region a configuration is passed on to all in a few hops, of milliseconds each.
ANNOUNCE_SECONDS = 0.1


class ConfigurationSpread:
    """Send configuration news to the neighbours of this node."""

    def __init__(self, membership: Membership, hub: PeerHub) -> None:
        self._membership = membership
        self._hub = hub
        self._newest = 0
        self._due = False

    def send(self, news: ConfigurationNews, source: str = "") -> None:
        """Send ``news`` to all neighbours but ``source``."""
        self._newest = news.version
        far = self._far()
        for node in self._membership.neighbours():
            if node != source and node not in far:
                self._hub.send(node, news)
        if far and not self._due:
            self._due = True
            asyncio.get_running_loop().call_later(ANNOUNCE_SECONDS, self._announce)

    def _far(self) -> set[str]:
        table = self._membership.table
        members = [table.get(node) for node in self._membership.neighbours()]
        return {m.node for m in members if m is not None and m.region != table.own.region}

    def _announce(self) -> None:
        self._due = False
        # It builds on what it brings, so that whoever is behind asks, and nobody reads its body.
        announced = ConfigurationNews(self._newest, self._newest, b"")
        for node in sorted(self._far()):
            self._hub.send(node, announced)
