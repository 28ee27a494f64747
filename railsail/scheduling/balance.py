"""Balance the cells of a pool so that the whole fleet is fair.

Each cell is fair among its own tickets at once, through the counters of its queue. What other cells
have served is known only after a delay. If cells ordered tickets by these late sums alone, every
cell would give all its capacity to the workspace that was behind a moment ago, and the fleet would
oscillate by the service of a whole delay. The sums therefore only adjust the weights: a workspace
that is behind by one scale counts double, one that is ahead by one scale counts half. The scale
follows the rate of service and the delay, which keeps the control loop stable: its gain times the
delay is about one half. See ``docs/design/cells.md``.
"""

from collections.abc import Callable, Mapping

# One scale is the service per weight of this many delays: a workspace that is behind by one scale
# has its weight doubled.
SCALE_DELAYS = 2.0
# The weight of a workspace is doubled or halved this many times at most.
MAX_DOUBLINGS = 3.0
# Smoothing factor of the service rate.
RATE_GAIN = 0.2
# A deficit is limited to this many scales, however long the cells could not reach each other.
MAX_SCALES = 6.0


class FleetBalance:
    """Factors on the weights of the workspaces that wait in one cell."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        # How far each workspace is behind the mean, and the mean service per second, both in cost
        # units per weight.
        self._deficits: dict[str, float] = {}
        self._rate = 0.0

    def update(
        self, gains: Mapping[str, float], waiting: list[str], seconds: float, delay: float
    ) -> dict[str, float]:
        """Return the factor on the weight of each workspace in ``waiting``.

        ``gains`` is the service of the whole fleet, in cost units, that became known in the last
        ``seconds``; ``delay`` is the age of these sums in seconds. The result is empty if fewer
        than two of the workspaces were waiting at the last update, too.
        """
        still_waiting = [name for name in waiting if name in self._deficits]
        self._deficits = {name: self._deficits.get(name, 0.0) for name in waiting}
        if len(still_waiting) < 2 or seconds <= 0:
            return {}
        # A workspace that has just started to wait had no claim to the service before that.
        shares = {name: gains.get(name, 0.0) / self._weight_of(name) for name in still_waiting}
        mean = sum(shares.values()) / len(shares)
        self._rate += RATE_GAIN * (mean / seconds - self._rate)
        scale = max(1.0, SCALE_DELAYS * self._rate * delay)
        for name in still_waiting:
            self._deficits[name] += mean - shares[name]
        self._limit_deficits(MAX_SCALES * scale)
        return {name: _factor(deficit / scale) for name, deficit in self._deficits.items()}

    def _limit_deficits(self, limit: float) -> None:
        # Only the differences matter. The mean is subtracted so that the deficits do not drift.
        mean_deficit = sum(self._deficits.values()) / len(self._deficits)
        for name, deficit in self._deficits.items():
            self._deficits[name] = min(max(deficit - mean_deficit, -limit), limit)


def _factor(deficit_in_scales: float) -> float:
    return 2.0 ** min(max(deficit_in_scales, -MAX_DOUBLINGS), MAX_DOUBLINGS)
