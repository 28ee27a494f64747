"""Estimates of what a request will cost, and charges that follow a stream."""

GAIN = 0.1
# A stream that overruns its charge is charged ahead by this share of the estimate.
STEP_SHARE = 0.25
LEAST_STEP = 16.0
MOST_KEYS = 1024


class CostEstimator:
    """A running mean of the cost per workspace and pool, in the pool's cost unit."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, workspace: str, pool: str, first: float) -> float:
        """Return the expected cost; ``first`` until a cost was seen."""
        return self._means.get((workspace, pool), first)

    def observe(self, workspace: str, pool: str, cost: float) -> None:
        """Take in the ``cost`` of a request that ended."""
        key = (workspace, pool)
        if key not in self._means and len(self._means) >= MOST_KEYS:
            self._means.pop(next(iter(self._means)))
        mean = self._means.get(key, cost)
        self._means[key] = mean + GAIN * (cost - mean)


class ChargeMeter:
    """Say when a running request must be charged more.

    The charge is kept ahead of the cost by at most one step, so that a dispatcher never counts less
    than was served, and hears only of requests that overrun their estimate.
    """

    def __init__(self, estimate: float) -> None:
        self.charged = estimate
        self._step = max(LEAST_STEP, estimate * STEP_SHARE)

    def overrun(self, cost: float) -> float | None:
        """Return the new charge if ``cost`` reached the present one, else ``None``."""
        if cost < self.charged:
            return None
        while self.charged <= cost:
            self.charged += self._step
        return self.charged
