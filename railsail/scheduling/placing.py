"""Which replica of a cell runs a ticket.

A replica must have a free slot, and must be able to start the answer in time. Among those, prompts
that share a long prefix go to the replica that has it cached. Rendezvous hashing assigns each
prefix an owner, so that every dispatcher chooses the same replica. Source: the cache-aware load
balancer of SGLang v0.4. See ``docs/design/routing.md``.
"""

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass

from railsail.membership.placement import score
from railsail.scheduling.room import (
    LONG_PREFIX_TOKENS,
    RAISED_PREFILL_SHARE,
    REDUCED_PREFILL_SHARE,
    ReplicaState,
)
from railsail.scheduling.tickets import Ticket

# A replica with a cached prefix is preferred while its load per slot exceeds that of the least
# loaded by at most this much.
AFFINITY_SLACK = 0.25
# For this part of its objective, a ticket with a long prefix waits for the owner of the prefix, and
# goes to other replicas only if they are nearly idle.
PREFIX_WAIT_SHARE = 1.0
# A replica with less pending prefill than this, in seconds, is nearly idle. It may run a ticket
# whose prefix it does not own.
NEARLY_IDLE_SECONDS = 0.03
# But for this part of its objective, a ticket waits if the owner of its prefix can accept it by
# then. Without this wait 572 of 2,600 long prompts (22%) of a loaded cell went to a replica that
# had to prefill them whole.
OWNER_WAIT_SHARE = 0.1
# Prefixes whose owners are remembered; all of them are dropped when there are more.
MAX_PREFIX_OWNERS = 65_536


class ShareState(enum.Enum):
    """How the service of a workspace compares with its share of a cell.

    While all can be served, ``FIRST`` means that no other prompt of the workspace is pending
    prefill, and ``EVEN`` that there is one. In an overload ``OWED`` means that the workspace was
    served less than its share of the window, and ``OVER`` that it was served its share or more.
    """

    FIRST = enum.auto()
    EVEN = enum.auto()
    OWED = enum.auto()
    OVER = enum.auto()


# The part of its objective that pending prefill may take before a ticket, where it is not the usual
# part.
_PREFILL_SHARES = {
    ShareState.FIRST: RAISED_PREFILL_SHARE,
    ShareState.OWED: RAISED_PREFILL_SHARE,
    ShareState.OVER: REDUCED_PREFILL_SHARE,
}


@dataclass(frozen=True)
class Openings:
    """The replicas that may be given calls, and those of them that have a free slot now."""

    serving: list[ReplicaState]
    free: list[ReplicaState]


def look(states: Iterable[ReplicaState], now: float, urgent: bool = False) -> Openings:
    """Return which of ``states`` may be given calls and which have a free slot at ``now``."""
    serving = [state for state in states if state.serves(now)]
    # The engine orders its own queue by priority, so that twice as many urgent calls may wait in
    # it.
    depth = 2 if urgent else 1
    return Openings(serving, [r for r in serving if r.room(now, r.queue_depth() * depth) > 0])


class Placing:
    """The choice of replicas; ``use_prefixes`` prefers those that have a prompt prefix cached."""

    def __init__(self, rng: random.Random, use_prefixes: bool) -> None:
        self._rng = rng
        self._use_prefixes = use_prefixes
        # The owner of each prefix among the replicas in ``_homes_among``.
        self._homes: dict[int, str] = {}
        self._homes_among: frozenset[str] = frozenset()

    def choose(
        self,
        ticket: Ticket,
        openings: Openings,
        now: float,
        standing: ShareState = ShareState.EVEN,
    ) -> ReplicaState | None:
        """Return the replica that runs ``ticket`` now, or ``None`` if the ticket has to wait.

        ``standing`` is the share state of its workspace.
        """
        candidates = self._candidates(ticket, openings, now, standing)
        if not candidates:
            return None
        if not self._use_prefixes or not ticket.prefix:
            return self._emptiest(candidates)
        if ticket.shared_tokens < LONG_PREFIX_TOKENS:
            return self._near(ticket, candidates)
        home = self._home(ticket, openings, now)
        found = self._keeper(ticket, candidates, home)
        return found or self._elsewhere(ticket, candidates, home, now)

    def _candidates(
        self, ticket: Ticket, openings: Openings, now: float, standing: ShareState
    ) -> list[ReplicaState]:
        states = openings.free
        if ticket.regions or ticket.excluded:
            states = [state for state in states if ticket.can_run_on(state.name, state.region)]
        if standing is ShareState.OVER:
            states = [state for state in states if state.room(now) > state.reserved_slots()]
        share = _PREFILL_SHARES.get(standing, 0.0)
        free = [state for state in states if state.can_answer_in_time(ticket, now, share)]
        others = [state for state in free if state.name != ticket.avoid]
        return others or free

    def _emptiest(self, candidates: list[ReplicaState]) -> ReplicaState:
        emptiest = min(state.utilization() for state in candidates)
        return self._rng.choice([state for state in candidates if state.utilization() == emptiest])

    def _near(self, ticket: Ticket, candidates: list[ReplicaState]) -> ReplicaState:
        fullest = min(state.utilization() for state in candidates) + AFFINITY_SLACK
        near = [state for state in candidates if state.utilization() <= fullest]
        near = [state for state in near if state.has_prefix(ticket.prefix)] or near
        return _preferred(ticket, near)

    def _keeper(
        self, ticket: Ticket, candidates: list[ReplicaState], home: ReplicaState | None
    ) -> ReplicaState | None:
        """Return the owner of a long prefix, or a candidate that has the prefix cached."""
        if home in candidates:
            return home
        holders = [state for state in candidates if state.has_prefix(ticket.prefix)]
        return _preferred(ticket, holders) if holders else None

    def _elsewhere(
        self,
        ticket: Ticket,
        candidates: list[ReplicaState],
        home: ReplicaState | None,
        now: float,
    ) -> ReplicaState | None:
        """Return a candidate that would prefill a long prefix, ``None`` to wait for the owner."""
        waited = now - ticket.enqueued_at
        longer = OWNER_WAIT_SHARE * ticket.objective - waited
        if longer > 0 and home is not None and home.can_answer_in_time(ticket, now, after=longer):
            return None
        if waited < PREFIX_WAIT_SHARE * ticket.objective:
            candidates = [
                state for state in candidates if state.unread_seconds < NEARLY_IDLE_SECONDS
            ]
        return self._emptiest(candidates) if candidates else None

    def _home(self, ticket: Ticket, openings: Openings, now: float) -> ReplicaState | None:
        """Return the owner of the ticket's prefix."""
        able = [r for r in openings.serving if ticket.can_run_on(r.name, r.region)]
        serving = [state for state in able if state.name != ticket.avoid]
        if not serving:
            return None
        # A cold replica has no prefixes cached, and can sustain too few calls to be waited for.
        serving = [state for state in serving if not state.warmup.is_cold(now)] or serving
        if ticket.avoid:
            return _preferred(ticket, serving)
        among = frozenset(state.name for state in serving)
        if among != self._homes_among or len(self._homes) >= MAX_PREFIX_OWNERS:
            self._homes_among = among
            self._homes = {}
        if ticket.prefix not in self._homes:
            self._homes[ticket.prefix] = _preferred(ticket, serving).name
        name = self._homes[ticket.prefix]
        return next(state for state in serving if state.name == name)


def _preferred(ticket: Ticket, states: list[ReplicaState]) -> ReplicaState:
    return max(states, key=lambda state: score(str(ticket.prefix), state.name))
