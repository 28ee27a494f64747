"""A budget that keeps retries from multiplying the load of a fleet that fails."""

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """A budget of one retry for every ten requests, and of ten retries at once."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def request(self) -> None:
        """Record the first attempt of a request."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def allow(self) -> bool:
        """Return True if a retry may be made, and take it out of the budget."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
