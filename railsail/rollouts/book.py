"""The operator's rollout orders and their states, as this node knows them.

The platform's store holds one object for each service. Records are merged, so that repeated and
reordered updates do no harm: the newest object determines the order, and the end of a rollout is
never reverted. Nodes forward the records, so that they survive an outage of the store and reach
nodes that start during it.
"""

import math
from collections.abc import Callable
from dataclasses import replace

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.core.logs import get_logger
from railsail.peers.messages import RolloutUpdate
from railsail.peers.records import RolloutRecord
from railsail.rollouts.merging import merge
from railsail.rollouts.orders import Order, Rollout, State
from railsail.rollouts.serialization import BadRollout, parse_rollout
from railsail.store.base import Listing, WatchEvent

KIND = "rollout"
# When a rollout succeeds, the platform stops the replicas of other versions, and they leave its
# list within this time. Replicas that start later with another version receive calls again.
REPLACEMENT_SECONDS = 30.0

Flood = Callable[[RolloutUpdate, str], None]


class RolloutBook:
    """The rollout of each service; ``flood`` sends an update to all peers except the one named."""

    def __init__(self, flood: Flood, kernel: Kernel) -> None:
        self._flood = flood
        self._kernel = kernel
        self._rollouts: dict[str, Rollout] = {}
        self._succeeded_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called after each change."""
        self._listeners.append(listener)

    def get(self, service: str) -> Rollout | None:
        """Return the rollout of ``service``, also if it has ended or was withdrawn."""
        return self._rollouts.get(service)

    def all(self) -> list[Rollout]:
        """Return all rollouts, ordered by service."""
        return [self._rollouts[service] for service in sorted(self._rollouts)]

    def running(self, service: str) -> Order | None:
        """Return the order of ``service`` if it was not withdrawn and has not ended."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.withdrawn or rollout.order_state.ended:
            return None
        return rollout.order

    def ended_without_status(self) -> list[Rollout]:
        """Return the rollouts that have ended, but whose status in the store does not say so."""
        return [
            rollout
            for rollout in self.all()
            if rollout.order_state.ended
            and not rollout.withdrawn
            and rollout.written_state < rollout.order_state
        ]

    def takes_work(self, service: str, software_version: str) -> bool:
        """Return True if replicas of ``software_version`` may receive new calls of ``service``."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return True
        if rollout.state.ended and software_version == rollout.decided_version:
            return rollout.state is State.SUCCEEDED
        if software_version in rollout.dropped:
            return False
        if software_version == rollout.order.target_version:
            return not rollout.withdrawn
        return not self._is_replacing(rollout)

    def _is_replacing(self, rollout: Rollout) -> bool:
        """Return True if the platform is stopping the replicas of all other versions."""
        if rollout.withdrawn or rollout.order_state is not State.SUCCEEDED:
            return False
        since = self._succeeded_at.get(rollout.order.service, -math.inf)
        return self._kernel.clock.monotonic() < since + REPLACEMENT_SECONDS

    def tick(self) -> None:
        """Notify the listeners if other versions may receive calls again by the passage of time."""
        due = self._kernel.clock.monotonic() - REPLACEMENT_SECONDS
        passed = [service for service, at in self._succeeded_at.items() if at <= due]
        for service in passed:
            del self._succeeded_at[service]
        if passed:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the store; a rollout that it lacks was withdrawn.

        A listing that is not settled yet may lack orders that the operator will write again, so
        nothing is withdrawn by it.
        """
        for stored in listing.objects:
            self.seen(WatchEvent(KIND, stored.name, stored.version, stored.value))
        names = {stored.name for stored in listing.objects}
        for rollout in self.all() if listing.settled else ():
            if rollout.order.service not in names and not rollout.withdrawn:
                self._apply([replace(rollout, withdrawn=True, object_version=listing.version)], "")

    def seen(self, event: WatchEvent) -> None:
        """Apply a watch event of the store."""
        known = self._rollouts.get(event.name)
        if event.value is None:
            if known is not None:
                self._apply([replace(known, withdrawn=True, object_version=event.version)], "")
            return
        try:
            rollout = parse_rollout(event.name, event.version, event.value)
        except BadRollout as problem:
            self._log_invalid(event.name, str(problem))
            return
        self._apply([rollout], "")

    def received(self, node: str, update: RolloutUpdate) -> None:
        """Merge the records that the peer ``node`` has sent."""
        self._apply([_from_record(record) for record in update.rollouts], node)

    def full_update(self) -> RolloutUpdate:
        """Return all records, for a peer that has connected."""
        return RolloutUpdate([_to_record(rollout) for rollout in self.all()])

    def record_decision(self, order: Order, state: State) -> None:
        """Record that ``order`` has ``state`` according to the ledger."""
        known = self._rollouts.get(order.service)
        if known is None or known.order != order:
            return
        decided = replace(known, state=state, decided_version=order.target_version)
        self._apply([decided], "")

    def record_status(self, order: Order, state: State, version: int) -> None:
        """Record that the status of ``order`` is ``state`` as of ``version`` of its object."""
        known = self._rollouts.get(order.service)
        if known is None or known.order != order or version <= known.object_version:
            return
        target = order.target_version
        self._apply([Rollout(order, False, state, target, version, written_state=state)], "")

    def _log_invalid(self, service: str, reason: str) -> None:
        get_logger().warning("rollout refused", service=service, reason=reason)
        self._kernel.metrics.rollouts_refused.inc({"service": service})

    def _apply(self, candidates: list[Rollout], source: str) -> None:
        changed = []
        for candidate in candidates:
            known = self._rollouts.get(candidate.order.service)
            merged = merge(known, candidate)
            if merged != known:
                self._put(known, merged)
                changed.append(merged)
        if not changed:
            return
        self._flood(RolloutUpdate([_to_record(rollout) for rollout in changed]), source)
        self._notify()

    def _put(self, known: Rollout | None, rollout: Rollout) -> None:
        service = rollout.order.service
        self._rollouts[service] = rollout
        before = known.order_state if known is not None else State.NONE
        if rollout.order_state is State.SUCCEEDED and before is not State.SUCCEEDED:
            self._succeeded_at[service] = self._kernel.clock.monotonic()
        self._emit_event(known, rollout)

    def _emit_event(self, known: Rollout | None, rollout: Rollout) -> None:
        if (
            known is not None
            and replace(
                known, object_version=rollout.object_version, written_state=rollout.written_state
            )
            == rollout
        ):
            return
        order = rollout.order
        self._kernel.events.emit(
            Kind.ROLLOUT,
            service=order.service,
            order_version=order.version,
            target_version=order.target_version,
            duration_ms=round(order.duration * 1000),
            state="gone" if rollout.withdrawn else rollout.order_state.name.lower(),
        )


def _to_record(rollout: Rollout) -> RolloutRecord:
    order = rollout.order
    return RolloutRecord(
        order.service,
        order.version,
        order.target_version,
        round(order.duration * 1000),
        rollout.withdrawn,
        int(rollout.state),
        rollout.decided_version,
        rollout.object_version,
        int(rollout.written_state),
        sorted(rollout.dropped),
        rollout.in_use,
        rollout.in_use_order,
    )


def _from_record(record: RolloutRecord) -> Rollout:
    duration = record.duration / 1000
    order = Order(record.service, record.version, record.target_version, duration)
    state, written_state = State(record.state), State(record.written)
    dropped = frozenset(record.dropped)
    return Rollout(
        order,
        record.gone,
        state,
        record.decided_version,
        record.stored,
        written_state,
        dropped,
        record.in_use,
        record.in_use_order,
    )
