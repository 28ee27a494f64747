"""The entry's side of dispatch: place tickets with dispatchers, and receive grants.

The entry can send all the state of its tickets again, so nothing is lost with a dispatcher. A grant
is only valid if it has the current attempt number of its ticket. Any other grant is returned, so
that a dispatcher that was paused or partitioned does no harm when it resumes.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Reason
from railsail.dispatch.bookings import Booking, PoolRequest, TicketRefused, ticket_name, to_place
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.reachability import DispatcherReachability
from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import (
    Begun,
    Cancel,
    Granted,
    Held,
    Moved,
    Place,
    Progress,
    Refused,
    Release,
    Resync,
)
from railsail.peers.records import CounterRecord, FlightRecord
from railsail.scheduling.cells import Cell
from railsail.scheduling.health import CallResult
from railsail.scheduling.overflow import WAY_SECONDS
from railsail.scheduling.room import LONG_PREFIX_TOKENS

RESYNC_INTERVAL_SECONDS = 10.0
# Counters of workspaces that are kept of a cell, those of the newest grants. A resync has room for
# as many.
MAX_COUNTERS = 2000
# A dispatcher's refusal can arrive this long after the wait has ended: the dispatcher has to check
# its queue, and the message has to travel to the entry.
DECISION_SECONDS = 0.025
# A request is sent to another region for its prompt prefix only if it can wait for at least this
# many network round trips between regions.
MIN_WAIT_ROUND_TRIPS = 4


class TicketClient:
    """Holds the pending calls of this node, and places their tickets with dispatchers."""

    def __init__(
        self,
        cells: CellMap,
        hub: PeerHub,
        kernel: Kernel,
    ) -> None:
        self._cells = cells
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._rng = kernel.rng
        self._calls: dict[int, Booking] = {}
        self._next_number = 1
        self._counters: dict[Cell, dict[str, int]] = {}
        # Returns what to log about a granted replica; set where rollouts are followed.
        self.replica_facts: Callable[[str], Mapping[str, Fact]] = lambda replica: {}
        self._reachability = DispatcherReachability(
            hub, kernel, self.dispatchers, self._reachability_changed
        )
        # When a dispatcher was last sent all calls of this entry in a cell. A dispatcher and cell
        # that are missing here may still hold calls that ended while the link was down.
        self._synced_at: dict[tuple[str, Cell], float] = {}
        # Dispatchers to resync at the next tick: a ticket of this entry was forwarded to them, or
        # the link to them, in another region, was lost.
        self._to_resync: set[tuple[str, Cell]] = set()
        self._pools: set[str] = set()
        hub.handle(Granted, self._handle_granted)
        hub.handle(Refused, self._handle_refused)
        hub.handle(Held, self._handle_held)
        hub.handle(Moved, self._handle_moved)
        hub.on_up(self._link_up)
        hub.on_down(self._link_down)

    @property
    def unreachable(self) -> set[str]:
        """Return the nodes that did not respond, or could not be dialled, when last used."""
        return self._reachability.unreachable

    def waiting(self) -> list[Booking]:
        """Return the pending calls that wait for a grant."""
        return [call for call in self._calls.values() if call.waiting]

    def dispatchers(self) -> set[str]:
        """Return the nodes that dispatch the pending calls of this entry."""
        return {call.node for call in self._calls.values()}

    def __len__(self) -> int:
        return len(self._calls)

    def place(self, request: PoolRequest, requested_at: float) -> Booking:
        """Place a ticket, and return its pending call.

        The future ``granted`` of the call yields the replica, or raises ``TicketRefused``. The
        waiting time of the request counts from ``requested_at``.
        """
        self._pools.add(request.pool)
        cell = self._choose_cell(request)
        node = self._cells.dispatcher(cell)
        call = Booking(self._next_number, request, requested_at, cell, node)
        self._next_number += 1
        self._calls[call.number] = call
        self._send_place(call)
        return call

    def silent_ms(self, call: Booking) -> int:
        """Return the milliseconds since the last message from the dispatcher of ``call``."""
        if call.node == self._hub.own.node:
            return 0
        return round((self._clock.monotonic() - self._hub.last_heard(call.node)) * 1000)

    def ticket_name(self, call: Booking) -> str:
        """Return the name of the ticket of ``call`` in the logs."""
        return ticket_name(self._hub.own.node, call.number)

    def _choose_cell(self, request: PoolRequest) -> Cell:
        if request.software_version is not None:
            return self._cells.continuation_cell(
                request.pool, request.software_version, request.prefix, request.regions
            )
        if request.prefix:
            anywhere = _uses_fleet_wide_owner(request)
            return self._cells.owner_cell(request.pool, request.prefix, request.regions, anywhere)
        preferred = self._cells.preferred_cells(request.pool, request.regions)
        if len(preferred) == 1:
            return preferred[0]
        # Spread each workspace over these cells, so that each cell can compare its demand with that
        # of the other workspaces.
        load = {cell: [0, 0] for cell in preferred}
        for call in self._calls.values():
            if call.waiting and call.cell in load:
                load[call.cell][0] += call.want.workspace == request.workspace
                load[call.cell][1] += 1
        return min(preferred, key=lambda cell: (load[cell], self._rng.random()))

    def withdraw(self, call: Booking) -> None:
        """Drop a pending call, because it expired, its caller left or its grant cannot be used.

        A ticket that waits is cancelled, and a granted replica is released without a charge.
        """
        if self._calls.pop(call.number, None) is None:
            return
        if call.waiting:
            self._hub.send(call.node, Cancel(call.number))
        else:
            self._send_release(call, 0.0, CallResult.NOTHING)

    def refuse(self, call: Booking, reason: Reason, retry_after: float) -> None:
        """Withdraw a waiting call, and refuse its request without asking the dispatcher."""
        self.withdraw(call)
        if not call.granted.done():
            call.granted.set_exception(TicketRefused(reason, retry_after))

    def return_grant(self, call: Booking, reason: str) -> None:
        """Return a grant of a replica that this node cannot send to; ``reason`` is logged."""
        ticket = self.ticket_name(call)
        self._log_returned(call.replica, call.node, ticket, reason, call.want)
        self.withdraw(call)

    def progress(self, call: Booking, charged: float) -> None:
        """Raise the total charge of a running call to ``charged`` cost units."""
        call.charged = charged
        self._hub.send(call.node, Progress(call.number, round(charged)))

    def begun(self, call: Booking) -> None:
        """Record that the answer to a granted call has started, and notify its dispatcher."""
        if not call.begun and call.number in self._calls:
            call.begun = True
            self._hub.send(call.node, Begun(call.number, call.attempt))

    def release(self, call: Booking, cost: float, result: CallResult) -> None:
        """End a granted call that used ``cost`` units.

        ``result`` tells the dispatcher how the replica did.
        """
        if self._calls.pop(call.number, None) is not None:
            self._send_release(call, cost, result)

    def replan(self) -> None:
        """Move the pending calls whose cell has another dispatcher now."""
        moved: set[tuple[str, Cell]] = set()
        for call in self._calls.values():
            cell = self._current_cell(call)
            node = self._cells.dispatcher(cell)
            if (node, cell) == (call.node, call.cell):
                continue
            self._events.emit(
                Kind.PLACED,
                "the cell has another dispatcher",
                call.want.request_id,
                ticket=self.ticket_name(call),
                cell=str(cell),
                dispatcher=node,
                before=call.node,
            )
            moved.add((call.node, call.cell))
            moved.add((node, cell))
            self._reassign(call, cell, node)
        for node, cell in sorted(moved):
            self._resync(node, cell)
            if not self._has_calls(node, cell):
                # If ``node`` dispatches the cell again later, it must be sent all calls again.
                self._synced_at.pop((node, cell), None)

    def _current_cell(self, call: Booking) -> Cell:
        """Return the cell of ``call``, or another if it waits where no replica accepts work."""
        cell = self._cells.cell(call.cell.pool, call.cell.number)
        if not call.waiting:
            return cell
        version = call.want.software_version
        if version is not None and not self._cells.has_version(cell, version):
            return self._choose_cell(call.want)
        stays = cell.region == call.cell.region and self._cells.takes_work(cell)
        return cell if stays else self._choose_cell(call.want)

    def _has_calls(self, node: str, cell: Cell) -> bool:
        return any((each.node, each.cell) == (node, cell) for each in self._calls.values())

    def _reassign(self, call: Booking, cell: Cell, node: str) -> None:
        call.cell = cell
        call.node = node
        if call.waiting:
            call.attempt += 1

    def _resync(self, node: str, cell: Cell) -> None:
        calls = [each for each in self._calls.values() if (each.node, each.cell) == (node, cell)]
        waiting = [self._to_place(call) for call in calls if call.waiting]
        flights = [self._to_flight(call) for call in calls if not call.waiting]
        counters = self._counters.get(cell, {})
        records = [CounterRecord(name, value) for name, value in counters.items()]
        self._synced_at[(node, cell)] = self._clock.monotonic()
        self._hub.send(node, Resync(cell.pool, cell.number, waiting, flights, records))

    def _link_up(self, peer: Identity) -> None:
        self._mark_unsynced(peer.node)
        self._reachability.link_up(peer.node)
        cells = {each.cell for each in self._calls.values() if each.node == peer.node}
        for call in self._calls.values():
            if call.node == peer.node and call.waiting:
                call.attempt += 1
        for cell in sorted(cells):
            self._resync(peer.node, cell)

    def _mark_unsynced(self, node: str) -> None:
        remote = self._cells.round_trip_seconds(self._hub.own.node, node) > 0
        for synced in [synced for synced in self._synced_at if synced[0] == node]:
            del self._synced_at[synced]
            if remote:
                # Perhaps no more tickets are placed there. The next one would cause a resync, which
                # tells the dispatcher which calls ended in the meantime.
                self._to_resync.add(synced)

    def _link_down(self, node: str) -> None:
        self._mark_unsynced(node)
        self._reachability.link_down(node)

    def _reachability_changed(self) -> None:
        self._cells.forget()
        self.replan()

    def tick(self) -> None:
        """Do the periodic work: probe and dial dispatchers, and resync. Call it twice a second."""
        self._reachability.tick()
        self._dial_remote_dispatcher()
        self._resync_pending()
        now = self._clock.monotonic()
        for (node, cell), synced_at in list(self._synced_at.items()):
            if now - synced_at > RESYNC_INTERVAL_SECONDS:
                # A dispatcher that missed a release would hold a slot for a call that has ended.
                if self._cells.dispatcher(cell) == node:
                    self._resync(node, cell)
                else:
                    del self._synced_at[(node, cell)]

    def _dial_remote_dispatcher(self) -> None:
        """Dial a dispatcher of another region to which there is no link.

        A ticket forwarded there would expire before a new link is established.
        """
        dispatchers = (self._cells.remote_dispatchers(pool) for pool in sorted(self._pools))
        missing = [
            node for node in sorted(set().union(*dispatchers)) if not self._hub.connected(node)
        ]
        if missing:
            # Only one at a time, chosen at random: all entries dial a node that has just become a
            # dispatcher.
            self._hub.dial(self._rng.choice(missing))

    def _resync_pending(self) -> None:
        """Resync dispatchers that may have missed the end of a call, or whose grant may be lost."""
        for node, cell in sorted(self._to_resync):
            if self._hub.connected(node):
                self._to_resync.discard((node, cell))
                if (node, cell) not in self._synced_at:
                    self._resync(node, cell)

    def _send_place(self, call: Booking) -> None:
        self._reachability.request_sent(call.node)
        if (call.node, call.cell) not in self._synced_at:
            self._resync(call.node, call.cell)
            return
        self._hub.send(call.node, self._to_place(call))

    def _to_place(self, call: Booking) -> Place:
        waited = self._clock.monotonic() - call.requested_at
        # Count the round trip as waiting time, so that the grant is back before the wait ends.
        waited += self._cells.round_trip_seconds(self._hub.own.node, call.node)
        return to_place(call.want, call.number, call.attempt, call.cell, waited)

    def _to_flight(self, call: Booking) -> FlightRecord:
        running_seconds = self._clock.monotonic() - call.granted_at
        request = call.want
        return FlightRecord(
            call.number,
            call.attempt,
            request.workspace,
            call.replica,
            round(call.charged),
            round(running_seconds * 1000),
            0 if call.begun else max(1, request.prompt_tokens),
            request.fingerprint,
            list(request.parts),
        )

    def _send_release(self, call: Booking, cost: float, result: CallResult) -> None:
        release = Release(call.number, call.attempt, round(cost), result)
        self._hub.send(call.node, release)

    def _call_awaiting(self, number: int, attempt: int) -> Booking | None:
        """Return the pending call that waits for a decision on ``attempt``, else ``None``."""
        call = self._calls.get(number)
        if call is None or not call.waiting or call.attempt != attempt:
            return None
        # The wait may have ended in this iteration of the event loop, before its task withdrew.
        return None if call.granted.done() else call

    def _handle_granted(self, node: str, message: Granted) -> None:
        call = self._call_awaiting(message.number, message.attempt)
        if call is None:
            self._return_stale_grant(node, message)
            return
        call.node = node
        call.replica = message.replica
        call.charged = float(round(call.want.estimate))
        call.granted_at = self._clock.monotonic()
        counters = self._counters.setdefault(call.cell, {})
        counters.pop(call.want.workspace, None)
        counters[call.want.workspace] = message.counter
        if len(counters) > MAX_COUNTERS:
            del counters[next(iter(counters))]
        self._events.emit(
            Kind.GRANTED,
            request=call.want.request_id,
            workspace=call.want.workspace,
            replica=message.replica,
            dispatcher=node,
            ticket=self.ticket_name(call),
            waited_ms=round((call.granted_at - call.requested_at) * 1000),
            **self.replica_facts(message.replica),
        )
        call.granted.set_result(message.replica)

    def _return_stale_grant(self, node: str, message: Granted) -> None:
        self._log_returned(message.replica, node, ticket_name(self._hub.own.node, message.number))
        self._hub.send(node, Release(message.number, message.attempt, 0, CallResult.NOTHING))

    def _log_returned(
        self,
        replica: str,
        dispatcher: str,
        ticket: str,
        reason: str = "",
        request: PoolRequest | None = None,
    ) -> None:
        self._metrics.returned.inc({})
        self._events.emit(
            Kind.GRANT_RETURNED,
            reason,
            request.request_id if request else "",
            request.workspace if request else "",
            replica=replica,
            dispatcher=dispatcher,
            ticket=ticket,
        )

    def _handle_refused(self, node: str, message: Refused) -> None:
        call = self._call_awaiting(message.number, message.attempt)
        if call is None:
            return
        reason = Reason(message.reason)
        fallbacks = self._cells.fallback_cells(call.cell, call.want.regions)
        # A request that expired, or is over its workspace's share, would be refused there as well.
        if fallbacks and not call.tried_other_cell and reason is Reason.NO_ROOM:
            call.tried_other_cell = True
            self._reassign(call, fallbacks[0], self._cells.dispatcher(fallbacks[0]))
            self._send_place(call)
            return
        del self._calls[call.number]
        call.granted.set_exception(TicketRefused(reason, message.come_back / 1000))

    def _handle_held(self, node: str, message: Held) -> None:
        call = self._call_awaiting(message.number, message.attempt)
        if call is None or call.timeout is None:
            return
        # The caller was refused before, and is unlikely to retry once more, so it waits longer.
        max_wait = message.patience / 1000
        call.want = replace(call.want, returned=True, patience=max_wait)
        remaining = call.requested_at + max_wait + DECISION_SECONDS - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        call.timeout.reschedule(max(loop.time() + remaining, call.timeout.when() or 0.0))

    def _handle_moved(self, node: str, message: Moved) -> None:
        call = self._calls.get(message.number)
        if call is None or call.attempt != message.attempt:
            return
        call.cell = self._cells.cell(call.cell.pool, message.to_cell)
        # The grant may have arrived before this message, on another link.
        self._to_resync.add((message.node, call.cell))
        if call.waiting:
            call.node = message.node
            # The grant will come from that node. If the link is new, the resync repeats the ticket.
            self._hub.dial(message.node)


def _uses_fleet_wide_owner(request: PoolRequest) -> bool:
    """Return True if ``request`` goes to the owner of its prompt prefix in the whole fleet.

    Prefilling a long prefix once in the fleet, and not once in each region, leaves replicas time
    and memory for other prompts. It costs a network round trip between regions, which must be a
    small part of the time that the request can wait.
    """
    long = request.shared_tokens >= LONG_PREFIX_TOKENS
    return long and request.patience >= MIN_WAIT_ROUND_TRIPS * WAY_SECONDS
