"""Serve callers' requests on routes: find the route, check the key, call a replica, answer."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders, RequestStartLine

from railsail.configuration.carrier import ConfigurationCarrier
from railsail.core.events import Fact, Kind
from railsail.core.fingerprints import fingerprint_name, request_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Outcome, Reason
from railsail.gateway.admission import Admission
from railsail.gateway.callers import Callers, missing_pool, unusable_refusal
from railsail.gateway.concurrency import ConcurrencyLimit
from railsail.gateway.verdicts import PolicyEvaluator
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import NO_REGION, Pool, Route
from railsail.objects.reading import UnusableObject
from railsail.policy.programs import RequestInput, Verdict
from railsail.routing.answer import StreamState
from railsail.routing.client import ClientAnswer, ClientDisconnected
from railsail.routing.context import RoutingContext
from railsail.routing.defaults import DEFAULT_POLICY
from railsail.routing.error_answers import ErrorAnswers
from railsail.routing.forwarding import Forwarder, take_configuration
from railsail.routing.guard import AnswerGuard
from railsail.routing.messages import IncomingRequest, RoutedRequest
from railsail.routing.offload import Offloader
from railsail.routing.outcome_recorder import OutcomeRecorder
from railsail.routing.protocol import RouteProtocol
from railsail.routing.relay import Relay
from railsail.routing.table import RouteTable, choose_pool, pools_in_use
from railsail.streams.origins import StreamOrigin
from railsail.streams.service import StreamOrigins, keep_seconds

# Parts of a prompt that are logged with its request.
MAX_LOGGED_PARTS = 8


@dataclass(frozen=True)
class Destination:
    """The pool that runs a request.

    One that resumes a stream runs at ``software_version`` only, which is ``None`` for all others.
    """

    pool: Pool
    software_version: str | None


class RouteFront:
    """Handler of callers' requests by the routes of the active configuration."""

    def __init__(
        self,
        protocol: RouteProtocol,
        relay: Relay,
        evaluator: PolicyEvaluator,
        admission: Admission,
        callers: Callers,
        configuration: ConfigurationCarrier,
        limit: ConcurrencyLimit,
        forwarder: Forwarder,
        origins: StreamOrigins,
        lag_seconds: Callable[[], float],
        kernel: Kernel,
    ) -> None:
        self._protocol = protocol
        self._relay = relay
        self._evaluator = evaluator
        self._admission = admission
        self._callers = callers
        self._configuration = configuration
        self._origins = origins
        self._clock = kernel.clock
        self._events = kernel.events
        self._recorder = OutcomeRecorder(kernel)
        self._rng: random.Random = kernel.rng
        self._routes = RouteTable()
        self._error_answers = ErrorAnswers(protocol, kernel.rng)
        self._guard = AnswerGuard(
            protocol, self._find_route, self._error_answers, self._recorder, kernel.clock
        )
        self._offloader = Offloader(
            protocol,
            self._find_route,
            self._regions,
            callers,
            admission,
            limit,
            forwarder,
            lambda: self._catalog.version,
            lag_seconds,
            self._error_answers,
            kernel,
        )

    @property
    def _catalog(self) -> Catalog:
        return self._configuration.catalog

    def configured(self, catalog: Catalog) -> None:
        """Replace the routes by those of a new version of the configuration."""
        self._routes = RouteTable(catalog.of_kind(Route), catalog.unusable_of_kind(Route))

    def _find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request if there is one that can be used."""
        route = self._routes.find(host, path)
        return route if isinstance(route, Route) else None

    async def handle(
        self, line: RequestStartLine, headers: HTTPHeaders, body: bytes, client: ClientAnswer
    ) -> None:
        """Serve one request of a caller."""
        incoming = IncomingRequest(line, headers, body, self._clock.monotonic())
        await self._guard.run(self._forward_or_serve, incoming, client)

    async def handle_forwarded(
        self, line: RequestStartLine, headers: HTTPHeaders, body: bytes, client: ClientAnswer
    ) -> None:
        """Serve one request that another node has forwarded; it is not forwarded again."""
        incoming = IncomingRequest(line, headers, body, self._clock.monotonic())
        await self._guard.run(self._serve_forwarded, incoming, client)

    async def refuse_without_room(
        self, line: RequestStartLine, headers: HTTPHeaders, client: ClientAnswer
    ) -> None:
        """Refuse one request whose body this node had no memory for."""
        incoming = IncomingRequest(line, headers, b"", self._clock.monotonic())
        await self._guard.run(self._refuse_without_room, incoming, client)

    async def _refuse_without_room(self, incoming: IncomingRequest, client: ClientAnswer) -> None:
        detail = "this node has no memory for the body of the request"
        await self._refuse(incoming, NotRun(Reason.QUEUE_FULL, detail), client)

    async def _refuse(
        self, incoming: IncomingRequest, refusal: NotRun, client: ClientAnswer
    ) -> None:
        origin = self._protocol.read_origin(incoming.headers)
        status = await self._error_answers.send(origin.request_id, origin.deadline, refusal, client)
        seconds = self._clock.monotonic() - incoming.received_at
        self._recorder.record_outcome(origin.request_id, None, refusal, status, seconds)

    async def _forward_or_serve(self, incoming: IncomingRequest, client: ClientAnswer) -> None:
        await client.notice_disconnect()
        if not await self._offloader.offload(incoming, client, can_forward=True):
            await self._serve_locally(incoming, client)

    async def _serve_forwarded(self, incoming: IncomingRequest, client: ClientAnswer) -> None:
        await client.notice_disconnect()
        version = take_configuration(incoming.headers)
        if version > self._catalog.version:
            detail = f"configuration {version}, by which it was forwarded, is not in force here"
            await self._refuse(incoming, NotRun(Reason.UNPROVED_CONFIGURATION, detail), client)
            return
        if not await self._offloader.offload(incoming, client, can_forward=False):
            await self._serve_locally(incoming, client)

    async def _serve_locally(self, incoming: IncomingRequest, client: ClientAnswer) -> None:
        line = incoming.line
        try:
            request = self._protocol.read_request(
                line.method, line.path, incoming.headers, incoming.body
            )
        except ValueError as problem:
            await self._refuse_bad(incoming, str(problem), client)
            return
        try:
            outcome, context = await self._serve(request, client, incoming.received_at)
            status = await self._error_answers.send(request.id, request.deadline, outcome, client)
        except (ClientDisconnected, asyncio.CancelledError):
            if client.left:
                self._recorder.record_disconnect(
                    request.id, self._clock.monotonic() - incoming.received_at
                )
            raise
        seconds = self._clock.monotonic() - incoming.received_at
        self._recorder.record_outcome(request.id, context, outcome, status, seconds)

    async def _refuse_bad(
        self, incoming: IncomingRequest, detail: str, client: ClientAnswer
    ) -> None:
        bad = NotRun(Reason.BAD_REQUEST, detail)
        status = await self._error_answers.send("", 0.0, bad, client)
        request_id = self._protocol.read_origin(incoming.headers).request_id
        seconds = self._clock.monotonic() - incoming.received_at
        self._recorder.record_outcome(request_id, None, bad, status, seconds)

    async def _serve(
        self, request: RoutedRequest, client: ClientAnswer, received_at: float
    ) -> tuple[Outcome, RoutingContext | None]:
        found = self._resolve(request)
        if isinstance(found, NotRun):
            self._log_refused(request)
            return found, None
        route, workspace = found
        refusal = self._admission.admit(workspace)
        if refusal is not None:
            return refusal, None
        try:
            destination = await self._destination(request, route, workspace)
            if isinstance(destination, NotRun):
                self._log_refused(request)
                return destination, None
            context = self._create_context(
                request, route, destination, workspace, client, received_at
            )
            return await self._relay.run(context), context
        finally:
            self._admission.release(workspace)

    def _log_refused(self, request: RoutedRequest) -> None:
        configuration = self._configuration.held()
        self._events.emit(
            Kind.RECEIVED, request=request.id, **configuration.facts(), **_resume_facts(request)
        )

    async def _destination(
        self, request: RoutedRequest, route: Route, workspace: str
    ) -> Destination | NotRun:
        """Return where ``request`` may run.

        A stream is resumed only where it began: what two services or two software versions write
        does not fit together.
        """
        if not (route.streaming and request.last_event):
            return self._to_destination(choose_pool(route, self._rng), None)
        origin = await self._origins.find(request.id, workspace, route.host, request.resumes)
        if origin is None:
            return NotRun(Reason.UNKNOWN_STREAM, "it is not certain where the stream began")
        # The configuration may have changed in the meantime.
        if origin.pool not in pools_in_use(route):
            detail = f"the route does not lead to {origin.pool!r} any more, where the stream began"
            return NotRun(Reason.SERVICE_CHANGED, detail)
        return self._to_destination(origin.pool, origin.software_version)

    def _to_destination(self, name: str, software_version: str | None) -> Destination | NotRun:
        pool = self._catalog.pool(name)
        if pool is None:
            return missing_pool(self._catalog, name)
        return Destination(pool, software_version)

    def _resolve(self, request: RoutedRequest) -> NotRun | tuple[Route, str]:
        catalog = self._catalog
        if not catalog.version:
            return NotRun(Reason.NO_CONFIGURATION, "this node has no configuration yet")
        route = self._routes.find(request.host, request.path)
        if route is None:
            return self._configuration.held().refusal(
                Reason.UNKNOWN_ROUTE, "there is no such route"
            )
        if isinstance(route, UnusableObject):
            return unusable_refusal(route, catalog.version)
        workspace = self._callers.workspace_of(request.key) or ""
        refusal = None if workspace else self._callers.refusal_of(request.key)
        if refusal is not None:
            return refusal
        if not workspace and not route.public:
            return self._configuration.held().refusal(Reason.UNAUTHORIZED, "the key is not known")
        return route, workspace

    def _create_context(
        self,
        request: RoutedRequest,
        route: Route,
        destination: Destination,
        workspace: str,
        client: ClientAnswer,
        received_at: float,
    ) -> RoutingContext:
        pool = destination.pool
        decision = self._evaluate_policy(request, route, pool, workspace)
        timeout = min(request.deadline or route.timeout, route.timeout)
        may_wait = decision.may_wait
        head = (workspace, request.method, request.host, request.target)
        shared_fingerprint = request_fingerprint(head, request.body)
        self._events.emit(
            Kind.RECEIVED,
            request=request.id,
            workspace=workspace,
            route=route.name,
            pool=pool.name,
            configuration=self._catalog.version,
            deadline_ms=round(timeout * 1000),
            may_wait_ms=round(may_wait * 1000),
            objective_ms=round(route.objective * 1000),
            rank=decision.rank,
            fingerprint=fingerprint_name(shared_fingerprint),
            **_part_facts(request),
            **_resume_facts(request),
        )
        return RoutingContext(
            request,
            route,
            pool,
            workspace,
            decision,
            client,
            received_at + timeout,
            received_at + may_wait,
            StreamState(
                client,
                request.last_event,
                destination.software_version,
                lambda version: self._stream_began(request, route, pool, workspace, version),
            ),
            received_at=received_at,
            regions=self._regions(route, workspace),
            fingerprint=shared_fingerprint,
        )

    def _stream_began(
        self, request: RoutedRequest, route: Route, pool: Pool, workspace: str, version: str
    ) -> None:
        if not route.resumable:
            return
        names = [request.id]
        if request.last_event and request.resumes:
            # A caller that resumes a stream more than once goes on naming its first request.
            names.append(request.resumes)
        origin = StreamOrigin(pool.name, version)
        self._origins.began(workspace, names, origin, keep_seconds(route))

    def _regions(self, route: Route, workspace: str) -> tuple[str, ...]:
        """Return the regions in which a request may run, empty for any region.

        If both the route and the workspace name regions, both have to allow a region.
        """
        workspace_regions = self._catalog.regions_of(workspace)
        if not (route.regions and workspace_regions):
            return route.regions or workspace_regions
        # If they have no region in common, the request can run nowhere.
        return tuple(r for r in route.regions if r in workspace_regions) or (NO_REGION,)

    def _evaluate_policy(
        self, request: RoutedRequest, route: Route, pool: Pool, workspace: str
    ) -> Verdict:
        owner = self._catalog.workspace(workspace)
        priority = route.priority if owner is None or owner.priority is None else owner.priority
        policy_input = RequestInput(
            pool=pool.name,
            kind=pool.upstream_kind,
            method=request.method,
            path=request.path,
            body_bytes=len(request.body),
            max_tokens=request.prompt.max_output,
            stream=route.streaming,
            has_key=bool(request.key),
            deadline=request.deadline,
            priority=priority,
            objective=route.objective,
            repeatable=route.may_repeat,
        )
        policy = self._catalog.policy(owner.policy) if owner else None
        return self._evaluator.evaluate_policy(policy or DEFAULT_POLICY, workspace, policy_input)


def _part_facts(request: RoutedRequest) -> dict[str, Fact]:
    """Return what to log about the parts of a prompt, nothing if it shares none."""
    parts = request.prompt.shared_parts
    if not parts:
        return {}
    return {"parts": " ".join(fingerprint_name(part) for part in parts[:MAX_LOGGED_PARTS])}


def _resume_facts(request: RoutedRequest) -> dict[str, Fact]:
    """Return what to log about a request that resumes a stream, nothing for any other request."""
    if not request.last_event:
        return {}
    return {"resumes": request.resumes, "last_event": request.last_event}
