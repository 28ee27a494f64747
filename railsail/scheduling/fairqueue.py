"""A fair queue between workspaces, by virtual counters.

Each workspace has a counter: the service charged to it, in cost units, divided by the weight of its
priority class. The waiting workspace with the lowest counter is served next. When a workspace
starts to wait, its counter is raised to the lowest one that waits, less ``credit``. With a credit
of 0, a workspace gains nothing by being idle. With the credit of a fairness window
(``RecentUsage``) it can be ahead by the mean service of one window at most, and the bound below is
wider by that amount.

Sources: start-time fair queueing (Goyal et al., 1996); virtual token counters (Sheng et al., 2024).

The bound. Let ``w`` be a weight, ``e`` the largest charge made at a grant, ``c`` the largest cost
of a request and ``n`` the largest number of requests of one workspace in flight. A workspace is
granted a ticket only while its counter is the lowest, so that a grant leaves it at most ``e / w``
above every other one that waits. What its requests cost beyond their charge is added later, at most
``n * max(c - e, 0) / w`` at once, and it gets no grant while it is above the others. The service
given differs from the service charged by at most ``n * max(c, e)``. So the service per weight of
two workspaces that both wait differs by at most ``(e + n * max(c, e)) / w`` for each side, whatever
arrives. This is the worst case, in which each request in flight of one workspace has the largest
cost. Charges that grow with the stream (see ``ChargeMeter``) keep ``c - e`` near one step, and so
the difference far below the bound.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from typing import NamedTuple

from railsail.scheduling.tickets import Ticket, TicketKey

# After a merge of counters, no workspace may be further behind than this many of the largest
# charge.
CATCH_UP_CHARGES = 8.0


class _QueuedTicket(NamedTuple):
    """The position of a ticket in the queue of its workspace.

    The sequence number orders tickets with the same sort key.
    """

    sort_key: float
    sequence: int
    ticket: Ticket


class FairQueue:
    """The waiting tickets of one cell, and the counters of their workspaces.

    Tickets that continue streams are kept apart from those of their workspaces. They can run on a
    part of the replicas only, so that one of them at the head of a workspace would block tickets
    that can run on the others.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._counters: dict[str, float] = {}
        # The tickets of each workspace that waits, in the order in which they are served.
        self._queues: dict[str, list[_QueuedTicket]] = {}
        self._waiting: dict[TicketKey, _QueuedTicket] = {}
        # The tickets that continue streams, in the order of their arrival.
        self._continuations: dict[TicketKey, Ticket] = {}
        self._sequence = 0
        self._virtual_time = 0.0
        self._largest_charge = 1.0
        self._factors: dict[str, float] = {}
        # How far below the lowest counter a workspace may start to wait, in cost units per weight.
        self.credit = 0.0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._continuations)

    @property
    def movable(self) -> int:
        """Return the number of tickets that other cells can serve: all but continuations."""
        return len(self._waiting)

    def __contains__(self, key: TicketKey) -> bool:
        return key in self._waiting or key in self._continuations

    def push(self, ticket: Ticket) -> None:
        """Add ``ticket``; it replaces one with the same key."""
        self.remove(ticket.key)
        if ticket.workspace not in self._queues:
            self.raise_counter(ticket.workspace)
        if ticket.is_continuation:
            self._continuations[ticket.key] = ticket
            return
        self._sequence += 1
        queued = _QueuedTicket(ticket.sort_key, self._sequence, ticket)
        insort(self._queues.setdefault(ticket.workspace, []), queued)
        self._waiting[ticket.key] = queued

    def remove(self, key: TicketKey) -> Ticket | None:
        """Remove the ticket of ``key`` and return it, or ``None`` if it does not wait."""
        queued = self._waiting.pop(key, None)
        if queued is None:
            return self._continuations.pop(key, None)
        workspace = queued.ticket.workspace
        queue = self._queues[workspace]
        del queue[bisect_left(queue, queued)]
        if not queue:
            del self._queues[workspace]
        return queued.ticket

    def workspaces(self) -> list[str]:
        """Return the workspaces that wait, in the order in which they are served.

        Those of which only continuations of streams wait are left out.
        """
        return sorted(self._queues, key=lambda name: (self.counter(name), name))

    def head(self, workspace: str) -> Ticket:
        """Return the ticket of ``workspace`` to serve first, without removing it.

        The workspace must have a waiting ticket.
        """
        return self._queues[workspace][0].ticket

    def first_workspace(self) -> str:
        """Return the workspace to serve first; at least one must wait."""
        return min(self._queues, key=lambda name: (self.counter(name), name))

    def tickets(self, workspace: str) -> list[Ticket]:
        """Return the tickets of ``workspace``, in the order in which they are served.

        Those that continue streams are left out.
        """
        return [queued.ticket for queued in self._queues.get(workspace, ())]

    def continuations(self) -> list[Ticket]:
        """Return the tickets that continue streams, in the order of their arrival."""
        return list(self._continuations.values())

    def all_tickets(self) -> list[Ticket]:
        """Return all waiting tickets, in no particular order."""
        return [*(queued.ticket for queued in self._waiting.values()), *self.continuations()]

    def dequeue(self, ticket: Ticket) -> None:
        """Remove a waiting ``ticket`` in order to serve it, and charge its estimate."""
        workspace = ticket.workspace
        self._virtual_time = max(self._virtual_time, self.counter(workspace))
        self.remove(ticket.key)
        self.charge(workspace, ticket.estimate)

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the tickets that have waited longer than their maximum at ``now``."""
        expired = [ticket for ticket in self.all_tickets() if ticket.has_expired(now)]
        for ticket in expired:
            self.remove(ticket.key)
        return expired

    def counter(self, workspace: str) -> float:
        """Return the counter of ``workspace``, in cost units per weight."""
        return self._counters.get(workspace, self._virtual_time)

    def counters(self) -> dict[str, float]:
        """Return all counters that are kept."""
        return dict(self._counters)

    def weight(self, workspace: str) -> float:
        """Return the weight of ``workspace``."""
        return self._weight_of(workspace)

    def lead(self, workspace: str) -> float:
        """Return how far the counter of ``workspace`` is above the lowest one that waits."""
        return self.counter(workspace) - self._lowest_counter()

    def charge(self, workspace: str, cost: float) -> None:
        """Add ``cost`` to the counter; it is negative where an estimate was too high."""
        self._largest_charge = max(self._largest_charge, cost)
        weight = self._weight_of(workspace) * self._factors.get(workspace, 1.0)
        self._counters[workspace] = self.counter(workspace) + cost / weight

    def tilt(self, factors: dict[str, float]) -> None:
        """Multiply the weights by ``factors`` from now on; see ``FleetBalance``."""
        self._factors = factors

    @property
    def virtual_time(self) -> float:
        """Return the counter of workspaces without one of their own, in cost units per weight."""
        return self._virtual_time

    def advance(self, virtual_time: float) -> None:
        """Raise the virtual time to that of an earlier dispatcher of the cell.

        Without this, a workspace whose counter was dropped would start below all those that have
        one.
        """
        self._virtual_time = max(self._virtual_time, virtual_time)

    def merge(self, counters: Iterable[tuple[str, float]]) -> None:
        """Raise the counters to those of an earlier dispatcher of the cell.

        No counter stays further below the highest one than the catch-up bound allows.
        """
        for workspace, counter in counters:
            self._counters[workspace] = max(self._counters.get(workspace, counter), counter)
        self.bound_catch_up()

    def bound_catch_up(self) -> None:
        """Raise each counter that is further below the highest one than the bound allows."""
        if not self._queues:
            return
        max_counter = max(self.counter(name) for name in self._queues)
        min_counter = max_counter - self.catch_up_bound
        for name in self._queues:
            if self.counter(name) < min_counter:
                self._counters[name] = min_counter

    @property
    def catch_up_bound(self) -> float:
        """Return how far a workspace may be behind after a merge, in cost units per weight."""
        min_weight = min(self._weight_of(name) for name in self._queues)
        return CATCH_UP_CHARGES * self._largest_charge / min_weight

    def forget_idle(self, busy: set[str]) -> None:
        """Drop counters that would be raised anyway when their workspace waits again.

        Workspaces in ``busy`` have requests in flight, and keep their counters.
        """
        lowest = self._lowest_counter()
        for name in list(self._counters):
            idle = name not in self._queues and name not in busy
            if idle and self._counters[name] <= lowest - self.credit:
                del self._counters[name]

    def raise_counter(self, workspace: str) -> None:
        """Raise the counter of ``workspace`` to the lowest one that waits, less the credit."""
        min_counter = self._lowest_counter() - self.credit
        self._counters[workspace] = max(self._counters.get(workspace, min_counter), min_counter)

    def _lowest_counter(self) -> float:
        if not self._queues:
            return self._virtual_time
        return min(self.counter(name) for name in self._queues)
