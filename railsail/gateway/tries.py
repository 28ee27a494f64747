"""Run one request: wait for a grant, call the replica, release the ticket, retry where safe."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from railsail.core.events import Kind
from railsail.core.fingerprints import route_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown, truth_of
from railsail.core.tasks import TaskSet
from railsail.dispatch.acquire import ReplicaAcquirer
from railsail.dispatch.bookings import Booking, PoolRequest
from railsail.dispatch.entry import TicketClient
from railsail.gateway.requests import CallerRequest
from railsail.gateway.sink import CallerDisconnected, CallerSink
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool
from railsail.policy.programs import Verdict
from railsail.scheduling.estimates import ChargeMeter, CostEstimator
from railsail.scheduling.health import CallResult
from railsail.scheduling.retries import RetryBudget
from railsail.upstreams.base import UpstreamCall, UpstreamKind
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.heard import HeardSigns
from railsail.upstreams.signs import read_signs

MAX_ATTEMPTS = 5
# Urgent requests are decided at once. The second allows for replacing a dispatcher that failed.
MIN_WAIT_SECONDS = 1.0
CANCELLED = "cancelled"


@dataclass
class ServedRequest:
    """The state of one request while this node serves it.

    ``deadline_at`` is its deadline in seconds of the monotonic clock. ``avoid`` is the replica that
    did not run it in the last attempt. ``sent`` is true if it may have run, also in the current
    attempt; ``may_have_run`` if it may have run in one that has ended. Its retries have the same
    ``fingerprint``.
    """

    id: str
    workspace: str
    request: CallerRequest
    pool: Pool
    decision: Verdict
    sink: CallerSink
    deadline_at: float
    avoid: str = ""
    sent: bool = False
    may_have_run: bool = False
    fingerprint: int = 0


class Tries:
    """Runner of the attempts of requests; ``kind_of`` returns the upstream plug-in of a pool."""

    def __init__(
        self,
        catalog: Callable[[], Catalog],
        directory: UpstreamDirectory,
        tickets: TicketClient,
        acquirer: ReplicaAcquirer,
        kind_of: Callable[[str], UpstreamKind | None],
        replica_signals: HeardSigns,
        kernel: Kernel,
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._tickets = tickets
        self._acquirer = acquirer
        self._kind_of = kind_of
        self._replica_signals = replica_signals
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._buffers = kernel.buffers
        self._estimator = CostEstimator()
        self._budget = RetryBudget()
        self._cancels = TaskSet()

    async def run(self, served: ServedRequest) -> Outcome:
        """Make attempts until an outcome is final, and return it."""
        self._budget.request()
        outcome: Outcome = NotRun(Reason.EXPIRED)
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(served)
            if not self._should_retry(served, outcome):
                break
            self._events.emit(Kind.RETRIED, str(outcome), served.id, served.workspace)
        return truth_of(outcome, served.may_have_run)

    def _should_retry(self, served: ServedRequest, outcome: Outcome) -> bool:
        if served.sink.started or self._clock.monotonic() >= served.deadline_at:
            return False
        if isinstance(outcome, NotRun):
            retry = outcome.reason in (Reason.UNREACHABLE, Reason.REFUSED)
            cause = "not-run"
        else:
            retry = isinstance(outcome, Unknown) and not served.decision.never_repeat
            retry = retry and self._budget.allow()
            cause = "unknown"
        if retry:
            self._metrics.retries.inc({"cause": cause})
        return retry

    async def _attempt(self, served: ServedRequest) -> Outcome:
        pool_request = self._pool_request(served)
        self._events.emit(Kind.QUEUED, pool_request.pool, served.id, served.workspace)
        pending_call = await self._acquirer.acquire(pool_request, self._wait_seconds(served))
        if isinstance(pending_call, NotRun):
            return pending_call
        return await self._call(served, pending_call, pending_call.replica)

    def _pool_request(self, served: ServedRequest) -> PoolRequest:
        pool = served.pool
        estimate = self._estimator.estimate(served.workspace, pool.name, pool.first_estimate)
        return PoolRequest(
            served.id,
            pool.name,
            served.workspace,
            served.decision.rank,
            estimate,
            served.decision.may_wait == 0,
            served.request.prefix,
            served.avoid,
            regions=self._catalog().regions_of(served.workspace),
            fingerprint=served.fingerprint,
            route=self._route(served),
        )

    def _route(self, served: ServedRequest) -> int:
        if self._directory.rollout(served.pool.name) is None:
            return 0
        return route_fingerprint(f"{served.request.method} {served.request.path.partition('?')[0]}")

    def _wait_seconds(self, served: ServedRequest) -> float:
        remaining = served.deadline_at - self._clock.monotonic()
        return min(max(served.decision.may_wait, MIN_WAIT_SECONDS), remaining)

    async def _call(self, served: ServedRequest, pending_call: Booking, replica: str) -> Outcome:
        upstream = self._directory.get(replica)
        kind = self._kind_of(served.pool.name)
        if upstream is None or kind is None:
            self._tickets.release(pending_call, 0.0, CallResult.NOTHING)
            return NotRun(Reason.UNREACHABLE, f"{replica} is not known here")
        call = self._upstream_call(served, replica, upstream.endpoint)
        served.sink.start_charging(ChargeMeter(pending_call.charged), self._tickets, pending_call)
        self._events.emit(Kind.SENT, replica, served.id, served.workspace)
        outcome: Outcome = Unknown(CANCELLED)
        served.sent = True
        try:
            async with asyncio.timeout(max(0.0, served.deadline_at - self._clock.monotonic())):
                outcome = await kind.run(call, served.sink)
        except TimeoutError:
            self._cancel(kind, call)
            detail = "the deadline passed while the request ran"
            outcome = Unknown(detail, timed_out=True, silent=not served.sink.started)
        except (CallerDisconnected, asyncio.CancelledError):
            self._cancel(kind, call)
            raise
        finally:
            self._settle(served, pending_call, replica, outcome)
        return outcome

    def _upstream_call(self, served: ServedRequest, replica: str, endpoint: str) -> UpstreamCall:
        request = served.request
        return UpstreamCall(
            endpoint,
            served.id,
            served.workspace,
            request.method,
            request.path,
            request.headers,
            request.body,
            self._catalog().class_of(served.workspace).engine_priority,
            request.stream,
            served.pool.cost_unit,
            self._replica_signals.listener(replica, read_signs),
            self._buffers,
        )

    def _settle(
        self, served: ServedRequest, pending_call: Booking, replica: str, outcome: Outcome
    ) -> None:
        cost = 0.0 if isinstance(outcome, NotRun) else max(outcome.cost, served.sink.cost)
        if isinstance(outcome, Completed) and outcome.status < 400:
            self._estimator.observe(served.workspace, served.pool.name, cost)
        self._tickets.release(pending_call, cost, _call_result(outcome))
        if isinstance(outcome, Unknown):
            served.may_have_run = True
        if isinstance(outcome, NotRun):
            served.sent = served.may_have_run
            served.avoid = replica

    def _cancel(self, kind: UpstreamKind, call: UpstreamCall) -> None:
        self._cancels.start(kind.cancel(call))


def _call_result(outcome: Outcome) -> CallResult:
    if isinstance(outcome, Unknown) and outcome.detail == CANCELLED:
        return CallResult.CALLER_LEFT
    return CallResult.of(outcome)
