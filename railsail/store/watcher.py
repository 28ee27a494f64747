"""Follow kinds of objects in the store: a watch on a few nodes, a slow list on all.

A watch may end, skip or repeat; versions of single objects and the slow list make up for it. The
few that watch are named by hashing over the members, so that the store's calls do not grow with
the fleet; the others hear of changes from their peers, and list ten times more seldom, since lists
are long.
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
from railsail.store.absence import RETURN_SECONDS, StoreAbsence
from railsail.store.base import Listing, Store, StoredObject, WatchEvent, WatchResult
from railsail.store.freshness import Freshness, Proof
from railsail.store.journal import Backoff
from railsail.store.standby import Standby, StandbyRest

LIST_SECONDS = 60.0
LIST_SECONDS_OF_OTHERS = 600.0
# A node that is cut off from its peers begins to watch within this time; to look costs nothing.
LOOK_SECONDS = 0.5
LEAST_LOOK_SECONDS = 0.01
# A node that begins to read learns so soon whether there is anything new.
FIRST_WAIT_SECONDS = 0.05
# A watch waits for this part of its longest time at least.
LEAST_WAIT_SHARE = 0.25
# A node that starts hears of the others within this time, and takes itself for one of the few that
# watch until then.
LEARN_MEMBERS_SECONDS = 1.0
# A store that has forgotten its history may do so again and again; lists are dear.
RELIST_SECONDS = 0.3
# Changes come in groups, as when replicas start or are replaced. A watch that has ended is made
# anew so many seconds later, and gets the rest of its group with one call; a replica that leaves
# serves on for seconds.
GATHER_SECONDS = 0.1
FIRST_PAUSE_SECONDS = 0.25
MOST_PAUSE_SECONDS = 10.0

T = TypeVar("T", Listing, WatchEvent)
R = TypeVar("R")
Listed = Callable[[Listing], None]
Seen = Callable[[WatchEvent], None]


class StoreWatcher:
    """List and watch the kinds that were asked for, and hand the objects to their listeners."""

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
        # By kind, whether its last listing may lack objects that are written again in a moment.
        self._absences: defaultdict[str, StoreAbsence] = defaultdict(StoreAbsence)
        self._unsettled: set[str] = set()
        # By the kinds of a watch, when this node reads them though others are to.
        self._standby: dict[tuple[str, ...], Standby] = {}
        self._rest = StandbyRest(watch_seconds, rng)
        self.reachable = False
        self._started_at = 0.0
        self.tried = asyncio.Event()

    @property
    def era(self) -> int:
        """Return the latest era of the store that a listing told."""
        return max((absence.era for absence in self._absences.values()), default=0)

    def follow(
        self,
        kind: str,
        listed: Listed,
        seen: Seen,
        name: str = "",
        seconds: float = 0.0,
        holds: Callable[[], bool] = lambda: True,
    ) -> None:
        """Call ``listed`` with every listing of ``kind``, and ``seen`` with single changes.

        With ``name``, only the object of that name is read, and other changes are passed on unread.
        A watch of this kind lasts ``seconds``, 0 for as long as those of other kinds. Where
        ``holds`` is false, the listeners have not taken in all that they were told yet.
        """
        self._seconds[kind] = seconds or self._watch_seconds
        self._listed[kind] = listed
        self._names[kind] = name
        self._seen[kind] = seen
        self._holds[kind] = holds

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self._started_at = asyncio.get_running_loop().time()
        kinds = tuple(self._listed)
        groups = [kinds] if self._store.watches_many else [(kind,) for kind in kinds]
        for group in groups:
            self._standby[group] = Standby(self._longest_wait(group), self._size, self._rng)
        await asyncio.gather(*(self._run_group(group) for group in groups))

    async def _run_group(self, kinds: tuple[str, ...]) -> None:
        longest = min(MOST_PAUSE_SECONDS, self._watch_seconds)
        backoff = Backoff(self._rng, FIRST_PAUSE_SECONDS, longest)
        while True:
            try:
                version = await self._noting_absence(kinds, self._list_all(kinds))
                self._note(kinds, True)
                backoff.reset()
                await self._follow_from(kinds, version)
                await asyncio.sleep(RELIST_SECONDS)
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
                self._absences[kind].ended()
                self._tell(kind, listed, Listing(0, (stored,) if stored else ()))
                # The store's own version is not told with one object.
                known = self._freshness.version(kind)
                self._prove(kind, max(known, stored.version if stored else 0), asked_at)
                if stored is not None and len(kinds) == 1:
                    # Nothing else is followed here, so that its own last change is a beginning.
                    versions.append(stored.version)
                continue
            listing = await self._store.list(kind)
            self._tell(kind, listed, replace(listing, settled=self._settles(kind, listing)))
            self._prove(kind, listing.version, asked_at)
            versions.append(listing.version)
        return min(versions, default=0)

    def _true_at(self, result: WatchResult, asked_at: float, waits: float) -> float:
        """Return a time at which the store had no newer version than that of the answer.

        A store that has changes answers at once, however late that comes; without any it waits.
        """
        if result.events:
            return asked_at
        return min(asked_at + waits, self._freshness.now())

    def _prove(self, kind: str, version: int, at: float) -> None:
        if self._holds[kind]():
            self._freshness.read(Proof(kind, version, at))

    def _settles(self, kind: str, listing: Listing) -> bool:
        now = asyncio.get_running_loop().time()
        if self._absences[kind].answered(listing.version, now):
            self._unsettled.add(kind)
            return False
        self._unsettled.discard(kind)
        return True

    async def _follow_from(self, kinds: tuple[str, ...], version: int) -> None:
        # Jitter keeps the nodes of a fleet from listing in step.
        loop = asyncio.get_running_loop()
        begun = loop.time()
        share = self._rng.uniform(0.75, 1.25)
        await self._learn_members()
        # A first short watch proves what was listed a while ago, before others run out of patience.
        follows = False
        while (left := begun + self._list_seconds(kinds, share) - loop.time()) > 0:
            if not self._reads(kinds):
                follows = False
                if self._standby[kinds].seconds_left(self._age(kinds)):
                    # Peers have read the store since, and listed it where that was needed.
                    self._end_absence(kinds)
                await asyncio.sleep(self._look_seconds(kinds))
                continue
            waits = self._wait_seconds(kinds)
            if not follows:
                version = self._first_version(kinds, version)
                waits = FIRST_WAIT_SECONDS
            try:
                result = await self._watch(kinds, version, min(left, waits))
            except StoreUnavailable as problem:
                if self._watches():
                    raise
                # Lists are dear, and those that watch may tell again before the store answers here.
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
                await asyncio.sleep(GATHER_SECONDS)

    async def _watch(self, kinds: tuple[str, ...], version: int, waits: float) -> WatchResult:
        asked_at = self._freshness.now()
        watch = self._store.watch(kinds, version, waits)
        result = await self._noting_absence(kinds, watch, waits)
        if result.expired:
            return result
        now = asyncio.get_running_loop().time()
        if any(self._absences[kind].lapsed(now) for kind in kinds):
            # It would tell that lapsed objects are gone; a list waits until they are written again.
            return replace(result, expired=True)
        self._end_absence(kinds)
        for event in result.events:
            self._tell(event.kind, self._seen[event.kind], event)
        for kind in kinds:
            self._prove(kind, max(version, result.version), self._true_at(result, asked_at, waits))
        return result

    def _end_absence(self, kinds: tuple[str, ...]) -> None:
        for kind in kinds:
            self._absences[kind].ended()

    def _reads(self, kinds: tuple[str, ...]) -> bool:
        """Say whether this node reads ``kinds`` now, as one of the few or since they are silent."""
        if self._watches():
            return True
        # Those that are to read may be unable to, or to tell, and not know it: a node that counted
        # on them without a proof would go on with old routes, keys and replicas.
        now = self._freshness.now()
        if self._rest.seconds_left(now):
            return False
        return self._standby[kinds].reads(self._age(kinds), now)

    def _first_version(self, kinds: tuple[str, ...], version: int) -> int:
        """Return from which version to watch, where this node has watched ``kinds`` to ``version``.

        A node that read nothing was told all changes up to what its peers proved.
        """
        if self._watches():
            return version
        self._events.emit(
            Kind.STORE,
            "read here, since nobody tells that it is read",
            kinds=" ".join(kinds),
            proof_age_ms=round(self._age(kinds) * 1000),
        )
        return max(version, min(self._freshness.version(kind) for kind in kinds))

    def _age(self, kinds: tuple[str, ...]) -> float:
        return max(self._freshness.age(kind) for kind in kinds)

    def _look_seconds(self, kinds: tuple[str, ...]) -> float:
        patience = self._standby[kinds].seconds_left(self._age(kinds))
        left = max(patience, self._rest.seconds_left(self._freshness.now()))
        return min(LOOK_SECONDS, max(LEAST_LOOK_SECONDS, left))

    def longest_wait(self, kind: str) -> float:
        """Return how many seconds a watch of ``kind`` waits at most."""
        return self._seconds.get(kind, self._watch_seconds)

    def _longest_wait(self, kinds: tuple[str, ...]) -> float:
        return min(self.longest_wait(kind) for kind in kinds)

    def _wait_seconds(self, kinds: tuple[str, ...]) -> float:
        """Return how long the next watch waits.

        Nodes whose watches all ended with one change would prove what they hold at the same times.
        """
        return self._rng.uniform(LEAST_WAIT_SHARE, 1.0) * self._longest_wait(kinds)

    async def _noting_absence(
        self, kinds: tuple[str, ...], call: Awaitable[R], waits: float = 0.0
    ) -> R:
        """Return what ``call`` does, which waits by its own wish; note it if the store is away."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            return await call
        except StoreUnavailable:
            for kind in kinds:
                self._absences[kind].failed(asked_at, loop.time(), waits)
            raise

    def _tell(self, kind: str, listener: Callable[[T], None], news: T) -> None:
        try:
            listener(news)
        except Exception:
            # One object that its listener cannot take must not end the watch at node after node.
            get_logger().exception("objects not taken in", kind=kind)

    async def _learn_members(self) -> None:
        # Who watches follows from the members, and a node that starts knows none yet.
        left = self._started_at + LEARN_MEMBERS_SECONDS - asyncio.get_running_loop().time()
        if left > 0:
            await asyncio.sleep(left)

    def _list_seconds(self, kinds: tuple[str, ...], share: float) -> float:
        """Return how long after a listing the next one is due, by whether this node watches now."""
        watches = self._watches()
        reads = watches or self._standby[kinds].reading(self._freshness.now())
        if reads and self._unsettled & set(kinds):
            return RETURN_SECONDS
        return share * (LIST_SECONDS if watches else LIST_SECONDS_OF_OTHERS)

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
    """Return a listed object as the event of its last change."""
    return WatchEvent(stored.kind, stored.name, stored.version, stored.value)
