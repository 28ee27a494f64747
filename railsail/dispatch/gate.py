"""Check whether this node can send a request to the replica that a dispatcher granted.

The dispatcher assigns the replica, and the entry sends the request. In the meantime, or unknown to
the dispatcher, the replica may have started to leave (to drain before it stops), or have asked this
node to back off. Each grant is therefore checked again just before its request is sent.
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

# Jitter on the retry time of callers that find all replicas in backoff. It spreads them evenly over
# this time after the first backoff ends. One request tries that replica first, and its answer takes
# part of the time.
COME_BACK_SPREAD_SECONDS = 0.5


class SendGate:
    """Keeps requests away from replicas that are leaving or in backoff.

    ``regions`` maps failure domains to regions.
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
        """Return why ``replica`` cannot be sent a request now, or an empty string if it can.

        If it can, the caller is expected to send the request at once.
        """
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
        """Return the replicas of ``pool`` that are in backoff at this node, the longest first."""
        if not self._rests:
            return ()
        resting = self._rests.all_resting(self._clock.monotonic())
        names = [name for name in resting if self._is_of(pool, name)]
        return tuple(names[:MOST_EXCLUDED])

    def _is_of(self, pool: str, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and upstream.pool == pool

    def refusal(self, want: PoolRequest) -> NotRun | None:
        """Return a refusal if no replica can run ``want`` now, else ``None``.

        This is the case if all replicas are in backoff: the caller can retry when the first backoff
        ends. It is also the case if the request is bound to regions in which no replica accepts
        work.
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
        """Return the seconds until a replica can be sent ``want``, 0 if one can now.

        It is also 0 if no replica accepts work at all, so that the dispatcher decides.
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
        """Send the dispatcher ``node`` the record of the granted ``replica``, if it is leaving."""
        upstream = self._directory.get(replica)
        if upstream is not None and upstream.leaving:
            self._hub.send(node, self._directory.news_of(upstream))
