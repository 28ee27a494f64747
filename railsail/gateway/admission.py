"""Bounds on the requests that this node holds, of each workspace and in whole.

A workspace that floods is refused before it takes what others need: at most half of the places
that are still free may go to one workspace.
"""

from railsail.core.outcomes import NotRun, Reason

FULL_RETRY_SECONDS = 2.0
# With fewer requests than this, callers are not why a node is late: as many streams take half of a
# node with an eighth of a core.
LEAST_CROWD = 16


class Admission:
    """Count the requests held, and refuse those beyond the bounds."""

    def __init__(self, per_workspace: int, total: int) -> None:
        self._per_workspace = per_workspace
        self._total = total
        self._held: dict[str, int] = {}
        self._sum = 0

    def held(self, workspace: str) -> int:
        """Return the requests held of ``workspace``."""
        return self._held.get(workspace, 0)

    @property
    def total(self) -> int:
        """Return all requests held."""
        return self._sum

    @property
    def may_refuse(self) -> bool:
        """Say whether enough is held for some workspace to be refused."""
        return self._sum >= min(self._per_workspace, (self._total + 1) / 2)

    @property
    def crowded(self) -> bool:
        """Say whether enough is held to keep the node busy."""
        return self._sum >= LEAST_CROWD

    def crowds(self, workspace: str) -> bool:
        """Say whether many requests are held of ``workspace``, and more than of the mean one."""
        held = self.held(workspace)
        return held >= LEAST_CROWD and held * len(self._held) >= self._sum

    def refusal(self, workspace: str) -> NotRun | None:
        """Return why one more request of ``workspace`` would be refused, ``None`` if it is not."""
        held = self.held(workspace)
        if held >= self._per_workspace:
            return NotRun(Reason.QUEUE_FULL, "of the workspace", FULL_RETRY_SECONDS)
        if held >= (self._total - self._sum + held + 1) / 2:
            return NotRun(Reason.QUEUE_FULL, "of the node", FULL_RETRY_SECONDS)
        return None

    def enter(self, workspace: str) -> NotRun | None:
        """Hold one more request of ``workspace``, or return why not."""
        refused = self.refusal(workspace)
        if refused is None:
            self._held[workspace] = self.held(workspace) + 1
            self._sum += 1
        return refused

    def leave(self, workspace: str) -> None:
        """Let go of a request of ``workspace``."""
        self._sum -= 1
        self._held[workspace] -= 1
        if not self._held[workspace]:
            del self._held[workspace]
