"""How the calls that may go to the target version are divided among the dispatchers.

The quota of a dispatcher stays counted after it has fallen silent: the dispatcher may have sent
those calls, and may still send them until its allowance expires.
"""

from collections.abc import Mapping

from railsail.rollouts.evidence_collector import Source


class Quotas:
    """The number of calls that each dispatcher may send in total in one term."""

    def __init__(self) -> None:
        self._calls_by_source: dict[Source, int] = {}

    @property
    def total(self) -> int:
        """Return how many calls have been assigned to dispatchers."""
        return sum(self._calls_by_source.values())

    def of(self, source: Source) -> int:
        """Return how many calls ``source`` may send in total."""
        return self._calls_by_source.get(source, 0)

    def divide(self, free: int, weights: Mapping[Source, float]) -> None:
        """Assign ``free`` more calls in proportion to ``weights``, by the largest remainders."""
        total = sum(weights.values())
        if free <= 0 or total <= 0:
            return
        exact = {source: free * weight / total for source, weight in weights.items()}
        parts = {source: int(part) for source, part in exact.items()}
        remainder = free - sum(parts.values())
        by_remainder = sorted(exact, key=lambda source: parts[source] - exact[source])
        for source in by_remainder[:remainder]:
            parts[source] += 1
        for source, part in parts.items():
            self._calls_by_source[source] = self.of(source) + part
