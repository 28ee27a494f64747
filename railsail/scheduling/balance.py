"""Steer the cells of a pool towards fairness over the fleet, although news of it is late.

A cell is fair among its own tickets at once, by the counters of its queue. What other cells served
is known only after a delay. To order by late sums alone makes every cell give all it has to
whoever was behind a moment ago, and the fleet swings by a whole delay's service. So the sums only
tilt the weights: a workspace that is behind by one scale counts double, one ahead half. The scale
follows the measured rate of service and the delay, which keeps the loop stable (the gain times the
delay is about one half). ``docs/design/cells.md`` has the measurements.
"""

from collections.abc import Callable, Mapping

# How many delays' service per weight a workspace is behind when its weight counts double.
SCALE_DELAYS = 2.0
MOST_DOUBLINGS = 3.0
RATE_GAIN = 0.2
# Nobody is made up for more than this many scales, however long a partition was.
MOST_SCALES = 6.0


class FleetBalance:
    """The tilt of each workspace's weight in one cell."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._behind: dict[str, float] = {}
        self._rate = 0.0

    def update(
        self, gains: Mapping[str, float], waiting: list[str], seconds: float, delay: float
    ) -> dict[str, float]:
        """Return the factor on the weight of each workspace in ``waiting``.

        ``gains`` are the fleet's service in cost units that became known in the last ``seconds``;
        ``delay`` is how old such news is, in seconds.
        """
        stayed = [name for name in waiting if name in self._behind]
        self._behind = {name: self._behind.get(name, 0.0) for name in waiting}
        if len(stayed) < 2 or seconds <= 0:
            return {}
        # Whoever has just begun to wait had no claim to the service of the time before.
        shares = {name: gains.get(name, 0.0) / self._weight_of(name) for name in stayed}
        mean = sum(shares.values()) / len(shares)
        self._rate += RATE_GAIN * (mean / seconds - self._rate)
        scale = max(1.0, SCALE_DELAYS * self._rate * delay)
        for name in stayed:
            self._behind[name] += mean - shares[name]
        self._bound(MOST_SCALES * scale)
        return {name: _factor(behind / scale) for name, behind in self._behind.items()}

    def _bound(self, most: float) -> None:
        # Only differences matter: the middle is taken out, so that nothing drifts.
        middle = sum(self._behind.values()) / len(self._behind)
        for name, behind in self._behind.items():
            self._behind[name] = min(max(behind - middle, -most), most)


def _factor(scales: float) -> float:
    return 2.0 ** min(max(scales, -MOST_DOUBLINGS), MOST_DOUBLINGS)
