"""Poll the replicas of this node's cells for their load, more often while a cell is busy."""

from collections.abc import Callable

from railsail.core.clock import Clock
from railsail.core.tasks import TaskSet
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import UPSTREAM_KINDS
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.room import LoadReport
from railsail.upstreams.base import UpstreamKind
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.heard import HeardSigns
from railsail.upstreams.rests import ReplicaBackoffs
from railsail.upstreams.signs import Source, read_signs

BUSY_INTERVAL_SECONDS = 1.0
IDLE_INTERVAL_SECONDS = 5.0


class LoadReports:
    """Polls replicas for load reports, and delivers them to listeners.

    A report that says that its replica is leaving is recorded in the directory.
    """

    def __init__(
        self,
        catalog: Callable[[], Catalog],
        directory: UpstreamDirectory,
        signals: HeardSigns,
        backoffs: ReplicaBackoffs,
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._signals = signals
        self._backoffs = backoffs
        self._clock = clock
        self._polled_at: dict[str, float] = {}
        # Replicas whose last load report said that they are leaving.
        self._reported_leaving: set[str] = set()
        self._kinds: dict[str, UpstreamKind] = {}
        self._listeners: list[Callable[[Cell, str, LoadReport], None]] = []
        self._tasks = TaskSet()

    def on_report(self, listener: Callable[[Cell, str, LoadReport], None]) -> None:
        """Call ``listener`` with the cell, the replica and its report for each load report."""
        self._listeners.append(listener)

    def kind_of(self, pool: str) -> UpstreamKind | None:
        """Return the plug-in for the replicas of ``pool``, or ``None`` if there is no such pool."""
        configured = self._catalog().pool(pool)
        if configured is None:
            return None
        name = configured.upstream_kind
        if name not in self._kinds:
            self._kinds[name] = UPSTREAM_KINDS.get(name)()
        return self._kinds[name]

    def _record_leaving(self, name: str, leaving: bool) -> None:
        """Record whether the load report of replica ``name`` says that it is leaving.

        A report that does not say so withdraws only what an earlier load report said. A replica may
        say that it is leaving only in its answers.
        """
        if leaving:
            self._reported_leaving.add(name)
            self._directory.sign_leaving(name, Source.LOAD, self._clock.wall())
        elif name in self._reported_leaving:
            self._reported_leaving.discard(name)
            self._directory.withdraw(name, Source.LOAD, self._clock.wall())

    def poll(self, cell: Cell, dispatcher: CellDispatcher) -> None:
        """Poll the replicas of ``cell`` whose next report is due, except those in backoff."""
        kind = self.kind_of(cell.pool)
        if kind is None or not kind.reports_load:
            return
        now = self._clock.monotonic()
        busy = bool(dispatcher.flights) or bool(len(dispatcher.queue))
        interval = BUSY_INTERVAL_SECONDS if busy else IDLE_INTERVAL_SECONDS
        for name in dispatcher.replicas:
            if self._backoffs.resting(name, now):
                continue
            if now - self._polled_at.get(name, -IDLE_INTERVAL_SECONDS) >= interval:
                self._polled_at[name] = now
                self._tasks.start(self._poll(cell, name, kind))

    async def _poll(self, cell: Cell, name: str, kind: UpstreamKind) -> None:
        upstream = self._directory.get(name)
        if upstream is None:
            return
        report = await kind.load(upstream.endpoint, self._signals.listener(name, read_signs))
        if report is None:
            return
        self._record_leaving(name, report.leaving)
        for listener in self._listeners:
            listener(cell, name, report)
