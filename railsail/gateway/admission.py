"""Limits on the requests in flight at this node, per workspace and in total.

A workspace that floods the node is refused before it takes the capacity that others need: one
workspace may use at most half of the capacity that the others leave free.
"""

from railsail.core.outcomes import NotRun, Reason

FULL_RETRY_AFTER_SECONDS = 2.0
# With fewer requests than this, callers are not the reason why a node is late: this many streams
# take half of the time of a node with an eighth of a core.
MIN_OVERLOAD_REQUESTS = 16


class Admission:
    """Count of the requests in flight at this node, which refuses those beyond the limits."""

    def __init__(self, max_per_workspace: int, max_total: int) -> None:
        self._max_per_workspace = max_per_workspace
        self._max_total = max_total
        self._in_flight: dict[str, int] = {}
        self._in_flight_total = 0

    def in_flight(self, workspace: str) -> int:
        """Return the number of requests of ``workspace`` in flight."""
        return self._in_flight.get(workspace, 0)

    @property
    def total(self) -> int:
        """Return the number of all requests in flight."""
        return self._in_flight_total

    @property
    def can_refuse(self) -> bool:
        """Return True if enough requests are in flight for some workspace to be refused."""
        return self._in_flight_total >= min(self._max_per_workspace, (self._max_total + 1) / 2)

    @property
    def is_loaded(self) -> bool:
        """Return True if enough requests are in flight to keep the node busy."""
        return self._in_flight_total >= MIN_OVERLOAD_REQUESTS

    def causes_overload(self, workspace: str) -> bool:
        """Return True if ``workspace`` has a part in overloading the node.

        It then has many requests in flight, and no fewer than the average workspace.
        """
        in_flight = self.in_flight(workspace)
        return (
            in_flight >= MIN_OVERLOAD_REQUESTS
            and in_flight * len(self._in_flight) >= self._in_flight_total
        )

    def refusal(self, workspace: str) -> NotRun | None:
        """Return why another request of ``workspace`` would be refused, or ``None``."""
        in_flight = self.in_flight(workspace)
        if in_flight >= self._max_per_workspace:
            return NotRun(Reason.QUEUE_FULL, "of the workspace", FULL_RETRY_AFTER_SECONDS)
        if in_flight >= (self._max_total - self._in_flight_total + in_flight + 1) / 2:
            return NotRun(Reason.QUEUE_FULL, "of the node", FULL_RETRY_AFTER_SECONDS)
        return None

    def admit(self, workspace: str) -> NotRun | None:
        """Admit one more request of ``workspace``, or return its refusal."""
        refusal = self.refusal(workspace)
        if refusal is None:
            self._in_flight[workspace] = self.in_flight(workspace) + 1
            self._in_flight_total += 1
        return refusal

    def release(self, workspace: str) -> None:
        """Stop counting a request of ``workspace``."""
        self._in_flight_total -= 1
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]
