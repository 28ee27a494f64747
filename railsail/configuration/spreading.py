"""Dissemination of configurations: sent whole within a region, announced to other regions.

Each node forwards a new configuration to all its neighbours, so that most nodes receive it several
times. Between regions that would be most of the traffic of the daemons. Neighbours in other regions
are therefore only sent the version, a moment later, and request the configuration if they still
lack it.
"""

import asyncio

from railsail.membership.service import Membership
from railsail.peers.hub import PeerHub
from railsail.peers.messages import ConfigurationNews

# Delay of announcements. Within a region, a configuration reaches all nodes in a few hops of some
# milliseconds each.
ANNOUNCE_SECONDS = 0.1


class ConfigurationSpread:
    """Send configuration updates to the neighbours of this node."""

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
        # The changes of this update start after the version that they lead to. A node that is
        # behind requests that version, and no node parses the empty body.
        announced = ConfigurationNews(self._newest, self._newest, b"")
        for node in sorted(self._far()):
            self._hub.send(node, announced)
