"""Whether this node may send a request to the replica that a dispatcher granted it.

The dispatcher books, the node sends, and between the two, or because the dispatcher does not know,
the replica may have said that it leaves, or have asked this node for rest. So each grant is looked
at again when its request is sent.
"""

import math
import random
from collections.abc import Mapping

from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason
from railsail.dispatch.bookings import PoolRequest
from railsail.peers.hub import PeerHub
from railsail.peers.messages import MOST_EXCLUDED
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.records import Upstream
from railsail.upstreams.rests import ReplicaBackoffs

# Callers that find all replicas at rest come back within so many seconds after the first one is
# free, spread evenly: it is tried by one request, whose answer takes a part of that time.
COME_BACK_SPREAD_SECONDS = 0.5


class SendGate:
    """Hold back requests from replicas that leave or rest.

    ``regions`` names the region of each failure domain.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        rests: ReplicaBackoffs,
        regions: Mapping[str, str],
        hub: PeerHub,
        kernel: Kernel,
    ) -> None:
        self._directory = directory
        self._rests = rests
        self._regions = regions
        self._hub = hub
        self._clock = kernel.clock
        self._rng: random.Random = kernel.rng

    def admit(self, replica: str) -> str:
        """Return why ``replica`` is sent nothing now; empty if the request is sent at once."""
        upstream = self._directory.get(replica)
        if upstream is not None and not self._directory.takes_version(upstream):
            return f"its version {upstream.software_version!r} was rolled back or replaced"
        if upstream is not None and not self._directory.takes_work(upstream):
            return "it leaves, or its failure domain is evacuated"
        now = self._clock.monotonic()
        if self._rests.resting(replica, now):
            return "it asked this node for rest"
        self._rests.sent(replica, now)
        return ""

    def excluded(self, pool: str) -> tuple[str, ...]:
        """Return the replicas of ``pool`` that this node may not send to for a while."""
        if not self._rests:
            return ()
        resting = self._rests.all_resting(self._clock.monotonic())
        names = [name for name in resting if self._is_of(pool, name)]
        return tuple(names[:MOST_EXCLUDED])

    def _is_of(self, pool: str, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and upstream.pool == pool

    def refusal(self, want: PoolRequest) -> NotRun | None:
        """Return a refusal if no replica could run ``want`` now, else ``None``.

        Where all of them rest, its caller may come back when the first of them is free. Where it
        is bound to regions, none of their replicas may take work at all.
        """
        if want.regions and not self._any_takes(want):
            return NotRun(Reason.NO_ROOM, "no replica in its regions takes work")
        if not self._rests:
            return None
        first = self._first_end(want)
        if first <= 0:
            return None
        after = first + self._rng.uniform(0.0, COME_BACK_SPREAD_SECONDS)
        detail = "all replicas asked this node for rest"
        return NotRun(Reason.NO_ROOM, detail, retry_after=after, come_back=after)

    def _any_takes(self, want: PoolRequest) -> bool:
        return any(self._may_run(want, u) for u in self._directory.each_of_pool(want.pool))

    def _first_end(self, want: PoolRequest) -> float:
        """Return after how many seconds a replica may be sent ``want``, 0 if one may now.

        Where no replica takes work at all, it is 0 too: the dispatcher decides.
        """
        now = self._clock.monotonic()
        first = math.inf
        for upstream in self._directory.each_of_pool(want.pool):
            if self._may_run(want, upstream):
                first = min(first, self._rests.seconds_left(upstream.name, now))
                if first <= 0:
                    break
        return first if math.isfinite(first) else 0.0

    def _may_run(self, want: PoolRequest, upstream: Upstream) -> bool:
        if not self._directory.takes_work(upstream):
            return False
        return not want.regions or self._regions.get(upstream.failure_domain) in want.regions

    def tell(self, node: str, replica: str) -> None:
        """Tell the dispatcher ``node`` what is known of a ``replica`` that it granted."""
        upstream = self._directory.get(replica)
        if upstream is not None and upstream.leaving:
            self._hub.send(node, self._directory.news_of(upstream))
