"""A daemon: its parts, how they are connected, and how it starts and stops."""

import asyncio
import contextlib
import random
import secrets
from dataclasses import fields

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from railsail.admin import app as admin_app
from railsail.conf.settings import Settings
from railsail.configuration.carrier import ConfigurationCarrier
from railsail.configuration.exchange import ConfigurationExchange
from railsail.configuration.repository import HEAD, ConfigurationRepository
from railsail.configuration.repository import KIND as CONFIGURATION
from railsail.configuration.spreading import ConfigurationSpread
from railsail.configuration.updates import Update
from railsail.core.buffers import Buffers
from railsail.core.clock import Clock
from railsail.core.events import EventLog, Kind
from railsail.core.kernel import Kernel
from railsail.core.lifecycle import Lifecycle, State
from railsail.core.logs import get_logger
from railsail.core.looplag import LoopLag
from railsail.core.metrics import Metrics
from railsail.core.outcomes import Reason
from railsail.core.parts import PARTS
from railsail.core.registry import load_plugins
from railsail.core.tasks import keep_running
from railsail.dispatch.acquire import ReplicaAcquirer
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.entry import TicketClient
from railsail.dispatch.exchange import CellExchange
from railsail.dispatch.gate import SendGate
from railsail.dispatch.loads import LoadReports
from railsail.dispatch.regions import FleetRegions
from railsail.dispatch.replicas import CellReplicas, FleetBounds
from railsail.dispatch.service import TICK_SECONDS as DISPATCH_TICK_SECONDS
from railsail.dispatch.service import DispatcherService
from railsail.dispatch.tree import ServiceTree
from railsail.gateway.admission import Admission
from railsail.gateway.answers import AnswerCache
from railsail.gateway.app import Gateway
from railsail.gateway.claims import ClaimService
from railsail.gateway.concurrency import NodeLimits
from railsail.gateway.pace import OwnPace
from railsail.gateway.serve import Server
from railsail.gateway.tries import Tries
from railsail.gateway.verdicts import PolicyEvaluator
from railsail.membership.service import KIND as NODE
from railsail.membership.service import Membership
from railsail.membership.table import Member, MemberState, MemberTable
from railsail.membership.view import FleetView
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool
from railsail.peers.hub import PeerHub
from railsail.peers.levels import ERAS
from railsail.peers.link import Identity
from railsail.peers.messages import Heartbeat, StateRequest, UpstreamNews
from railsail.quarantine.ledger import KIND as QUARANTINE
from railsail.quarantine.ledger import WATCH_SECONDS as LEDGER_WATCH_SECONDS
from railsail.quarantine.ledger import QuarantineLedger
from railsail.quarantine.observer import EndObserver
from railsail.quarantine.service import Quarantine
from railsail.quarantine.trials import Trials
from railsail.routing.budget import RetryBounds
from railsail.routing.client import ClientServer, most_connections
from railsail.routing.forwarding import Forwarder
from railsail.routing.front import RouteFront
from railsail.routing.intake import GatedServer, Intake
from railsail.routing.protocol import ROUTE_PROTOCOLS
from railsail.routing.relay import Relay
from railsail.routing.targets import ForwardTargets
from railsail.store.base import STORES
from railsail.store.freshness import Freshness
from railsail.store.proofs import ProofExchange
from railsail.store.standby import PROVED_SHARE
from railsail.store.watcher import StoreWatcher
from railsail.streams.reader import LatestPlacesReader
from railsail.streams.service import StreamOrigins
from railsail.upstreams.connections import ConnectionPool
from railsail.upstreams.directory import KIND as UPSTREAM
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.evacuations import KIND as EVACUATION
from railsail.upstreams.heard import HeardSigns
from railsail.upstreams.idle import Place
from railsail.upstreams.rests import ReplicaBackoffs

NATIVE_INTERFACE = "native"
# A starting node waits this long for the first answer of the store before it becomes ready.
STARTUP_STORE_TIMEOUT_SECONDS = 3.0
TICK_SECONDS = 0.5
# Evacuations are rare, and may reach the daemons later than changes of replicas and routes. Their
# watches last this many times as long.
EVACUATION_WATCH_FACTOR = 2
DRAIN_POLL_SECONDS = 0.05
# A stopping node ends the requests that still run this long before ``drain_seconds`` are over, when
# the platform may kill its process, and waits as long for their answers to be sent.
END_SECONDS = 0.5
# A stopping node waits for its peers to take over its cells before it waits for its requests.
TAKEOVER_SECONDS = 0.5
# Requests that still wait for a replica are refused so long before a stop ends, so that their
# answers are sent by then.
REFUSAL_SECONDS = 0.3
MAX_HEADER_BYTES = 32 << 10
# The listen backlog: connections that may wait to be accepted. The system drops further ones, and
# their callers wait a second or more before they retry. A burst of callers opens several hundred
# connections at once.
LISTEN_BACKLOG = 1024


class Node:
    """A daemon, which builds its parts from the settings, runs them, and stops them in order."""

    def __init__(
        self, settings: Settings, clock: Clock | None = None, rng: random.Random | None = None
    ) -> None:
        load_plugins()
        load_plugins(settings.plugins)
        self.settings = settings
        self.clock = clock or Clock()
        self.rng = rng or random.Random(secrets.randbits(64))
        # Request ids have a generator of their own, so that runs with the same seed have the same
        # ids.
        self._id_rng = random.Random(self.rng.getrandbits(64))
        self.lifecycle = Lifecycle()
        self.metrics = Metrics()
        self.events = EventLog(settings.node_id, self.clock)
        self.kernel = Kernel(
            self.clock,
            self.rng,
            self.events,
            self.metrics,
            buffers=Buffers(settings.buffered_mb << 20),
        )
        self.lag = LoopLag(self.clock.monotonic, self.kernel.pauses)
        self.kernel.pauses.on_end(self._pause_ended)
        self._drain_requested = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._servers: list[HTTPServer] = []
        self._build_fleet()
        self._build_configuration()
        self._build_dispatch()
        self._build_gateway()
        self._connect()
        self.parts = {name: PARTS.get(name)(self) for name in PARTS}

    def _build_fleet(self) -> None:
        settings = self.settings
        identity = Identity(settings.node_id, int(self.clock.wall() * 1000))
        listen = (settings.node_ip, settings.listen_port or settings.peer_port)
        self.hub = PeerHub(
            identity, listen, settings.peer_secret, self.clock, self.events, self.metrics
        )
        own = Member(
            identity.node,
            identity.start_id,
            0,
            MemberState.ALIVE,
            settings.admin_port,
            settings.failure_domain,
            settings.domain_regions.get(settings.failure_domain, settings.region),
        )
        self.membership = Membership(MemberTable(own), self.hub, self.kernel)
        self.membership.add_seeds([str(seed) for seed in settings.seeds])
        self.view = FleetView(self.membership, self.hub, len(settings.seeds), self._unreachable)

    def _build_configuration(self) -> None:
        settings = self.settings
        store = STORES.get(settings.store_kind)
        self.store = store(settings.store, self.metrics, self.rng)
        self.repository = ConfigurationRepository(self.store, self.clock, self.rng)
        broadcast = self.membership.flood
        self.freshness = Freshness(self.clock.monotonic)
        self.carrier = ConfigurationCarrier(
            self.repository,
            self._spread_configuration,
            self.hub.send,
            self.freshness,
            settings.watch_seconds,
            self.events,
            self.metrics,
            self.rng,
        )
        self.exchange = ConfigurationExchange(self.carrier, self.hub, self.kernel)
        self.spread = ConfigurationSpread(self.membership, self.exchange)
        self.directory = UpstreamDirectory(
            broadcast,
            self.events,
            self.clock.monotonic,
            self.clock.wall,
            lambda kind: self.metrics.unreadable_objects.inc({"kind": kind}),
        )
        self.watcher = StoreWatcher(
            self.store,
            self._watches_store,
            self.view.size,
            settings.watch_seconds,
            self.freshness,
            self.events,
            self.rng,
        )
        ProofExchange(
            self.freshness,
            self.watcher.longest_wait,
            CONFIGURATION,
            lambda: self.carrier.catalog.version,
            self.exchange.announced,
            self.membership.neighbours,
            self.hub,
        )
        self.watcher.follow(
            CONFIGURATION,
            self.carrier.listed,
            self.carrier.seen,
            HEAD,
            holds=self.carrier.caught_up,
        )
        self.carrier.on_change(lambda catalog: self.watcher.record_newest_proof(CONFIGURATION))
        self.watcher.follow(UPSTREAM, self.directory.listed, self.directory.seen)
        evacuations = self.directory.evacuations
        self.watcher.follow(
            EVACUATION,
            evacuations.listed,
            evacuations.seen,
            seconds=EVACUATION_WATCH_FACTOR * settings.watch_seconds,
        )
        if settings.node_list == "store":
            self.watcher.follow(NODE, self.membership.listed, self.membership.seen)

    def _spread_configuration(self, update: Update, source: str) -> None:
        self.spread.send(update, source)

    @property
    def _region(self) -> str:
        return self.membership.table.own.region

    def _build_dispatch(self) -> None:
        settings = self.settings
        self.cells = CellMap(
            settings.node_id,
            self.directory,
            self.view.fast_enough,
            settings.cell_replicas,
            settings.scheduling == "local",
            FleetRegions(self._region, settings.domain_regions, self.view.region_of),
        )
        self._build_quarantine()
        backoffs = ReplicaBackoffs()
        gate = SendGate(self.directory, backoffs, settings.domain_regions, self.hub, self.kernel)
        self.tickets = TicketClient(self.cells, self.hub, self.kernel)
        self.acquirer = ReplicaAcquirer(self.tickets, gate, self.quarantine, self.kernel)
        self.replica_signals = HeardSigns(self.directory, backoffs, self.kernel)
        self.loads = LoadReports(
            self._catalog, self.directory, self.replica_signals, backoffs, self.clock
        )
        bounds = FleetBounds(
            settings.cold_over,
            settings.cold_slack,
            self.view.reachable_share,
            settings.domain_regions,
        )
        replicas = CellReplicas(self.cells, self.directory, self._catalog, bounds, self.clock)
        self.dispatchers = DispatcherService(
            self.cells,
            replicas,
            self._catalog,
            self.loads,
            self.hub,
            self.kernel,
            settings.affinity == "prefix",
            settings.fair_window_seconds,
            Trials(self.quarantine, self.crash_observer, self.clock),
        )
        self.tree: ServiceTree | None = None
        if settings.scheduling == "fleet":
            self._join_cells()

    def _build_quarantine(self) -> None:
        self.quarantine = Quarantine(self.membership.flood, self.hub, self.kernel)
        self.crash_observer = EndObserver(
            self.quarantine,
            self.directory,
            self._calls_on,
            self._survivors_on,
            self.kernel,
        )
        self.ledger = QuarantineLedger(
            self.store, self.quarantine, lambda: self.membership.alone, self.clock, self.rng
        )
        self.watcher.follow(
            QUARANTINE, self.ledger.listed, self.ledger.seen, seconds=LEDGER_WATCH_SECONDS
        )

    def _join_cells(self) -> None:
        CellExchange(self.cells, self.dispatchers, self.hub, self.clock)
        self.tree = ServiceTree(
            self.cells, self.dispatchers, self._pools, self.view.usable, self.hub, self.clock
        )

    def _build_gateway(self) -> None:
        settings = self.settings
        self.claims = ClaimService(
            self.store, self.hub, self.view.usable, settings.claim_seconds, self.kernel
        )
        self.admission = Admission(settings.queue_per_workspace, settings.queue_total)
        self.pace = OwnPace(
            self.lag,
            self.admission,
            lambda: self.intake.standing,
            self.membership,
            self.kernel,
        )
        self.policy_evaluator = PolicyEvaluator(self._catalog, self.admission, self.metrics)
        kind_of = self.loads.kind_of
        tries = Tries(
            self._catalog,
            self.directory,
            self.tickets,
            self.acquirer,
            kind_of,
            self.replica_signals,
            self.kernel,
        )
        answers = AnswerCache(self.hub, self.membership.gone, self.rng)
        server = Server(
            self._catalog,
            self.policy_evaluator,
            tries,
            self.claims,
            answers,
            self.admission,
            self.kernel,
            self._region,
        )
        self.gateway = Gateway(server, self.carrier.held, self.kernel, self._new_id)
        self.intake = Intake(self.gateway.callers.workspace_of, self.kernel)
        self.front: RouteFront | None = None
        self.forwarder: Forwarder | None = None
        self.origins: StreamOrigins | None = None
        self.connections: ConnectionPool | None = None
        # The servers for callers and for requests that other nodes forward; empty with the native
        # interface.
        self.client_servers: list[ClientServer] = []
        if settings.caller_interface != NATIVE_INTERFACE:
            self._build_routes()

    def _build_routes(self) -> None:
        settings = self.settings
        self.connections = ConnectionPool(
            settings.keep_connections_seconds, self._accepts_work, self.kernel
        )
        self.directory.on_change(self.connections.review)
        self.directory.on_rebirth(lambda before: self.connections.drop(before.name, "reborn"))
        protocol = ROUTE_PROTOCOLS.get(settings.caller_interface)()
        bounds = RetryBounds(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_seconds
        )
        relay = Relay(
            protocol,
            self.directory,
            self.tickets,
            self.acquirer,
            bounds,
            self.view.size,
            self.replica_signals,
            self.connections,
            self.kernel,
        )
        limits = NodeLimits()
        targets = ForwardTargets(
            self.view.usable_members,
            self._all_dispatchers,
            lambda: self.membership.table.own,
            self.rng,
        )
        forwarder = Forwarder(targets, limits.forwarded, self.kernel)
        self.lag.on_sample(
            lambda: limits.adjust(self.lag.busy, self.admission.total, forwarder.total)
        )
        self.lag.on_sample(self._update_intake)
        self.forwarder = forwarder
        self.origins = StreamOrigins(
            self.directory,
            self.view,
            self._all_dispatchers,
            self._stream_proof_age,
            lambda: self.freshness.version(UPSTREAM),
            LatestPlacesReader(
                self.store, self.freshness, self.view.size, self.clock, self.metrics
            ),
            PROVED_SHARE * settings.watch_seconds,
            settings.first_start == "true",
            self._region,
            self.hub,
            self.kernel,
        )
        self.carrier.on_change(self.origins.configured)
        self.front = RouteFront(
            protocol,
            relay,
            self.policy_evaluator,
            self.admission,
            self.gateway.callers,
            self.carrier,
            limits.served,
            forwarder,
            self.origins,
            lambda: self.lag.seconds,
            self.kernel,
        )
        self.client_servers = [
            ClientServer(
                self.front.handle,
                self.front.refuse_without_room,
                self.kernel.buffers,
                self.intake,
                most_connections(settings.open_files),
            ),
            ClientServer(
                self.front.handle_forwarded,
                self.front.refuse_without_room,
                self.kernel.buffers,
                self.intake,
            ),
        ]
        self.carrier.on_change(self.front.configured)

    def _update_intake(self) -> None:
        self.intake.loop_late = self.lag.late

    def _connect(self) -> None:
        self.membership.describe_with(self._make_heartbeat)
        self.membership.watch_also(lambda: self.tickets.dispatchers() | self.claims.batchers())
        self.membership.on_change(self._members_changed)
        self.directory.on_change(self.dispatchers.renew_replicas)
        self.directory.on_change(self.tickets.replan)
        self.carrier.on_change(self.gateway.callers.configured)
        self.carrier.on_change(self.policy_evaluator.configured)
        self.carrier.on_change(lambda catalog: self.dispatchers.renew_replicas())
        self.hub.handle(Heartbeat, self._heartbeat_received)
        self.hub.handle(StateRequest, self._state_requested)
        self.hub.handle(UpstreamNews, self.directory.received)
        self.lifecycle.on_change(self._state_changed)

    @property
    def start_id(self) -> int:
        """Return the number that distinguishes this process from earlier ones at its address."""
        return self.hub.own.start_id

    def _catalog(self) -> Catalog:
        return self.carrier.catalog

    def _pools(self) -> list[str]:
        return [pool.name for pool in self._catalog().of_kind(Pool)]

    def _watches_store(self) -> bool:
        # Only a few nodes watch the store, and send its changes to the others. Builds without store
        # generations send versions that sort before those of this build, so that their changes
        # would be ignored here. While such a peer may be one of the watching nodes, this node
        # watches the store itself.
        return self.view.watches_store() or (
            self.watcher.era > 0 and self.hub.has_peers_below(ERAS)
        )

    def _unreachable(self) -> set[str]:
        return self.tickets.unreachable

    def _calls_on(self, replica: str, before: float) -> set[int]:
        return self.dispatchers.calls_on(replica, before)

    def _survivors_on(self, replica: str, at: float) -> set[int]:
        return self.dispatchers.survivors_on(replica, at)

    def _accepts_work(self, place: Place) -> bool:
        upstream = self.directory.get(place.replica)
        if upstream is None or upstream.endpoint != place.endpoint:
            return False
        return self.directory.takes_work(upstream)

    def _stream_proof_age(self) -> float:
        """Return the age of the proof that this node has all changes of replicas and routes."""
        return max(self.freshness.age(UPSTREAM), self.freshness.age(CONFIGURATION))

    def _new_id(self) -> str:
        return f"req-{self._id_rng.getrandbits(64):016x}"

    def _all_dispatchers(self) -> set[str]:
        """Return the nodes that are dispatchers of a cell of any pool."""
        cells = [cell for pool in self._pools() for cell in self.cells.cells(pool)]
        return {self.cells.dispatcher(cell) for cell in cells}

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.carrier.catalog.version,
            self.membership.table.digest,
            self.directory.digest,
            quarantine=self.quarantine.table.digest,
        )

    def _heartbeat_received(self, node: str, heartbeat: Heartbeat) -> None:
        self.membership.compare(node, heartbeat)
        self.exchange.announced(node, heartbeat.configuration)
        self.quarantine.compare(node, heartbeat)

    def _members_changed(self) -> None:
        self.cells.forget()
        self.tickets.replan()
        for member in self.membership.table.all():
            if member.state is MemberState.DEAD:
                self.dispatchers.drop_entry(member.node)

    def _state_requested(self, node: str, request: StateRequest) -> None:
        self.hub.send(node, self.membership.news())
        self.hub.send(node, self.directory.news())
        self.exchange.send_newer(node, request.configuration)

    def _pause_ended(self, seconds: float) -> None:
        self.events.emit(Kind.STATE, "the process was paused", paused_ms=round(seconds * 1000))

    def _state_changed(self, state: State) -> None:
        self.events.emit(Kind.STATE, state=state)

    async def start(self) -> None:
        """Open the ports, start the parts, and become ready once the store has been tried.

        A store that doesn't answer delays this by at most ``STARTUP_STORE_TIMEOUT_SECONDS``.
        """
        await self.hub.start()
        # The balancer must get its answers also from a node that has more callers than it bears.
        self._serve(self.settings.admin_port, admin_app.application(self))
        self._serve_callers()
        parts = [self.membership, self.watcher, self.tree, self.lag, self.pace]
        runs = {type(part).__name__: part.run for part in parts if part is not None}
        runs |= {name: part.run for name, part in self.parts.items()}
        runs["DispatcherService"] = self._run_dispatchers
        runs["Node"] = self._run_ticks
        self._tasks = [asyncio.ensure_future(keep_running(run, name)) for name, run in runs.items()]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.watcher.tried.wait(), STARTUP_STORE_TIMEOUT_SECONDS)
        self.lifecycle.advance(State.READY)

    def _serve_callers(self) -> None:
        if not self.client_servers:
            self._serve_gated(self.settings.caller_port, self.gateway.application())
            return
        callers, forwarded = self.client_servers
        self._serve_gated(self.settings.caller_port, callers)
        # The requests that nodes forward are limited at their sender, and their callers have waited
        # there already: they are started at once.
        port = self._serve(self.settings.forward_port, forwarded)
        self.membership.change_own(forward_port=port)

    def _serve_gated(self, port: int, application) -> int:
        """Serve ``application`` like ``_serve``, with the connections that the intake starts."""
        return self._serve(port, application, GatedServer, intake=self.intake)

    def _serve(
        self, port: int, application, kind: type[HTTPServer] = HTTPServer, **options: Intake
    ) -> int:
        """Serve ``application`` at ``port``, or at a free port if it is 0; return the port."""
        server = kind(
            application,
            max_body_size=self.settings.max_body_bytes,
            max_header_size=MAX_HEADER_BYTES,
            **options,
        )
        sockets = bind_sockets(port, self.settings.node_ip, backlog=LISTEN_BACKLOG)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    async def _run_dispatchers(self) -> None:
        await self.lag.every(DISPATCH_TICK_SECONDS, self.dispatchers.tick)

    async def _run_ticks(self) -> None:
        await self.lag.every(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        # Reachability changes without a message, so that the cells are recomputed with each tick.
        self.cells.forget()
        self.tickets.replan()
        self.tickets.tick()
        if self.origins is not None:
            self.origins.tick()

    def not_ready(self) -> list[str]:
        """Return the reasons why the balancer must not send callers here; empty if ready."""
        reasons = []
        if self.lifecycle.state is not State.READY:
            reasons.append(f"state is {self.lifecycle.state}")
        if self.carrier.catalog.version == 0:
            reasons.append("no configuration yet")
        if not self.watcher.reachable and not self._has_reachable_peer():
            reasons.append("neither the store nor any peer can be reached")
        if self.pace.late:
            reasons.append("this node is late")
        return reasons

    def _has_reachable_peer(self) -> bool:
        peers = self.hub.peers()
        return any(self.membership.reachable(node) for node in peers)

    def reload(self, settings: Settings) -> None:
        """Add the seeds of ``settings``; other changes take effect after a restart."""
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        self.membership.add_seeds([str(seed) for seed in settings.seeds])
        after_restart = [name for name in changed if name != "seeds"]
        get_logger().info("settings reloaded", changed=changed, after_restart=after_restart)

    def start_drain(self, cause: str) -> None:
        """Start a planned stop, at whose end the process exits."""
        get_logger().info("drain asked for", cause=cause)
        self._drain_requested.set()

    async def run_until_drained(self) -> None:
        """Wait until a planned stop is requested, and carry it out."""
        await self._drain_requested.wait()
        await self.drain()

    async def drain(self) -> None:
        """Prepare a stop that cuts no requests.

        Become not ready, transfer the cells to other nodes, and wait for the running requests.
        Those that still wait for a replica near the end of ``drain_seconds`` are refused, and
        those that still run are ended by ``stop``.
        """
        self.lifecycle.advance(State.DRAINING)
        for server in self.client_servers:
            server.leave()
        self.membership.change_own(state=MemberState.LEAVING)
        self.cells.forget()
        self.dispatchers.hand_over()
        self.tickets.replan()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.settings.drain_seconds - END_SECONDS
        # The balancer keeps sending callers until it notices that this node isn't ready.
        await asyncio.sleep(max(self.settings.leave_seconds, TAKEOVER_SECONDS))
        for server in self.client_servers:
            server.close_idle()
        await self._wait_for_requests(ends_at - REFUSAL_SECONDS)
        self._refuse_waiting()
        # The refusals take a few turns of the event loop to reach their callers.
        await self._wait_for_requests(max(ends_at, loop.time() + DRAIN_POLL_SECONDS))

    async def _wait_for_requests(self, ends_at: float) -> None:
        """Wait until no request is left, at most until ``ends_at`` by the event loop."""
        loop = asyncio.get_running_loop()
        while self.requests and loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _refuse_waiting(self) -> None:
        """Refuse the requests that wait for a replica."""
        waiting = self.tickets.waiting()
        for call in waiting:
            self.tickets.refuse(call, Reason.EXPIRED, 0.0)
        if waiting:
            get_logger().info(
                "refused waiting requests, since the stop ends", requests=len(waiting)
            )

    @property
    def requests(self) -> int:
        """Return the number of requests that this node has received and not answered yet.

        If routes are served, these include forwarded requests and requests that aren't admitted
        yet. A stopping node waits for all of them.
        """
        if self.client_servers:
            return sum(server.busy for server in self.client_servers) + self.intake.waiting
        return self.admission.total

    async def stop(self) -> None:
        """Close everything, but first answer the requests that still run, as of unknown outcome.

        Wait up to a second for releases of claims in progress.
        """
        self.lifecycle.advance(State.STOPPED)
        for server in self._servers:
            server.stop()
        ends = [server.stop(END_SECONDS) for server in self.client_servers]
        await asyncio.gather(*ends)
        await self.claims.settle(1.0)
        await self.abort()

    async def abort(self) -> None:
        """Close everything at once, without notifying peers."""
        for server in self._servers:
            server.stop()
        for task in self._tasks:
            task.cancel()
        for part in self.parts.values():
            part.stop()
        if self.connections is not None:
            self.connections.close()
        self.crash_observer.stop()
        self.ledger.stop()
        self.claims.stop()
        await self.hub.stop()
        for server in self._servers:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(server.close_all_connections(), 1.0)
