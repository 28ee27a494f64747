"""Carry the committed configuration to this daemon and on to its neighbours.

Versions are only ever applied upwards. News goes over the bounded neighbours of the overlay, each
passing it on once, so that a change reaches all in few hops whatever the size; a heartbeat that
names another version repairs what was lost.
"""

import asyncio
import json
import math
import random
from collections.abc import Callable

import msgspec

from railsail.configuration.changes import (
    Change,
    Snapshot,
    apply_change,
    encode,
    restore,
    snapshot,
)
from railsail.configuration.repository import (
    HEAD,
    KEPT_CHANGES,
    KIND,
    Committed,
    ConfigurationRepository,
)
from railsail.core.events import EventLog, Fact, Kind
from railsail.core.exceptions import ImproperlyConfigured, StoreUnavailable
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.core.outcomes import NotRun, Reason
from railsail.core.tasks import TaskSet
from railsail.objects.catalog import Catalog
from railsail.peers.messages import ConfigurationNews, StateRequest
from railsail.store.base import Listing, StoredObject, WatchEvent
from railsail.store.freshness import Freshness
from railsail.store.journal import Backoff

# Where a configuration came from that no peer told.
STORE = "store"
# What a head needs of the store besides is read again after pauses from the one to the other.
FIRST_PAUSE_SECONDS = 0.25
MOST_PAUSE_SECONDS = 2.0
_NOT_UNDERSTOOD = (ImproperlyConfigured, msgspec.ValidationError)
Listener = Callable[[Catalog], None]


class Held(msgspec.Struct, frozen=True):
    """Which configuration is in force here, and how well it is known to be the newest.

    ``source`` is the peer that told it, or the store; ``proof_age`` is for how many seconds at most
    the store can have had a newer one, infinite where that is not known, and ``longest`` how old a
    proof may get where the store can be read.
    """

    version: int
    source: str
    proof_age: float
    longest: float

    @property
    def proved(self) -> bool:
        """Say whether any newer version has been there for a moment only."""
        return self.proof_age <= self.longest

    def refusal(self, reason: Reason, detail: str) -> NotRun:
        """Return the refusal of a request that this configuration does not allow.

        Callers take that for final, so that it is told only where no other node may know better.
        """
        if self.proved:
            return NotRun(reason, detail)
        return NotRun(Reason.UNPROVED_CONFIGURATION, f"{detail} here, and this node may be behind")

    def facts(self) -> dict[str, Fact]:
        """Return the same for the time line."""
        facts: dict[str, Fact] = {"configuration": self.version, "source": self.source}
        if math.isfinite(self.proof_age):
            facts["proof_age_ms"] = round(self.proof_age * 1000)
        return facts


class ConfigurationCarrier:
    """Hold the catalog in force.

    ``flood`` sends a message to all neighbours but one, ``ask`` a request to one peer; a proof of
    the configuration gets ``longest_proof_age`` seconds old at most where the store can be read.
    """

    def __init__(
        self,
        repository: ConfigurationRepository,
        flood: Callable[[ConfigurationNews, str], None],
        ask: Callable[[str, StateRequest], object],
        freshness: Freshness,
        longest_proof_age: float,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.catalog = Catalog()
        self._source = ""
        self._repository = repository
        self._flood = flood
        self._ask = ask
        self._rng = rng
        self._freshness = freshness
        self._longest_proof_age = longest_proof_age
        self._events = events
        self._metrics = metrics
        self._changes: list[Change] = []
        self._listeners: list[Listener] = []
        self._tasks = TaskSet()
        # The newest head that was seen of the store, until it is in force.
        self._pending: StoredObject | None = None
        self._reading = False

    def held(self) -> Held:
        """Return which configuration is in force, and how old it may be."""
        age = self._freshness.age(KIND)
        return Held(self.catalog.version, self._source, age, self._longest_proof_age)

    def on_change(self, listener: Listener) -> None:
        """Call ``listener`` with each catalog that comes into force."""
        self._listeners.append(listener)

    def listed(self, listing: Listing) -> None:
        """Take in a listing of the store."""
        for stored in listing.objects:
            if stored.name == HEAD:
                self._resolve(stored)

    def seen(self, event: WatchEvent) -> None:
        """Take in a watch event of the store."""
        if event.name == HEAD and event.value is not None:
            self._resolve(StoredObject(KIND, HEAD, event.version, event.value))

    def caught_up(self) -> bool:
        """Say whether all that this node has seen of the store is in force."""
        return self._pending is None

    def _resolve(self, stored: StoredObject) -> None:
        if _version(stored) <= max(self.catalog.version, _version(self._pending)):
            return
        self._pending = stored
        try:
            committed = self._repository.resolve_known(stored, self.catalog)
        except _NOT_UNDERSTOOD as problem:
            # It stays pending, so that no peer is told that this node holds it.
            get_logger().warning("configuration not understood", reason=str(problem))
            return
        if committed is not None:
            self.committed(committed)
        elif not self._reading:
            self._reading = True
            self._tasks.start(self._read_pending())

    async def _read_pending(self) -> None:
        """Read what a head needs besides until it is in force: nobody may tell of it again."""
        backoff = Backoff(self._rng, FIRST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
        while self._pending is not None:
            try:
                self.committed(await self._repository.resolve(self._pending, self.catalog))
            except StoreUnavailable as problem:
                get_logger().warning("configuration not read yet", reason=str(problem))
                await asyncio.sleep(backoff.pause())
            except _NOT_UNDERSTOOD as problem:
                get_logger().warning("configuration not understood", reason=str(problem))
                break
        self._reading = False

    def committed(self, committed: Committed) -> None:
        """Bring a configuration that was read from the store into force, if it is newer."""
        self._bring_into_force(committed.catalog, list(committed.head.changes), "")

    def received(self, node: str, news: ConfigurationNews) -> None:
        """Take in news of a peer."""
        if news.version <= self.catalog.version:
            return
        if news.since > self.catalog.version:
            # Whoever tells changes has what they build on.
            self._ask(node, StateRequest(self.catalog.version))
            return
        try:
            catalog, changes = self._read_news(news)
        except (ValueError, ImproperlyConfigured) as problem:
            get_logger().warning("configuration news refused", peer=node, reason=str(problem))
            return
        self._bring_into_force(catalog, changes, node)

    def _read_news(self, news: ConfigurationNews) -> tuple[Catalog, list[Change]]:
        plain = json.loads(news.body)
        if news.since == 0:
            return restore(msgspec.convert(plain, Snapshot)), []
        changes = msgspec.convert(plain, list[Change])
        catalog = self.catalog
        for change in changes:
            if change.version == catalog.version + 1:
                catalog = apply_change(catalog, change)
        if catalog.version != news.version:
            raise ValueError("the news has gaps")
        return catalog, changes

    def _bring_into_force(self, catalog: Catalog, changes: list[Change], source: str) -> None:
        if catalog.version <= self.catalog.version:
            return
        previous = self.catalog.version
        self.catalog = catalog
        self._source = source or STORE
        if _version(self._pending) <= catalog.version:
            self._pending = None
        known = {change.version: change for change in [*self._changes, *changes]}
        self._changes = [known[version] for version in sorted(known)][-KEPT_CHANGES:]
        self._metrics.version.set({}, catalog.version)
        self._events.emit(
            Kind.CONFIGURATION,
            "in force",
            version=catalog.version,
            before=previous,
            source=self._source,
        )
        for listener in self._listeners:
            listener(catalog)
        self._flood(self.news_since(previous), source)

    def news_since(self, version: int) -> ConfigurationNews:
        """Return what a peer at ``version`` lacks: changes if they are kept, else all objects."""
        missing = [change for change in self._changes if change.version > version]
        whole = len(missing) == self.catalog.version - version
        if version and missing and whole:
            return ConfigurationNews(version, self.catalog.version, encode(missing))
        return ConfigurationNews(0, self.catalog.version, encode(snapshot(self.catalog)))


def _version(head: StoredObject | None) -> int:
    """Return the version of a head, 0 for none."""
    return head.value.get("version", 0) if head is not None else 0
