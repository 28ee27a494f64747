"""A fair queue between workspaces, by virtual counters.

Each workspace has a counter: the service charged to it, in cost units, divided by the weight of its
priority class. The waiting workspace with the lowest counter is served next. A workspace that
starts to wait is lifted to the lowest counter of those that wait, less ``credit``: with a credit of
0 idling saves up nothing, with that of a window of fairness (``RecentUsage``) it saves up at most
the mean service of one window, by which the bound below is wider.
Sources: start-time fair queueing (Goyal et al., 1996); virtual token counters (Sheng et al., 2024).

The bound. Let ``w`` be a weight, ``e`` the largest charge made at a grant, ``c`` the largest cost
of a request and ``n`` the most requests of one workspace in flight. A workspace is only granted a
ticket while its counter is the lowest, so a grant leaves it at most ``e / w`` above every other
one that waits. What its requests cost beyond their charge is added later, at most
``n * max(c - e, 0) / w`` at once, and it gets no grant while it is above. Service given differs
from service charged by at most ``n * max(c, e)``. So between two workspaces that both wait, service
per weight differs by at most ``(e + n * max(c, e)) / w`` for each side, whatever arrives: the worst
case, in which each of one workspace's requests in flight costs the most. Charges that follow the
stream (see ``ChargeMeter``) keep ``c - e`` near one step, and the measured gap far below the bound.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from typing import NamedTuple

from railsail.scheduling.tickets import Ticket, TicketKey

# After a merge of counters, nobody may be further behind than this many of the largest charge.
CATCH_UP_CHARGES = 8.0


class _Place(NamedTuple):
    """A place in the line of one workspace; the sequence parts tickets of the same order."""

    order: float
    sequence: int
    ticket: Ticket


class FairQueue:
    """Hold the waiting tickets of one cell and the counters of their workspaces."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._counters: dict[str, float] = {}
        # The tickets of each workspace that waits, in the order in which they are served.
        self._lines: dict[str, list[_Place]] = {}
        self._waiting: dict[TicketKey, _Place] = {}
        self._sequence = 0
        self._virtual_time = 0.0
        self._largest_charge = 1.0
        self._factors: dict[str, float] = {}
        # How far below the lowest counter a workspace may start to wait, in cost units per weight.
        self.credit = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: TicketKey) -> bool:
        return key in self._waiting

    def push(self, ticket: Ticket) -> None:
        """Add ``ticket``; one with the same key is replaced."""
        self.remove(ticket.key)
        if ticket.workspace not in self._lines:
            self.lift(ticket.workspace)
        self._sequence += 1
        place = _Place(ticket.order, self._sequence, ticket)
        insort(self._lines.setdefault(ticket.workspace, []), place)
        self._waiting[ticket.key] = place

    def remove(self, key: TicketKey) -> Ticket | None:
        """Take the ticket of ``key`` out and return it, or ``None`` if it does not wait."""
        place = self._waiting.pop(key, None)
        if place is None:
            return None
        workspace = place.ticket.workspace
        line = self._lines[workspace]
        del line[bisect_left(line, place)]
        if not line:
            del self._lines[workspace]
        return place.ticket

    def workspaces(self) -> list[str]:
        """Return the workspaces that wait, the one to serve first in front."""
        return sorted(self._lines, key=lambda name: (self.counter(name), name))

    def head(self, workspace: str) -> Ticket:
        """Return the ticket to serve first of ``workspace``, which must wait; it is not taken."""
        return self._lines[workspace][0].ticket

    def first_workspace(self) -> str:
        """Return the workspace to serve first; some workspace must wait."""
        return min(self._lines, key=lambda name: (self.counter(name), name))

    def tickets(self, workspace: str) -> list[Ticket]:
        """Return the tickets of ``workspace``, the one to serve first in front."""
        return [place.ticket for place in self._lines.get(workspace, ())]

    def take(self, ticket: Ticket) -> None:
        """Take a ``ticket`` that waits to serve it, and charge its estimate."""
        workspace = ticket.workspace
        self._virtual_time = max(self._virtual_time, self.counter(workspace))
        self.remove(ticket.key)
        self.charge(workspace, ticket.estimate)

    def pop_expired(self, now: float) -> list[Ticket]:
        """Take out and return the tickets whose patience has ended at ``now``."""
        expired = [ticket for ticket in self._all() if ticket.has_expired(now)]
        for ticket in expired:
            self.remove(ticket.key)
        return expired

    def _all(self) -> list[Ticket]:
        return [place.ticket for place in self._waiting.values()]

    def counter(self, workspace: str) -> float:
        """Return the counter of ``workspace``, in cost units per weight."""
        return self._counters.get(workspace, self._virtual_time)

    def counters(self) -> dict[str, float]:
        """Return all counters kept."""
        return dict(self._counters)

    def weight(self, workspace: str) -> float:
        """Return the weight of ``workspace``."""
        return self._weight_of(workspace)

    def lead(self, workspace: str) -> float:
        """Return how far ``workspace`` is above the lowest counter that waits."""
        return self.counter(workspace) - self._floor()

    def charge(self, workspace: str, cost: float) -> None:
        """Add ``cost``, which is negative where an estimate was too high."""
        self._largest_charge = max(self._largest_charge, cost)
        weight = self._weight_of(workspace) * self._factors.get(workspace, 1.0)
        self._counters[workspace] = self.counter(workspace) + cost / weight

    def tilt(self, factors: dict[str, float]) -> None:
        """Multiply weights by ``factors`` from now on; see ``FleetBalance``."""
        self._factors = factors

    @property
    def virtual_time(self) -> float:
        """Return the counter of workspaces without one of their own, in cost units per weight."""
        return self._virtual_time

    def advance(self, virtual_time: float) -> None:
        """Raise the virtual time to that of an earlier dispatcher of the cell.

        A workspace whose counter was forgotten would begin below all others without it.
        """
        self._virtual_time = max(self._virtual_time, virtual_time)

    def merge(self, counters: Iterable[tuple[str, float]]) -> None:
        """Raise counters to what an earlier dispatcher of the cell had, within the bound."""
        for workspace, counter in counters:
            self._counters[workspace] = max(self._counters.get(workspace, counter), counter)
        self.bound_catch_up()

    def bound_catch_up(self) -> None:
        """Lift whoever is further behind the furthest one than the bound allows."""
        if not self._lines:
            return
        top = max(self.counter(name) for name in self._lines)
        least = top - self.catch_up_bound
        for name in self._lines:
            if self.counter(name) < least:
                self._counters[name] = least

    @property
    def catch_up_bound(self) -> float:
        """Return the most that anyone may be behind after a merge, in cost units per weight."""
        lightest = min(self._weight_of(name) for name in self._lines)
        return CATCH_UP_CHARGES * self._largest_charge / lightest

    def forget_idle(self, busy: set[str]) -> None:
        """Drop the counters that a return would lift anyway; ``busy`` have requests in flight."""
        floor = self._floor()
        for name in list(self._counters):
            idle = name not in self._lines and name not in busy
            if idle and self._counters[name] <= floor - self.credit:
                del self._counters[name]

    def lift(self, workspace: str) -> None:
        """Raise the counter of ``workspace`` to the lowest one that waits, less the credit."""
        least = self._floor() - self.credit
        self._counters[workspace] = max(self._counters.get(workspace, least), least)

    def _floor(self) -> float:
        if not self._lines:
            return self._virtual_time
        return min(self.counter(name) for name in self._lines)
