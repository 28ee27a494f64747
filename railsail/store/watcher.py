"""Reads kinds of objects from the store: by watches on a few nodes, by rare listings on all.

A watch may fail, miss changes or return them twice; the versions of the objects and the listings
make up for that. The few nodes that watch are chosen by hashing over the members, so that the load
of the store does not grow with the fleet. The other nodes receive changes from their peers. They
list ten times more rarely, because listings are large.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from railsail.core.events import EventLog, Kind
from railsail.core.exceptions import StoreUnavailable
from railsail.core.logs import get_logger
from railsail.store.base import Listing, Store, StoredObject, WatchEvent, WatchResult
from railsail.store.freshness import Freshness, Proof
from railsail.store.journal import Backoff
from railsail.store.outage import REWRITE_SECONDS, StoreOutage
from railsail.store.standby import Standby, StandbyBackoff

LIST_INTERVAL_SECONDS = 60.0
STANDBY_LIST_INTERVAL_SECONDS = 600.0
# Bounds of the interval at which a node that does not watch checks whether it should start to read.
# The check makes no call.
MAX_CHECK_INTERVAL_SECONDS = 0.5
MIN_CHECK_INTERVAL_SECONDS = 0.01
# Maximum wait of the first watch after a node started to read, which so learns at once whether
# there are changes.
FIRST_WATCH_SECONDS = 0.05
# A watch waits for a random share of its maximum wait, at least this one.
MIN_WAIT_SHARE = 0.25
# Time in which a node that starts learns of the other members. Until then it would choose itself as
# one of the few that watch.
MEMBER_DISCOVERY_SECONDS = 1.0
# Minimum delay before the next listing. A store that does not keep its history would be listed
# again and again, and listings are expensive.
RELIST_DELAY_SECONDS = 0.3
# Delay between two watches. Changes come in groups, such as when replicas start or are replaced:
# the next watch returns the rest of the group in one call. The delay does no harm, because a
# replica that is leaving continues to serve for seconds.
BATCH_SECONDS = 0.1
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 10.0

T = TypeVar("T", Listing, WatchEvent)
R = TypeVar("R")
ListingListener = Callable[[Listing], None]
EventListener = Callable[[WatchEvent], None]


class StoreWatcher:
    """The reader of all kinds that this node follows, which calls their listeners.

    ``is_watcher`` returns True if this node is one of the few that watch, and ``fleet_size``
    returns the number of members. A watch waits ``watch_seconds`` at most.
    """

    def __init__(
        self,
        store: Store,
        is_watcher: Callable[[], bool],
        fleet_size: Callable[[], int],
        watch_seconds: float,
        freshness: Freshness,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._is_watcher = is_watcher
        self._fleet_size = fleet_size
        self._watch_seconds = watch_seconds
        self._events = events
        self._rng = rng
        self._on_listing: dict[str, ListingListener] = {}
        self._object_names: dict[str, str] = {}
        self._max_waits: dict[str, float] = {}
        self._on_event: dict[str, EventListener] = {}
        self._caught_up: dict[str, Callable[[], bool]] = {}
        # By kind: the newest proof, until the listeners have applied all changes before it.
        self._newest_proofs: dict[str, Proof] = {}
        self._answered: dict[str, bool] = {}
        self._outages: defaultdict[str, StoreOutage] = defaultdict(StoreOutage)
        # Kinds whose last listing may lack objects that are about to be written again.
        self._incomplete: set[str] = set()
        # By the kinds of a watch: when this node reads them in place of the nodes that watch.
        self._standby: dict[tuple[str, ...], Standby] = {}
        self._backoff = StandbyBackoff(watch_seconds, rng)
        self.reachable = False
        self._started_at = 0.0
        self.tried = asyncio.Event()

    @property
    def era(self) -> int:
        """Return the latest store generation that a listing had."""
        return max((outage.generation for outage in self._outages.values()), default=0)

    def follow(
        self,
        kind: str,
        on_listing: ListingListener,
        on_event: EventListener,
        name: str = "",
        seconds: float = 0.0,
        holds: Callable[[], bool] = lambda: True,
    ) -> None:
        """Call ``on_listing`` with every listing of ``kind``, and ``on_event`` with each change.

        With ``name``, a listing has only the object of that name; ``on_event`` still gets the
        changes of all objects of the kind. A watch of this kind waits ``seconds`` at most, and as
        long as those of other kinds if that is 0. ``holds`` returns False while the listeners have
        not applied all that they received; no proof is recorded in that time, and they have to call
        ``record_newest_proof`` afterwards.
        """
        self._max_waits[kind] = seconds or self._watch_seconds
        self._on_listing[kind] = on_listing
        self._object_names[kind] = name
        self._on_event[kind] = on_event
        self._caught_up[kind] = holds

    async def run(self) -> None:
        """Read the store until cancelled."""
        self._started_at = asyncio.get_running_loop().time()
        kinds = tuple(self._on_listing)
        groups = [kinds] if self._store.watches_many else [(kind,) for kind in kinds]
        for group in groups:
            self._standby[group] = Standby(self._max_wait(group), self._fleet_size, self._rng)
        await asyncio.gather(*(self._run_group(group) for group in groups))

    async def _run_group(self, kinds: tuple[str, ...]) -> None:
        max_backoff = min(MAX_BACKOFF_SECONDS, self._watch_seconds)
        backoff = Backoff(self._rng, INITIAL_BACKOFF_SECONDS, max_backoff)
        while True:
            try:
                version = await self._recording_outage(kinds, self._list_all(kinds))
                self._record_reachability(kinds, True)
                backoff.reset()
                await self._watch_from(kinds, version)
                await asyncio.sleep(RELIST_DELAY_SECONDS)
            except StoreUnavailable as problem:
                self._record_reachability(kinds, False, str(problem))
                await asyncio.sleep(backoff.pause())

    async def _list_all(self, kinds: tuple[str, ...]) -> int:
        versions = []
        for kind in kinds:
            on_listing = self._on_listing[kind]
            called_at = self._freshness.now()
            if self._object_names[kind]:
                stored = await self._store.get(kind, self._object_names[kind])
                self._outages[kind].end()
                self._notify(kind, on_listing, Listing(0, (stored,) if stored else ()))
                # The answer for a single object does not name the store's version.
                known = self._freshness.version(kind)
                self._record_proof(kind, max(known, stored.version if stored else 0), called_at)
                if stored is not None and len(kinds) == 1:
                    # No other objects are watched, so that the watch can start from its version.
                    versions.append(stored.version)
                continue
            listing = await self._store.list(kind)
            self._notify(
                kind, on_listing, replace(listing, settled=self._record_listing(kind, listing))
            )
            self._record_proof(kind, listing.version, called_at)
            versions.append(listing.version)
        return min(versions, default=0)

    def _proof_time(self, result: WatchResult, called_at: float, max_wait: float) -> float:
        """Return a time at which the store had no newer version than that of ``result``.

        A store that has changes answers at once, although the answer may arrive late. Without
        changes it answers after ``max_wait`` seconds, during which there was no change.
        """
        if result.events:
            return called_at
        return min(called_at + max_wait, self._freshness.now())

    def _record_proof(self, kind: str, version: int, at: float) -> None:
        self._newest_proofs[kind] = Proof(kind, version, at)
        self.record_newest_proof(kind)

    def record_newest_proof(self, kind: str) -> None:
        """Record the newest proof of ``kind``, once the listeners have applied its changes."""
        if kind in self._newest_proofs and self._caught_up[kind]():
            self._freshness.record_own(self._newest_proofs.pop(kind))

    def _record_listing(self, kind: str, listing: Listing) -> bool:
        """Record that ``kind`` was listed; return False if objects may be missing."""
        now = asyncio.get_running_loop().time()
        if self._outages[kind].record_listing(listing.version, now):
            self._incomplete.add(kind)
            return False
        self._incomplete.discard(kind)
        return True

    async def _watch_from(self, kinds: tuple[str, ...], version: int) -> None:
        # Jitter prevents that all nodes of a fleet list at the same time.
        loop = asyncio.get_running_loop()
        listed_at = loop.time()
        jitter = self._rng.uniform(0.75, 1.25)
        await self._wait_for_members()
        # The first watch is short. It renews the proof of the listing, which is a while old by now,
        # before other nodes start to read because their proofs are too old.
        has_watched = False
        while (remaining := listed_at + self._list_interval(kinds, jitter) - loop.time()) > 0:
            if not self._should_read(kinds):
                has_watched = False
                if self._standby[kinds].seconds_until_reading(self._proof_age(kinds)):
                    # Peers have read the store in the meantime, and have listed it if necessary.
                    self._end_outage(kinds)
                await asyncio.sleep(self._check_interval(kinds))
                continue
            max_wait = self._sample_wait(kinds)
            if not has_watched:
                version = self._start_version(kinds, version)
                max_wait = FIRST_WATCH_SECONDS
            try:
                result = await self._watch_once(kinds, version, min(remaining, max_wait))
            except StoreUnavailable as problem:
                if self._is_watcher():
                    raise
                # No new listing: it is expensive, and the nodes that watch may send proofs again
                # before the store answers here.
                self._record_reachability(kinds, False, str(problem))
                self._backoff.record_failure(self._freshness.now())
                continue
            if result.expired:
                return
            self._record_reachability(kinds, True)
            self._backoff.record_answer()
            has_watched = True
            version = max(version, result.version)
            if result.events:
                await asyncio.sleep(BATCH_SECONDS)

    async def _watch_once(
        self, kinds: tuple[str, ...], version: int, max_wait: float
    ) -> WatchResult:
        called_at = self._freshness.now()
        watch = self._store.watch(kinds, version, max_wait)
        result = await self._recording_outage(kinds, watch, max_wait)
        if result.expired:
            return result
        now = asyncio.get_running_loop().time()
        if any(self._outages[kind].objects_expired(now) for kind in kinds):
            # Its events include the deletions of objects that expired during the outage. They are
            # ignored: the objects are listed instead, once their writers have written them again.
            return replace(result, expired=True)
        self._end_outage(kinds)
        for event in result.events:
            self._notify(event.kind, self._on_event[event.kind], event)
        for kind in kinds:
            self._record_proof(
                kind, max(version, result.version), self._proof_time(result, called_at, max_wait)
            )
        return result

    def _end_outage(self, kinds: tuple[str, ...]) -> None:
        for kind in kinds:
            self._outages[kind].end()

    def _should_read(self, kinds: tuple[str, ...]) -> bool:
        """Return True if this node should read ``kinds`` now.

        It is one of the few that watch, or their proofs do not arrive.
        """
        if self._is_watcher():
            return True
        # The nodes that watch may be unable to read the store or to reach their peers without
        # noticing. A node that relied on them without a proof would continue with outdated routes,
        # keys and replicas.
        now = self._freshness.now()
        if self._backoff.remaining_seconds(now):
            return False
        return self._standby[kinds].should_read(self._proof_age(kinds), now)

    def _start_version(self, kinds: tuple[str, ...], version: int) -> int:
        """Return the version from which to watch, if this node itself has read up to ``version``.

        A node that does not read has received all changes up to the versions that peers proved.
        """
        if self._is_watcher():
            return version
        self._events.emit(
            Kind.STORE,
            "this node starts to read: no proofs arrive from the nodes that watch",
            kinds=" ".join(kinds),
            proof_age_ms=round(self._proof_age(kinds) * 1000),
        )
        return max(version, min(self._freshness.version(kind) for kind in kinds))

    def _proof_age(self, kinds: tuple[str, ...]) -> float:
        return max(self._freshness.age(kind) for kind in kinds)

    def _check_interval(self, kinds: tuple[str, ...]) -> float:
        until_reading = self._standby[kinds].seconds_until_reading(self._proof_age(kinds))
        remaining = max(until_reading, self._backoff.remaining_seconds(self._freshness.now()))
        return min(MAX_CHECK_INTERVAL_SECONDS, max(MIN_CHECK_INTERVAL_SECONDS, remaining))

    def longest_wait(self, kind: str) -> float:
        """Return the maximum wait of a watch of ``kind`` in seconds."""
        return self._max_waits.get(kind, self._watch_seconds)

    def _max_wait(self, kinds: tuple[str, ...]) -> float:
        return min(self.longest_wait(kind) for kind in kinds)

    def _sample_wait(self, kinds: tuple[str, ...]) -> float:
        """Return the maximum wait of the next watch, a random share of the configured one.

        One change ends the watches of all nodes at once. With equal waits they would get their next
        proofs at the same time as well.
        """
        return self._rng.uniform(MIN_WAIT_SHARE, 1.0) * self._max_wait(kinds)

    async def _recording_outage(
        self, kinds: tuple[str, ...], call: Awaitable[R], max_wait: float = 0.0
    ) -> R:
        """Return the result of ``call``, and record a failure as a possible outage.

        The call lets the store delay the answer by ``max_wait`` seconds.
        """
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        try:
            return await call
        except StoreUnavailable:
            for kind in kinds:
                self._outages[kind].record_failure(called_at, loop.time(), max_wait)
            raise

    def _notify(self, kind: str, listener: Callable[[T], None], update: T) -> None:
        try:
            listener(update)
        except Exception:
            # A listener that fails on one object must not end the watch on one node after another.
            get_logger().exception("listener of the store failed", kind=kind)

    async def _wait_for_members(self) -> None:
        # The nodes that watch are chosen among the members, and a node that starts knows none yet.
        remaining = self._started_at + MEMBER_DISCOVERY_SECONDS - asyncio.get_running_loop().time()
        if remaining > 0:
            await asyncio.sleep(remaining)

    def _list_interval(self, kinds: tuple[str, ...], jitter: float) -> float:
        """Return how many seconds after a listing the next one is due.

        Nodes that do not watch list more rarely. A listing that may lack objects is repeated soon
        by the nodes that read.
        """
        watches_now = self._is_watcher()
        reads_now = watches_now or self._standby[kinds].is_reading(self._freshness.now())
        if reads_now and self._incomplete & set(kinds):
            return REWRITE_SECONDS
        return jitter * (LIST_INTERVAL_SECONDS if watches_now else STANDBY_LIST_INTERVAL_SECONDS)

    def _record_reachability(
        self, kinds: tuple[str, ...], answered: bool, detail: str = ""
    ) -> None:
        self._answered[kinds[0]] = answered
        reachable = any(self._answered.values())
        if reachable != self.reachable or not self.tried.is_set():
            state = "reachable" if reachable else "unreachable"
            self._events.emit(Kind.STORE, detail, state=state)
        self.reachable = reachable
        if reachable or all(kind in self._answered for kind in self._on_listing):
            self.tried.set()


def as_event(stored: StoredObject) -> WatchEvent:
    """Return the event of the last change of a listed object."""
    return WatchEvent(stored.kind, stored.name, stored.version, stored.value)
