"""Why tickets wait: what waits in a cell, and what its replicas could start.

Tickets can wait beside free slots: a replica with pending prefill is not given a prompt whose
answer would start late, and only the first tickets of a few workspaces are tried.
"""

import math
from collections.abc import Callable, Collection, Iterable
from statistics import median

import msgspec

from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.room import ReplicaState
from railsail.scheduling.tickets import Ticket

# Waiting tickets that are examined for whether a replica could start them: a few milliseconds of
# work, done once a second.
MAX_EXAMINED = 64


class Backlog(msgspec.Struct, frozen=True):
    """What waits in a cell, and what its replicas could start.

    Of the ``examined`` tickets, ``placeable`` could be granted now if they were first in line.
    ``unread_ms`` and ``base_latency_ms`` are medians over the replicas that serve: the time for
    their pending prefill, and the shortest time to the start of an answer;
    ``prefill_tokens_per_s`` is the sum of the rates at which they prefill.
    """

    waiting: int
    retries: int
    workspaces: int
    free_slots: int
    examined: int
    placeable: int
    unread_ms: int
    base_latency_ms: int
    prefill_tokens_per_s: int


def describe_backlog(
    queue: FairQueue,
    replicas: Collection[ReplicaState],
    can_place: Callable[[Ticket], bool],
    now: float,
) -> Backlog:
    """Return the backlog of a cell; ``can_place`` tells whether a ticket could be granted."""
    tickets = queue.all_tickets()
    serving = [replica for replica in replicas if replica.serves(now)]
    examined = tickets[:: math.ceil(len(tickets) / MAX_EXAMINED) or 1]
    return Backlog(
        waiting=len(tickets),
        retries=sum(ticket.returned for ticket in tickets),
        workspaces=len(queue.workspaces()),
        free_slots=sum(replica.room(now) for replica in serving),
        examined=len(examined),
        placeable=sum(map(can_place, examined)),
        unread_ms=_median_ms(replica.unread_seconds for replica in serving),
        base_latency_ms=_median_ms(replica.base_latency for replica in serving),
        prefill_tokens_per_s=round(sum(replica.prefill_rate for replica in serving)),
    )


def _median_ms(seconds: Iterable[float]) -> int:
    values = list(seconds)
    return round(median(values) * 1000) if values else 0
