"""The decisions of one cell: who is served next, and on which replica."""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

from railsail.core.outcomes import Reason
from railsail.rollouts.orders import Order
from railsail.rollouts.tallies import CellTallies
from railsail.scheduling.backlog import Backlog, describe_backlog
from railsail.scheduling.cells import Cell
from railsail.scheduling.decisions import Decision, Flight, Grant, Hold, Move, Refusal
from railsail.scheduling.fairqueue import CATCH_UP_CHARGES, FairQueue
from railsail.scheduling.health import CallResult, GroupHealth
from railsail.scheduling.overflow import Overflow
from railsail.scheduling.retryschedule import RetrySchedule
from railsail.scheduling.returning import RETRY_WAIT_OBJECTIVES, RefusedCallers
from railsail.scheduling.room import LoadReport, ReplicaState
from railsail.scheduling.selection import NEARLY_IDLE_SECONDS, ShareState
from railsail.scheduling.tickets import Ticket, TicketKey
from railsail.scheduling.usage import RecentUsage, Share
from railsail.scheduling.versions import VersionSelector
from railsail.scheduling.warmup import WarmupBound

# Only the first tickets of this many workspaces are tried for a grant. Trying more workspaces, or
# more tickets of each, granted more requests and answered fewer of them in time
# (docs/topics/decisions-under-load.md).
MAX_WORKSPACES_TRIED = 4
# For this many seconds after a ticket has expired, tickets of workspaces that have had their share
# are refused at once. This is longer than tickets usually wait for a slot.
OVERLOAD_SECONDS = 0.25


class CellDispatcher:
    """The dispatcher of one cell: it orders tickets fairly, and assigns them to free replicas.

    A ticket is assigned as late as possible, when a replica has a free slot. ``overflow`` is given
    if cells of other regions may take tickets. Every method takes ``now`` in seconds of a monotonic
    clock, and none does I/O.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float],
        rng: random.Random,
        use_prefixes: bool = True,
        fair_window: float = 0.0,
        overflow: Overflow | None = None,
    ) -> None:
        self.queue = FairQueue(weight_of)
        self.replicas: dict[str, ReplicaState] = {}
        self.flights: dict[TicketKey, Flight] = {}
        self.served: dict[str, float] = {}
        self.overflow = overflow
        self.versions = VersionSelector(rng, use_prefixes)
        # The results of calls since the active order was given, ``None`` if there is no order.
        self.tallies: CellTallies | None = None
        self._retry_schedule = RetrySchedule(rng)
        self._refusals = RefusedCallers()
        self._usage = RecentUsage(fair_window, weight_of)
        self._expired_at = -math.inf
        self._warmup_bound = WarmupBound()
        self._fleet_share = 1.0
        # When each replica started, if that is known. Another value under the same name is a
        # restart.
        self._start_ids: dict[str, int] = {}
        # The number of calls of each workspace whose answers have not started.
        self._pending_answers: Counter[str] = Counter()

    def set_replicas(
        self,
        slots: dict[str, int],
        leaving: Iterable[str] = (),
        start_ids: Mapping[str, int] | None = None,
    ) -> None:
        """Set the replicas of the cell and their slots; 0 slots means that the limit is learnt.

        ``leaving`` names those that are draining before they stop. ``start_ids`` maps replicas to
        the time of their start, 0 or missing where it is not known.
        """
        for name in set(self.replicas) - set(slots):
            del self.replicas[name]
        for name, start_id in (start_ids or {}).items():
            self._set_start_id(name, start_id)
        for name, number in slots.items():
            if name not in self.replicas:
                self._add_replica(name, number)
        draining = set(leaving)
        for name, state in self.replicas.items():
            state.leaving = name in draining

    def _set_start_id(self, name: str, start_id: int) -> None:
        previous = self._start_ids.get(name, 0)
        self._start_ids[name] = start_id or previous
        if not start_id or not previous or start_id == previous:
            return
        # The replica was restarted under its name. It is empty: its state is created again, and the
        # calls that ran there belong to no replica any more.
        self.replicas.pop(name, None)
        for flight in self.flights.values():
            if flight.replica == name:
                flight.replica = ""

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Set the region of each replica."""
        for name, state in self.replicas.items():
            state.region = regions.get(name, "")

    def set_versions(self, versions: dict[str, str], held_until: Mapping[str, float]) -> None:
        """Set the software version of each replica, and the time until which versions are held."""
        self.versions.set_versions(versions)
        for name, state in self.replicas.items():
            held = held_until.get(versions.get(name, ""), -math.inf)
            state.held_until = -math.inf if self.versions.is_target(name) else held

    def set_order(self, order: Order | None, start: int) -> None:
        """Set the ``order`` of the active rollout, ``None`` for none.

        ``start`` identifies tallies that are started now.
        """
        self.versions.set_order(order)
        if order is None:
            self.tallies = None
        elif self.tallies is None or self.tallies.order_version != order.version:
            self.tallies = CellTallies(order.version, order.target_version, start)

    def set_bound(self, bound: WarmupBound, fleet_share: float = 1.0) -> None:
        """Set the load that a cold replica sustains, and this dispatcher's part of the fleet."""
        self._warmup_bound = bound
        self._fleet_share = fleet_share
        for state in self.replicas.values():
            self._apply_warmup_bound(state)

    def _apply_warmup_bound(self, state: ReplicaState) -> None:
        state.warmup.bound = self._warmup_bound
        state.warmup.share = self._fleet_share

    def set_cold(self, replica: str, seconds: float, now: float) -> None:
        """Record that ``replica`` is cold for ``seconds`` from ``now`` on."""
        state = self.replicas.get(replica)
        if state is not None:
            state.warmup.mark_cold(seconds, now)

    def _add_replica(self, name: str, slots: int) -> None:
        state = ReplicaState(name, slots)
        self._apply_warmup_bound(state)
        for key, flight in self.flights.items():
            if flight.replica == name:
                state.in_flight += 1
                self._record_pending(state, key, flight)
        self.replicas[name] = state

    def _record_pending(self, state: ReplicaState, key: TicketKey, flight: Flight) -> None:
        if flight.unread:
            state.record_pending(key, flight.unread, flight.started_at)

    def answered(self, key: TicketKey, now: float) -> None:
        """Record that the answer to a call in flight has started."""
        flight = self.flights.get(key)
        if flight is None:
            return
        self._clear_pending(flight)
        flight.begun_at = flight.begun_at or now
        if self.tallies is not None:
            self.tallies.answer_started(flight.replica)
        state = self.replicas.get(flight.replica)
        if state is not None:
            state.answer_started(key, now)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Add a ticket, and return all decisions that can be made now."""
        decisions = self.put(ticket, now)
        return decisions + self.pump(now)

    def put(self, ticket: Ticket, now: float) -> list[Decision]:
        """Add a ticket without granting any waiting ones; an urgent one is decided at once.

        If the cell is overloaded and the workspace of the ticket has had its share, the ticket is
        moved to another cell or refused. The retry of a refused request may wait for longer.
        """
        flight = self.flights.get(ticket.key)
        if flight is not None and flight.attempt >= ticket.attempt:
            return []
        # A ticket that is placed again was not served: its earlier grant was lost.
        self.release(ticket.key, 0.0, now)
        if ticket.urgent:
            return [self._decide_urgent(ticket, now)]
        self.queue.credit = self._usage.credit(now)
        # A waiting ticket arrives again when its entry sends all of its tickets again.
        if ticket.key in self.queue:
            self.queue.push(ticket)
            return []
        is_retry = self._refusals.comes_back(ticket.fingerprint, now)
        if is_retry:
            ticket = _as_retry(ticket)
        self._usage.record_request(ticket.workspace, ticket.estimate, now)
        if self._is_excess(ticket, now):
            return [self._move_excess(ticket, now) or self._refuse(ticket, Reason.OVER_SHARE, now)]
        self.queue.push(ticket)
        return [Hold(ticket)] if is_retry else []

    def _is_excess(self, ticket: Ticket, now: float) -> bool:
        """Return True if a ticket would displace others though its workspace has had its share."""
        # A stream to be continued has been served in part, which would be lost.
        if ticket.returned or ticket.is_continuation or not self.overloaded(now):
            return False
        # While a replica has a free slot, refusing the ticket would help nobody else.
        return self._usage.over_share(ticket.workspace, now) and not self._can_place(ticket, now)

    def _move_excess(self, ticket: Ticket, now: float) -> Move | None:
        if self.overflow is None:
            return None
        self.overflow.record_overload(now)
        cell = self.overflow.use_offer(ticket, now)
        return Move(ticket, cell) if cell is not None else None

    def _move_waiting(self, now: float) -> list[Decision]:
        """Remove the tickets that cells of other regions can start sooner."""
        if self.overflow is None or not self.queue.movable:
            return []
        if self.spare_slots(now) and not self.overloaded(now):
            return []
        self.overflow.record_overload(now)
        return [Move(ticket, cell) for ticket, cell in self.overflow.pop_moved(self.queue, now)]

    def overloaded(self, now: float) -> bool:
        """Return True if a ticket expired a moment ago, so that not all can be served."""
        return now - self._expired_at <= OVERLOAD_SECONDS

    def level(self, now: float) -> float:
        """Return what each workspace may be served in the window, in cost units per weight."""
        return self._usage.level(now)

    def largest_shares(self, count: int, now: float) -> list[Share]:
        """Return the shares of the ``count`` workspaces with the largest recent demands, sorted."""
        return self._usage.largest(count, now)

    def backlog(self, now: float) -> Backlog:
        """Return what waits in the cell, and what its replicas could start."""
        available = self.versions.find_available(self.replicas.values(), now)

        def can_place(ticket: Ticket) -> bool:
            return self.versions.choose(ticket, available, now) is not None

        return describe_backlog(self.queue, self.open_rooms(now), can_place, now)

    def _can_place(self, ticket: Ticket, now: float) -> bool:
        available = self.versions.find_available(self.replicas.values(), now)
        return self.versions.choose(ticket, available, now) is not None

    def open_rooms(self, now: float) -> Collection[ReplicaState]:
        """Return the replicas whose software version may run requests."""
        return self.versions.open_rooms(self.replicas.values(), now)

    def _prefill_rate(self, now: float) -> float:
        """Return the prefill rate of the replicas that will serve retries, in tokens per second.

        Cold replicas sustain too few calls to be counted beside warm ones.
        """
        serving = [state for state in self.open_rooms(now) if state.serves(now)]
        warm = [state for state in serving if not state.warmup.is_cold(now)]
        return max(1.0, sum(state.prefill_rate for state in warm or serving))

    def _refuse(self, ticket: Ticket, reason: Reason, now: float) -> Refusal:
        if not ticket.returns_within:
            return Refusal(ticket, reason)
        retry_after = self._retry_schedule.schedule(
            ticket.prompt_tokens, ticket.returns_within, self._prefill_rate(now), now
        )
        self._refusals.refused(ticket.fingerprint, retry_after, now)
        return Refusal(ticket, reason, retry_after)

    def _refuse_expired(self, now: float) -> list[Decision]:
        expired = self.queue.pop_expired(now)
        if expired:
            self._expired_at = now
        return [self._refuse(ticket, Reason.EXPIRED, now) for ticket in expired]

    def cancel(self, key: TicketKey) -> None:
        """Remove a waiting ticket."""
        self.queue.remove(key)

    def progress(self, key: TicketKey, charged: float) -> None:
        """Raise the total charge of a call in flight to ``charged``."""
        flight = self.flights.get(key)
        if flight is None or charged <= flight.charged:
            return
        self._charge(flight.workspace, charged - flight.charged)
        flight.charged = charged

    def release_attempt(
        self, key: TicketKey, attempt: int, cost: float, now: float, result: CallResult
    ) -> None:
        """End a call in flight, unless its ticket was granted again after ``attempt``."""
        flight = self.flights.get(key)
        if flight is not None and flight.attempt <= attempt:
            self.release(key, cost, now, result)

    def release(
        self, key: TicketKey, cost: float, now: float, result: CallResult = CallResult.NOTHING
    ) -> bool:
        """End a call in flight and replace its charge by its actual ``cost``.

        ``result`` is what the end of the call says about the replica. Return True if the call was
        in flight.
        """
        flight = self.flights.pop(key, None)
        if flight is None:
            return False
        self._charge(flight.workspace, cost - flight.charged)
        self._usage.charge(flight.workspace, cost - flight.charged, now)
        self._clear_pending(flight)
        state = self.replicas.get(flight.replica)
        if self.tallies is not None:
            was_cold = state is not None and state.warmup.is_cold(flight.started_at)
            self.tallies.ended(flight, now, result, was_cold)
        if state is None:
            return True
        state.drop_pending(key)
        state.call_ended(now)
        if result.succeeded:
            state.call_succeeded(now, now - flight.started_at)
        elif result.failed:
            others = self._health_of_others(state, now)
            state.call_failed(now, result, others, flight.started_at)
        return True

    def _clear_pending(self, flight: Flight) -> None:
        if flight.unread:
            flight.unread = 0
            self._pending_answers[flight.workspace] -= 1

    def _health_of_others(self, state: ReplicaState, now: float) -> GroupHealth:
        """Return the health of the replicas that the one of ``state`` is compared with.

        Replicas that are draining no longer belong to the cell. Those that cannot be reached say
        nothing about error rates: when a failure domain is lost, a faulty replica is still the
        worst of those that answer.
        """
        states = [other for other in self.replicas.values() if not other.leaving]
        group = self.versions.same_side(state.name, states)
        others = [other for other in group if other is not state]
        # Failures on trial are those of the version, which is judged as a whole.
        if not others or self.versions.on_trial(state.name, now):
            return GroupHealth(can_eject=False)
        unavailable = sum(not other.serves(now) or other.health.tripped for other in others)
        error_rates = [
            other.health.error_rate for other in others if not other.health.was_unreachable
        ]
        mean_rate = sum(error_rates) / len(error_rates) if error_rates else 0.0
        return GroupHealth(mean_rate, unavailable + 1 <= len(group) // 2)

    def report(self, replica: str, report: LoadReport, now: float) -> None:
        """Apply a load report of ``replica``."""
        state = self.replicas.get(replica)
        if state is not None:
            state.apply_report(now, report)

    def resume_flight(self, key: TicketKey, flight: Flight) -> None:
        """Record a call in flight that an earlier dispatcher granted."""
        if key in self.flights:
            return
        self.flights[key] = flight
        flight.software_version = self.versions.version_of(flight.replica)
        self.versions.record_grant(flight.replica, flight.started_at)
        self._pending_answers[flight.workspace] += bool(flight.unread)
        state = self.replicas.get(flight.replica)
        if state is not None:
            state.call_started(flight.started_at)
            self._record_pending(state, key, flight)

    def drop_entry(self, entry: str, now: float) -> None:
        """Drop all tickets and calls of an ``entry`` that is gone."""
        self.keep_only(entry, set(), now)

    def keep_only(self, entry: str, keys: set[TicketKey], now: float) -> None:
        """Drop the tickets and calls of ``entry`` that are not in ``keys``."""
        for key in [key for key in self.flights if key[0] == entry and key not in keys]:
            self.release(key, self.flights[key].charged, now)
        for ticket in self.queue.all_tickets():
            if ticket.entry == entry and ticket.key not in keys:
                self.queue.remove(ticket.key)

    def pump(self, now: float) -> list[Decision]:
        """Grant tickets while replicas have free slots, and decide which others have to leave.

        Tickets that can start sooner in another region are moved, and expired ones are refused.
        """
        decisions: list[Decision] = []
        if len(self.queue):
            decisions += self._decide_continuations(now)
            decisions += self._grant_waiting(now)
            decisions += self._move_waiting(now)
            decisions += self._refuse_expired(now)
        return decisions

    def _decide_continuations(self, now: float) -> list[Decision]:
        """Grant tickets that continue streams, and refuse those that no replica can continue.

        They go before other tickets: their streams have been served in part, and can be continued
        only here. They are charged as all others, and a workspace far above the lowest counter has
        to wait, so that none gains by resuming streams.
        """
        decisions: list[Decision] = []
        for ticket in self.queue.continuations():
            if not self.versions.can_continue(ticket, self.replicas.values()):
                self.queue.remove(ticket.key)
                decisions.append(Refusal(ticket, Reason.VERSION_GONE))
                continue
            if self._must_yield(ticket):
                continue
            state = self.versions.choose_for_continuation(ticket, self.replicas.values(), now)
            if state is not None:
                self.queue.dequeue(ticket)
                self._add_served(ticket.workspace, ticket.estimate)
                decisions.append(self._grant(ticket, state, now))
        return decisions

    def _must_yield(self, ticket: Ticket) -> bool:
        """Return True if ``ticket`` may not go before those of other workspaces that wait.

        This is the case if its workspace is far above the lowest counter.
        """
        if not self.queue.movable:
            return False
        max_lead = CATCH_UP_CHARGES * ticket.estimate / self.queue.weight(ticket.workspace)
        return self.queue.lead(ticket.workspace) > max_lead

    def _grant_waiting(self, now: float) -> list[Decision]:
        grants: list[Decision] = []
        while self.queue.movable:
            grant = self._grant_next(now)
            if grant is None:
                break
            grants.append(grant)
        return grants

    def _grant_next(self, now: float) -> Grant | None:
        available = self.versions.find_available(self.replicas.values(), now)
        if not available.free:
            return None
        # The first ticket may wait for a replica that has its prompt prefix cached. Others are
        # granted in the meantime, so that replicas are not idle.
        for workspace in self.queue.workspaces()[:MAX_WORKSPACES_TRIED]:
            ticket = self.queue.head(workspace)
            state = self.versions.choose(ticket, available, now, self._share_state(workspace, now))
            if state is not None:
                self.queue.dequeue(ticket)
                self._add_served(workspace, ticket.estimate)
                return self._grant(ticket, state, now)
        return None

    def _share_state(self, workspace: str, now: float) -> ShareState:
        if self._usage.is_enabled and self.overloaded(now):
            over = self._usage.over_share(workspace, now)
            return ShareState.OVER_SHARE if over else ShareState.BELOW_SHARE
        return (
            ShareState.PENDING_PREFILL
            if self._pending_answers.get(workspace)
            else ShareState.NO_PENDING_PREFILL
        )

    def _decide_urgent(self, ticket: Ticket, now: float) -> Decision:
        # An urgent ticket goes ahead of waiting ones only while its workspace is not far above the
        # others. Otherwise one workspace could starve the rest by marking all its requests urgent.
        if self._must_yield(ticket):
            return Refusal(ticket, Reason.NO_ROOM)
        available = self.versions.find_available(self.replicas.values(), now, urgent=True)
        state = self.versions.choose(ticket, available, now)
        if state is None:
            return Refusal(ticket, Reason.NO_ROOM)
        self.queue.raise_counter(ticket.workspace)
        self._charge(ticket.workspace, ticket.estimate)
        return self._grant(ticket, state, now)

    def _grant(self, ticket: Ticket, state: ReplicaState, now: float) -> Grant:
        # A call without a prompt counts as one token, because its answer has yet to start.
        pending_tokens = max(1, state.uncached_tokens(ticket))
        state.record_prefix(ticket)
        flight = Flight(
            ticket.attempt,
            ticket.workspace,
            state.name,
            ticket.estimate,
            now,
            pending_tokens,
            ticket.fingerprint,
            ticket.route,
            self.versions.version_of(state.name),
            parts=ticket.parts,
        )
        self.flights[ticket.key] = flight
        stage = self.versions.record_grant(state.name, now)
        if self.tallies is not None:
            self.tallies.arrivals += 1
        self._pending_answers[ticket.workspace] += 1
        self._usage.charge(ticket.workspace, ticket.estimate, now)
        state.call_started(now)
        self._record_pending(state, ticket.key, flight)
        return Grant(ticket, state.name, self.queue.counter(ticket.workspace), stage)

    def _charge(self, workspace: str, cost: float) -> None:
        self.queue.charge(workspace, cost)
        self._add_served(workspace, cost)

    def _add_served(self, workspace: str, cost: float) -> None:
        self.served[workspace] = self.served.get(workspace, 0.0) + cost

    def holds(self, fingerprints: Collection[int], now: float) -> bool:
        """Return True if a request with one of ``fingerprints`` is waiting or running here.

        A part of a prompt whose answer has been written for a while does not count.
        """
        waiting = [fp for ticket in self.queue.all_tickets() for fp in ticket.fingerprints]
        running = [
            fp
            for flight in self.flights.values()
            for fp in flight.fingerprints
            if fp not in flight.survivors(now)
        ]
        return not set(fingerprints).isdisjoint((*waiting, *running))

    def room(self, now: float) -> int:
        """Return how many more calls fit into the slots of the cell, without any queueing."""
        return sum(state.startable_calls(now) for state in self.open_rooms(now))

    def wanted(self, now: float) -> tuple[Cell, int] | None:
        """Return which cell of another region to request how many tickets from, or ``None``."""
        if self.overflow is None or not self.overflow.can_request(now):
            return None
        return self.overflow.tickets_to_request(len(self.queue), self.spare_slots(now), now)

    def spare_slots(self, now: float) -> int:
        """Return how many more calls the replicas that are nearly idle could start now."""
        return sum(
            state.startable_calls(now)
            for state in self.open_rooms(now)
            if state.unread_seconds < NEARLY_IDLE_SECONDS and not state.health.tripped
        )


def _as_retry(ticket: Ticket) -> Ticket:
    """Return ``ticket`` marked as the retry of a refused request, with a longer maximum wait."""
    max_wait = min(RETRY_WAIT_OBJECTIVES * ticket.objective, ticket.returns_within)
    return replace(ticket, returned=True, patience=max(ticket.patience, max_wait))
