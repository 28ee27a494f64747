"""One node's part in the coordination of one rollout: as its leader or on standby.

The holder of the ledger leads. The other candidates poll the ledger. If it has not changed for the
length of a lease, the candidate ranked first takes over, and the next ones follow a little later.
"""

import asyncio
import contextlib
from collections.abc import Callable

from railsail.core.events import Kind
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.kernel import Kernel
from railsail.core.logs import get_logger
from railsail.peers.messages import RolloutEvidence
from railsail.rollouts.book import RolloutBook
from railsail.rollouts.bounds import ExposureBounds
from railsail.rollouts.coordinator_term import LEASE_SECONDS, CoordinatorTerm
from railsail.rollouts.fleet import Fleet, ranked_candidates
from railsail.rollouts.ledger import Entry, Ledger, takeover_entry
from railsail.rollouts.orders import Order, State
from railsail.rollouts.publishing import StatusWriter
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Judgement
from railsail.store.base import Store
from railsail.store.journal import Backoff

TICK_INTERVAL_SECONDS = 0.1
SHIFT_TICK_INTERVAL_SECONDS = 0.05
# The leader writes the ledger at this interval, and more often while the target receives all calls,
# because these are reserved shortly before they arrive.
RENEWAL_INTERVAL_SECONDS = 0.8
SHIFT_RENEWAL_INTERVAL_SECONDS = 0.4
# The candidates' attempts to take over are staggered by this time, in the order of their rank.
TAKEOVER_STAGGER_SECONDS = 0.4
# The first candidates poll the ledger, each one at a slightly longer interval than the one ranked
# before it. All other nodes read it only rarely, because reads of the store are billed.
POLLING_CANDIDATES = 6
POLL_SECONDS = 1.0
POLL_STAGGER_SECONDS = 0.5
RARE_POLL_SECONDS = 30.0
# The interval at which a node checks whether it may coordinate, which takes no store call.
CANDIDACY_CHECK_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.5


class Coordination:
    """Lead the rollout of a service or stand by, until its present order no longer runs."""

    def __init__(
        self,
        order: Order,
        book: RolloutBook,
        store: Store,
        fleet: Fleet,
        bounds: ExposureBounds,
        kernel: Kernel,
        judge: Callable[[list], Judgement] | None = None,
    ) -> None:
        self.order = order
        self.coordinator_term: CoordinatorTerm | None = None
        self._book = book
        self._status = StatusWriter(store, book)
        self._fleet = fleet
        self._bounds = bounds
        self._kernel = kernel
        self._judge = judge
        self._ledger = Ledger(store, order.service, kernel.clock.monotonic)
        self._backoff = Backoff(kernel.rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        self._wake = asyncio.Event()
        # Whether this node has written the running status of the order.
        self._wrote_running_status = False
        self._ticking: asyncio.Task | None = None
        # When this node next reads the ledger if it is not one of the first candidates.
        self._next_rare_read_at = kernel.clock.monotonic() + RARE_POLL_SECONDS

    @property
    def holder(self) -> str:
        """Return the node that leads according to the ledger as last read, or an empty string."""
        entry = self._ledger.entry
        return entry.holder if entry is not None else ""

    def wake(self) -> None:
        """Make the next step at once."""
        self._wake.set()

    def received(self, node: str, evidence: RolloutEvidence) -> None:
        """Record ``evidence`` of the dispatcher at ``node`` if this node leads."""
        if self.coordinator_term is not None:
            self.coordinator_term.received(node, evidence)

    async def run(self) -> None:
        """Lead or stand by until the order has ended or was replaced."""
        try:
            while self._is_still_ordered():
                await self._sleep(await self._step_or_back_off())
        finally:
            if self._ticking is not None:
                self._ticking.cancel()

    async def _run_ticks(self) -> None:
        while self.coordinator_term is not None:
            self.tick()
            is_shifted = (
                self.coordinator_term is not None and self.coordinator_term.stage >= Stage.SHIFT
            )
            await asyncio.sleep(
                SHIFT_TICK_INTERVAL_SECONDS if is_shifted else TICK_INTERVAL_SECONDS
            )

    def tick(self) -> None:
        """Do what needs no store call: judge the version, plan, and send allowances."""
        coordinator_term = self.coordinator_term
        if coordinator_term is None or not self._is_still_ordered():
            return
        coordinator_term.order = self.order
        try:
            coordinator_term.tick()
        except Exception:
            # The ledger is still written: otherwise another node would take over and fail alike.
            get_logger().exception("rollout planning failed", service=self.order.service)
        if coordinator_term.needs_write():
            self.wake()

    def _is_still_ordered(self) -> bool:
        order = self._book.running(self.order.service)
        if (
            order is None
            or order.version > self.order.version
            or not order.is_equivalent(self.order)
        ):
            return False
        # Nodes agree on the lowest version at which the order was read.
        self.order = order
        return True

    async def _sleep(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()
                self._wake.clear()

    async def _step_or_back_off(self) -> float:
        try:
            pause = await self.step()
        except StoreConflict:
            get_logger().info("rollout written by another node", service=self.order.service)
            self._ledger.needs_read = True
            return INITIAL_BACKOFF_SECONDS
        except StoreUnavailable as problem:
            reason = str(problem)
            get_logger().info("rollout step failed", service=self.order.service, reason=reason)
            return self._backoff.pause()
        self._backoff.reset()
        return pause

    async def step(self) -> float:
        """Make the store calls that are due, and return the seconds until the next step."""
        if self.coordinator_term is None:
            rank = self._polling_rank()
            return CANDIDACY_CHECK_SECONDS if rank is None else await self._step_as_standby(rank)
        if self._ledger.needs_read:
            await self._ledger.read()
            self._check_holder()
        return (
            await self._step_as_leader()
            if self.coordinator_term is not None
            else INITIAL_BACKOFF_SECONDS
        )

    def _polling_rank(self) -> int | None:
        """Return this node's rank among the candidates, ``None`` if it need not read the ledger."""
        ranked = ranked_candidates(self._fleet, self.order.service)
        if self._fleet.node_id not in ranked:
            return None
        rank = ranked.index(self._fleet.node_id)
        now = self._kernel.clock.monotonic()
        if rank < POLLING_CANDIDATES:
            return rank
        if now < self._next_rare_read_at:
            return None
        self._next_rare_read_at = now + RARE_POLL_SECONDS
        return rank

    def _check_holder(self) -> None:
        """Step down if another node has taken over according to the ledger that was just read."""
        coordinator_term, entry = self.coordinator_term, self._ledger.entry
        if coordinator_term is None:
            return
        if not self._can_lead() or (entry is not None and _is_later(entry, coordinator_term.entry)):
            self._step_down()
        elif entry is not None and _is_own(entry, coordinator_term.entry):
            # A write without an answer may have taken effect. When is not known, so that the lease
            # counts as expired until the next write.
            coordinator_term.record_write(entry, self._ledger.changed_at - LEASE_SECONDS)

    def _step_down(self) -> None:
        self._emit_event("stepped back")
        self.coordinator_term = None

    def _can_lead(self) -> bool:
        return self._fleet.node_id in self._fleet.candidates()

    def _is_new(self, entry: Entry | None) -> bool:
        """Return True if this order was given after the order of ``entry``.

        A node that has just started may know the same order by a later version than the entry's.
        The status of an order is written before any call is reserved for it, so an order without a
        status is new.
        """
        if entry is None or not entry.same_order(self.order):
            return True
        return entry.order < self.order.version and not self._has_status()

    def _has_status(self) -> bool:
        """Return True if the operator's object has a status of this order."""
        rollout = self._book.get(self.order.service)
        return rollout is not None and rollout.written_state is not State.NONE

    async def _step_as_standby(self, rank: int) -> float:
        await self._ledger.read()
        entry = self._ledger.entry
        if entry is not None and entry.state.ended and not self._is_new(entry):
            return await self._apply_end_by_other(entry)
        if entry is not None and entry.order > self.order.version and self._is_new(entry):
            # The ledger is about an order that this node has not received yet.
            return POLL_SECONDS
        left = self._takeover_delay(entry) + rank * TAKEOVER_STAGGER_SECONDS - self._ledger.age
        if left <= 0:
            return await self._take_over(entry)
        return min(left, POLL_SECONDS + rank * POLL_STAGGER_SECONDS)

    def _takeover_delay(self, entry: Entry | None) -> float:
        """Return for how many seconds the ledger must be unchanged before a takeover."""
        if self._ledger.is_unreadable:
            # Its holder, which knows what was in it, writes it again.
            return LEASE_SECONDS
        if entry is None or entry.holder == self._fleet.node_id or self._is_new(entry):
            return 0.0
        return LEASE_SECONDS

    async def _take_over(self, entry: Entry | None) -> float:
        clock = self._kernel.clock
        write_started_at = clock.monotonic()
        new = self._is_new(entry)
        await self._ledger.write(
            takeover_entry(entry, self.order, self._fleet.node_id, clock.wall(), new)
        )
        self.coordinator_term = CoordinatorTerm(
            self.order,
            self._ledger.entry,
            write_started_at,
            self._fleet,
            self._bounds,
            self._kernel,
            self._judge,
        )
        self._emit_event("took over" if not new else "began")
        if self._ticking is not None:
            self._ticking.cancel()
        self._ticking = asyncio.ensure_future(self._run_ticks())
        return 0.0

    async def _step_as_leader(self) -> float:
        coordinator_term = self.coordinator_term
        if not self._can_lead():
            self._step_down()
            return CANDIDACY_CHECK_SECONDS
        if self._needs_running_status():
            self._wrote_running_status = await self._status.write(self.order, State.RUNNING)
            if not self._wrote_running_status:
                # The store has another order, which this node will receive in a moment.
                return POLL_SECONDS
        write_started_at = self._kernel.clock.monotonic()
        await self._ledger.write(coordinator_term.next_entry())
        coordinator_term.record_write(self._ledger.entry, write_started_at)
        self._update_metrics(coordinator_term)
        if coordinator_term.entry.state.ended:
            await self._apply_decision(coordinator_term.entry)
        return (
            SHIFT_RENEWAL_INTERVAL_SECONDS
            if coordinator_term.stage >= Stage.SHIFT
            else RENEWAL_INTERVAL_SECONDS
        )

    def _needs_running_status(self) -> bool:
        """Return True if the running status has to be written, for the first time or again.

        A store that was restored from a copy may have lost it. If an earlier order has left the
        same status, writing it does not change the object, and it is not written again.
        """
        rollout = self._book.get(self.order.service)
        if rollout is None or rollout.written_state is not State.NONE:
            return False
        return not self._wrote_running_status or rollout.object_version > self.order.version

    async def _apply_decision(self, entry: Entry) -> None:
        """Apply the decision in the ledger, which ends the order."""
        labels = {"service": self.order.service, "state": entry.state.name.lower()}
        self._kernel.metrics.rollout_ends.inc(labels)
        self._book.record_decision(self.order, entry.state)
        await self._status.write(self.order, entry.state)

    async def _apply_end_by_other(self, entry: Entry) -> float:
        """Apply the decision of another holder, and write the status if that node does not."""
        self._book.record_decision(self.order, entry.state)
        left = self._takeover_delay(entry) - self._ledger.age
        if left > 0:
            return left
        await self._status.write(self.order, entry.state)
        return POLL_SECONDS

    def _update_metrics(self, coordinator_term: CoordinatorTerm) -> None:
        labels = {"service": self.order.service}
        self._kernel.metrics.rollout_stage.set(labels, int(coordinator_term.stage))
        self._kernel.metrics.rollout_reserved.set(labels, coordinator_term.entry.reserved)

    def _emit_event(self, detail: str) -> None:
        entry = self.coordinator_term.entry
        self._kernel.events.emit(
            Kind.ROLLOUT,
            f"coordinator {detail}",
            service=self.order.service,
            target_version=self.order.target_version,
            order_version=self.order.version,
            term=entry.term,
            reserved=entry.reserved,
            arrivals=entry.arrivals,
        )


def _is_own(entry: Entry, own_entry: Entry) -> bool:
    return (entry.holder, entry.term) == (
        own_entry.holder,
        own_entry.term,
    ) and entry.beat >= own_entry.beat


def _is_later(entry: Entry, own_entry: Entry) -> bool:
    """Return True if another holder wrote ``entry`` after ``own_entry``.

    An entry of a store that was restored from a copy is earlier.
    """
    if entry.holder == own_entry.holder and entry.term == own_entry.term:
        return False
    return entry.term >= own_entry.term
