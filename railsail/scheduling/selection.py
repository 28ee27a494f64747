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
# goes to a replica without the prefix only if that is nearly idle.
PREFIX_WAIT_SHARE = 1.0
# A replica with less pending prefill than this, in seconds, is nearly idle. So that it does not
# become idle, it may run tickets whose prefixes other replicas own.
NEARLY_IDLE_SECONDS = 0.03
# Even then, for this part of its objective a ticket waits for the owner of its prefix, if the owner
# can accept it within that time. Without this wait, 572 of 2,600 long prompts (22%) of a loaded
# cell went to a replica that had to prefill them whole.
OWNER_WAIT_SHARE = 0.1
# Prefixes whose owners are remembered; all of them are dropped when there are more.
MAX_PREFIX_OWNERS = 65_536


class ShareState(enum.Enum):
    """How the service of a workspace compares with its share of a cell.

    While all can be served, the state says whether another prompt of the workspace is pending
    prefill. In an overload, ``BELOW_SHARE`` means that the workspace was served less than its share
    of the window, and ``OVER_SHARE`` that it was served its share or more.
    """

    NO_PENDING_PREFILL = enum.auto()
    PENDING_PREFILL = enum.auto()
    BELOW_SHARE = enum.auto()
    OVER_SHARE = enum.auto()


# The part of its objective that pending prefill may take before a ticket, where it is not the usual
# part.
_PREFILL_SHARES = {
    ShareState.NO_PENDING_PREFILL: RAISED_PREFILL_SHARE,
    ShareState.BELOW_SHARE: RAISED_PREFILL_SHARE,
    ShareState.OVER_SHARE: REDUCED_PREFILL_SHARE,
}


@dataclass(frozen=True)
class AvailableReplicas:
    """The replicas that may be given calls, and those of them that have a free slot now."""

    serving: list[ReplicaState]
    free: list[ReplicaState]


def find_available(
    states: Iterable[ReplicaState], now: float, urgent: bool = False
) -> AvailableReplicas:
    """Return which of ``states`` may be given calls and which have a free slot at ``now``."""
    serving = [state for state in states if state.serves(now)]
    # The engine orders its own queue by priority, so that twice as many urgent calls may wait in
    # it.
    depth = 2 if urgent else 1
    return AvailableReplicas(
        serving, [r for r in serving if r.room(now, r.queue_depth() * depth) > 0]
    )


class ReplicaSelector:
    """The choice of a replica for each ticket.

    If ``use_prefixes`` is True, replicas that have the prompt prefix cached are preferred.
    """

    def __init__(self, rng: random.Random, use_prefixes: bool) -> None:
        self._rng = rng
        self._use_prefixes = use_prefixes
        # The owner of each prefix among the replicas in ``_owners_among``.
        self._owners: dict[int, str] = {}
        self._owners_among: frozenset[str] = frozenset()

    def choose(
        self,
        ticket: Ticket,
        available: AvailableReplicas,
        now: float,
        share_state: ShareState = ShareState.PENDING_PREFILL,
    ) -> ReplicaState | None:
        """Return the replica that runs ``ticket`` now, or ``None`` if the ticket has to wait.

        ``share_state`` is that of its workspace.
        """
        candidates = self._candidates(ticket, available, now, share_state)
        if not candidates:
            return None
        if not self._use_prefixes or not ticket.prefix:
            return self._choose_least_loaded(candidates)
        if ticket.shared_tokens < LONG_PREFIX_TOKENS:
            return self._choose_by_affinity(ticket, candidates)
        owner = self._prefix_owner(ticket, available, now)
        found = self._choose_with_prefix(ticket, candidates, owner)
        return found or self._choose_without_prefix(ticket, candidates, owner, now)

    def _candidates(
        self, ticket: Ticket, available: AvailableReplicas, now: float, share_state: ShareState
    ) -> list[ReplicaState]:
        states = available.free
        if ticket.regions or ticket.excluded:
            states = [state for state in states if ticket.can_run_on(state.name, state.region)]
        if share_state is ShareState.OVER_SHARE:
            states = [state for state in states if state.room(now) > state.reserved_slots()]
        share = _PREFILL_SHARES.get(share_state, 0.0)
        free = [state for state in states if state.can_answer_in_time(ticket, now, share)]
        others = [state for state in free if state.name != ticket.avoid]
        return others or free

    def _choose_least_loaded(self, candidates: list[ReplicaState]) -> ReplicaState:
        lowest = min(state.utilization() for state in candidates)
        return self._rng.choice([state for state in candidates if state.utilization() == lowest])

    def _choose_by_affinity(self, ticket: Ticket, candidates: list[ReplicaState]) -> ReplicaState:
        limit = min(state.utilization() for state in candidates) + AFFINITY_SLACK
        near = [state for state in candidates if state.utilization() <= limit]
        near = [state for state in near if state.has_prefix(ticket.prefix)] or near
        return _highest_score(ticket, near)

    def _choose_with_prefix(
        self, ticket: Ticket, candidates: list[ReplicaState], owner: ReplicaState | None
    ) -> ReplicaState | None:
        """Return the owner of a long prefix, or a candidate that has the prefix cached."""
        if owner in candidates:
            return owner
        holders = [state for state in candidates if state.has_prefix(ticket.prefix)]
        return _highest_score(ticket, holders) if holders else None

    def _choose_without_prefix(
        self,
        ticket: Ticket,
        candidates: list[ReplicaState],
        owner: ReplicaState | None,
        now: float,
    ) -> ReplicaState | None:
        """Return a candidate that would prefill a long prefix, ``None`` to wait for the owner."""
        waited = now - ticket.enqueued_at
        remaining_wait = OWNER_WAIT_SHARE * ticket.objective - waited
        if (
            remaining_wait > 0
            and owner is not None
            and owner.can_answer_in_time(ticket, now, after=remaining_wait)
        ):
            return None
        if waited < PREFIX_WAIT_SHARE * ticket.objective:
            candidates = [
                state for state in candidates if state.unread_seconds < NEARLY_IDLE_SECONDS
            ]
        return self._choose_least_loaded(candidates) if candidates else None

    def _prefix_owner(
        self, ticket: Ticket, available: AvailableReplicas, now: float
    ) -> ReplicaState | None:
        """Return the owner of the ticket's prefix."""
        allowed = [r for r in available.serving if ticket.can_run_on(r.name, r.region)]
        serving = [state for state in allowed if state.name != ticket.avoid]
        if not serving:
            return None
        # A cold replica has no prefixes cached, and can sustain too few calls to be waited for.
        serving = [state for state in serving if not state.warmup.is_cold(now)] or serving
        if ticket.avoid:
            return _highest_score(ticket, serving)
        among = frozenset(state.name for state in serving)
        if among != self._owners_among or len(self._owners) >= MAX_PREFIX_OWNERS:
            self._owners_among = among
            self._owners = {}
        if ticket.prefix not in self._owners:
            self._owners[ticket.prefix] = _highest_score(ticket, serving).name
        name = self._owners[ticket.prefix]
        return next(state for state in serving if state.name == name)


def _highest_score(ticket: Ticket, states: list[ReplicaState]) -> ReplicaState:
    return max(states, key=lambda state: score(str(ticket.prefix), state.name))
