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
from railsail.gateway.sink import CallerLeft, CallerSink
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
class Served:
    """The state of one request while this node serves it.

    ``deadline_at`` is its deadline in seconds of the monotonic clock. ``avoid`` is the replica that
    did not run it in the last attempt. ``sent`` is true if it may have run, ``ran`` if an earlier
    attempt may have run it. Its retries have the same ``fingerprint``.
    """

    id: str
    workspace: str
    request: CallerRequest
    pool: Pool
    verdict: Verdict
    sink: CallerSink
    deadline_at: float
    avoid: str = ""
    sent: bool = False
    ran: bool = False
    fingerprint: int = 0


class Tries:
    """Make the attempts of requests; ``kind_of`` returns the upstream plug-in of a pool."""

    def __init__(
        self,
        catalog: Callable[[], Catalog],
        directory: UpstreamDirectory,
        tickets: TicketClient,
        acquirer: ReplicaAcquirer,
        kind_of: Callable[[str], UpstreamKind | None],
        heard: HeardSigns,
        kernel: Kernel,
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._tickets = tickets
        self._acquirer = acquirer
        self._kind_of = kind_of
        self._heard = heard
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._estimator = CostEstimator()
        self._budget = RetryBudget()
        self._cancels = TaskSet()

    async def run(self, served: Served) -> Outcome:
        """Make attempts until an outcome is final, and return it."""
        self._budget.request()
        outcome: Outcome = NotRun(Reason.EXPIRED)
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._try_once(served)
            if not self._try_again(served, outcome):
                break
            self._events.emit(Kind.RETRIED, str(outcome), served.id, served.workspace)
        return truth_of(outcome, served.ran)

    def _try_again(self, served: Served, outcome: Outcome) -> bool:
        if served.sink.started or self._clock.monotonic() >= served.deadline_at:
            return False
        if isinstance(outcome, NotRun):
            again = outcome.reason in (Reason.UNREACHABLE, Reason.REFUSED)
            cause = "not-run"
        else:
            again = isinstance(outcome, Unknown) and not served.verdict.never_repeat
            again = again and self._budget.allow()
            cause = "unknown"
        if again:
            self._metrics.retries.inc({"cause": cause})
        return again

    async def _try_once(self, served: Served) -> Outcome:
        want = self._want(served)
        self._events.emit(Kind.QUEUED, want.pool, served.id, served.workspace)
        booking = await self._acquirer.acquire(want, self._wait_seconds(served))
        if isinstance(booking, NotRun):
            return booking
        return await self._call(served, booking, booking.replica)

    def _want(self, served: Served) -> PoolRequest:
        pool = served.pool
        estimate = self._estimator.estimate(served.workspace, pool.name, pool.first_estimate)
        return PoolRequest(
            served.id,
            pool.name,
            served.workspace,
            served.verdict.rank,
            estimate,
            served.verdict.may_wait == 0,
            served.request.prefix,
            served.avoid,
            regions=self._catalog().regions_of(served.workspace),
            fingerprint=served.fingerprint,
            route=self._route(served),
        )

    def _route(self, served: Served) -> int:
        if self._directory.rollout(served.pool.name) is None:
            return 0
        return route_fingerprint(f"{served.request.method} {served.request.path.partition('?')[0]}")

    def _wait_seconds(self, served: Served) -> float:
        left = served.deadline_at - self._clock.monotonic()
        return min(max(served.verdict.may_wait, MIN_WAIT_SECONDS), left)

    async def _call(self, served: Served, booking: Booking, replica: str) -> Outcome:
        upstream = self._directory.get(replica)
        kind = self._kind_of(served.pool.name)
        if upstream is None or kind is None:
            self._tickets.release(booking, 0.0, CallResult.NOTHING)
            return NotRun(Reason.UNREACHABLE, f"{replica} is not known here")
        call = self._upstream_call(served, replica, upstream.endpoint)
        served.sink.meter(ChargeMeter(booking.charged), self._tickets, booking)
        self._events.emit(Kind.SENT, replica, served.id, served.workspace)
        outcome: Outcome = Unknown(CANCELLED)
        served.sent = True
        try:
            async with asyncio.timeout(max(0.0, served.deadline_at - self._clock.monotonic())):
                outcome = await kind.run(call, served.sink)
        except TimeoutError:
            self._cancel(kind, call)
            outcome = Unknown("the deadline passed while the request ran", broke_off=True)
        except (CallerLeft, asyncio.CancelledError):
            self._cancel(kind, call)
            raise
        finally:
            self._settle(served, booking, replica, outcome)
        return outcome

    def _upstream_call(self, served: Served, replica: str, endpoint: str) -> UpstreamCall:
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
            self._heard.listener(replica, read_signs),
        )

    def _settle(self, served: Served, booking: Booking, replica: str, outcome: Outcome) -> None:
        cost = 0.0 if isinstance(outcome, NotRun) else max(outcome.cost, served.sink.cost)
        if isinstance(outcome, Completed) and outcome.status < 400:
            self._estimator.observe(served.workspace, served.pool.name, cost)
        self._tickets.release(booking, cost, _learnt(outcome))
        if isinstance(outcome, Unknown):
            served.ran = True
        if isinstance(outcome, NotRun):
            served.sent = served.ran
            served.avoid = replica

    def _cancel(self, kind: UpstreamKind, call: UpstreamCall) -> None:
        self._cancels.start(kind.cancel(call))


def _learnt(outcome: Outcome) -> CallResult:
    if isinstance(outcome, Unknown) and outcome.detail == CANCELLED:
        return CallResult.CALLER_LEFT
    return CallResult.of(outcome)
