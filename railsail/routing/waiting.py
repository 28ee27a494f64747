"""Connections that are accepted and not read yet, and the order in which they are started."""

from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec
from tornado.iostream import IOStream


class WaitingConnection(msgspec.Struct, frozen=True):
    """A connection that is accepted and not read; ``accepted_at`` is monotonic time in seconds."""

    accepted_at: float
    stream: IOStream
    start: Callable[[], None]


class WaitingConnections:
    """The waiting connections by workspace, empty for those whose workspace is not known."""

    def __init__(self) -> None:
        # The workspace whose turn it is comes first. Each one has at least one connection, in the
        # order in which they were accepted.
        self._of_workspace: OrderedDict[str, deque[WaitingConnection]] = OrderedDict()
        self._total = 0

    def __len__(self) -> int:
        return self._total

    def add(self, workspace: str, connection: WaitingConnection) -> None:
        """Add a connection, the newest one."""
        self._of_workspace.setdefault(workspace, deque()).append(connection)
        self._total += 1

    def pop_next(self) -> WaitingConnection:
        """Remove and return the newest connection of the workspace whose turn it is."""
        workspace, connections = next(iter(self._of_workspace.items()))
        connection = connections.pop()
        self._total -= 1
        self._of_workspace.move_to_end(workspace)
        self._remove_if_empty(workspace)
        return connection

    def pop_accepted_before(self, moment: float) -> list[WaitingConnection]:
        """Remove and return the connections that were accepted before ``moment``."""
        found = []
        for workspace, connections in list(self._of_workspace.items()):
            while connections and connections[0].accepted_at < moment:
                found.append(connections.popleft())
            self._remove_if_empty(workspace)
        self._total -= len(found)
        return found

    def _remove_if_empty(self, workspace: str) -> None:
        if not self._of_workspace[workspace]:
            del self._of_workspace[workspace]
