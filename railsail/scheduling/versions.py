"""Which replica runs a ticket while a service moves to another software version."""

import random
from collections import Counter
from collections.abc import Collection, Iterable

from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage
from railsail.scheduling.exposure import Exposure
from railsail.scheduling.room import ReplicaState
from railsail.scheduling.selection import (
    AvailableReplicas,
    ReplicaSelector,
    ShareState,
    find_available,
)
from railsail.scheduling.tickets import Ticket


class VersionSelector:
    """The choice of a replica for each ticket, among those of a version that it may run on.

    A rollout divides the replicas into two sides: those of the target version, and the others. Each
    side has its own ``ReplicaSelector``, which remembers the owners of prompt prefixes among one
    set of replicas. So the owners among the others stay the same while the target version is on
    trial. So has the choice for tickets that continue streams, among the replicas of one version.
    """

    def __init__(self, rng: random.Random, use_prefixes: bool) -> None:
        self._others = ReplicaSelector(rng, use_prefixes)
        self._target = ReplicaSelector(rng, use_prefixes)
        self._continuations = ReplicaSelector(rng, use_prefixes)
        self.exposure: Exposure | None = None
        # The number of calls given to each replica of the target version.
        self._calls: Counter[str] = Counter()
        self._versions: dict[str, str] = {}

    def set_order(self, order: Order | None) -> None:
        """Set the active order, ``None`` for none."""
        if order is None:
            self.exposure = None
        elif self.exposure is None or self.exposure.order.version != order.version:
            self.exposure = Exposure(order)
            self._calls.clear()

    def set_versions(self, versions: dict[str, str]) -> None:
        """Set the version that each replica runs."""
        self._versions = versions

    def version_of(self, replica: str) -> str:
        """Return the version that ``replica`` runs, empty if it is not known."""
        return self._versions.get(replica, "")

    def is_target(self, replica: str) -> bool:
        """Return True if ``replica`` runs the version that the service moves to."""
        if self.exposure is None:
            return False
        return self._versions.get(replica, "") == self.exposure.target_version

    def same_side(self, replica: str, states: Iterable[ReplicaState]) -> list[ReplicaState]:
        """Return those of ``states`` that are on the same side of a rollout as ``replica``."""
        if self.exposure is None:
            return list(states)
        side = self.is_target(replica)
        return [state for state in states if self.is_target(state.name) is side]

    def on_trial(self, replica: str, now: float) -> bool:
        """Return True if ``replica`` runs the target version and the version is still on trial."""
        if self.exposure is None or not self.is_target(replica):
            return False
        return self.exposure.stage(now) in (Stage.HOLD, Stage.CANARY)

    def open_rooms(self, states: Collection[ReplicaState], now: float) -> Collection[ReplicaState]:
        """Return those of ``states`` that requests may run on at the current stage.

        If no replica of the target version is in service, requests run on the others even in a
        drain: the coordinator may notice later than this dispatcher that a failure domain was lost.
        """
        if self.exposure is None:
            return states
        stage = self.exposure.stage(now)
        if stage is Stage.SHIFT:
            return states
        target, others = self._sides(states)
        use_target = stage is Stage.DRAIN and any(state.serves(now) for state in target)
        return target if use_target else others

    def _sides(
        self, states: Iterable[ReplicaState]
    ) -> tuple[list[ReplicaState], list[ReplicaState]]:
        """Return those of ``states`` that run the target version, and the others."""
        sides: tuple[list[ReplicaState], list[ReplicaState]] = ([], [])
        for state in states:
            sides[0 if self.is_target(state.name) else 1].append(state)
        return sides

    def find_available(
        self, states: Collection[ReplicaState], now: float, urgent: bool = False
    ) -> AvailableReplicas:
        """Return which of ``states`` may be given calls, and which have a free slot, at ``now``."""
        if self.exposure is None:
            return find_available(states, now, urgent)
        canaries = self._canaries(states, now) if self.exposure.is_canary_due(now) else []
        return find_available([*self.open_rooms(states, now), *canaries], now, urgent)

    def _canaries(self, states: Iterable[ReplicaState], now: float) -> list[ReplicaState]:
        """Return the replicas for canary calls.

        These are the ones that the allowance names, or others if none of them is in service: the
        named ones may have been lost, evacuated or removed since. Cold replicas are left out: they
        are slow, and show nothing about their version.
        """
        target, _ = self._sides(states)
        serving = [state for state in target if state.serves(now) and not state.warmup.is_cold(now)]
        named = [state for state in serving if self.exposure.is_canary_replica(state.name)]
        return named or serving

    def choose(
        self,
        ticket: Ticket,
        available: AvailableReplicas,
        now: float,
        share_state: ShareState = ShareState.PENDING_PREFILL,
    ) -> ReplicaState | None:
        """Return the replica that runs ``ticket`` now, or ``None`` if the ticket has to wait.

        In a drain only the target version is used while any of its replicas serves. In a shift it
        is used first, and in a canary stage for the canary calls that are due; otherwise the others
        are used. A ticket that failed on the target version goes to the others, except in a drain.
        """
        if self.exposure is None:
            return self._others.choose(ticket, available, now, share_state)
        target, others = self._split(available)
        found = None
        match self.exposure.stage(now):
            case Stage.DRAIN if target.serving:
                return self._target.choose(ticket, target, now, share_state)
            case Stage.SHIFT if not self._failed_there(ticket):
                found = self._target.choose(ticket, target, now, share_state)
            case Stage.CANARY if not ticket.returned and not self._failed_there(ticket):
                found = self._choose_canary(ticket, target, now)
        return found or self._others.choose(ticket, others, now, share_state)

    def choose_for_continuation(
        self, ticket: Ticket, states: Iterable[ReplicaState], now: float
    ) -> ReplicaState | None:
        """Return the replica that continues the stream of ``ticket``, ``None`` if it has to wait.

        The version that began the stream may have been replaced in the meantime, and gets no other
        tickets then. Those that began at the target version of a rollout need an allowance, because
        all calls to that version count.
        """
        if self._needs_allowance(ticket.software_version, now):
            return None
        own = [state for state in states if self.version_of(state.name) == ticket.software_version]
        available = find_available(own, now)
        return self._continuations.choose(ticket, available, now, ShareState.BELOW_SHARE)

    def _needs_allowance(self, software_version: str | None, now: float) -> bool:
        if self.exposure is None or software_version != self.exposure.target_version:
            return False
        return self.exposure.stage(now) is Stage.HOLD

    def can_continue(self, ticket: Ticket, states: Iterable[ReplicaState]) -> bool:
        """Return True if a replica of the version that began the stream accepts work."""
        return any(
            not state.leaving
            and self.version_of(state.name) == ticket.software_version
            and ticket.can_run_in(state.region)
            for state in states
        )

    def _split(self, available: AvailableReplicas) -> tuple[AvailableReplicas, AvailableReplicas]:
        """Return the available replicas of the target version, and the available others."""
        serving = self._sides(available.serving)
        free = self._sides(available.free)
        return AvailableReplicas(serving[0], free[0]), AvailableReplicas(serving[1], free[1])

    def _failed_there(self, ticket: Ticket) -> bool:
        return bool(ticket.avoid) and self.is_target(ticket.avoid)

    def record_grant(self, replica: str, now: float) -> Stage | None:
        """Record a call granted to ``replica``, and return the stage of the rollout."""
        if self.exposure is None:
            return None
        stage = self.exposure.stage(now)
        if self.is_target(replica):
            self.exposure.record_call(now)
            self._calls[replica] += 1
        return stage

    def _choose_canary(
        self, ticket: Ticket, available: AvailableReplicas, now: float
    ) -> ReplicaState | None:
        """Return the replica that runs ``ticket`` as a canary call, ``None`` if there is none.

        It is the one with the most calls in flight, so that it runs several at once. Among idle
        ones it is the one that was given the fewest calls, because a single faulty replica says
        little about its version.
        """
        candidates = [
            state
            for state in available.free
            if ticket.can_run_on(state.name, state.region) and state.can_answer_in_time(ticket, now)
        ]
        if not candidates:
            return None
        return max(candidates, key=lambda state: (state.in_flight, -self._calls[state.name]))
