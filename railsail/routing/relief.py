"""Relieve a node that is full: hand requests on to its peers, or refuse those that crowd it.

Callers of one workspace may all reach one node, and bring it several times what it can do while
others idle. Whatever is not needed to hand a request on, or to refuse it, is left out, logs too: at
such a node this alone may fill the time.
"""

import contextlib
from collections.abc import Callable

import msgspec

from railsail.core.fingerprints import request_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason, Unknown
from railsail.gateway.admission import Admission
from railsail.gateway.callers import Callers
from railsail.gateway.concurrency import ConcurrencyLimit
from railsail.objects.kinds import Route
from railsail.routing.client import ClientAnswer, ClientLeft
from railsail.routing.crowding import OverloadLog
from railsail.routing.endings import Endings
from railsail.routing.forwarding import Forwarded, Forwarder
from railsail.routing.messages import Arrival, Origin
from railsail.routing.protocol import RouteProtocol
from railsail.routing.refusals import MOST_RETRY_SECONDS, Refusals
from railsail.scheduling.returning import RefusedCallers


class _Case(msgspec.Struct, frozen=True):
    """A request that came to a full node, as far as it was read, and its caller."""

    arrival: Arrival
    origin: Origin
    route: Route
    workspace: str
    client: ClientAnswer


class Relief:
    """Take requests off a node that holds as many as ``limit`` allows."""

    def __init__(
        self,
        protocol: RouteProtocol,
        find_route: Callable[[str, str], Route | None],
        regions_of: Callable[[Route, str], tuple[str, ...]],
        callers: Callers,
        admission: Admission,
        limit: ConcurrencyLimit,
        forwarder: Forwarder,
        refusals: Refusals,
        kernel: Kernel,
    ) -> None:
        self._protocol = protocol
        self._find_route = find_route
        self._regions_of = regions_of
        self._callers = callers
        self._admission = admission
        self._limit = limit
        self._forwarder = forwarder
        self._refusals = refusals
        self._clock = kernel.clock
        self._metrics = kernel.metrics
        self._endings = Endings(kernel)
        self._crowd_log = OverloadLog(kernel)
        self._refused = RefusedCallers()

    async def relieved(self, arrival: Arrival, client: ClientAnswer, may_forward: bool) -> bool:
        """Relieve the node of a request if it is full, and say whether it was relieved of it."""
        full = self._limit.full(self._admission.total)
        if not (full or self._admission.may_refuse):
            return False
        case = self._read(arrival, client)
        if case is None:
            return False
        if not full and self._admission.refusal(case.workspace) is None:
            return False
        if may_forward and await self._forwarded(case):
            return True
        if not self._admission.crowds(case.workspace):
            return False
        await self._refuse(case)
        return True

    def _read(self, arrival: Arrival, client: ClientAnswer) -> _Case | None:
        origin = self._protocol.read_origin(arrival.headers)
        route = self._find_route(origin.host, arrival.path)
        if route is None:
            return None
        workspace = self._callers.workspace_of(origin.key) or ""
        return _Case(arrival, origin, route, workspace, client)

    async def _forwarded(self, case: _Case) -> bool:
        arrival, origin, route = case.arrival, case.origin, case.route
        longest = min(origin.deadline or route.timeout, route.timeout)
        spent = self._clock.monotonic() - arrival.at
        headers = self._protocol.forward_headers(arrival.headers, spent)
        ends_at = arrival.at + longest
        regions = self._regions_of(route, case.workspace)
        request = Forwarded(arrival.line, headers, arrival.body, ends_at, regions)
        try:
            outcome = await self._forwarder.forward(request, case.client)
            if outcome is None:
                return False
            await self._refusals.answer(origin.request_id, origin.deadline, outcome, case.client)
        except ClientLeft:
            # The connection to the other node is closed by now, which ends the work there.
            return True
        self._metrics.forwarded.inc({"workspace": case.workspace})
        self._crowd_log.forwarded()
        if isinstance(outcome, Unknown):
            seconds = self._clock.monotonic() - arrival.at
            self._endings.unknown(origin.request_id, outcome, seconds)
        return True

    def _came_back(self, case: _Case) -> bool:
        """Say whether this node refused the request before, and remember that it does now."""
        arrival, origin = case.arrival, case.origin
        head = (case.workspace, arrival.line.method, origin.host, arrival.line.path)
        known_by = request_fingerprint(head, arrival.body)
        now = self._clock.monotonic()
        came_back = self._refused.comes_back(known_by, now)
        self._refused.refused(known_by, MOST_RETRY_SECONDS, now)
        return came_back

    async def _refuse(self, case: _Case) -> None:
        origin = case.origin
        self._metrics.crowded_out.inc({"workspace": case.workspace})
        self._crowd_log.refused(
            origin.request_id,
            case.workspace,
            self._came_back(case),
            self._admission.total,
            self._limit.limit,
        )
        # Callers come back to the node that refused them, which needs time.
        refused = NotRun(Reason.QUEUE_FULL, "this node is full")
        # A caller that has left does not wait for the refusal any more.
        with contextlib.suppress(ClientLeft):
            await self._refusals.answer(origin.request_id, origin.deadline, refused, case.client)
