"""Estimates of what a request will cost, and charges that grow with a stream."""

# Smoothing factor of the running mean.
GAIN = 0.1
# When the cost of a stream reaches its charge, the charge grows by this part of the estimate, but
# by at least the minimum step, in cost units.
STEP_SHARE = 0.25
MIN_STEP = 16.0
# Pairs of workspace and pool that are remembered; the oldest is dropped when there are more.
MAX_KEYS = 1024


class CostEstimator:
    """The running mean of the cost per workspace and pool, in the pool's cost unit."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, workspace: str, pool: str, initial: float) -> float:
        """Return the expected cost, or ``initial`` before any cost was observed."""
        return self._means.get((workspace, pool), initial)

    def observe(self, workspace: str, pool: str, cost: float) -> None:
        """Record the ``cost`` of a request that has ended."""
        key = (workspace, pool)
        if key not in self._means and len(self._means) >= MAX_KEYS:
            self._means.pop(next(iter(self._means)))
        mean = self._means.get(key, cost)
        self._means[key] = mean + GAIN * (cost - mean)


class ChargeMeter:
    """The charge of a running request, which grows in steps with its cost.

    The charge is kept ahead of the cost by at most one step. So a dispatcher never counts less than
    was served, and receives messages only about requests that exceed their estimate.
    """

    def __init__(self, estimate: float) -> None:
        self.charged = estimate
        self._step = max(MIN_STEP, estimate * STEP_SHARE)

    def overrun(self, cost: float) -> float | None:
        """Return the new charge if ``cost`` has reached the current one, else ``None``."""
        if cost < self.charged:
            return None
        while self.charged <= cost:
            self.charged += self._step
        return self.charged
