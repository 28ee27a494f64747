"""What one dispatcher has seen of the versions of a service since an order was given."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from railsail.rollouts.evidence import Tally, class_end, median_class
from railsail.scheduling.decisions import Flight
from railsail.scheduling.health import CallResult

# Routes beyond so many are counted together, as a route that is not known: evidence of a service
# with 30 replicas of the target version then still fits into one message.
MOST_ROUTES = 60
# A caller that left before its answer began tells of a slow version where it had waited for so many
# times as long as usual, and so many answers have shown what is usual.
LATE_FACTOR = 3.0
LEAST_ANSWERS = 10


@dataclass(frozen=True)
class TallyKey:
    """One route on one version; ``replica`` is empty for the sum over all replicas."""

    route: int
    software_version: str
    replica: str


@dataclass
class CellTallies:
    """Count what became of calls, in sums that ``start`` tells from earlier ones.

    Replicas of ``target_version`` are counted each for itself, those of the others together.
    ``arrivals`` counts the calls granted on any version.
    """

    order_version: int
    target_version: str
    start: int
    arrivals: int = 0
    _tallies: dict[TallyKey, Tally] = field(default_factory=dict)
    _routes: set[int] = field(default_factory=set)

    def items(self) -> Iterator[tuple[TallyKey, Tally]]:
        """Give all tallies."""
        yield from self._tallies.items()

    def ended(self, flight: Flight, now: float, result: CallResult, was_cold: bool = False) -> None:
        """Count the end of a granted call at ``now``, if it tells of the version that ran it.

        A replica that could not be connected to has answered nothing. One that ``was_cold`` is slow
        whichever version it runs, so that of its answers only those that fail tell anything.
        """
        if was_cold and not result.failed:
            return
        whole = now - flight.started_at
        first = (flight.begun_at or now) - flight.started_at
        if result is CallResult.CALLER_LEFT:
            if not flight.begun_at and self._is_late(flight.route, whole):
                self._of(flight).add(False, whole, whole)
        elif result is CallResult.GOOD:
            self._of(flight).add(False, first, whole)
        elif result in (CallResult.ERROR, CallResult.BROKE_OFF):
            self._of(flight).add(True, first, whole)

    def _of(self, flight: Flight) -> Tally:
        version = flight.software_version
        replica = flight.replica if version == self.target_version else ""
        key = TallyKey(self._route(flight.route), version, replica)
        return self._tallies.setdefault(key, Tally())

    def _route(self, route: int) -> int:
        if route not in self._routes and len(self._routes) >= MOST_ROUTES:
            return 0
        self._routes.add(route)
        return route

    def _is_late(self, route: int, waited: float) -> bool:
        """Say whether ``waited`` seconds are far more than answers of the others usually take."""
        route = self._route(route)
        usual = Tally().merged(
            tally
            for key, tally in self._tallies.items()
            if key.route == route and key.software_version != self.target_version
        )
        if sum(usual.first) < LEAST_ANSWERS:
            return False
        return waited > LATE_FACTOR * class_end(median_class(usual.first))
