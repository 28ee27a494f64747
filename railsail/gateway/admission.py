"""Limits on the requests that this node holds at once, per workspace and in total.

A workspace that floods the node is refused before it takes the capacity that others need: one
workspace may hold at most half of the capacity that the others leave free.
"""

from railsail.core.outcomes import NotRun, Reason

FULL_RETRY_AFTER_SECONDS = 2.0
# With fewer requests than this, callers are not the reason why a node is late: this many streams
# take half of the time of a node with an eighth of a core.
MIN_OVERLOAD_REQUESTS = 16


class Admission:
    """Count the requests that this node holds, and refuse those beyond the limits."""

    def __init__(self, per_workspace: int, total: int) -> None:
        self._per_workspace = per_workspace
        self._total = total
        self._held: dict[str, int] = {}
        self._sum = 0

    def held(self, workspace: str) -> int:
        """Return the number of requests of ``workspace`` that the node holds."""
        return self._held.get(workspace, 0)

    @property
    def total(self) -> int:
        """Return the number of all requests that the node holds."""
        return self._sum

    @property
    def may_refuse(self) -> bool:
        """Return True if the node holds enough requests for some workspace to be refused."""
        return self._sum >= min(self._per_workspace, (self._total + 1) / 2)

    @property
    def crowded(self) -> bool:
        """Return True if the node holds enough requests to be kept busy by them."""
        return self._sum >= MIN_OVERLOAD_REQUESTS

    def crowds(self, workspace: str) -> bool:
        """Return True if ``workspace`` has a part in overloading the node.

        This is a workspace of which the node holds many requests, and no fewer than of the average
        one.
        """
        held = self.held(workspace)
        return held >= MIN_OVERLOAD_REQUESTS and held * len(self._held) >= self._sum

    def refusal(self, workspace: str) -> NotRun | None:
        """Return why another request of ``workspace`` would be refused, or ``None``."""
        held = self.held(workspace)
        if held >= self._per_workspace:
            return NotRun(Reason.QUEUE_FULL, "of the workspace", FULL_RETRY_AFTER_SECONDS)
        if held >= (self._total - self._sum + held + 1) / 2:
            return NotRun(Reason.QUEUE_FULL, "of the node", FULL_RETRY_AFTER_SECONDS)
        return None

    def enter(self, workspace: str) -> NotRun | None:
        """Admit one more request of ``workspace``, or return its refusal."""
        refused = self.refusal(workspace)
        if refused is None:
            self._held[workspace] = self.held(workspace) + 1
            self._sum += 1
        return refused

    def leave(self, workspace: str) -> None:
        """Stop counting a request of ``workspace``."""
        self._sum -= 1
        self._held[workspace] -= 1
        if not self._held[workspace]:
            del self._held[workspace]
