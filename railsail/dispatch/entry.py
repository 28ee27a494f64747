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
from railsail.dispatch.reach import DispatcherReach
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

RESYNC_SECONDS = 10.0
# A dispatcher's refusal can arrive this long after the wait has ended: the dispatcher has to check
# its queue, and the message has to travel to the entry.
DECISION_SECONDS = 0.025
# A request is sent to another region for its prompt prefix only if it can wait for at least this
# many network round trips between regions.
LEAST_PATIENCE_WAYS = 4


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
        self._bookings: dict[int, Booking] = {}
        self._next_number = 1
        self._counters: dict[Cell, dict[str, int]] = {}
        # Returns what to log about a granted replica; set where rollouts are followed.
        self.facts_of: Callable[[str], Mapping[str, Fact]] = lambda replica: {}
        self._reach = DispatcherReach(hub, kernel, self.dispatchers, self._reach_changed)
        # When a dispatcher was last sent all calls of this entry in a cell. A dispatcher and cell
        # that are missing here may still hold calls that ended while the link was down.
        self._told_at: dict[tuple[str, Cell], float] = {}
        # Dispatchers to resync at the next tick: a ticket of this entry was forwarded to them, or
        # the link to them, in another region, was lost.
        self._to_tell: set[tuple[str, Cell]] = set()
        self._pools: set[str] = set()
        hub.handle(Granted, self._granted)
        hub.handle(Refused, self._refused)
        hub.handle(Held, self._held)
        hub.handle(Moved, self._moved)
        hub.on_up(self._link_up)
        hub.on_down(self._link_down)

    @property
    def unreachable(self) -> set[str]:
        """Return the nodes that did not respond, or could not be dialled, when last used."""
        return self._reach.unreachable

    def waiting(self) -> list[Booking]:
        """Return the pending calls that wait for a grant."""
        return [booking for booking in self._bookings.values() if booking.waiting]

    def dispatchers(self) -> set[str]:
        """Return the nodes that dispatch the pending calls of this entry."""
        return {booking.node for booking in self._bookings.values()}

    def __len__(self) -> int:
        return len(self._bookings)

    def place(self, want: PoolRequest, asked_at: float) -> Booking:
        """Place a ticket, and return its pending call.

        The future ``granted`` of the call yields the replica, or raises ``TicketRefused``. The
        waiting time of the request counts from ``asked_at``.
        """
        self._pools.add(want.pool)
        cell = self._choose_cell(want)
        node = self._cells.dispatcher(cell)
        booking = Booking(self._next_number, want, asked_at, cell, node)
        self._next_number += 1
        self._bookings[booking.number] = booking
        self._send_place(booking)
        return booking

    def quiet_ms(self, booking: Booking) -> int:
        """Return the milliseconds since a message of the dispatcher of ``booking`` arrived."""
        if booking.node == self._hub.own.node:
            return 0
        return round((self._clock.monotonic() - self._hub.last_heard(booking.node)) * 1000)

    def ticket_name(self, booking: Booking) -> str:
        """Return the name of the ticket of ``booking`` in the logs."""
        return ticket_name(self._hub.own.node, booking.number)

    def _choose_cell(self, want: PoolRequest) -> Cell:
        if want.prefix:
            anywhere = _affords_way(want)
            return self._cells.home(want.pool, want.prefix, want.regions, anywhere)
        homes = self._cells.homes(want.pool, want.regions)
        if len(homes) == 1:
            return homes[0]
        # Spread each workspace over these cells, so that each cell can compare its demand with that
        # of the other workspaces.
        load = {cell: [0, 0] for cell in homes}
        for booking in self._bookings.values():
            if booking.waiting and booking.cell in load:
                load[booking.cell][0] += booking.want.workspace == want.workspace
                load[booking.cell][1] += 1
        return min(homes, key=lambda cell: (load[cell], self._rng.random()))

    def withdraw(self, booking: Booking) -> None:
        """Drop a pending call, because its request expired, its caller left or it is refused.

        A ticket that waits is cancelled, and a granted replica is released without a charge.
        """
        if self._bookings.pop(booking.number, None) is None:
            return
        if booking.waiting:
            self._hub.send(booking.node, Cancel(booking.number))
        else:
            self._send_release(booking, 0.0, CallResult.NOTHING)

    def give_back(self, booking: Booking, why: str) -> None:
        """Return a grant of a replica that this node cannot send to; ``why`` is logged."""
        ticket = self.ticket_name(booking)
        self._tell_returned(booking.replica, booking.node, ticket, why, booking.want)
        self.withdraw(booking)

    def progress(self, booking: Booking, charged: float) -> None:
        """Raise the total charge of a running call to ``charged`` cost units."""
        booking.charged = charged
        self._hub.send(booking.node, Progress(booking.number, round(charged)))

    def begun(self, booking: Booking) -> None:
        """Record that the answer to a granted call has started, and notify its dispatcher."""
        if not booking.begun and booking.number in self._bookings:
            booking.begun = True
            self._hub.send(booking.node, Begun(booking.number, booking.attempt))

    def release(self, booking: Booking, cost: float, result: CallResult) -> None:
        """End a granted call that used ``cost`` units.

        ``result`` tells the dispatcher how the replica did.
        """
        if self._bookings.pop(booking.number, None) is not None:
            self._send_release(booking, cost, result)

    def replan(self) -> None:
        """Move the pending calls whose cell has another dispatcher now."""
        moved: set[tuple[str, Cell]] = set()
        for booking in self._bookings.values():
            cell = self._cell_now(booking)
            node = self._cells.dispatcher(cell)
            if (node, cell) == (booking.node, booking.cell):
                continue
            self._events.emit(
                Kind.PLACED,
                "the cell has another dispatcher",
                booking.want.request_id,
                ticket=self.ticket_name(booking),
                cell=str(cell),
                dispatcher=node,
                before=booking.node,
            )
            moved.add((booking.node, booking.cell))
            moved.add((node, cell))
            self._rebook(booking, cell, node)
        for node, cell in sorted(moved):
            self._resync(node, cell)
            if not self._has_bookings(node, cell):
                # If this node dispatches the cell again later, it needs all the state again.
                self._told_at.pop((node, cell), None)

    def _cell_now(self, booking: Booking) -> Cell:
        """Return the cell of ``booking``, or another if it waits where no replica accepts work."""
        cell = self._cells.cell(booking.cell.pool, booking.cell.number)
        stays = cell.region == booking.cell.region and self._cells.takes_work(cell)
        return cell if stays or not booking.waiting else self._choose_cell(booking.want)

    def _has_bookings(self, node: str, cell: Cell) -> bool:
        return any((b.node, b.cell) == (node, cell) for b in self._bookings.values())

    def _rebook(self, booking: Booking, cell: Cell, node: str) -> None:
        booking.cell = cell
        booking.node = node
        if booking.waiting:
            booking.attempt += 1

    def _resync(self, node: str, cell: Cell) -> None:
        mine = [b for b in self._bookings.values() if (b.node, b.cell) == (node, cell)]
        waiting = [self._to_place(booking) for booking in mine if booking.waiting]
        flights = [self._to_flight(booking) for booking in mine if not booking.waiting]
        counters = self._counters.get(cell, {})
        records = [CounterRecord(name, value) for name, value in counters.items()]
        self._told_at[(node, cell)] = self._clock.monotonic()
        self._hub.send(node, Resync(cell.pool, cell.number, waiting, flights, records))

    def _link_up(self, peer: Identity) -> None:
        self._forget_told(peer.node)
        self._reach.link_up(peer.node)
        cells = {b.cell for b in self._bookings.values() if b.node == peer.node}
        for booking in self._bookings.values():
            if booking.node == peer.node and booking.waiting:
                booking.attempt += 1
        for cell in sorted(cells):
            self._resync(peer.node, cell)

    def _forget_told(self, node: str) -> None:
        far = self._cells.way_seconds(self._hub.own.node, node) > 0
        for told in [told for told in self._told_at if told[0] == node]:
            del self._told_at[told]
            if far:
                # Perhaps no more tickets are placed there. The next one would cause a resync, which
                # tells the dispatcher which calls ended in the meantime.
                self._to_tell.add(told)

    def _link_down(self, node: str) -> None:
        self._forget_told(node)
        self._reach.link_down(node)

    def _reach_changed(self) -> None:
        self._cells.forget()
        self.replan()

    def tick(self) -> None:
        """Do the periodic work: probe and dial dispatchers, and resync. Call it twice a second."""
        self._reach.tick()
        self._link_far()
        self._tell_others()
        now = self._clock.monotonic()
        for (node, cell), told_at in list(self._told_at.items()):
            if now - told_at > RESYNC_SECONDS:
                # A dispatcher that missed a release would hold a slot for a call that has ended.
                if self._cells.dispatcher(cell) == node:
                    self._resync(node, cell)
                else:
                    del self._told_at[(node, cell)]

    def _link_far(self) -> None:
        """Dial a dispatcher of another region to which there is no link.

        A ticket forwarded there would expire before a new link is established.
        """
        named = (self._cells.far_dispatchers(pool) for pool in sorted(self._pools))
        lacking = [node for node in sorted(set().union(*named)) if not self._hub.connected(node)]
        if lacking:
            # Only one at a time, chosen at random: all entries dial a node that has just become a
            # dispatcher.
            self._hub.dial(self._rng.choice(lacking))

    def _tell_others(self) -> None:
        """Resync dispatchers that may have missed the end of a call, or whose grant may be lost."""
        for node, cell in sorted(self._to_tell):
            if self._hub.connected(node):
                self._to_tell.discard((node, cell))
                if (node, cell) not in self._told_at:
                    self._resync(node, cell)

    def _send_place(self, booking: Booking) -> None:
        self._reach.asked(booking.node)
        if (booking.node, booking.cell) not in self._told_at:
            self._resync(booking.node, booking.cell)
            return
        self._hub.send(booking.node, self._to_place(booking))

    def _to_place(self, booking: Booking) -> Place:
        waited = self._clock.monotonic() - booking.placed_at
        # Count the round trip as waiting time, so that the grant is back before the wait ends.
        waited += self._cells.way_seconds(self._hub.own.node, booking.node)
        return to_place(booking.want, booking.number, booking.attempt, booking.cell, waited)

    def _to_flight(self, booking: Booking) -> FlightRecord:
        running = self._clock.monotonic() - booking.granted_at
        want = booking.want
        return FlightRecord(
            booking.number,
            booking.attempt,
            want.workspace,
            booking.replica,
            round(booking.charged),
            round(running * 1000),
            0 if booking.begun else max(1, want.prompt_tokens),
            want.fingerprint,
        )

    def _send_release(self, booking: Booking, cost: float, result: CallResult) -> None:
        release = Release(booking.number, booking.attempt, round(cost), result)
        self._hub.send(booking.node, release)

    def _awaiting(self, number: int, attempt: int) -> Booking | None:
        """Return the pending call that waits for a decision on ``attempt``, else ``None``."""
        booking = self._bookings.get(number)
        if booking is None or not booking.waiting or booking.attempt != attempt:
            return None
        # The wait may have ended in this iteration of the event loop, before its task withdrew.
        return None if booking.granted.done() else booking

    def _granted(self, node: str, message: Granted) -> None:
        booking = self._awaiting(message.number, message.attempt)
        if booking is None:
            self._hand_back(node, message)
            return
        booking.node = node
        booking.replica = message.replica
        booking.charged = float(round(booking.want.estimate))
        booking.granted_at = self._clock.monotonic()
        counters = self._counters.setdefault(booking.cell, {})
        counters[booking.want.workspace] = message.counter
        self._events.emit(
            Kind.GRANTED,
            request=booking.want.request_id,
            workspace=booking.want.workspace,
            replica=message.replica,
            dispatcher=node,
            ticket=self.ticket_name(booking),
            waited_ms=round((booking.granted_at - booking.placed_at) * 1000),
            **self.facts_of(message.replica),
        )
        booking.granted.set_result(message.replica)

    def _hand_back(self, node: str, message: Granted) -> None:
        self._tell_returned(message.replica, node, ticket_name(self._hub.own.node, message.number))
        self._hub.send(node, Release(message.number, message.attempt, 0, CallResult.NOTHING))

    def _tell_returned(
        self,
        replica: str,
        dispatcher: str,
        ticket: str,
        why: str = "",
        want: PoolRequest | None = None,
    ) -> None:
        self._metrics.returned.inc({})
        self._events.emit(
            Kind.GRANT_RETURNED,
            why,
            want.request_id if want else "",
            want.workspace if want else "",
            replica=replica,
            dispatcher=dispatcher,
            ticket=ticket,
        )

    def _refused(self, node: str, message: Refused) -> None:
        booking = self._awaiting(message.number, message.attempt)
        if booking is None:
            return
        reason = Reason(message.reason)
        others = self._cells.others(booking.cell, booking.want.regions)
        # A request that expired, or is over its workspace's share, would be refused there as well.
        if others and not booking.refused and reason is Reason.NO_ROOM:
            booking.refused = True
            self._rebook(booking, others[0], self._cells.dispatcher(others[0]))
            self._send_place(booking)
            return
        del self._bookings[booking.number]
        booking.granted.set_exception(TicketRefused(reason, message.come_back / 1000))

    def _held(self, node: str, message: Held) -> None:
        booking = self._awaiting(message.number, message.attempt)
        if booking is None or booking.limit is None:
            return
        # The caller was refused before, and is unlikely to retry once more, so it waits longer.
        patience = message.patience / 1000
        booking.want = replace(booking.want, returned=True, patience=patience)
        longest = booking.placed_at + patience + DECISION_SECONDS - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        booking.limit.reschedule(max(loop.time() + longest, booking.limit.when() or 0.0))

    def _moved(self, node: str, message: Moved) -> None:
        booking = self._bookings.get(message.number)
        if booking is None or booking.attempt != message.attempt:
            return
        booking.cell = self._cells.cell(booking.cell.pool, message.to_cell)
        # The grant may have arrived before this message, on another link.
        self._to_tell.add((message.node, booking.cell))
        if booking.waiting:
            booking.node = message.node
            # The grant will come from that node. If the link is new, the resync repeats the ticket.
            self._hub.dial(message.node)


def _affords_way(want: PoolRequest) -> bool:
    """Return True if ``want`` goes to the owner of its prompt prefix in whichever region.

    Prefilling a long prefix once in the fleet, and not once in each region, leaves replicas time
    and memory for other prompts. It costs a network round trip between regions, which must be a
    small part of the time that the request can wait.
    """
    long = want.shared_tokens >= LONG_PREFIX_TOKENS
    return long and want.patience >= LEAST_PATIENCE_WAYS * WAY_SECONDS
