"""Steer the cells of a pool towards fairness over the fleet, although news of it is late.

A cell is fair among its own tickets at once, by the counters of its queue. What other cells served
is known only after a delay. To order by late sums alone makes every cell give all it has to
whoever was behind a moment ago, and the fleet swings by a whole delay's service. So the sums only
tilt the weights: a workspace that is behind by one scale counts double, one ahead half. The scale
follows the measured rate of service and the delay, which keeps the loop stable (the gain times the
delay is about one half). ``docs/internals/design/cells.md`` has the measurements.
"""

from collections.abc import Callable, Mapping

# How many delays' service per weight a workspace is behind when its weight counts double.
SCALE_DELAYS = 1.5
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
        self._behind = {name: self._behind.get(name, 0.0) for name in waiting}
        if len(waiting) < 2 or seconds <= 0:
            return {}
        shares = {name: gains.get(name, 0.0) / self._weight_of(name) for name in waiting}
        mean = sum(shares.values()) / len(shares)
        self._rate += RATE_GAIN * (mean / seconds - self._rate)
        scale = max(1.0, SCALE_DELAYS * self._rate * delay)
        return {name: self._factor(name, mean - shares[name], scale) for name in waiting}

    def _factor(self, workspace: str, change: float, scale: float) -> float:
        most = MOST_SCALES * scale
        behind = min(max(self._behind[workspace] + change, -most), most)
        self._behind[workspace] = behind
        doublings = min(max(behind / scale, -MOST_DOUBLINGS), MOST_DOUBLINGS)
        return 2.0**doublings
