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
from railsail.store.standby import Standby, StandbyRest

LIST_INTERVAL_SECONDS = 60.0
STANDBY_LIST_INTERVAL_SECONDS = 600.0
# How often a node that does not watch checks whether it should. The check makes no call.
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
Listed = Callable[[Listing], None]
Seen = Callable[[WatchEvent], None]


class StoreWatcher:
    """Reads the kinds that are followed, and calls their listeners.

    ``watches`` returns True if this node is one of the few that watch, and ``size`` returns the
    number of members. A watch waits ``watch_seconds`` at most.
    """

    def __init__(
        self,
        store: Store,
        watches: Callable[[], bool],
        size: Callable[[], int],
        watch_seconds: float,
        freshness: Freshness,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._watches = watches
        self._size = size
        self._watch_seconds = watch_seconds
        self._events = events
        self._rng = rng
        self._listed: dict[str, Listed] = {}
        self._names: dict[str, str] = {}
        self._seconds: dict[str, float] = {}
        self._seen: dict[str, Seen] = {}
        self._holds: dict[str, Callable[[], bool]] = {}
        self._answered: dict[str, bool] = {}
        self._outages: defaultdict[str, StoreOutage] = defaultdict(StoreOutage)
        # Kinds whose last listing may lack objects that are about to be written again.
        self._unsettled: set[str] = set()
        # By the kinds of a watch: when this node reads them in place of the nodes that watch.
        self._standby: dict[tuple[str, ...], Standby] = {}
        self._rest = StandbyRest(watch_seconds, rng)
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
        listed: Listed,
        seen: Seen,
        name: str = "",
        seconds: float = 0.0,
        holds: Callable[[], bool] = lambda: True,
    ) -> None:
        """Call ``listed`` with every listing of ``kind``, and ``seen`` with each change.

        With ``name``, a listing has only the object of that name; ``seen`` still gets the changes
        of all objects of the kind. A watch of this kind waits ``seconds`` at most, and as long as
        those of other kinds if that is 0. ``holds`` returns False while the listeners have not
        applied all that they received, and nothing is proved in that time.
        """
        self._seconds[kind] = seconds or self._watch_seconds
        self._listed[kind] = listed
        self._names[kind] = name
        self._seen[kind] = seen
        self._holds[kind] = holds

    async def run(self) -> None:
        """Read the store until cancelled."""
        self._started_at = asyncio.get_running_loop().time()
        kinds = tuple(self._listed)
        groups = [kinds] if self._store.watches_many else [(kind,) for kind in kinds]
        for group in groups:
            self._standby[group] = Standby(self._longest_wait(group), self._size, self._rng)
        await asyncio.gather(*(self._run_group(group) for group in groups))

    async def _run_group(self, kinds: tuple[str, ...]) -> None:
        longest = min(MAX_BACKOFF_SECONDS, self._watch_seconds)
        backoff = Backoff(self._rng, INITIAL_BACKOFF_SECONDS, longest)
        while True:
            try:
                version = await self._noting_absence(kinds, self._list_all(kinds))
                self._note(kinds, True)
                backoff.reset()
                await self._follow_from(kinds, version)
                await asyncio.sleep(RELIST_DELAY_SECONDS)
            except StoreUnavailable as problem:
                self._note(kinds, False, str(problem))
                await asyncio.sleep(backoff.pause())

    async def _list_all(self, kinds: tuple[str, ...]) -> int:
        versions = []
        for kind in kinds:
            listed = self._listed[kind]
            asked_at = self._freshness.now()
            if self._names[kind]:
                stored = await self._store.get(kind, self._names[kind])
                self._outages[kind].end()
                self._tell(kind, listed, Listing(0, (stored,) if stored else ()))
                # The answer for a single object does not name the store's version.
                known = self._freshness.version(kind)
                self._prove(kind, max(known, stored.version if stored else 0), asked_at)
                if stored is not None and len(kinds) == 1:
                    # No other objects are watched, so that the watch can start from its version.
                    versions.append(stored.version)
                continue
            listing = await self._store.list(kind)
            self._tell(kind, listed, replace(listing, settled=self._settles(kind, listing)))
            self._prove(kind, listing.version, asked_at)
            versions.append(listing.version)
        return min(versions, default=0)

    def _true_at(self, result: WatchResult, asked_at: float, waits: float) -> float:
        """Return a time at which the store had no newer version than that of ``result``.

        A store that has changes answers at once, although the answer may arrive late. Without
        changes it answers after ``waits`` seconds, during which there was no change.
        """
        if result.events:
            return asked_at
        return min(asked_at + waits, self._freshness.now())

    def _prove(self, kind: str, version: int, at: float) -> None:
        if self._holds[kind]():
            self._freshness.read(Proof(kind, version, at))

    def _settles(self, kind: str, listing: Listing) -> bool:
        now = asyncio.get_running_loop().time()
        if self._outages[kind].record_listing(listing.version, now):
            self._unsettled.add(kind)
            return False
        self._unsettled.discard(kind)
        return True

    async def _follow_from(self, kinds: tuple[str, ...], version: int) -> None:
        # Jitter prevents that all nodes of a fleet list at the same time.
        loop = asyncio.get_running_loop()
        begun = loop.time()
        share = self._rng.uniform(0.75, 1.25)
        await self._learn_members()
        # The first watch is short. It renews the proof of the listing, which is a while old by now,
        # before other nodes start to read because their proofs are too old.
        follows = False
        while (left := begun + self._list_seconds(kinds, share) - loop.time()) > 0:
            if not self._reads(kinds):
                follows = False
                if self._standby[kinds].seconds_left(self._age(kinds)):
                    # Peers have read the store in the meantime, and have listed it if necessary.
                    self._end_absence(kinds)
                await asyncio.sleep(self._look_seconds(kinds))
                continue
            waits = self._wait_seconds(kinds)
            if not follows:
                version = self._first_version(kinds, version)
                waits = FIRST_WATCH_SECONDS
            try:
                result = await self._watch(kinds, version, min(left, waits))
            except StoreUnavailable as problem:
                if self._watches():
                    raise
                # No new listing: it is expensive, and the nodes that watch may send proofs again
                # before the store answers here.
                self._note(kinds, False, str(problem))
                self._rest.failed(self._freshness.now())
                continue
            if result.expired:
                return
            self._note(kinds, True)
            self._rest.answered()
            follows = True
            version = max(version, result.version)
            if result.events:
                await asyncio.sleep(BATCH_SECONDS)

    async def _watch(self, kinds: tuple[str, ...], version: int, waits: float) -> WatchResult:
        asked_at = self._freshness.now()
        watch = self._store.watch(kinds, version, waits)
        result = await self._noting_absence(kinds, watch, waits)
        if result.expired:
            return result
        now = asyncio.get_running_loop().time()
        if any(self._outages[kind].objects_expired(now) for kind in kinds):
            # Its events include the deletions of objects that expired during the outage. They are
            # ignored: the objects are listed instead, once their writers have written them again.
            return replace(result, expired=True)
        self._end_absence(kinds)
        for event in result.events:
            self._tell(event.kind, self._seen[event.kind], event)
        for kind in kinds:
            self._prove(kind, max(version, result.version), self._true_at(result, asked_at, waits))
        return result

    def _end_absence(self, kinds: tuple[str, ...]) -> None:
        for kind in kinds:
            self._outages[kind].end()

    def _reads(self, kinds: tuple[str, ...]) -> bool:
        """Return True if this node should read ``kinds`` now.

        It is one of the few that watch, or their proofs do not arrive.
        """
        if self._watches():
            return True
        # The nodes that watch may be unable to read the store or to reach their peers without
        # noticing. A node that relied on them without a proof would continue with outdated routes,
        # keys and replicas.
        now = self._freshness.now()
        if self._rest.seconds_left(now):
            return False
        return self._standby[kinds].reads(self._age(kinds), now)

    def _first_version(self, kinds: tuple[str, ...], version: int) -> int:
        """Return the version from which to watch, if this node itself has read up to ``version``.

        A node that does not read has received all changes up to the versions that peers proved.
        """
        if self._watches():
            return version
        self._events.emit(
            Kind.STORE,
            "this node starts to read: no proofs arrive from the nodes that watch",
            kinds=" ".join(kinds),
            proof_age_ms=round(self._age(kinds) * 1000),
        )
        return max(version, min(self._freshness.version(kind) for kind in kinds))

    def _age(self, kinds: tuple[str, ...]) -> float:
        return max(self._freshness.age(kind) for kind in kinds)

    def _look_seconds(self, kinds: tuple[str, ...]) -> float:
        patience = self._standby[kinds].seconds_left(self._age(kinds))
        left = max(patience, self._rest.seconds_left(self._freshness.now()))
        return min(MAX_CHECK_INTERVAL_SECONDS, max(MIN_CHECK_INTERVAL_SECONDS, left))

    def longest_wait(self, kind: str) -> float:
        """Return the maximum wait of a watch of ``kind`` in seconds."""
        return self._seconds.get(kind, self._watch_seconds)

    def _longest_wait(self, kinds: tuple[str, ...]) -> float:
        return min(self.longest_wait(kind) for kind in kinds)

    def _wait_seconds(self, kinds: tuple[str, ...]) -> float:
        """Return the maximum wait of the next watch, a random share of the configured one.

        One change ends the watches of all nodes at once. With equal waits they would get their next
        proofs at the same time as well.
        """
        return self._rng.uniform(MIN_WAIT_SHARE, 1.0) * self._longest_wait(kinds)

    async def _noting_absence(
        self, kinds: tuple[str, ...], call: Awaitable[R], waits: float = 0.0
    ) -> R:
        """Return the result of ``call``, and record a failure as a possible outage.

        The call lets the store delay the answer by ``waits`` seconds.
        """
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            return await call
        except StoreUnavailable:
            for kind in kinds:
                self._outages[kind].record_failure(asked_at, loop.time(), waits)
            raise

    def _tell(self, kind: str, listener: Callable[[T], None], news: T) -> None:
        try:
            listener(news)
        except Exception:
            # A listener that fails on one object must not end the watch on one node after another.
            get_logger().exception("listener of the store failed", kind=kind)

    async def _learn_members(self) -> None:
        # The nodes that watch are chosen among the members, and a node that starts knows none yet.
        left = self._started_at + MEMBER_DISCOVERY_SECONDS - asyncio.get_running_loop().time()
        if left > 0:
            await asyncio.sleep(left)

    def _list_seconds(self, kinds: tuple[str, ...], share: float) -> float:
        """Return how many seconds after a listing the next one is due.

        Nodes that do not watch list more rarely. A listing that may lack objects is repeated soon
        by the nodes that read.
        """
        watches = self._watches()
        reads = watches or self._standby[kinds].reading(self._freshness.now())
        if reads and self._unsettled & set(kinds):
            return REWRITE_SECONDS
        return share * (LIST_INTERVAL_SECONDS if watches else STANDBY_LIST_INTERVAL_SECONDS)

    def _note(self, kinds: tuple[str, ...], answered: bool, detail: str = "") -> None:
        self._answered[kinds[0]] = answered
        reachable = any(self._answered.values())
        if reachable != self.reachable or not self.tried.is_set():
            word = "reachable" if reachable else "unreachable"
            self._events.emit(Kind.STORE, detail, state=word)
        self.reachable = reachable
        if reachable or all(kind in self._answered for kind in self._listed):
            self.tried.set()


def as_event(stored: StoredObject) -> WatchEvent:
    """Return the event of the last change of a listed object."""
    return WatchEvent(stored.kind, stored.name, stored.version, stored.value)
