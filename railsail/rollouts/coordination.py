"""One node's part in the coordination of one rollout: to lead it, or to stand by.

The holder of the ledger leads. The others read the ledger now and then, and the one that is ranked
first takes over where it has not changed for a while, the next ones a little later.
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
from railsail.rollouts.fleet import Fleet, ranked_candidates
from railsail.rollouts.ledger import Entry, Ledger, taken
from railsail.rollouts.orders import Order, State
from railsail.rollouts.publishing import StatusWriter
from railsail.rollouts.stages import Stage
from railsail.rollouts.tenure import LEASE_SECONDS, Tenure
from railsail.rollouts.verdict import Judgement
from railsail.store.base import Store
from railsail.store.journal import Backoff

TICK_SECONDS = 0.1
TICK_SECONDS_IN_SHIFT = 0.05
# The ledger is written more often while the target gets all calls, which are then reserved soon
# before they come.
RENEW_SECONDS = 0.8
RENEW_SECONDS_IN_SHIFT = 0.4
# The next candidate follows so much later, the one after it twice as late.
STEP_SECONDS = 0.4
# The first candidates read the ledger so often, each later one a little more seldom; reads are
# priced. The rest of the fleet leaves it to them, and looks now and then.
CANDIDATES = 6
POLL_SECONDS = 1.0
POLL_STEP_SECONDS = 0.5
REST_SECONDS = 30.0
# To look at the members costs no call.
LOOK_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.1
MOST_PAUSE_SECONDS = 0.5


class Coordination:
    """Lead the rollout of ``service`` or stand by, until the order that runs now runs no more."""

    def __init__(
        self,
        order: Order,
        book: RolloutBook,
        store: Store,
        fleet: Fleet,
        bounds: ExposureBounds,
        kernel: Kernel,
        judging: Callable[[list], Judgement] | None = None,
    ) -> None:
        self.order = order
        self.tenure: Tenure | None = None
        self._book = book
        self._status = StatusWriter(store, book)
        self._fleet = fleet
        self._bounds = bounds
        self._kernel = kernel
        self._judging = judging
        self._ledger = Ledger(store, order.service, kernel.clock.monotonic)
        self._backoff = Backoff(kernel.rng, FIRST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
        self._wake = asyncio.Event()
        # Whether this node has written that the order runs.
        self._began_here = False
        self._ticking: asyncio.Task | None = None
        # When this node, as none of the first candidates, reads the ledger.
        self._rests_until = kernel.clock.monotonic() + REST_SECONDS

    @property
    def holder(self) -> str:
        """Return the node that leads, as far as the ledger was read here."""
        entry = self._ledger.entry
        return entry.holder if entry is not None else ""

    def wake(self) -> None:
        """Look again at once."""
        self._wake.set()

    def received(self, node: str, evidence: RolloutEvidence) -> None:
        """Take in ``evidence`` of the dispatcher at ``node``."""
        if self.tenure is not None:
            self.tenure.received(node, evidence)

    async def run(self) -> None:
        """Lead or stand by until the order ends, or another takes its place."""
        try:
            while self._still_ordered():
                await self._sleep(await self._try_step())
        finally:
            if self._ticking is not None:
                self._ticking.cancel()

    async def _tick_on(self) -> None:
        while self.tenure is not None:
            self.tick()
            shifts = self.tenure is not None and self.tenure.stage >= Stage.SHIFT
            await asyncio.sleep(TICK_SECONDS_IN_SHIFT if shifts else TICK_SECONDS)

    def tick(self) -> None:
        """Do what needs no store: judge, plan and allow calls."""
        tenure = self.tenure
        if tenure is None or not self._still_ordered():
            return
        tenure.order = self.order
        try:
            tenure.tick()
        except Exception:
            # The store's part goes on: without it another one would take over, and fail alike.
            get_logger().exception("rollout not planned", service=self.order.service)
        if tenure.writes_now():
            self.wake()

    def _still_ordered(self) -> bool:
        order = self._book.running(self.order.service)
        if order is None or order.version > self.order.version or not order.asks_same(self.order):
            return False
        # Nodes agree on the lowest version at which the order was read.
        self.order = order
        return True

    async def _sleep(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()
                self._wake.clear()

    async def _try_step(self) -> float:
        try:
            pause = await self.step()
        except StoreConflict:
            get_logger().info("rollout written by another node", service=self.order.service)
            self._ledger.unsure = True
            return FIRST_PAUSE_SECONDS
        except StoreUnavailable as problem:
            reason = str(problem)
            get_logger().info("rollout not written", service=self.order.service, reason=reason)
            return self._backoff.pause()
        self._backoff.reset()
        return pause

    async def step(self) -> float:
        """Make the store calls that are due, and return after how many seconds to look again."""
        if self.tenure is None:
            place = self._place()
            return LOOK_SECONDS if place is None else await self._stand_by(place)
        if self._ledger.unsure:
            await self._ledger.read()
            self._note_read()
        return await self._lead() if self.tenure is not None else FIRST_PAUSE_SECONDS

    def _place(self) -> int | None:
        """Return this node's place among the candidates, ``None`` where it leaves it to others."""
        ranked = ranked_candidates(self._fleet, self.order.service)
        if self._fleet.own not in ranked:
            return None
        place = ranked.index(self._fleet.own)
        now = self._kernel.clock.monotonic()
        if place < CANDIDATES:
            return place
        if now < self._rests_until:
            return None
        self._rests_until = now + REST_SECONDS
        return place

    def _note_read(self) -> None:
        """Step back where another node holds the ledger."""
        tenure, entry = self.tenure, self._ledger.entry
        if tenure is None:
            return
        if not self._may_lead() or (entry is not None and _is_later(entry, tenure.entry)):
            self._step_back()
        elif entry is not None and _is_own(entry, tenure.entry):
            # A write that was not answered may have taken effect.
            tenure.stored(entry, self._ledger.changed_at - LEASE_SECONDS)

    def _step_back(self) -> None:
        self._tell("stepped back")
        self.tenure = None

    def _may_lead(self) -> bool:
        return self._fleet.own in self._fleet.candidates()

    def _is_new(self, entry: Entry | None) -> bool:
        """Say whether the order came after that of ``entry``.

        A node that starts may know the same order by a later version. The status of an order is
        written before any call is reserved for it, so that an order which has none is a new one.
        """
        if entry is None or not entry.same_order(self.order):
            return True
        return entry.order < self.order.version and not self._begun()

    def _begun(self) -> bool:
        """Say whether the operator's object tells that the order runs."""
        rollout = self._book.get(self.order.service)
        return rollout is not None and rollout.written is not State.NONE

    async def _stand_by(self, place: int) -> float:
        await self._ledger.read()
        entry = self._ledger.entry
        if entry is not None and entry.state.ended and not self._is_new(entry):
            return await self._heard_end(entry)
        if entry is not None and entry.order > self.order.version and self._is_new(entry):
            # The ledger is about an order that is not known here yet.
            return POLL_SECONDS
        left = self._patience(entry) + place * STEP_SECONDS - self._ledger.age
        if left <= 0:
            return await self._take_over(entry)
        return min(left, POLL_SECONDS + place * POLL_STEP_SECONDS)

    def _patience(self, entry: Entry | None) -> float:
        """Return for how long the ledger must stand still before it is taken over."""
        if entry is None or entry.holder == self._fleet.own or self._is_new(entry):
            return 0.0
        return LEASE_SECONDS

    async def _take_over(self, entry: Entry | None) -> float:
        clock = self._kernel.clock
        began = clock.monotonic()
        new = self._is_new(entry)
        await self._ledger.write(taken(entry, self.order, self._fleet.own, clock.wall(), new))
        self.tenure = Tenure(
            self.order,
            self._ledger.entry,
            began,
            self._fleet,
            self._bounds,
            self._kernel,
            self._judging,
        )
        self._tell("took over" if not new else "began")
        if self._ticking is not None:
            self._ticking.cancel()
        self._ticking = asyncio.ensure_future(self._tick_on())
        return 0.0

    async def _lead(self) -> float:
        tenure = self.tenure
        if not self._may_lead():
            self._step_back()
            return LOOK_SECONDS
        if self._lacks_status():
            self._began_here = await self._status.write(self.order, State.RUNNING)
            if not self._began_here:
                # The store has another order, of which the book hears in a moment.
                return POLL_SECONDS
        began = self._kernel.clock.monotonic()
        await self._ledger.write(tenure.next_entry())
        tenure.stored(self._ledger.entry, began)
        self._show(tenure)
        if tenure.entry.state.ended:
            await self._carry_out(tenure.entry)
        return RENEW_SECONDS_IN_SHIFT if tenure.stage >= Stage.SHIFT else RENEW_SECONDS

    def _lacks_status(self) -> bool:
        """Say whether it is to be written that the order runs, for the first time or again.

        A store that came back from a copy may have lost it. Where the status of an earlier order
        said the same, it was written and nothing changed.
        """
        rollout = self._book.get(self.order.service)
        if rollout is None or rollout.written is not State.NONE:
            return False
        return not self._began_here or rollout.stored > self.order.version

    async def _carry_out(self, entry: Entry) -> None:
        """Do what the ledger says was decided; the order then runs no more."""
        labels = {"service": self.order.service, "state": entry.state.name.lower()}
        self._kernel.metrics.rollout_ends.inc(labels)
        self._book.decide(self.order, entry.state)
        await self._status.write(self.order, entry.state)

    async def _heard_end(self, entry: Entry) -> float:
        """Tell what another holder decided, and write it where that one does not."""
        self._book.decide(self.order, entry.state)
        left = self._patience(entry) - self._ledger.age
        if left > 0:
            return left
        await self._status.write(self.order, entry.state)
        return POLL_SECONDS

    def _show(self, tenure: Tenure) -> None:
        labels = {"service": self.order.service}
        self._kernel.metrics.rollout_stage.set(labels, int(tenure.stage))
        self._kernel.metrics.rollout_reserved.set(labels, tenure.entry.reserved)

    def _tell(self, detail: str) -> None:
        entry = self.tenure.entry
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


def _is_own(entry: Entry, own: Entry) -> bool:
    return (entry.holder, entry.term) == (own.holder, own.term) and entry.beat >= own.beat


def _is_later(entry: Entry, own: Entry) -> bool:
    """Say whether another holder wrote ``entry`` after ``own``; a restored one is earlier."""
    if entry.holder == own.holder and entry.term == own.term:
        return False
    return entry.term >= own.term
