"""The results of calls that one dispatcher has counted by version since an order was given."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from railsail.rollouts.evidence import Tally, bucket_upper_bound, median_bucket
from railsail.scheduling.decisions import Flight
from railsail.scheduling.health import CallResult

# Routes beyond this number are counted together as the unknown route, so that the evidence of a
# service with 30 replicas of the target version fits into one message.
MAX_ROUTES = 60
# A caller that left before the first byte counts as a slow answer if it waited this many times the
# median time to the first byte on other versions, once these have given this many answers.
LATE_FACTOR = 3.0
MIN_ANSWERS = 10
_FAILED_ANSWERS = (CallResult.ERROR, CallResult.BROKE_OFF, CallResult.SILENT)


@dataclass(frozen=True)
class TallyKey:
    """One route on one version; ``replica`` is empty for the sum over all replicas."""

    route: int
    software_version: str
    replica: str


@dataclass
class CellTallies:
    """Counts of the results of calls in one cell; ``start`` identifies this series of counts.

    Replicas of ``target_version`` are counted separately, those of the other versions together.
    ``arrivals`` counts the calls granted on any version.
    """

    order_version: int
    target_version: str
    start: int
    arrivals: int = 0
    _tallies: dict[TallyKey, Tally] = field(default_factory=dict)
    _routes: set[int] = field(default_factory=set)
    # By replica, when the counted call of its silence ended, until it starts an answer.
    _silent_at: dict[str, float] = field(default_factory=dict)

    def items(self) -> Iterator[tuple[TallyKey, Tally]]:
        """Yield each tally with its key."""
        yield from self._tallies.items()

    def answer_started(self, replica: str) -> None:
        """Record the start of an answer, which ends the silence of ``replica`` if there was one."""
        self._silent_at.pop(replica, None)

    def ended(self, flight: Flight, now: float, result: CallResult, was_cold: bool = False) -> None:
        """Count the end of a granted call at ``now`` if it is evidence about the version.

        A failed connection is not counted, because the replica gave no answer. A replica that
        ``was_cold`` is slow whichever version it runs, so only its failures are counted. A silence
        of a replica ends all of its calls, and counts as one failure.
        """
        if result is CallResult.SILENT and self._is_counted_silence(flight, now):
            return
        if was_cold and not result.failed:
            return
        whole = now - flight.started_at
        first = (flight.begun_at or now) - flight.started_at
        if result is CallResult.CALLER_LEFT:
            if not flight.begun_at and self._is_late(flight.route, whole):
                self._tally_for(flight).add(False, whole, whole)
        elif result.succeeded:
            self._tally_for(flight).add(False, first, whole)
        elif result in _FAILED_ANSWERS:
            self._tally_for(flight).add(True, first, whole)

    def _is_counted_silence(self, flight: Flight, now: float) -> bool:
        """Return True if the silence that ended ``flight`` was counted with another call."""
        silent_at = self._silent_at.get(flight.replica)
        if silent_at is not None and flight.started_at < silent_at:
            return True
        self._silent_at[flight.replica] = now
        return False

    def _tally_for(self, flight: Flight) -> Tally:
        version = flight.software_version
        replica = flight.replica if version == self.target_version else ""
        key = TallyKey(self._counted_route(flight.route), version, replica)
        return self._tallies.setdefault(key, Tally())

    def _counted_route(self, route: int) -> int:
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            return 0
        self._routes.add(route)
        return route

    def _is_late(self, route: int, waited: float) -> bool:
        """Return True if ``waited`` seconds is much longer than other versions usually take."""
        route = self._counted_route(route)
        baseline = Tally().merged(
            tally
            for key, tally in self._tallies.items()
            if key.route == route and key.software_version != self.target_version
        )
        if sum(baseline.first) < MIN_ANSWERS:
            return False
        return waited > LATE_FACTOR * bucket_upper_bound(median_bucket(baseline.first))
