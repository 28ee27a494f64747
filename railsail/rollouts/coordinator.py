"""All rollouts that this node leads or stands by for."""

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

LOOK_SECONDS = 1.0
# An end that the store's object does not tell is written by one of so many nodes. The coordinator
# writes it at once; each of the others waits so much longer.
WRITERS = 3
WRITER_STEP_SECONDS = 0.7


class Coordinator:
    """Start a coordination for each order that runs, and write ends that the store lacks."""

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
        """Look at all rollouts again at once."""
        self._changed.set()
        for coordination in self._coordinations.values():
            coordination.wake()

    def received(self, node: str, evidence: RolloutEvidence) -> None:
        """Take in ``evidence`` of the dispatcher at ``node``."""
        coordination = self._coordinations.get(evidence.service)
        if coordination is not None:
            coordination.received(node, evidence)

    def coordination(self, service: str) -> Coordination | None:
        """Return the coordination of the order of ``service`` that runs."""
        return self._coordinations.get(service)

    async def run(self) -> None:
        """Coordinate until cancelled."""
        while True:
            self._changed.clear()
            self._book.tick()
            self._look()
            # Another way to wait would lose a cancellation that comes with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_SECONDS):
                    await self._changed.wait()

    def stop(self) -> None:
        """Coordinate nothing any more."""
        self._stopped = True
        self._tasks.cancel()

    def _look(self) -> None:
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
        for rollout in self._book.unwritten():
            if rollout.order.service not in self._writing:
                self._writing.add(rollout.order.service)
                self._tasks.start(self._write(rollout))

    async def _coordinate(self, service: str, coordination: Coordination) -> None:
        try:
            await coordination.run()
        except Exception:
            get_logger().exception("coordination failed and begins anew", service=service)
            await asyncio.sleep(LOOK_SECONDS)
        finally:
            del self._coordinations[service]
            self._changed.set()

    async def _write(self, rollout: Rollout) -> None:
        """Write the end of ``rollout``, if this is one of the few nodes that do so."""
        order = rollout.order
        try:
            ranked = ranked_candidates(self._fleet, order.service)
            if self._fleet.own not in ranked[:WRITERS]:
                await asyncio.sleep(LOOK_SECONDS)
                return
            await asyncio.sleep((1 + ranked.index(self._fleet.own)) * WRITER_STEP_SECONDS)
            if self._still_unwritten(rollout):
                await StatusWriter(self._store, self._book).write(order, rollout.current)
        except StoreError as problem:
            reason = str(problem)
            get_logger().info("end of rollout not written", service=order.service, reason=reason)
            await asyncio.sleep(LOOK_SECONDS)
        finally:
            self._writing.discard(order.service)

    def _still_unwritten(self, rollout: Rollout) -> bool:
        service = rollout.order.service
        return any(other.order.service == service for other in self._book.unwritten())
