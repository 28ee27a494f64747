"""Which replica of a cell a ticket is bound to.

A replica must have a free slot, and must be able to begin the answer in time. Among those, prompts
that share a long beginning go to the replica that has it in memory: hashing names one for each
beginning, so that every dispatcher names the same. Idea: the cache-aware load balancer of SGLang
v0.4; ``docs/internals/design/routing.md`` has the measurements.
"""

import random
from collections.abc import Collection

from railsail.membership.placement import score
from railsail.scheduling.room import LONG_PREFIX_TOKENS, ReplicaRoom
from railsail.scheduling.tickets import Ticket

# A replica with a cached prefix is preferred while it is at most this much fuller than others.
AFFINITY_SLACK = 0.25
# A long beginning is waited for at its replica, for this part of the objective.
PREFIX_WAIT = 1.0
# A replica with less to read than this takes what is meant for others, before it falls idle; but
# not what its own replica can take within this part of the objective. Without that wait 22% of the
# long prompts of a loaded cell (572 of 2,600 counted) went to a replica that read them whole.
HUNGRY_SECONDS = 0.03
HOME_WAIT = 0.1


class Placing:
    """Choose replicas; ``use_prefixes`` prefers those that have a prompt's beginning."""

    def __init__(self, rng: random.Random, use_prefixes: bool) -> None:
        self._rng = rng
        self._use_prefixes = use_prefixes

    def choose(
        self,
        ticket: Ticket,
        rooms: Collection[ReplicaRoom],
        now: float,
        urgent: bool = False,
        first: bool = False,
    ) -> ReplicaRoom | None:
        """Return the replica that ``ticket`` is bound to now, or ``None`` if it has to wait.

        ``first`` says that its workspace has no other prompt unread.
        """
        candidates = self._candidates(ticket, rooms, now, urgent, first)
        if not candidates:
            return None
        if not self._use_prefixes or not ticket.prefix:
            return self._emptiest(candidates)
        if ticket.shared_tokens < LONG_PREFIX_TOKENS:
            return self._near(ticket, candidates)
        return self._home(ticket, candidates, rooms, now)

    def _candidates(
        self,
        ticket: Ticket,
        rooms: Collection[ReplicaRoom],
        now: float,
        urgent: bool,
        first: bool,
    ) -> list[ReplicaRoom]:
        free = []
        for room in rooms:
            # The engine orders its own queue by priority, so urgent work may join it twice as deep.
            extra = room.overlap() * 2 if urgent else room.overlap()
            if room.room(now, extra) > 0 and room.reads_in_time(ticket, now, first):
                free.append(room)
        others = [room for room in free if room.name != ticket.avoid]
        return others or free

    def _emptiest(self, candidates: list[ReplicaRoom]) -> ReplicaRoom:
        emptiest = min(room.fullness() for room in candidates)
        return self._rng.choice([room for room in candidates if room.fullness() == emptiest])

    def _near(self, ticket: Ticket, candidates: list[ReplicaRoom]) -> ReplicaRoom:
        fullest = min(room.fullness() for room in candidates) + AFFINITY_SLACK
        near = [room for room in candidates if room.fullness() <= fullest]
        near = [room for room in near if room.has_prefix(ticket.prefix)] or near
        return _preferred(ticket, near)

    def _home(
        self,
        ticket: Ticket,
        candidates: list[ReplicaRoom],
        rooms: Collection[ReplicaRoom],
        now: float,
    ) -> ReplicaRoom | None:
        serving = [room for room in rooms if room.serves(now) and room.name != ticket.avoid]
        home = _preferred(ticket, serving or candidates)
        if home in candidates:
            return home
        holders = [room for room in candidates if room.has_prefix(ticket.prefix)]
        if holders:
            return _preferred(ticket, holders)
        waited = now - ticket.enqueued_at
        longer = HOME_WAIT * ticket.objective - waited
        if longer > 0 and home.reads_in_time(ticket, now, after=longer):
            return None
        if waited < PREFIX_WAIT * ticket.objective:
            candidates = [room for room in candidates if room.unread_seconds < HUNGRY_SECONDS]
        return self._emptiest(candidates) if candidates else None


def _preferred(ticket: Ticket, rooms: list[ReplicaRoom]) -> ReplicaRoom:
    return max(rooms, key=lambda room: score(str(ticket.prefix), room.name))
