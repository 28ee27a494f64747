"""The active configuration of this daemon, read from the store or received from a peer.

The version of the active configuration only rises. Each node forwards a new version once to its
neighbours in the overlay, so that a change reaches all nodes in a few hops in a fleet of any size
(see ``railsail.configuration.exchange``).
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from railsail.configuration.access import check_access
from railsail.configuration.changes import (
    Change,
    Snapshot,
    apply_change,
    encode,
    restore_steps,
    snapshot,
)
from railsail.configuration.held import Held
from railsail.configuration.repository import (
    HEAD,
    KEPT_CHANGES,
    KIND,
    Committed,
    ConfigurationRepository,
)
from railsail.configuration.updates import Update, UpdateHistory, announcement, update_between
from railsail.core.events import EventLog, Kind
from railsail.core.exceptions import StoreUnavailable
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.core.slices import Steps, run_at_once, run_slice, run_sliced
from railsail.core.tasks import TaskSet
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import KINDS, Route, Workspace
from railsail.peers.base import MAX_BLOB_BYTES
from railsail.peers.messages import ConfigurationNews, StateRequest
from railsail.store.base import Listing, StoredObject, WatchEvent
from railsail.store.freshness import Freshness
from railsail.store.journal import Backoff

# The source of a configuration that no peer sent.
STORE = "store"
# Backoff of reading the snapshot that a head object builds on.
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
# The newest updates, which are kept to send them to peers that lack them.
MAX_HISTORY_BYTES = 512 << 10
# Objects that are logged when a version has objects that cannot be used; the others are counted.
MAX_LOGGED_OBJECTS = 20
Listener = Callable[[Catalog], None]


class ConfigurationCarrier:
    """The active configuration: newer ones replace it and are forwarded to peers.

    ``broadcast`` sends an update to all neighbours but the given one, and ``send`` a request to one
    peer. A version is to be in force everywhere ``max_proof_age`` seconds after its
    acknowledgement. ``history`` has the newest updates.
    """

    def __init__(
        self,
        repository: ConfigurationRepository,
        broadcast: Callable[[Update, str], None],
        send: Callable[[str, StateRequest], object],
        freshness: Freshness,
        max_proof_age: float,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.catalog = Catalog()
        self.history = UpdateHistory(KEPT_CHANGES, MAX_HISTORY_BYTES)
        self._source = ""
        self._repository = repository
        self._broadcast = broadcast
        self._send = send
        self._rng = rng
        self._freshness = freshness
        self._max_proof_age = max_proof_age
        self._events = events
        self._metrics = metrics
        self._changes: list[Change] = []
        self._whole_news: ConfigurationNews | None = None
        self._listeners: list[Listener] = []
        self._tasks = TaskSet()
        # The newest head object seen in the store, until its configuration is active.
        self._pending: StoredObject | None = None
        self._reading = False
        # The newest version that a peer announced.
        self._announced = 0
        # When the first version that is newer than the active one was seen, in seconds of the
        # monotonic clock; ``None`` while the newest version seen is active.
        self._behind_since: float | None = None

    def held(self) -> Held:
        """Return which version is active, and since when it may be outdated."""
        age = self._freshness.age(KIND)
        return Held(self.catalog.version, self._source, age, self._max_proof_age)

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with each catalog that becomes active."""
        self._listeners.append(listener)

    def listed(self, listing: Listing) -> None:
        """Apply a listing of the store."""
        for stored in listing.objects:
            if stored.name == HEAD:
                self._apply_head(stored)

    def seen(self, event: WatchEvent) -> None:
        """Apply a watch event of the store."""
        if event.name == HEAD and event.value is not None:
            self._apply_head(StoredObject(KIND, HEAD, event.version, event.value))

    @property
    def version_seen(self) -> int:
        """Return the newest version that was seen in the store, at a peer or here."""
        return max(self.catalog.version, self._announced, _head_version(self._pending))

    @property
    def behind_seconds(self) -> float:
        """Return for how long a newer version than the active one has been known, 0 if none is."""
        if self._behind_since is None:
            return 0.0
        return self._freshness.now() - self._behind_since

    def caught_up(self) -> bool:
        """Return True if the newest configuration that was seen in the store is active."""
        return self._pending is None

    def _apply_head(self, stored: StoredObject) -> None:
        if _head_version(stored) <= max(self.catalog.version, _head_version(self._pending)):
            return
        self._pending = stored
        self._note_behind()
        if self._reading:
            return
        try:
            steps = self._repository.resolve_known(stored, self.catalog)
            finished = run_slice(steps) if steps is not None else None
        except msgspec.ValidationError as problem:
            # The head stays pending, so that this node sends its peers no proof of its version.
            self.report_rejected(_head_version(stored), STORE, problem)
            return
        if finished is not None:
            self.committed(finished.value)
            return
        self._reading = True
        self._tasks.start(self._read_pending(steps))

    def _note_behind(self) -> None:
        """Record that a version is known that is newer than the active one."""
        if self._behind_since is None:
            self._behind_since = self._freshness.now()
        self._metrics.version_seen.set({}, self.version_seen)

    def announced(self, version: int) -> None:
        """Record that a peer has ``version``."""
        if version > self.version_seen:
            self._announced = version
            self._note_behind()

    async def _read_pending(self, steps: Steps[Committed] | None) -> None:
        """Read the pending head, until its configuration is active.

        ``steps`` go on with reading it, ``None`` if its snapshot has to be read first. Failed reads
        are retried, since no later event may announce this head again.
        """
        backoff = Backoff(self._rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        while self._pending is not None:
            head = self._pending
            try:
                if steps is not None:
                    self.committed(await run_sliced(steps))
                else:
                    self.committed(await self._repository.resolve(head, self.catalog))
            except StoreUnavailable as problem:
                get_logger().warning("configuration could not be read", reason=str(problem))
                await asyncio.sleep(backoff.pause())
            except msgspec.ValidationError as problem:
                self.report_rejected(_head_version(head), STORE, problem)
                if self._pending is head:
                    break
            steps = None
        self._reading = False

    def committed(self, committed: Committed) -> None:
        """Activate a configuration that was read from the store, if it is newer."""
        self._activate(committed.catalog, list(committed.head.changes), "")

    def received(self, node: str, update: ConfigurationNews) -> None:
        """Apply an update of the peer ``node``, whose build does not send pieces of updates."""
        if update.version <= self.catalog.version:
            return
        self.announced(update.version)
        if update.since > self.catalog.version:
            # The sender also has the changes that this update builds on.
            self._send(node, StateRequest(self.catalog.version))
            return
        try:
            catalog, changes = self._parse_update(update)
            # Builds that say which routes need a key send pieces.
            check_access(self.catalog if update.since else Catalog(), catalog)
        except ValueError as problem:
            self.report_rejected(update.version, node, problem)
            return
        self._activate(catalog, changes, node)

    def _parse_update(self, update: ConfigurationNews) -> tuple[Catalog, list[Change]]:
        if update.since == 0:
            stored = msgspec.json.decode(update.body, type=Snapshot)
            return run_at_once(restore_steps(stored)), []
        changes = msgspec.json.decode(update.body, type=list[Change])
        catalog = self.catalog
        for change in changes:
            if change.version == catalog.version + 1:
                catalog = apply_change(catalog, change)
        if catalog.version != update.version:
            raise ValueError("changes are missing")
        return catalog, changes

    def activate(self, catalog: Catalog, source: str) -> None:
        """Activate a configuration of the peer ``source``, if it is newer."""
        self._activate(catalog, [], source)

    def report_rejected(self, version: int, source: str, problem: Exception) -> None:
        """Report that ``version``, which ``source`` sent, cannot be put in force."""
        kind = STORE if source == STORE else "peer"
        self._metrics.configuration_rejected.inc({"source": kind})
        self._events.emit(
            Kind.CONFIGURATION,
            str(problem),
            notable=True,
            state="rejected",
            version=version,
            active=self.catalog.version,
            source=source,
        )

    def _activate(self, catalog: Catalog, changes: list[Change], source: str) -> None:
        previous = self.catalog
        if catalog.version <= previous.version:
            return
        self.catalog = catalog
        self._source = source or STORE
        if _head_version(self._pending) <= catalog.version:
            self._pending = None
        if self.version_seen == catalog.version:
            self._behind_since = None
        self._keep_changes(changes)
        update = self._record_update(previous)
        self._report_activation(previous)
        for listener in self._listeners:
            listener(catalog)
        self._broadcast(update, source)

    def _keep_changes(self, changes: list[Change]) -> None:
        by_version = {change.version: change for change in [*self._changes, *changes]}
        self._changes = [by_version[version] for version in sorted(by_version)][-KEPT_CHANGES:]
        self._whole_news = None

    def _record_update(self, previous: Catalog) -> Update:
        """Return the update from ``previous``, or an announcement if there was none."""
        if not previous.version:
            return announcement(self.catalog.version)
        update = update_between(previous, self.catalog)
        self.history.record(update)
        return update

    def _report_activation(self, previous: Catalog) -> None:
        self._metrics.version.set({}, self.catalog.version)
        self._metrics.version_seen.set({}, self.version_seen)
        for kind in KINDS.values():
            count = len(self.catalog.unusable_of_kind(kind))
            self._metrics.unusable_objects.set({"kind": kind.KIND}, count)
        self._events.emit(
            Kind.CONFIGURATION,
            "in force",
            version=self.catalog.version,
            before=previous.version,
            source=self._source,
            unusable=len(self.catalog.unusable),
            workspaces=self.catalog.count(Workspace),
            routes=self.catalog.count(Route),
            public_routes=sum(route.public for route in self.catalog.of_kind(Route)),
        )
        self._report_unusable(previous)

    def _report_unusable(self, previous: Catalog) -> None:
        """Log the objects that cannot be used since this version, and those that can be again."""
        unusable = [
            found
            for key, found in sorted(self.catalog.unusable.items())
            if previous.unusable.get(key) != found
        ]
        for found in unusable[:MAX_LOGGED_OBJECTS]:
            self._report_object(found.label, "unusable", found.problem)
        usable = sorted(previous.unusable.keys() - self.catalog.unusable.keys())
        for key in usable[:MAX_LOGGED_OBJECTS]:
            self._report_object("/".join(key), "usable", "it can be used again, or is gone")

    def _report_object(self, label: str, state: str, detail: str) -> None:
        self._events.emit(
            Kind.CONFIGURATION,
            detail,
            notable=True,
            state=state,
            object=label,
            version=self.catalog.version,
        )

    def news_since(self, version: int) -> ConfigurationNews | None:
        """Return an update for a peer at ``version`` whose build does not know pieces of updates.

        It holds the changes since that version, or all objects if some of the changes are not kept.
        Return ``None`` if it is longer than such a peer accepts: its build would close the link.
        """
        missing = [change for change in self._changes if change.version > version]
        complete = len(missing) == self.catalog.version - version
        if version and missing and complete:
            news = ConfigurationNews(version, self.catalog.version, encode(missing))
        else:
            news = self._whole()
        return news if len(news.body) <= MAX_BLOB_BYTES else None

    def _whole(self) -> ConfigurationNews:
        if self._whole_news is None:
            body = encode(snapshot(self.catalog))
            self._whole_news = ConfigurationNews(0, self.catalog.version, body)
        return self._whole_news


def _head_version(head: StoredObject | None) -> int:
    """Return the version of a head object, 0 for ``None``."""
    return head.value.get("version", 0) if head is not None else 0
