"""The coordination of all rollouts at this node, as their leader or on standby."""

import asyncio
import contextlib

from railsail.core.exceptions import StoreError
from railsail.core.kernel import Kernel
from railsail.core.logs import get_logger
from railsail.core.tasks import TaskSet
from railsail.peers.messages import RolloutEvidence
from railsail.rollouts.book import RolloutBook
from railsail.rollouts.bounds import ExposureBounds
from railsail.rollouts.coordination import Coordination
from railsail.rollouts.fleet import Fleet, ranked_candidates
from railsail.rollouts.orders import Rollout
from railsail.rollouts.publishing import StatusWriter
from railsail.store.base import Store

CHECK_INTERVAL_SECONDS = 1.0
# If the status in the store lacks the end of a rollout, one of this many nodes writes it. The
# rollout's coordinator writes it at once, and the others are staggered by this time.
MAX_WRITERS = 3
WRITER_STAGGER_SECONDS = 0.7


class Coordinator:
    """Start a coordination for each running order, and write the ends that the store lacks."""

    def __init__(
        self,
        book: RolloutBook,
        store: Store,
        fleet: Fleet,
        bounds: ExposureBounds,
        kernel: Kernel,
    ) -> None:
        self._book = book
        self._store = store
        self._fleet = fleet
        self._bounds = bounds
        self._kernel = kernel
        self._coordinations: dict[str, Coordination] = {}
        self._writing: set[str] = set()
        self._tasks = TaskSet()
        self._changed = asyncio.Event()
        self._stopped = False
        book.on_change(self.wake)

    def wake(self) -> None:
        """Check all rollouts again at once."""
        self._changed.set()
        for coordination in self._coordinations.values():
            coordination.wake()

    def received(self, node: str, evidence: RolloutEvidence) -> None:
        """Pass ``evidence`` of the dispatcher at ``node`` to the coordination of its service."""
        coordination = self._coordinations.get(evidence.service)
        if coordination is not None:
            coordination.received(node, evidence)

    def coordination(self, service: str) -> Coordination | None:
        """Return the coordination of the running order of ``service``, if there is one."""
        return self._coordinations.get(service)

    async def run(self) -> None:
        """Coordinate until cancelled."""
        while True:
            self._changed.clear()
            self._book.tick()
            self._start_due_tasks()
            # A cancellation that arrives together with the event must not be lost, as it would be
            # by other ways to wait.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._changed.wait()

    def stop(self) -> None:
        """Cancel all coordination, and start none from now on."""
        self._stopped = True
        self._tasks.cancel()

    def _start_due_tasks(self) -> None:
        if self._stopped:
            return
        for rollout in self._book.all():
            service = rollout.order.service
            order = self._book.running(service)
            if order is not None and service not in self._coordinations:
                coordination = Coordination(
                    order, self._book, self._store, self._fleet, self._bounds, self._kernel
                )
                self._coordinations[service] = coordination
                self._tasks.start(self._coordinate(service, coordination))
        for rollout in self._book.ended_without_status():
            if rollout.order.service not in self._writing:
                self._writing.add(rollout.order.service)
                self._tasks.start(self._write_end(rollout))

    async def _coordinate(self, service: str, coordination: Coordination) -> None:
        try:
            await coordination.run()
        except Exception:
            get_logger().exception("rollout coordination failed; restarting it", service=service)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            del self._coordinations[service]
            self._changed.set()

    async def _write_end(self, rollout: Rollout) -> None:
        """Write the end of ``rollout`` to the store if this node is one of those that do so."""
        order = rollout.order
        try:
            ranked = ranked_candidates(self._fleet, order.service)
            if self._fleet.node_id not in ranked[:MAX_WRITERS]:
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                return
            await asyncio.sleep((1 + ranked.index(self._fleet.node_id)) * WRITER_STAGGER_SECONDS)
            if self._is_still_unwritten(rollout):
                await StatusWriter(self._store, self._book).write(order, rollout.order_state)
        except StoreError as problem:
            reason = str(problem)
            get_logger().info("end of rollout not written", service=order.service, reason=reason)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            self._writing.discard(order.service)

    def _is_still_unwritten(self, rollout: Rollout) -> bool:
        service = rollout.order.service
        return any(other.order.service == service for other in self._book.ended_without_status())
