"""Serve one request: admit, claim, wait for a grant, call the replica, settle."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from railsail.core.clock import Clock
from railsail.core.events import EventLog, Kind
from railsail.core.metrics import Metrics
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from railsail.dispatch.entry import Booking, Refusal, TicketDesk, Want
from railsail.dispatch.service import DispatcherService
from railsail.gateway.admission import Admission
from railsail.gateway.answers import AnswerShelf, KeptAnswer
from railsail.gateway.claims import ClaimDesk
from railsail.gateway.requests import CallerRequest
from railsail.gateway.sink import CallerLeft, CallerSink
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Pool
from railsail.policy.programs import (
    CompiledPolicy,
    Inputs,
    LoadInput,
    RequestInput,
    Verdict,
    WorkspaceInput,
)
from railsail.scheduling.estimates import ChargeMeter, CostEstimator
from railsail.scheduling.retries import RetryBudget
from railsail.store.claims import Claim, ClaimResult, claim_key, fingerprint
from railsail.upstreams.base import UpstreamCall, UpstreamKind
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.refusals import LEAVING

MOST_TRIES = 5
LONGEST_CALL_SECONDS = 3600.0
# A claim may take this long where the caller gave no deadline.
CLAIM_SECONDS = 15.0


@dataclass(frozen=True)
class Replay:
    """The answer that an earlier try of the same key was given."""

    answer: KeptAnswer


@dataclass(frozen=True)
class Conflict:
    """The key was claimed by an earlier try; ``detail`` says why there is no answer of it."""

    detail: str


Result = Outcome | Replay | Conflict


@dataclass
class Served:
    """One request on its way through this node."""

    id: str
    workspace: str
    request: CallerRequest
    pool: Pool
    verdict: Verdict
    sink: CallerSink
    ends_at: float
    claim: Claim | None = None
    avoid: str = ""


class Server:
    """Serve the requests of callers."""

    def __init__(
        self,
        catalog: Callable[[], Catalog],
        directory: UpstreamDirectory,
        desk: TicketDesk,
        dispatchers: DispatcherService,
        claims: ClaimDesk,
        shelf: AnswerShelf,
        admission: Admission,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._desk = desk
        self._dispatchers = dispatchers
        self._claims = claims
        self._shelf = shelf
        self._admission = admission
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._rng = rng
        self._estimator = CostEstimator()
        self._budget = RetryBudget()
        self._policies: dict[str, CompiledPolicy] = {}
        self._cancels: set[asyncio.Task] = set()

    def configured(self, catalog: Catalog) -> None:
        """Forget the programs compiled for an earlier version."""
        self._policies.clear()

    async def serve(
        self, request_id: str, workspace: str, request: CallerRequest, sink: CallerSink
    ) -> Result:
        """Serve ``request`` of ``workspace``, put its answer into ``sink``, return the result."""
        pool = self._catalog().pool(request.pool)
        if pool is None:
            return NotRun(Reason.UNKNOWN_POOL, f"there is no pool {request.pool!r}")
        refused = self._admission.enter(workspace)
        if refused is not None:
            return refused
        try:
            served = self._begin(request_id, workspace, request, pool, sink)
            return await self._run(served)
        finally:
            self._admission.leave(workspace)

    def _begin(
        self,
        request_id: str,
        workspace: str,
        request: CallerRequest,
        pool: Pool,
        sink: CallerSink,
    ) -> Served:
        verdict = self._judge(workspace, request, pool)
        now = self._clock.monotonic()
        ends_at = now + (request.deadline or LONGEST_CALL_SECONDS)
        word = "once" if verdict.never_repeat else "repeatable"
        detail = f"{pool.name} rank {verdict.rank:g} may wait {verdict.may_wait:g} s, {word}"
        self._events.emit(Kind.RECEIVED, detail, request_id, workspace)
        return Served(request_id, workspace, request, pool, verdict, sink, ends_at)

    def _judge(self, workspace: str, request: CallerRequest, pool: Pool) -> Verdict:
        catalog = self._catalog()
        owner = catalog.workspace(workspace)
        policy = catalog.policy(owner.policy) if owner else None
        if policy is None:
            return Verdict(0.0, 60.0, True, ("policy",))
        if policy.name not in self._policies:
            self._policies[policy.name] = CompiledPolicy(policy)
        verdict = self._policies[policy.name].judge(self._inputs(workspace, request, pool))
        for field in verdict.failed:
            self._metrics.policy_errors.inc({"policy": policy.name, "field": field})
        return verdict

    def _inputs(self, workspace: str, request: CallerRequest, pool: Pool) -> Inputs:
        bought = self._catalog().class_of(workspace)
        return Inputs(
            WorkspaceInput(workspace, bought.name, bought.weight),
            RequestInput(
                pool=pool.name,
                kind=pool.upstream_kind,
                method=request.method,
                path=request.path,
                body_bytes=len(request.body),
                max_tokens=request.max_tokens,
                stream=request.stream,
                has_key=bool(request.key),
                deadline=request.deadline,
            ),
            LoadInput(self._admission.held(workspace), self._admission.total),
        )

    async def _run(self, served: Served) -> Result:
        if not (served.verdict.never_repeat and served.request.key):
            return await self._tries(served)
        return await self._run_claimed(served)

    async def _run_claimed(self, served: Served) -> Result:
        request = served.request
        key = claim_key(served.workspace, request.key)
        claim = self._claims.new_claim(key, fingerprint(request.method, request.path, request.body))
        left = served.ends_at - self._clock.monotonic()
        answer = await self._claims.claim(claim, min(left, CLAIM_SECONDS))
        if answer.result is ClaimResult.UNAVAILABLE:
            return NotRun(Reason.CLAIM_UNAVAILABLE, "the key could not be claimed in time", 2.0)
        if answer.result is ClaimResult.HELD:
            return await self._second_try(served, claim, answer.holder)
        self._events.emit(Kind.CLAIMED, "", served.id, served.workspace)
        served.claim = claim
        self._shelf.begin(key)
        outcome: Result = Unknown("cut off")
        try:
            outcome = await self._tries(served)
            return outcome
        finally:
            self._end_claimed(served, key, outcome)

    def _end_claimed(self, served: Served, key: bytes, outcome: Result) -> None:
        kept = None
        if isinstance(outcome, Completed):
            sink = served.sink
            kept = KeptAnswer(outcome.status, sink.content_type, served.id, sink.copy())
        elif isinstance(outcome, NotRun):
            self._claims.release(served.claim)
        self._shelf.end(key, kept)

    async def _second_try(self, served: Served, claim: Claim, holder: Claim) -> Result:
        self._events.emit(Kind.CLAIM_HELD, f"by {holder.node}", served.id, served.workspace)
        if holder.fingerprint != claim.fingerprint:
            return Conflict("the key was used for another request")
        left = served.ends_at - self._clock.monotonic()
        answer = await self._shelf.find(claim.key, holder.node, holder.start_id, left)
        if answer is None:
            return Conflict("an earlier try has the key, and its answer is not to be had")
        return Replay(answer)

    async def _tries(self, served: Served) -> Outcome:
        self._budget.request()
        outcome: Outcome = NotRun(Reason.EXPIRED)
        for _ in range(MOST_TRIES):
            outcome = await self._try_once(served)
            if not self._try_again(served, outcome):
                return outcome
            self._events.emit(Kind.RETRIED, str(outcome), served.id, served.workspace)
        return outcome

    def _try_again(self, served: Served, outcome: Outcome) -> bool:
        if served.sink.started or self._clock.monotonic() >= served.ends_at:
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
        booking = self._desk.place(want)
        try:
            replica = await self._wait(served, booking)
        except Refusal as refusal:
            return NotRun(refusal.reason, "decided by the dispatcher")
        except TimeoutError:
            self._desk.withdraw(booking)
            return NotRun(Reason.EXPIRED, "no replica had room in time")
        except asyncio.CancelledError:
            self._desk.withdraw(booking)
            raise
        return await self._call(served, booking, replica)

    def _want(self, served: Served) -> Want:
        pool = served.pool
        estimate = self._estimator.estimate(served.workspace, pool.name, pool.first_estimate)
        return Want(
            served.id,
            pool.name,
            served.workspace,
            served.verdict.rank,
            estimate,
            served.verdict.may_wait == 0,
            served.request.prefix,
            served.avoid,
        )

    async def _wait(self, served: Served, booking: Booking) -> str:
        left = served.ends_at - self._clock.monotonic()
        # Urgent work is decided at once; the second allows for a dispatcher that must be replaced.
        longest = max(served.verdict.may_wait, 1.0)
        return await asyncio.wait_for(booking.granted, min(longest, left))

    async def _call(self, served: Served, booking: Booking, replica: str) -> Outcome:
        upstream = self._directory.get(replica)
        kind = self._dispatchers.kind_of(served.pool.name)
        if upstream is None or kind is None:
            self._desk.release(booking, 0.0, None)
            return NotRun(Reason.UNREACHABLE, f"{replica} is not known here")
        call = self._upstream_call(served, upstream.endpoint)
        served.sink.meter(ChargeMeter(booking.charged), self._desk, booking)
        self._events.emit(Kind.SENT, replica, served.id, served.workspace)
        outcome: Outcome = Unknown("cancelled")
        try:
            async with asyncio.timeout(max(0.0, served.ends_at - self._clock.monotonic())):
                outcome = await kind.run(call, served.sink)
        except TimeoutError:
            self._cancel(kind, call)
            outcome = Unknown("the deadline passed while the request ran")
        except (CallerLeft, asyncio.CancelledError):
            self._cancel(kind, call)
            raise
        finally:
            self._settle(served, booking, replica, outcome)
        return outcome

    def _upstream_call(self, served: Served, endpoint: str) -> UpstreamCall:
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
        )

    def _settle(self, served: Served, booking: Booking, replica: str, outcome: Outcome) -> None:
        cost = 0.0 if isinstance(outcome, NotRun) else max(outcome.cost, served.sink.cost)
        if isinstance(outcome, Completed) and outcome.status < 400:
            self._estimator.observe(served.workspace, served.pool.name, cost)
        self._desk.release(booking, cost, _learnt(outcome))
        if isinstance(outcome, NotRun):
            served.avoid = replica
            if outcome.detail == LEAVING:
                self._directory.sign(replica, True, self._clock.wall())

    def _cancel(self, kind: UpstreamKind, call: UpstreamCall) -> None:
        task = asyncio.ensure_future(kind.cancel(call))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def _learnt(outcome: Outcome) -> bool | None:
    """Return whether the replica did well, ``None`` if the outcome does not tell."""
    if isinstance(outcome, Completed):
        return True
    if isinstance(outcome, Unknown) and outcome.detail in ("cancelled",):
        return None
    return False
