"""Serve the requests of callers of routes: find the route, check the key, relay, answer."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, RequestStartLine

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from railsail.gateway.admission import Admission
from railsail.gateway.callers import Callers
from railsail.gateway.concurrency import ConcurrencyLimit
from railsail.gateway.verdicts import Judge
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool, Route
from railsail.policy.programs import RequestInput, Verdict
from railsail.routing.answer import StreamState
from railsail.routing.client import ClientAnswer, ClientLeft
from railsail.routing.crowding import CrowdLog
from railsail.routing.defaults import DEFAULT_POLICY
from railsail.routing.endings import Endings
from railsail.routing.forwarding import Forwarded, Forwarder
from railsail.routing.messages import Arrival, Origin, RoutedRequest
from railsail.routing.protocol import RouteProtocol
from railsail.routing.relay import RETRY_SHARE, Relay, Routed
from railsail.routing.returning import UsualDeadlines
from railsail.routing.table import RouteTable, choose_pool

LEAST_RETRY_SECONDS = 0.3
MOST_RETRY_SECONDS = 2.5
# A caller that came back may wait for so many of its objectives: it will hardly come back again, so
# that a late answer is better than none; but after a few objectives callers leave.
RETURN_WAIT_OBJECTIVES = 2.0
_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_ROUTE: 404,
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504


class RouteFront:
    """Hold the routes in force, and serve requests by them."""

    def __init__(
        self,
        protocol: RouteProtocol,
        relay: Relay,
        judge: Judge,
        admission: Admission,
        callers: Callers,
        catalog: Callable[[], Catalog],
        limit: ConcurrencyLimit,
        forwarder: Forwarder,
        kernel: Kernel,
    ) -> None:
        self._protocol = protocol
        self._relay = relay
        self._judge = judge
        self._admission = admission
        self._callers = callers
        self._catalog = catalog
        self._limit = limit
        self._forwarder = forwarder
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._endings = Endings(kernel)
        self._rng: random.Random = kernel.rng
        self._routes = RouteTable()
        self._deadlines = UsualDeadlines()
        self._crowd_log = CrowdLog(kernel)

    def configured(self, catalog: Catalog) -> None:
        """Take in the routes of a new version."""
        self._routes = RouteTable(catalog.of_kind(Route))

    async def handle(
        self, line: RequestStartLine, headers: HTTPHeaders, body: bytes, client: ClientAnswer
    ) -> None:
        """Serve one request of a caller."""
        arrival = Arrival(line, headers, body, self._clock.monotonic())
        if not await self._relieved(arrival, client, may_forward=True):
            await self._serve_here(arrival, client)

    async def handle_forwarded(
        self, line: RequestStartLine, headers: HTTPHeaders, body: bytes, client: ClientAnswer
    ) -> None:
        """Serve one request that another node handed on; it is not handed on again."""
        arrival = Arrival(line, headers, body, self._clock.monotonic())
        if not await self._relieved(arrival, client, may_forward=False):
            await self._serve_here(arrival, client)

    async def _serve_here(self, arrival: Arrival, client: ClientAnswer) -> None:
        line = arrival.line
        try:
            request = self._protocol.read_request(
                line.method, line.path, arrival.headers, arrival.body
            )
        except ValueError as problem:
            bad = NotRun(Reason.BAD_REQUEST, str(problem))
            await self._refuse("", 0.0, bad, client)
            return
        try:
            outcome, routed = await self._serve(request, client, arrival.at)
            status = await self._answer(request.id, request.deadline, outcome, client)
        except (ClientLeft, asyncio.CancelledError) as problem:
            self._endings.left(request.id, self._clock.monotonic() - arrival.at)
            if isinstance(problem, asyncio.CancelledError):
                raise
            return
        seconds = self._clock.monotonic() - arrival.at
        self._endings.ended(request.id, routed, outcome, status, seconds)

    async def _relieved(self, arrival: Arrival, client: ClientAnswer, may_forward: bool) -> bool:
        """Relieve a node that is full of one request, and say whether it was relieved of it.

        Callers of one workspace may all reach one node, and bring it several times what it can do
        while others idle. Whatever is not needed to hand a request on, or to refuse it, is left
        out, logs too: at such a node this alone may fill the time.
        """
        full = self._limit.full(self._admission.total)
        if not (full or self._admission.may_refuse):
            return False
        origin = self._protocol.read_origin(arrival.headers)
        route = self._routes.find(origin.host, arrival.path)
        if route is None:
            return False
        workspace = self._callers.workspace_of(origin.key) or ""
        if not full and self._admission.refusal(workspace) is None:
            return False
        if may_forward and await self._forwarded(arrival, origin, route, workspace, client):
            return True
        if not self._admission.crowds(workspace):
            return False
        await self._refuse_crowding(arrival, origin, route, workspace, client)
        return True

    async def _forwarded(
        self,
        arrival: Arrival,
        origin: Origin,
        route: Route,
        workspace: str,
        client: ClientAnswer,
    ) -> bool:
        longest = min(origin.deadline or route.timeout, route.timeout)
        headers = self._protocol.forward_headers(
            arrival.headers, self._clock.monotonic() - arrival.at
        )
        request = Forwarded(arrival.line, headers, arrival.body, arrival.at + longest)
        try:
            outcome = await self._forwarder.forward(request, client)
            if outcome is None:
                return False
            await self._answer(origin.request_id, origin.deadline, outcome, client)
        except ClientLeft:
            # The connection to the other node is closed by now, which ends the work there.
            return True
        self._metrics.forwarded.inc({"workspace": workspace})
        self._crowd_log.forwarded()
        if isinstance(outcome, Unknown):
            seconds = self._clock.monotonic() - arrival.at
            self._endings.unknown(origin.request_id, outcome, seconds)
        return True

    async def _refuse_crowding(
        self,
        arrival: Arrival,
        origin: Origin,
        route: Route,
        workspace: str,
        client: ClientAnswer,
    ) -> None:
        self._metrics.crowded_out.inc({"workspace": workspace})
        self._crowd_log.refused(
            origin.request_id,
            workspace,
            self._deadlines.seen(route.name, origin.deadline, arrival.at),
            _NOT_RUN_STATUS,
            self._admission.total,
            self._limit.limit,
        )
        # Callers come back to the node that refused them, which needs time.
        refused = NotRun(Reason.QUEUE_FULL, "this node is full")
        # A caller that has left does not wait for the refusal any more.
        with contextlib.suppress(ClientLeft):
            await self._refuse(origin.request_id, origin.deadline, refused, client)

    async def _serve(
        self, request: RoutedRequest, client: ClientAnswer, received_at: float
    ) -> tuple[Outcome, Routed | None]:
        found = self._find(request)
        if isinstance(found, NotRun):
            self._events.emit(
                Kind.RECEIVED, request=request.id, configuration=self._catalog().version
            )
            return found, None
        route, pool, workspace = found
        refused = self._admission.enter(workspace)
        if refused is not None:
            return refused, None
        try:
            routed = self._begin(request, route, pool, workspace, client, received_at)
            return await self._relay.run(routed), routed
        finally:
            self._admission.leave(workspace)

    def _find(self, request: RoutedRequest) -> NotRun | tuple[Route, Pool, str]:
        catalog = self._catalog()
        if not catalog.version:
            return NotRun(Reason.NO_CONFIGURATION, "this node has no configuration yet")
        route = self._routes.find(request.host, request.path)
        if route is None:
            return NotRun(Reason.UNKNOWN_ROUTE, "there is no such route")
        workspace = self._callers.workspace_of(request.key) or ""
        if not workspace and self._callers.any_workspace and not route.public:
            return NotRun(Reason.UNAUTHORIZED, "the key is not known")
        name = choose_pool(route, self._rng)
        pool = catalog.pool(name)
        if pool is None:
            return NotRun(Reason.UNKNOWN_POOL, f"there is no pool {name!r}")
        return route, pool, workspace

    def _begin(
        self,
        request: RoutedRequest,
        route: Route,
        pool: Pool,
        workspace: str,
        client: ClientAnswer,
        received_at: float,
    ) -> Routed:
        verdict = self._verdict(request, route, pool, workspace)
        longest = min(request.deadline or route.timeout, route.timeout)
        returned = self._deadlines.seen(route.name, request.deadline, received_at)
        may_wait = verdict.may_wait
        if returned:
            may_wait = max(may_wait, RETURN_WAIT_OBJECTIVES * route.objective)
        self._events.emit(
            Kind.RECEIVED,
            request=request.id,
            workspace=workspace,
            route=route.name,
            pool=pool.name,
            configuration=self._catalog().version,
            deadline_ms=round(longest * 1000),
            may_wait_ms=round(may_wait * 1000),
            objective_ms=round(route.objective * 1000),
            returned=int(returned),
            rank=verdict.rank,
        )
        return Routed(
            request,
            route,
            pool,
            workspace,
            verdict,
            client,
            received_at + longest,
            received_at + may_wait,
            StreamState(client, request.last_event),
            received_at=received_at,
            returned=returned,
        )

    def _verdict(self, request: RoutedRequest, route: Route, pool: Pool, workspace: str) -> Verdict:
        owner = self._catalog().workspace(workspace)
        priority = route.priority if owner is None or owner.priority is None else owner.priority
        described = RequestInput(
            pool=pool.name,
            kind=pool.upstream_kind,
            method=request.method,
            path=request.path,
            body_bytes=len(request.body),
            max_tokens=request.prompt.most_output,
            stream=route.streaming,
            has_key=bool(request.key),
            deadline=request.deadline,
            priority=priority,
            objective=route.objective,
            repeatable=route.may_repeat,
        )
        policy = self._catalog().policy(owner.policy) if owner else None
        return self._judge.run(policy or DEFAULT_POLICY, workspace, described)

    async def _answer(
        self, request_id: str, deadline: float, outcome: Outcome, client: ClientAnswer
    ) -> int:
        """Answer what was not served, and return the status; 0 where the connection was closed."""
        if isinstance(outcome, Completed):
            return outcome.status
        if client.started:
            client.abort()
            return 0
        return await self._refuse(request_id, deadline, outcome, client)

    async def _refuse(
        self, request_id: str, deadline: float, outcome: Outcome, client: ClientAnswer
    ) -> int:
        status = _status(outcome)
        retry_after = None
        if status == _NOT_RUN_STATUS:
            retry_after = outcome.come_back or self._retry_after(deadline)
        headers = self._protocol.own_headers(request_id, retry_after)
        await client.give(status, headers, f"{outcome.detail}\n".encode())
        return status

    def _retry_after(self, deadline: float) -> float:
        # Spread, so that those who were refused together do not come back together.
        longest = MOST_RETRY_SECONDS
        if deadline:
            longest = min(longest, RETRY_SHARE * deadline)
        return self._rng.uniform(min(LEAST_RETRY_SECONDS, longest), longest)


def _status(outcome: NotRun | Unknown) -> int:
    if isinstance(outcome, NotRun):
        return _STATUS.get(outcome.reason, _NOT_RUN_STATUS)
    return _TIMEOUT_STATUS if outcome.timed_out else _UNKNOWN_STATUS
