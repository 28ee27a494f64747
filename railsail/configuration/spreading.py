"""Dissemination of configurations: sent within a region, announced to other regions.

Each node forwards a new configuration to all its neighbours, so that most nodes receive it several
times. Between regions that would be most of the traffic of the daemons. Neighbours in other regions
are therefore only sent the version, a moment later, and request the configuration if they still
lack it.
"""

import asyncio

from railsail.configuration.exchange import ConfigurationExchange
from railsail.configuration.updates import Update
from railsail.membership.service import Membership

# Delay of announcements. Within a region, a configuration reaches all nodes in a few hops of some
# milliseconds each.
ANNOUNCE_DELAY_SECONDS = 0.1


class ConfigurationSpread:
    """Send configuration updates to the neighbours of this node."""

    def __init__(self, membership: Membership, exchange: ConfigurationExchange) -> None:
        self._membership = membership
        self._exchange = exchange
        self._newest_version = 0
        self._announcement_pending = False

    def send(self, update: Update, source: str = "") -> None:
        """Send ``update`` to all neighbours but ``source``."""
        self._newest_version = update.version
        elsewhere = self._neighbours_in_other_regions()
        for node in self._membership.neighbours():
            if node != source and node not in elsewhere:
                self._exchange.send(node, update)
        if elsewhere and not self._announcement_pending:
            self._announcement_pending = True
            asyncio.get_running_loop().call_later(ANNOUNCE_DELAY_SECONDS, self._announce)

    def _neighbours_in_other_regions(self) -> set[str]:
        table = self._membership.table
        members = [table.get(node) for node in self._membership.neighbours()]
        return {m.node for m in members if m is not None and m.region != table.own.region}

    def _announce(self) -> None:
        self._announcement_pending = False
        for node in sorted(self._neighbours_in_other_regions()):
            self._exchange.announce(node, self._newest_version)
