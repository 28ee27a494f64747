"""The dispatcher's side of dispatch: run the cells that this node dispatches for the fleet.

Requests of an entry to a cell are handled whether or not this node considers itself the dispatcher
of that cell. If a cell has two dispatchers for a while, they may overcommit its replicas, which
violates no guarantee.
"""

import asyncio
from collections.abc import Callable

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Reason
from railsail.dispatch.bookings import ticket_name, to_place, to_ticket
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.loads import LoadReports
from railsail.dispatch.replicas import CellReplicas
from railsail.dispatch.rolloutlog import RolloutLog
from railsail.dispatch.sharelog import ShareLog
from railsail.objects.catalog import Catalog
from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import (
    Begun,
    Cancel,
    Granted,
    HandedOver,
    Held,
    Moved,
    Passed,
    Place,
    Probe,
    ProbeReply,
    Progress,
    Refused,
    Release,
    Resync,
)
from railsail.peers.records import CounterRecord
from railsail.quarantine.trials import Trials
from railsail.scheduling.cells import Cell
from railsail.scheduling.decisions import Decision, Flight, Grant, Hold, Move, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.overflow import Overflow
from railsail.scheduling.room import LoadReport
from railsail.scheduling.tickets import Ticket, TicketKey

TICK_SECONDS = 0.25
# While tickets wait, a cell is pumped at this interval, and not more often. It is pumped even if no
# message arrived, since replicas continue to prefill prompts in the meantime. An engine prefills
# about 500 tokens in this time, so at shorter intervals there is hardly anything new to decide.
PUMP_INTERVAL_SECONDS = 0.006
DROP_IDLE_AFTER_SECONDS = 30.0
# While it is being checked whether a replica has crashed, tickets of the request that it ran are
# held back for this long at a time. The host of the replica answers within a few milliseconds.
UNDECIDED_RETRY_SECONDS = 0.005


class DispatcherService:
    """Holds the cell dispatchers of this node, and connects them with entries by messages."""

    def __init__(
        self,
        cells: CellMap,
        replicas: CellReplicas,
        catalog: Callable[[], Catalog],
        loads: LoadReports,
        hub: PeerHub,
        kernel: Kernel,
        use_prefixes: bool,
        fair_window: float,
        trials: Trials,
    ) -> None:
        self._cells = cells
        self._replicas = replicas
        self._catalog = catalog
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._rng = kernel.rng
        self._use_prefixes = use_prefixes
        self._fair_window = fair_window
        self._trials = trials
        self._dispatchers: dict[Cell, CellDispatcher] = {}
        self._cell_of_ticket: dict[TicketKey, Cell] = {}
        self._entry_starts: dict[str, int] = {}
        self._last_used: dict[Cell, float] = {}
        self._pump_scheduled: set[Cell] = set()
        self._share_log = ShareLog(kernel.events)
        self._rollout_log = RolloutLog(self._dispatchers, kernel)
        self._loads = loads
        loads.on_report(self._handle_load_report)
        self._pump_listeners: list[Callable[[Cell, CellDispatcher], None]] = []
        hub.handle(Place, self._handle_place)
        hub.handle(Cancel, self._handle_cancel)
        hub.handle(Release, self._handle_release)
        hub.handle(Progress, self._handle_progress)
        hub.handle(Begun, self._handle_begun)
        hub.handle(Resync, self._handle_resync)
        hub.handle(HandedOver, self._handle_handed_over)
        hub.handle(Probe, lambda node, message: hub.send(node, ProbeReply()))
        hub.on_up(self._link_up)

    def _link_up(self, peer: Identity) -> None:
        # An entry that restarted numbers its tickets from one again. The state of its earlier
        # process must go, or it would be mistaken for that of the new tickets.
        if self._entry_starts.get(peer.node, peer.start_id) != peer.start_id:
            self.drop_entry(peer.node)
        self._entry_starts[peer.node] = peer.start_id

    def dispatchers(self) -> dict[Cell, CellDispatcher]:
        """Return the cell dispatchers of this node."""
        return self._dispatchers

    def on_pumped(self, listener: Callable[[Cell, CellDispatcher], None]) -> None:
        """Call ``listener`` after each change of a cell, once the resulting grants are sent."""
        self._pump_listeners.append(listener)

    def forward_ticket(self, ticket: Ticket, cell: Cell, node: str) -> None:
        """Forward a ``ticket`` that was removed from its queue to ``cell`` at ``node``.

        Its entry is notified of the move.
        """
        place = self._to_place(ticket, cell, node)
        self._cell_of_ticket.pop(ticket.key, None)
        self._hub.send(ticket.entry, Moved(ticket.number, ticket.attempt, cell.number, node))
        self._hub.send(node, Passed(ticket.entry, cell.number, place))

    def _to_place(self, ticket: Ticket, cell: Cell, node: str) -> Place:
        waited = self._clock.monotonic() - ticket.enqueued_at
        # An entry in another region has already counted a round trip as waiting time.
        if not self._cells.round_trip_seconds(ticket.entry, self._hub.own.node):
            waited += self._cells.round_trip_seconds(ticket.entry, node)
        return to_place(ticket, ticket.number, ticket.attempt, cell, waited)

    def renew_replicas(self) -> None:
        """Apply a change of the replicas at once, so that a leaving one gets no more calls."""
        for cell, dispatcher in list(self._dispatchers.items()):
            self._replicas.update(cell, dispatcher)
            self._pump(cell, dispatcher)

    def drop_entry(self, entry: str) -> None:
        """Drop all tickets and calls of an entry that is gone or restarted."""
        self._entry_starts.pop(entry, None)
        now = self._clock.monotonic()
        for cell, dispatcher in self._dispatchers.items():
            dispatcher.drop_entry(entry, now)
            self._pump(cell, dispatcher)
        self._drop_stale_keys()

    def hand_over(self) -> None:
        """Send the fairness counters of each cell to the node that dispatches it from now on."""
        for cell, dispatcher in self._dispatchers.items():
            node = self._cells.dispatcher(cell)
            if node != self._hub.own.node:
                records = _to_records(dispatcher.queue.counters())
                virtual_time = round(dispatcher.queue.virtual_time)
                self._hub.send(node, HandedOver(cell.pool, cell.number, records, virtual_time))

    def tick(self) -> None:
        """Pump all cells, poll load reports, and drop idle cells; called every ``TICK_SECONDS``."""
        now = self._clock.monotonic()
        for cell, dispatcher in list(self._dispatchers.items()):
            self._replicas.set_cold(cell, dispatcher)
            self._pump(cell, dispatcher)
            self._loads.poll(cell, dispatcher)
            self._share_log.log(cell, dispatcher, now)
            self._drop_idle(cell, dispatcher, now)

    def dispatcher(self, pool: str, number: int) -> tuple[Cell, CellDispatcher]:
        """Return a cell and its dispatcher, which is created if there is none yet."""
        cell = self._cells.cell(pool, number)
        dispatcher = self._dispatchers.get(cell)
        if dispatcher is None:
            dispatcher = CellDispatcher(
                self._weight,
                self._rng,
                self._use_prefixes,
                self._fair_window,
                Overflow() if cell.region else None,
            )
            self._dispatchers[cell] = dispatcher
            self._replicas.update(cell, dispatcher)
            replicas = len(dispatcher.replicas)
            self._events.emit(Kind.TOOK_OVER, cell=str(cell), replicas=replicas)
            self._loads.poll(cell, dispatcher)
        self._last_used[cell] = self._clock.monotonic()
        return cell, dispatcher

    def _weight(self, workspace: str) -> float:
        return self._catalog().class_of(workspace).weight

    def calls_on(self, replica: str, before: float) -> set[int]:
        """Return the fingerprints of the requests in flight that ``replica`` was granted.

        They include those of the parts of prompts. Only requests granted at ``before`` or earlier
        count, by this node's monotonic clock.
        """
        flights = [f for d in self._dispatchers.values() for f in d.flights.values()]
        return {
            fingerprint
            for flight in flights
            if flight.replica == replica and flight.started_at <= before and flight.fingerprint
            for fingerprint in flight.fingerprints
        }

    def survivors_on(self, replica: str, at: float) -> set[int]:
        """Return the parts of prompts that did not cause a crash of ``replica`` at ``at``.

        The replica had been writing the answers to them for a while.
        """
        flights = [f for d in self._dispatchers.values() for f in d.flights.values()]
        return {part for f in flights if f.replica == replica for part in f.survivors(at)}

    def _handle_place(self, node: str, message: Place) -> None:
        if self._trials.undecided((message.fingerprint, *message.parts)):
            # It will be known in a moment whether a replica crashed while running this request. To
            # wait for that spares another replica.
            loop = asyncio.get_running_loop()
            loop.call_later(UNDECIDED_RETRY_SECONDS, self._handle_place, node, message)
            return
        cell, dispatcher = self.dispatcher(message.pool, message.cell)
        self.accept_ticket(cell, dispatcher, node, message)

    def accept_ticket(
        self, cell: Cell, dispatcher: CellDispatcher, entry: str, message: Place
    ) -> None:
        """Add a ticket of ``entry`` to ``cell``, and send the resulting decisions."""
        now = self._clock.monotonic()
        ticket = to_ticket(entry, message, now)
        seconds = self._trials.refusal_seconds(dispatcher, ticket)
        if seconds > 0:
            self._send_decisions(cell, [Refusal(ticket, Reason.QUARANTINED, seconds)])
            return
        self._cell_of_ticket[ticket.key] = cell
        if len(dispatcher.queue):
            self._send_decisions(cell, dispatcher.put(ticket, now))
        else:
            self._send_decisions(cell, dispatcher.offer(ticket, now))
        self._after_pump(cell, dispatcher)

    def _handle_cancel(self, node: str, message: Cancel) -> None:
        key = (node, message.number)
        found = self._find(key)
        if found is not None and key in found[1].flights:
            # The grant is on its way, and the entry will return it.
            return
        self._cell_of_ticket.pop(key, None)
        if found is not None and key in found[1].queue:
            cell, dispatcher = found
            dispatcher.cancel(key)
            self._log_refused(cell, node, message.number)

    def _find(self, key: TicketKey) -> tuple[Cell, CellDispatcher] | None:
        cell = self._cell_of_ticket.get(key)
        dispatcher = self._dispatchers.get(cell) if cell else None
        return (cell, dispatcher) if dispatcher is not None else None

    def _log_refused(self, cell: Cell, entry: str, number: int) -> None:
        """Log the state of ``cell`` in which a ticket, already removed, found no replica."""
        dispatcher = self._dispatchers[cell]
        now = self._clock.monotonic()
        replicas = dispatcher.open_rooms(now)
        serving = [replica for replica in replicas if replica.serves(now)]
        self._events.emit(
            Kind.EXPIRED,
            ticket=ticket_name(entry, number),
            cell=str(cell),
            waiting=len(dispatcher.queue) + 1,
            in_flight=len(dispatcher.flights),
            replicas=len(replicas),
            replicas_serving=len(serving),
            free_slots=sum(replica.room(now) for replica in serving),
            to_read_ms=round(sum(replica.unread_seconds for replica in serving) * 1000),
        )

    def _handle_release(self, node: str, message: Release) -> None:
        key = (node, message.number)
        found = self._find(key)
        if found is None:
            return
        cell, dispatcher = found
        now = self._clock.monotonic()
        result = CallResult(message.result)
        self._trials.ended(dispatcher.flights.get(key), result)
        dispatcher.release_attempt(key, message.attempt, float(message.cost), now, result)
        if key not in dispatcher.flights and key not in dispatcher.queue:
            del self._cell_of_ticket[key]
        self._capacity_changed(cell, dispatcher)

    def _handle_progress(self, node: str, message: Progress) -> None:
        key = (node, message.number)
        found = self._find(key)
        if found is not None:
            found[1].progress(key, float(message.charged))

    def _handle_begun(self, node: str, message: Begun) -> None:
        key = (node, message.number)
        found = self._find(key)
        if found is None:
            return
        cell, dispatcher = found
        dispatcher.answered(key, self._clock.monotonic())
        self._capacity_changed(cell, dispatcher)

    def _handle_resync(self, node: str, message: Resync) -> None:
        cell, dispatcher = self.dispatcher(message.pool, message.cell)
        now = self._clock.monotonic()
        dispatcher.queue.merge((item.workspace, float(item.value)) for item in message.counters)
        kept_keys = {(node, item.number) for item in message.waiting}
        kept_keys |= {(node, item.number) for item in message.flights}
        dispatcher.keep_only(node, kept_keys, now)
        for item in message.flights:
            key = (node, item.number)
            self._cell_of_ticket[key] = cell
            started = now - item.running / 1000
            flight = Flight(
                item.attempt,
                item.workspace,
                item.replica,
                float(item.charged),
                started,
                item.unread,
                item.fingerprint,
                parts=tuple(item.parts),
            )
            dispatcher.resume_flight(key, flight)
        for item in message.waiting:
            self.accept_ticket(cell, dispatcher, node, item)
        self._drop_stale_keys()

    def _handle_handed_over(self, node: str, message: HandedOver) -> None:
        _, dispatcher = self.dispatcher(message.pool, message.cell)
        dispatcher.queue.advance(float(message.virtual_time))
        dispatcher.queue.merge((item.workspace, float(item.value)) for item in message.counters)

    def _pump(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        self._send_decisions(cell, dispatcher.pump(self._clock.monotonic()))
        self._after_pump(cell, dispatcher)

    def _capacity_changed(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        if len(dispatcher.queue):
            # The next pump is due soon, and handles all changes until then.
            self._schedule_pump(cell, dispatcher)
        else:
            # Nothing waits here, but neighbouring cells may have waiting tickets.
            self._pump(cell, dispatcher)

    def _after_pump(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        for listener in self._pump_listeners:
            listener(cell, dispatcher)
        self._schedule_pump(cell, dispatcher)

    def _schedule_pump(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        if len(dispatcher.queue) and cell not in self._pump_scheduled:
            self._pump_scheduled.add(cell)
            loop = asyncio.get_running_loop()
            loop.call_later(PUMP_INTERVAL_SECONDS, self._scheduled_pump, cell)

    def _scheduled_pump(self, cell: Cell) -> None:
        self._pump_scheduled.discard(cell)
        dispatcher = self._dispatchers.get(cell)
        if dispatcher is not None:
            self._pump(cell, dispatcher)

    def _send_decisions(self, cell: Cell, decisions: list[Decision]) -> None:
        for decision in decisions:
            ticket = decision.ticket
            if isinstance(decision, Move):
                self.forward_ticket(ticket, decision.cell, self._cells.dispatcher(decision.cell))
                continue
            if isinstance(decision, Grant):
                self._metrics.granted.inc({"cell": str(cell)})
                self._rollout_log.record_grant(cell, decision)
                message = Granted(
                    ticket.number, ticket.attempt, decision.replica, round(decision.counter)
                )
            elif isinstance(decision, Hold):
                message = Held(ticket.number, ticket.attempt, round(ticket.patience * 1000))
            else:
                message = self._refuse(cell, decision)
            self._hub.send(ticket.entry, message)

    def _refuse(self, cell: Cell, decision: Refusal) -> Refused:
        ticket = decision.ticket
        self._cell_of_ticket.pop(ticket.key, None)
        if decision.reason is not Reason.NO_ROOM:
            self._log_refused(cell, ticket.entry, ticket.number)
        retry_after_ms = round(decision.come_back * 1000)
        return Refused(ticket.number, ticket.attempt, decision.reason, retry_after_ms)

    def _handle_load_report(self, cell: Cell, name: str, report: LoadReport) -> None:
        dispatcher = self._dispatchers.get(cell)
        if dispatcher is not None:
            dispatcher.report(name, report, self._clock.monotonic())
            self._pump(cell, dispatcher)

    def _drop_idle(self, cell: Cell, dispatcher: CellDispatcher, now: float) -> None:
        self._metrics.queued.set({"cell": str(cell)}, len(dispatcher.queue))
        dispatcher.queue.forget_idle({flight.workspace for flight in dispatcher.flights.values()})
        idle = not dispatcher.flights and not len(dispatcher.queue)
        dispatched_here = self._cells.dispatcher(cell) == self._hub.own.node
        if idle and not dispatched_here and now - self._last_used[cell] > DROP_IDLE_AFTER_SECONDS:
            del self._dispatchers[cell]
            del self._last_used[cell]
            self._share_log.forget(cell)

    def _drop_stale_keys(self) -> None:
        for key, cell in list(self._cell_of_ticket.items()):
            dispatcher = self._dispatchers.get(cell)
            known = dispatcher and (key in dispatcher.flights or key in dispatcher.queue)
            if not known:
                del self._cell_of_ticket[key]


def _to_records(counters: dict[str, float]) -> list[CounterRecord]:
    return [CounterRecord(name, round(value)) for name, value in sorted(counters.items())]
