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
# this time after the first backoff ends. Only one request tries that replica at first, and its
# answer takes part of the time.
RETRY_JITTER_SECONDS = 0.5


class SendGate:
    """Keeps requests away from replicas that are leaving or in backoff.

    ``regions`` maps failure domains to regions.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        backoffs: ReplicaBackoffs,
        regions: Mapping[str, str],
        hub: PeerHub,
        kernel: Kernel,
    ) -> None:
        self._directory = directory
        self._backoffs = backoffs
        self._regions = regions
        self._hub = hub
        self._clock = kernel.clock
        self._rng: random.Random = kernel.rng

    def admit(self, replica: str, software_version: str | None = None) -> str:
        """Return why ``replica`` cannot be sent a request now, or an empty string if it can.

        If it can, the caller is expected to send the request at once. A request that continues a
        stream of ``software_version`` can be sent only to a replica that is known to run it,
        whatever the dispatcher knew.
        """
        upstream = self._directory.get(replica)
        if software_version is not None and not _runs(upstream, software_version):
            return f"the stream began at software version {software_version!r}"
        if upstream is not None and not self._directory.takes_version(upstream):
            return f"its version {upstream.software_version!r} was rolled back or replaced"
        if upstream is not None and not self._directory.takes_work(upstream):
            return "it leaves, or its failure domain is evacuated"
        now = self._clock.monotonic()
        if self._backoffs.resting(replica, now):
            return "it asked this node for rest"
        self._backoffs.sent(replica, now)
        return ""

    def excluded(self, pool: str) -> tuple[str, ...]:
        """Return the replicas of ``pool`` that are in backoff at this node, the longest first."""
        if not self._backoffs:
            return ()
        in_backoff = self._backoffs.all_resting(self._clock.monotonic())
        names = [name for name in in_backoff if self._is_of(pool, name)]
        return tuple(names[:MOST_EXCLUDED])

    def _is_of(self, pool: str, replica: str) -> bool:
        upstream = self._directory.get(replica)
        return upstream is not None and upstream.pool == pool

    def refusal(self, request: PoolRequest) -> NotRun | None:
        """Return a refusal if no replica can run ``request`` now, else ``None``.

        This is the case if all replicas are in backoff: the caller can retry when the first backoff
        ends. It is also the case if the request is bound to regions in which no replica accepts
        work, or continues a stream of a software version of which no replica accepts work.
        """
        if request.software_version is not None and not self._any_can_run(request):
            version = request.software_version
            detail = f"no replica of version {version!r}, which began the stream, takes work"
            return NotRun(Reason.VERSION_GONE, detail)
        if request.regions and not self._any_can_run(request):
            return NotRun(Reason.NO_ROOM, "no replica in its regions takes work")
        if not self._backoffs:
            return None
        seconds = self._seconds_until_usable(request)
        if seconds <= 0:
            return None
        retry_after = seconds + self._rng.uniform(0.0, RETRY_JITTER_SECONDS)
        detail = "all replicas asked this node for rest"
        return NotRun(Reason.NO_ROOM, detail, retry_after=retry_after, come_back=retry_after)

    def _any_can_run(self, request: PoolRequest) -> bool:
        return any(self._can_run(request, u) for u in self._directory.each_of_pool(request.pool))

    def _seconds_until_usable(self, request: PoolRequest) -> float:
        """Return the seconds until a replica can be sent ``request``, 0 if one can now.

        It is also 0 if no replica accepts work at all, so that the dispatcher decides.
        """
        now = self._clock.monotonic()
        seconds = math.inf
        for upstream in self._directory.each_of_pool(request.pool):
            if self._can_run(request, upstream):
                seconds = min(seconds, self._backoffs.seconds_left(upstream.name, now))
                if seconds <= 0:
                    break
        return seconds if math.isfinite(seconds) else 0.0

    def _can_run(self, request: PoolRequest, upstream: Upstream) -> bool:
        if not self._directory.takes_work(upstream):
            return False
        if request.software_version not in (None, upstream.software_version):
            return False
        return not request.regions or self._regions.get(upstream.failure_domain) in request.regions

    def send_if_leaving(self, node: str, replica: str) -> None:
        """Send the dispatcher ``node`` the record of the granted ``replica``, if it is leaving."""
        upstream = self._directory.get(replica)
        if upstream is not None and upstream.leaving:
            self._hub.send(node, self._directory.news_of(upstream))


def _runs(upstream: Upstream | None, software_version: str) -> bool:
    return upstream is not None and upstream.software_version == software_version
