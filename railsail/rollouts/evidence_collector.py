"""The evidence that the coordinator of a rollout has received in its term."""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from railsail.peers.messages import RolloutEvidence
from railsail.peers.records import TallyRecord
from railsail.rollouts.evidence import RouteEvidence, Tally

# Dispatchers send evidence four times a second. One that has sent none for this long is silent.
EVIDENCE_TIMEOUT_SECONDS = 1.0
# The route fingerprint of calls whose route is not known.
UNKNOWN_ROUTE = 0
# The period over which the arrival rate is measured.
RATE_WINDOW_SECONDS = 3.0


@dataclass(frozen=True)
class Source:
    """A dispatcher of a cell that follows the order of one ``version``.

    ``start`` identifies the series of counts that it sends, and ``process_start_id`` the process of
    its node.
    """

    cell: int
    node: str
    start: int
    version: int
    process_start_id: int


@dataclass
class _SourceEvidence:
    """The first and the newest evidence of a source; the newest came at ``received_at``."""

    first: RolloutEvidence
    newest: RolloutEvidence
    received_at: float

    @property
    def arrivals(self) -> int:
        return self.newest.arrivals - self.first.arrivals


class EvidenceCollector:
    """The newest evidence of each dispatcher; times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._by_source: dict[Source, _SourceEvidence] = {}
        self._samples: deque[tuple[float, int]] = deque()

    def record(
        self, node: str, process_start_id: int, evidence: RolloutEvidence, now: float
    ) -> None:
        """Record ``evidence`` of the dispatcher at ``node``; ignore it if newer evidence exists."""
        source = Source(evidence.cell, node, evidence.start, evidence.version, process_start_id)
        known = self._by_source.get(source)
        if known is None:
            self._by_source[source] = _SourceEvidence(evidence, evidence, now)
        elif evidence.arrivals >= known.newest.arrivals:
            known.newest = evidence
            known.received_at = now
        self._sample(now)

    def _sample(self, now: float) -> None:
        self._samples.append((now, self.arrivals))
        while self._samples[0][0] < now - RATE_WINDOW_SECONDS:
            self._samples.popleft()

    def recent_sources(self, now: float) -> list[Source]:
        """Return the dispatchers that recently sent evidence, the most recent last."""
        found = [
            s
            for s, source_evidence in self._by_source.items()
            if source_evidence.received_at > now - EVIDENCE_TIMEOUT_SECONDS
        ]
        return sorted(found, key=lambda source: self._by_source[source].received_at)

    def arrivals_of(self, source: Source) -> int:
        """Return how many calls ``source`` has granted since its first evidence."""
        return self._by_source[source].arrivals

    def exposed_of(self, source: Source, term: int) -> int:
        """Return how many calls ``source`` has sent to the target version in ``term``."""
        newest = self._by_source[source].newest
        return newest.exposed if newest.term == term else 0

    @property
    def arrivals(self) -> int:
        """Return how many calls have arrived since each dispatcher's first evidence, at least."""
        return sum(source_evidence.arrivals for source_evidence in self._by_source.values())

    def rate(self, now: float) -> float:
        """Return the recent arrival rate in calls per second."""
        if not self._samples:
            return 0.0
        since, before = self._samples[0]
        return (self.arrivals - before) / (now - since) if now > since else 0.0

    def running(self, sources: Iterable[Source]) -> int:
        """Return how many calls are in flight on other versions, as reported by ``sources``."""
        return sum(self._by_source[source].newest.running for source in sources)

    def routes(self, target_version: str) -> list[RouteEvidence]:
        """Return the evidence of all dispatchers added up by route.

        Calls granted before the order have no known route. They are left out unless the target has
        such calls, too: otherwise it would never have answers to compare with them.
        """
        baseline: dict[int, Tally] = defaultdict(Tally)
        target: dict[int, dict[str, Tally]] = defaultdict(dict)
        for source_evidence in self._by_source.values():
            for record in source_evidence.newest.tallies:
                if record.software_version == target_version:
                    _add(target[record.route], record)
                else:
                    baseline[record.route] = baseline[record.route].merged([_tally(record)])
        if UNKNOWN_ROUTE not in target:
            baseline.pop(UNKNOWN_ROUTE, None)
        routes = sorted(baseline.keys() | target.keys())
        return [_evidence(route, baseline, target) for route in routes]


def _evidence(
    route: int, baseline: Mapping[int, Tally], target: Mapping[int, dict[str, Tally]]
) -> RouteEvidence:
    return RouteEvidence(route, baseline.get(route, Tally()), target.get(route, {}))


def _add(replicas: dict[str, Tally], record: TallyRecord) -> None:
    replicas[record.replica] = replicas.get(record.replica, Tally()).merged([_tally(record)])


def _tally(record: TallyRecord) -> Tally:
    return Tally(record.answers, record.failed, record.first, record.whole)
