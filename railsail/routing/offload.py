"""Offload requests from a node that is full: forward them to other nodes, or refuse them.

All callers of a workspace may reach the same node, with several times the load that it can serve,
while other nodes are idle. Only what is needed to forward or refuse a request is done here, and no
request is logged on its own: at such a node this work alone may take all of its time.
"""

import asyncio
from collections.abc import Callable

import msgspec

from railsail.core.fingerprints import request_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason, Unknown
from railsail.core.retryafter import MAX_RETRY_AFTER_SECONDS
from railsail.gateway.admission import Admission
from railsail.gateway.callers import Callers
from railsail.gateway.concurrency import ConcurrencyLimit
from railsail.objects.kinds import Route
from railsail.routing.client import ClientAnswer, ClientDisconnected
from railsail.routing.error_answers import ErrorAnswers
from railsail.routing.forwarding import ForwardedRequest, Forwarder
from railsail.routing.messages import IncomingRequest, Origin
from railsail.routing.outcome_recorder import OutcomeRecorder
from railsail.routing.overload_log import NodeLoad, OverloadLog
from railsail.routing.protocol import RouteProtocol
from railsail.scheduling.returning import RefusedCallers


class _Candidate(msgspec.Struct, frozen=True):
    """A request that arrived at a full node, parsed only as far as needed, and its caller."""

    incoming: IncomingRequest
    origin: Origin
    route: Route
    workspace: str
    client: ClientAnswer


class Offloader:
    """Forwards or refuses requests while this node is full.

    ``configuration`` returns the version of the active configuration, ``lag_seconds`` the current
    lag of the event loop.
    """

    def __init__(
        self,
        protocol: RouteProtocol,
        find_route: Callable[[str, str], Route | None],
        regions_of: Callable[[Route, str], tuple[str, ...]],
        callers: Callers,
        admission: Admission,
        limit: ConcurrencyLimit,
        forwarder: Forwarder,
        configuration: Callable[[], int],
        lag_seconds: Callable[[], float],
        error_answers: ErrorAnswers,
        kernel: Kernel,
    ) -> None:
        self._protocol = protocol
        self._find_route = find_route
        self._regions_of = regions_of
        self._callers = callers
        self._admission = admission
        self._limit = limit
        self._forwarder = forwarder
        self._configuration = configuration
        self._lag_seconds = lag_seconds
        self._error_answers = error_answers
        self._clock = kernel.clock
        self._metrics = kernel.metrics
        self._recorder = OutcomeRecorder(kernel)
        self._overload_log = OverloadLog(kernel)
        self._refused_callers = RefusedCallers()

    async def offload(
        self, incoming: IncomingRequest, client: ClientAnswer, can_forward: bool
    ) -> bool:
        """Forward or refuse the request if this node is full, and return True if it did either.

        The node is full if as many requests are in flight as ``limit`` allows, or if admission
        would refuse the request. Only workspaces that cause the overload are refused here. If the
        result is False, this node has to serve the request itself.
        """
        full = self._limit.full(self._admission.total)
        if not (full or self._admission.can_refuse):
            return False
        candidate = self._read(incoming, client)
        if candidate is None:
            return False
        if not full and self._admission.refusal(candidate.workspace) is None:
            return False
        if can_forward and await self._forward(candidate):
            return True
        if not self._admission.causes_overload(candidate.workspace):
            return False
        await self._refuse(candidate)
        return True

    def _read(self, incoming: IncomingRequest, client: ClientAnswer) -> _Candidate | None:
        origin = self._protocol.read_origin(incoming.headers)
        route = self._find_route(origin.host, incoming.path)
        if route is None:
            return None
        workspace = self._callers.workspace_of(origin.key) or ""
        return _Candidate(incoming, origin, route, workspace, client)

    async def _forward(self, candidate: _Candidate) -> bool:
        incoming, origin, route = candidate.incoming, candidate.origin, candidate.route
        timeout = min(origin.deadline or route.timeout, route.timeout)
        elapsed = self._clock.monotonic() - incoming.received_at
        headers = self._protocol.forward_headers(incoming.headers, elapsed)
        deadline_at = incoming.received_at + timeout
        regions = self._regions_of(route, candidate.workspace)
        request = ForwardedRequest(
            incoming.line, headers, incoming.body, deadline_at, regions, self._configuration()
        )
        try:
            outcome = await self._forwarder.forward(request, candidate.client)
            if outcome is None:
                return False
            await self._error_answers.send(
                origin.request_id, origin.deadline, outcome, candidate.client
            )
        except ClientDisconnected:
            # The connection to the other node is closed by now, which cancels the request there.
            self._overload_log.forward_abandoned()
            return True
        except asyncio.CancelledError:
            if candidate.client.left:
                self._overload_log.forward_abandoned()
            raise
        self._metrics.forwarded.inc({"workspace": candidate.workspace})
        self._overload_log.forwarded()
        if isinstance(outcome, Unknown):
            seconds = self._clock.monotonic() - incoming.received_at
            self._recorder.record_unknown(origin.request_id, outcome, seconds)
        return True

    def _is_retry(self, candidate: _Candidate) -> bool:
        """Return True if this node refused the request before, and record this refusal."""
        incoming, origin = candidate.incoming, candidate.origin
        head = (candidate.workspace, incoming.line.method, origin.host, incoming.line.path)
        shared_fingerprint = request_fingerprint(head, incoming.body)
        now = self._clock.monotonic()
        is_retry = self._refused_callers.comes_back(shared_fingerprint, now)
        self._refused_callers.refused(shared_fingerprint, MAX_RETRY_AFTER_SECONDS, now)
        return is_retry

    def _load(self) -> NodeLoad:
        return NodeLoad(
            held=self._admission.total,
            limit=round(self._limit.limit),
            forwarding=self._forwarder.total,
            forwarding_limit=round(self._forwarder.limit),
            lag_ms=round(self._lag_seconds() * 1000),
        )

    async def _refuse(self, candidate: _Candidate) -> None:
        origin = candidate.origin
        self._metrics.crowded_out.inc({"workspace": candidate.workspace})
        self._overload_log.refused(
            origin.request_id,
            candidate.workspace,
            self._is_retry(candidate),
            self._load,
        )
        # The caller retries at this node, which needs time to recover: the answer has a
        # ``Retry-After``.
        refusal = NotRun(Reason.QUEUE_FULL, "this node is full")
        try:
            await self._error_answers.send(
                origin.request_id, origin.deadline, refusal, candidate.client
            )
        except ClientDisconnected:
            # A caller that has disconnected does not wait for the refusal.
            self._overload_log.refusal_abandoned()
        except asyncio.CancelledError:
            if candidate.client.left:
                self._overload_log.refusal_abandoned()
            raise
