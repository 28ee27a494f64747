"""What of the evidence is of the last seconds.

A version that turns bad has many good answers already; those of late show it sooner.
"""

from collections import deque
from collections.abc import Mapping, Sequence

from railsail.rollouts.evidence import RouteEvidence, Tally

RECENT_SECONDS = 4.0
# Evidence comes some times a second; of so long a time one copy is kept.
STEP_SECONDS = 0.5

_Routes = Mapping[int, RouteEvidence]


class RecentEvidence:
    """Remember earlier sums; times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._copies: deque[tuple[float, _Routes]] = deque()

    def of(self, routes: Sequence[RouteEvidence], now: float) -> list[RouteEvidence]:
        """Return what of ``routes``, the sums at ``now``, came in the last seconds."""
        self._keep(routes, now)
        _, before = self._copies[0]
        return [_since(route, before.get(route.route)) for route in routes]

    def _keep(self, routes: Sequence[RouteEvidence], now: float) -> None:
        copies = self._copies
        if not copies or now >= copies[-1][0] + STEP_SECONDS:
            copies.append((now, {route.route: route for route in routes}))
        # The oldest copy that is kept was made before the last seconds began.
        while len(copies) > 1 and copies[1][0] <= now - RECENT_SECONDS:
            copies.popleft()


def _since(route: RouteEvidence, before: RouteEvidence | None) -> RouteEvidence:
    if before is None:
        return route
    target = {
        replica: tally.since(before.target.get(replica, Tally()))
        for replica, tally in route.target.items()
    }
    return RouteEvidence(route.route, route.baseline.since(before.baseline), target)
