"""How the calls that may go to the target version are divided among the dispatchers.

What a dispatcher was given counts as used, also where it is not heard any more: it may have sent
those calls, and another one may still send them while its allowance has not lapsed.
"""

from collections.abc import Mapping

from railsail.rollouts.gathering import Source


class Allotments:
    """Hold how many calls each dispatcher may send in all in one term."""

    def __init__(self) -> None:
        self._given: dict[Source, int] = {}

    @property
    def total(self) -> int:
        """Return how many calls were given away."""
        return sum(self._given.values())

    def of(self, source: Source) -> int:
        """Return how many calls ``source`` may send in all."""
        return self._given.get(source, 0)

    def divide(self, free: int, weights: Mapping[Source, float]) -> None:
        """Give ``free`` calls away in proportion to ``weights``, whole calls and no more."""
        total = sum(weights.values())
        if free <= 0 or total <= 0:
            return
        exact = {source: free * weight / total for source, weight in weights.items()}
        parts = {source: int(part) for source, part in exact.items()}
        left = free - sum(parts.values())
        by_rest = sorted(exact, key=lambda source: parts[source] - exact[source])
        for source in by_rest[:left]:
            parts[source] += 1
        for source, part in parts.items():
            self._given[source] = self.of(source) + part
