"""The origins of event streams, which nodes keep for each other.

When the first event of a stream is sent to a caller, the node records where the stream began, and
sends the record to a few peers. A caller that resumes the stream at another node names the request
that began it, and that node asks these peers. A stream without a record is continued only if it can
have begun in one place only.

All nodes may be lost at once. While streams of a host may have begun in several places, some of the
nodes that keep a record therefore write it to the store as well (``railsail.streams.archive``).

What this node has received tells where streams began until a moment ago. Whether a stream without a
record can have begun in one place only is therefore decided by a read of the store that is started
after its caller has returned, here or at a peer (``railsail.streams.latest``).
"""

import asyncio
import math
from collections.abc import Callable, Collection

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.core.tasks import TaskSet
from railsail.membership.view import FleetView
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Route
from railsail.peers.hub import PeerHub
from railsail.peers.levels import READS
from railsail.peers.messages import StreamBegun, StreamQuery, StreamReply
from railsail.peers.records import OriginRecord
from railsail.streams.candidates import CandidateNodes
from railsail.streams.certainty import Certainty, CertaintyCheck, Uncertainty
from railsail.streams.history import OriginHistory
from railsail.streams.origins import RETURN_SECONDS, OriginTable, StreamOrigin, stream_key
from railsail.streams.queries import Query, StreamQueries
from railsail.streams.reader import LatestPlacesReader
from railsail.streams.recovery import RecordRecovery
from railsail.streams.stored import Place
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.records import Listed

# Maximum wait for the replies of peers. Those that are paused or cut off do not reply.
QUERY_SECONDS = 0.3
# Changes may have been missed if the newest proof that this node has all of them is older than this
# many of the longest waits for a new one.
INTERRUPTED_SHARE = 2.0
# Origins that a reply names at most. A caller's stream is continued only if there is one.
MAX_POSSIBLE = 10
_OWN = "this node"
_STORE = "store"


class StreamOrigins:
    """The origins of streams known at this node, and those that it asks its peers for.

    ``dispatchers`` returns the nodes that dispatch, and ``proof_age`` the age in seconds of the
    proof that this node has all changes of replicas and routes. ``known_version`` returns the
    store's version up to which it has those of replicas, and ``reader`` reads those that it has
    not. ``longest_wait`` is the time in seconds within which a new proof arrives while the store
    can be read. ``first_start`` is True if the fleet has not run before.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        view: FleetView,
        dispatchers: Callable[[], set[str]],
        proof_age: Callable[[], float],
        known_version: Callable[[], int],
        reader: LatestPlacesReader,
        longest_wait: float,
        first_start: bool,
        own_region: str,
        hub: PeerHub,
        kernel: Kernel,
    ) -> None:
        self._directory = directory
        self._proof_age = proof_age
        self._known_version = known_version
        self._reader = reader
        self._longest_wait = longest_wait
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._table = OriginTable()
        self.history = OriginHistory(first_start, kernel.clock.monotonic())
        self._check = CertaintyCheck(_OWN, self.history, reader, self._places_changed, kernel.clock)
        self._was_proved = False
        self.candidates = CandidateNodes(
            view, dispatchers, own_region, hub, kernel.clock, kernel.rng
        )
        self.recovery = RecordRecovery(kernel.clock)
        # Set while this node follows the store, but may have missed places before.
        self.lacks_places = asyncio.Event()
        self._ambiguous_pools: frozenset[str] = frozenset()
        self._tasks = TaskSet()
        self._place_listeners: list[Callable[[], None]] = []
        self._record_listeners: list[Callable[[int, StreamOrigin], None]] = []
        self._queries = StreamQueries(hub)
        directory.on_change(self._observe_versions)
        hub.handle(StreamBegun, self._handle_begun)
        hub.handle(StreamQuery, self._handle_query)

    def on_place(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the places where streams may begin have changed."""
        self._place_listeners.append(listener)

    def on_record(self, listener: Callable[[int, StreamOrigin], None]) -> None:
        """Call ``listener`` with the key and origin of each stream that this node has to store."""
        self._record_listeners.append(listener)

    def recover_places(self, places: Collection[Place]) -> None:
        """Add where streams may have begun before this node followed the store."""
        now = self._clock.monotonic()
        self.history.restore(places, now)
        self._ambiguous_pools = self.history.ambiguous_pools(now)
        self.lacks_places.clear()

    def configured(self, catalog: Catalog) -> None:
        """Observe the routes of a new version of the configuration."""
        pools: dict[str, set[str]] = {}
        window = RETURN_SECONDS
        for route in catalog.of_kind(Route):
            if route.streaming:
                names = {share.pool for share in route.pools}
                pools.setdefault(route.host.lower(), set()).update(names)
                window = max(window, keep_seconds(route))
        # A stream may have begun under an earlier version with a longer timeout.
        known = self.history.window
        self.history.window = window if math.isinf(known) else max(known, window)
        if self.history.observe_pools(pools, self._clock.monotonic()):
            self._places_changed()
        self._check.configured(catalog.version)

    def tick(self) -> None:
        """Do the periodic work; call it about twice a second."""
        now = self._clock.monotonic()
        age = self._proof_age()
        self._was_proved |= age <= self._longest_wait
        if self._was_proved and age > INTERRUPTED_SHARE * self._longest_wait:
            self.history.interrupt(now)
        self.recovery.expire(self.history.window)
        self._ambiguous_pools = self.history.ambiguous_pools(now)
        if age <= self._longest_wait and not self.history.is_trusted(now):
            self.lacks_places.set()
        self.candidates.dial()

    def _observe_versions(self) -> None:
        versions: dict[str, set[str]] = {}
        for upstream in self._directory.all():
            if upstream.listed is not Listed.GONE:
                versions.setdefault(upstream.pool, set()).add(upstream.software_version)
        if self.history.observe_versions(versions, self._clock.monotonic()):
            self._places_changed()

    def _places_changed(self) -> None:
        now = self._clock.monotonic()
        before = self._ambiguous_pools
        self._ambiguous_pools = self.history.ambiguous_pools(now)
        # Streams that began while there was one place have no stored record yet.
        for key, origin in self._table.of_pools(self._ambiguous_pools - before, now).items():
            self._store_record(key, origin)
        for listener in self._place_listeners:
            listener()

    def _store_record(self, key: int, origin: StreamOrigin) -> None:
        """Have the record of a stream stored, if this node is one of those that do so."""
        if self.candidates.writes(key):
            for listener in self._record_listeners:
                listener(key, origin)

    def _record(self, key: int, origin: StreamOrigin, keep: float) -> None:
        self._table.record(key, origin, keep, self._clock.monotonic())
        if origin.pool in self._ambiguous_pools:
            self._store_record(key, origin)

    def began(self, workspace: str, requests: list[str], origin: StreamOrigin, keep: float) -> None:
        """Record that a stream began at ``origin``, here and at peers, for ``keep`` seconds.

        ``requests`` are the ids by which its caller may name it.
        """
        for request in requests:
            key = stream_key(workspace, request)
            self._record(key, origin, keep)
            message = StreamBegun(key, origin.pool, origin.software_version, round(keep * 1000))
            for node in self.candidates.keepers(key):
                self._hub.send(node, message)

    async def find(
        self, request: str, workspace: str, host: str, resumes: str
    ) -> StreamOrigin | None:
        """Return where the stream that ``request`` resumes began, ``None`` if it is not certain.

        ``resumes`` is the request that began it, empty if the caller does not name it.
        """
        key = stream_key(workspace, resumes) if resumes else 0
        record = self._table.find(key, self._clock.monotonic())
        if record is not None:
            age = self._clock.monotonic() - record.recorded_at
            facts: dict[str, Fact] = {"age_ms": round(age * 1000)}
            return self._resumed(request, resumes, record.origin, _OWN, "known", facts)
        await self.recovery.wait(QUERY_SECONDS)
        stored = self.recovery.find(key)
        if stored is not None:
            return self._resumed(request, resumes, stored, _STORE, "stored", {})
        query = await self._queries.ask(self._asked(key, host), key, host, QUERY_SECONDS)
        if query.known is not None:
            return self._resumed_as_known(request, resumes, query)
        return await self._find_only_origin(request, key, host, resumes, query.replies)

    def _asked(self, key: int, host: str) -> list[str]:
        """Return the peers to ask for stream ``key``, or for places of ``host`` if the key is 0.

        They may know places that came and went while this node was out of step.
        """
        if key:
            return self.candidates.asked(key)
        return [] if len(self._possible(host, {})) > 1 else self.candidates.readers()

    async def _find_only_origin(
        self, request: str, key: int, host: str, resumes: str, replies: dict[str, StreamReply]
    ) -> StreamOrigin | None:
        """Return where a stream without a record began, ``None`` if it is not certain."""
        origins = self._possible(host, replies)
        if len(origins) > 1:
            self._refuse(request, resumes, Uncertainty.SEVERAL_ORIGINS, origins)
            return None
        certainty = await self._check.run(host)
        if isinstance(certainty, Uncertainty):
            seconds = self._reader.longest_wait
            readers = self.candidates.readers()
            query = await self._queries.ask(readers, key, host, seconds, reads=True)
            if query.known is not None:
                return self._resumed_as_known(request, resumes, query)
            replies = replies | query.replies
            if query.complete is not None:
                certainty = Certainty(query.complete)
        return self._only_origin(request, host, resumes, certainty, replies)

    def _only_origin(
        self,
        request: str,
        host: str,
        resumes: str,
        certainty: Certainty | Uncertainty,
        replies: dict[str, StreamReply],
    ) -> StreamOrigin | None:
        """Return where streams of ``host`` began, if that is certain and one place only."""
        stored = certainty.stored if isinstance(certainty, Certainty) else frozenset()
        origins = self._possible(host, replies, stored)
        if isinstance(certainty, Certainty) and len(origins) == 1:
            return self._resumed_at_only_origin(request, resumes, origins.pop(), certainty)
        cause = certainty if isinstance(certainty, Uncertainty) else Uncertainty.NO_ORIGIN
        if len(origins) > 1:
            cause = Uncertainty.SEVERAL_ORIGINS
        self._refuse(request, resumes, cause, origins)
        return None

    def _refuse(
        self, request: str, resumes: str, cause: Uncertainty, origins: set[StreamOrigin]
    ) -> None:
        self._metrics.resumed_streams.inc({"result": cause})
        self._events.emit(
            Kind.RESUMED,
            "it is not certain where the stream began",
            request,
            notable=True,
            cause=cause,
            resumes=resumes,
            possible=" ".join(f"{o.pool}@{o.software_version}" for o in sorted(origins)),
            **self._proof_facts(),
        )

    def _possible(
        self, host: str, replies: dict[str, StreamReply], stored: Collection[Place] = ()
    ) -> set[StreamOrigin]:
        """Return where streams of ``host`` may have begun recently, as far as known.

        ``replies`` are those of peers to a query about such a stream, and ``stored`` are places
        that were read from the store.
        """
        origins = self.history.origins(host.lower(), self._clock.monotonic(), stored)
        for reply in replies.values():
            origins |= {_to_origin(record) for record in reply.possible}
        return origins

    def _resumed_as_known(self, request: str, resumes: str, query: Query) -> StreamOrigin:
        node, reply = query.known
        origin = _to_origin(reply.known[0])
        return self._resumed(request, resumes, origin, node, "known", {"age_ms": reply.age})

    def _resumed_at_only_origin(
        self, request: str, resumes: str, origin: StreamOrigin, certainty: Certainty
    ) -> StreamOrigin:
        facts = self._proof_facts()
        if certainty.read_at is not None:
            age = self._clock.monotonic() - certainty.read_at
            self._metrics.origin_read_age.observe({}, age)
            facts["read_age_ms"] = round(age * 1000)
        return self._resumed(request, resumes, origin, certainty.node, "only-origin", facts)

    def _resumed(
        self,
        request: str,
        resumes: str,
        origin: StreamOrigin,
        source: str,
        result: str,
        facts: dict[str, Fact],
    ) -> StreamOrigin:
        self._metrics.resumed_streams.inc({"result": result})
        self._events.emit(
            Kind.RESUMED,
            request=request,
            resumes=resumes,
            pool=origin.pool,
            software_version=origin.software_version,
            source=source,
            **facts,
        )
        return origin

    def _proof_facts(self) -> dict[str, Fact]:
        """Return how outdated the replicas and routes that this node knows may be."""
        age = self._proof_age()
        facts: dict[str, Fact] = {"known_version": self._known_version()}
        return facts | {"proof_age_ms": round(age * 1000)} if math.isfinite(age) else facts

    def _handle_begun(self, node: str, message: StreamBegun) -> None:
        origin = StreamOrigin(message.pool, message.software_version)
        self._record(message.key, origin, message.keep / 1000)

    def _handle_query(self, node: str, message: StreamQuery) -> None:
        if self._known_record(message.key) is None and self._should_read_for(node, message):
            self._tasks.start(self._read_and_reply(node, message))
        else:
            self._reply(node, message, None)

    def _should_read_for(self, node: str, message: StreamQuery) -> bool:
        # Older builds take each reply for one of a node that has just read the store.
        return message.reads or not self._hub.speaks(node, READS)

    async def _read_and_reply(self, node: str, message: StreamQuery) -> None:
        certainty = await self._check.run(message.host)
        self._reply(node, message, certainty if isinstance(certainty, Certainty) else None)

    def _reply(self, node: str, message: StreamQuery, certainty: Certainty | None) -> None:
        now = self._clock.monotonic()
        record = self._table.find(message.key, now)
        known = self._known_record(message.key)
        stored = certainty.stored if certainty is not None else ()
        possible = sorted(self._possible(message.host, {}, stored))[:MAX_POSSIBLE]
        reply = StreamReply(
            message.number,
            [_to_record(known)] if known is not None else [],
            round((now - record.recorded_at) * 1000) if record is not None else 0,
            [_to_record(origin) for origin in possible],
            certainty is not None,
        )
        self._hub.send(node, reply)

    def _known_record(self, key: int) -> StreamOrigin | None:
        """Return where stream ``key`` began, ``None`` if this node has no record of it."""
        record = self._table.find(key, self._clock.monotonic())
        return record.origin if record is not None else self.recovery.find(key)


def keep_seconds(route: Route) -> float:
    """Return for how many seconds a caller of ``route`` may resume a stream."""
    return route.timeout + RETURN_SECONDS


def _to_record(origin: StreamOrigin) -> OriginRecord:
    return OriginRecord(origin.pool, origin.software_version)


def _to_origin(record: OriginRecord) -> StreamOrigin:
    return StreamOrigin(record.pool, record.software_version)
