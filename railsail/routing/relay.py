"""Send a routed request to replicas, in as many attempts as are safe, and return the answer."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from railsail.core.events import Fact, Kind
from railsail.core.exceptions import RailsailError
from railsail.core.fingerprints import route_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown, truth_of
from railsail.dispatch.acquire import ReplicaAcquirer
from railsail.dispatch.bookings import Booking, PoolRequest
from railsail.dispatch.entry import TicketClient
from railsail.objects.kinds import CostUnit
from railsail.routing.answer import AnswerRefused, ReplicaAnswer
from railsail.routing.budget import RetryBounds, RetryBudget
from railsail.routing.client import ClientDisconnected
from railsail.routing.connect_failures import ConnectFailures
from railsail.routing.context import RoutingContext, is_silence
from railsail.routing.endings import AnswerEnd, check_end
from railsail.routing.hedging import Attempt, HedgedAttempts
from railsail.routing.messages import Dispatch
from railsail.routing.protocol import RouteProtocol
from railsail.routing.running import RunningCalls
from railsail.routing.silences import Silences
from railsail.scheduling.health import CallResult
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.heard import HeardSigns
from railsail.upstreams.http import (
    Connections,
    CutOff,
    HttpRequest,
    InvalidAnswer,
    NotSent,
    exchange,
)
from railsail.upstreams.signs import Source
from railsail.upstreams.sse import BadStream

CONNECT_SECONDS = 0.4
# Callers are asked to retry within this share of the time that they have left.
RETRY_AFTER_SHARE = 1 / 3
# Minimum wait for a replica, also after the time in which the request may wait, so that a retry
# after a refusal is not refused at once.
MIN_WAIT_SECONDS = 0.02
# Minimum wait for a replica that continues a stream; a caller gives up after about this long.
RESUME_WAIT_SECONDS = 1.0
BUDGET_SPENT = "the retry budget is spent"
_RETRYABLE_REASONS = (Reason.UNREACHABLE, Reason.REFUSED)


class RetryNotAllowed(RailsailError):
    """The retry budget was spent between the grant of a replica and the connection to it."""


class Relay:
    """Relay of routed requests to replicas; ``fleet_size`` returns the known size of the fleet."""

    def __init__(
        self,
        protocol: RouteProtocol,
        directory: UpstreamDirectory,
        tickets: TicketClient,
        acquirer: ReplicaAcquirer,
        bounds: RetryBounds,
        fleet_size: Callable[[], int],
        replica_signals: HeardSigns,
        connections: Connections,
        kernel: Kernel,
    ) -> None:
        self._protocol = protocol
        self._directory = directory
        self._tickets = tickets
        self._acquirer = acquirer
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._replica_signals = replica_signals
        self._connections = connections
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._pauses = kernel.pauses
        self._buffers = kernel.buffers
        self._started_at = kernel.clock.monotonic()
        self._budgets: dict[str, RetryBudget] = {}
        self._connect_failures = ConnectFailures()
        self._calls = RunningCalls()
        self._silences = Silences(kernel)
        directory.on_rebirth(lambda before: self._calls.cancel(before.name))

    async def run(self, context: RoutingContext) -> Outcome:
        """Make attempts until an outcome is final, and return it."""
        budget = self._budget(context.pool.name)
        budget.record_request(self._clock.monotonic())
        while True:
            outcome = await self._attempt(context, budget)
            if not self._should_retry(context, outcome, budget):
                return truth_of(outcome, context.may_have_run)
            self._events.emit(
                Kind.RETRIED,
                outcome.detail,
                context.request.id,
                context.workspace,
                outcome=type(outcome).__name__.lower(),
                replica=context.avoid,
                attempts=context.attempts,
                budget_left=budget.remaining,
            )

    def _budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self._bounds, self._started_at)
        return self._budgets[pool]

    def _should_retry(self, context: RoutingContext, outcome: Outcome, budget: RetryBudget) -> bool:
        """Return True if another attempt may be made, else record why not."""
        now = self._clock.monotonic()
        if isinstance(outcome, Completed) or now >= context.deadline_at:
            return False
        if isinstance(outcome, NotRun):
            if outcome.reason not in _RETRYABLE_REASONS:
                return False
            cause = "not-run"
        elif context.can_retry:
            cause = "unknown"
        else:
            context.give_up_reason = "it may not be repeated"
            return False
        context.give_up_reason = self._reason_not_to_retry(context, budget)
        if context.give_up_reason:
            return False
        self._metrics.retries.inc({"cause": cause})
        return True

    def _reason_not_to_retry(self, context: RoutingContext, budget: RetryBudget) -> str:
        """Return why no further attempt may be made, or an empty string if one may."""
        now = self._clock.monotonic()
        if now >= context.deadline_at:
            return "there is no time left"
        if context.attempts >= context.route.max_attempts:
            return f"the route allows {context.route.max_attempts} attempts"
        # The budget counts calls. As long as no attempt has reached a replica, the next one is the
        # first call and no retry.
        if context.attempts and not budget.has_room(now, self._fleet_size()):
            return BUDGET_SPENT
        return ""

    async def _attempt(self, context: RoutingContext, budget: RetryBudget) -> Outcome:
        requested_at = self._clock.monotonic()
        booking = await self._acquire(context)
        context.waited += self._clock.monotonic() - requested_at
        if isinstance(booking, NotRun):
            return booking
        attempts = HedgedAttempts(
            context,
            lambda attempt: self._send_granted(context, attempt, budget),
            lambda tried: self._acquire_replacement(context, budget, tried),
            self._tickets.withdraw,
            self._silences,
            self._pauses,
        )
        return await attempts.run(booking)

    async def _acquire(self, context: RoutingContext) -> Booking | NotRun:
        wait = self._wait_seconds(context)
        return await self._acquirer.acquire(self._pool_request(context, wait), wait)

    async def _acquire_replacement(
        self, context: RoutingContext, budget: RetryBudget, tried: frozenset[str]
    ) -> Booking | NotRun:
        """Return a granted replica that is neither silent nor ``tried``, or why there is none."""
        refusal = self._reason_not_to_retry(context, budget)
        if refusal:
            return NotRun(Reason.NO_ROOM, refusal)
        context.give_up_reason = "no other replica had room yet"
        # One ticket waits as long as the silence: a ticket that expires is a sign of overload.
        wait = context.deadline_at - self._clock.monotonic()
        excluded = tuple(sorted(tried | self._silences.silent_replicas))
        # No caller is refused without it, so that the dispatcher has no retry to plan.
        request = replace(self._pool_request(context, wait), excluded=excluded, returns_within=0.0)
        booking = await self._acquirer.acquire(request, wait)
        if isinstance(booking, NotRun):
            return booking
        # It may have fallen silent under another request during the wait.
        if booking.replica in tried | self._silences.silent_replicas:
            self._tickets.withdraw(booking)
            return NotRun(Reason.NO_ROOM, "the replica that was granted is silent too")
        self._metrics.retries.inc({"cause": "silent"})
        return booking

    def _wait_seconds(self, context: RoutingContext) -> float:
        now = self._clock.monotonic()
        continues = context.stream.software_version is not None
        min_wait = RESUME_WAIT_SECONDS if continues else MIN_WAIT_SECONDS
        return max(0.0, min(max(context.wait_until - now, min_wait), context.deadline_at - now))

    def _pool_request(self, context: RoutingContext, max_wait: float) -> PoolRequest:
        prompt = context.request.prompt
        now = self._clock.monotonic()
        return PoolRequest(
            request_id=context.request.id,
            pool=context.pool.name,
            workspace=context.workspace,
            rank=context.decision.rank,
            estimate=context.estimated_cost,
            urgent=False,
            prefix=prompt.affinity_key if context.route.affinity else 0,
            avoid=context.avoid or self._connect_failures.replica_to_avoid(now),
            prompt_tokens=prompt.tokens if context.pool.cost_unit is CostUnit.TOKENS else 0,
            shared_tokens=prompt.shared_tokens,
            objective=context.route.objective,
            patience=max_wait,
            returns_within=RETRY_AFTER_SHARE * max(0.0, context.deadline_at - now),
            regions=context.regions,
            fingerprint=context.fingerprint,
            route=self._route(context),
            software_version=context.stream.software_version,
            parts=prompt.shared_parts,
        )

    def _route(self, context: RoutingContext) -> int:
        if self._directory.rollout(context.pool.name) is None:
            return 0
        return route_fingerprint(context.route.name)

    async def _send_granted(
        self, context: RoutingContext, attempt: Attempt, budget: RetryBudget
    ) -> Outcome:
        booking = attempt.booking
        sent_at = self._clock.monotonic()
        result = CallResult.NOTHING
        outcome: Outcome | None = None
        try:
            outcome = await self._send(context, attempt, budget)
            result = CallResult.of(outcome)
            return outcome
        except (asyncio.CancelledError, ClientDisconnected):
            if attempt.superseded_by is not None:
                outcome = Unknown("another attempt went on first", silent=attempt.fell_silent)
                result = CallResult.of(outcome) if attempt.fell_silent else CallResult.NOTHING
                return outcome
            # The caller left, but only after a time in which the answer should have started: the
            # replica is likely to be at fault.
            seconds = self._clock.monotonic() - sent_at
            is_silent = not booking.begun and is_silence(seconds)
            result = CallResult.SILENT if is_silent else CallResult.CALLER_LEFT
            raise
        finally:
            if outcome is None or not isinstance(outcome, Completed):
                context.avoid = attempt.replica
            has_cost = outcome is None or not isinstance(outcome, NotRun)
            self._tickets.release(booking, booking.want.estimate if has_cost else 0.0, result)

    async def _send(
        self, context: RoutingContext, attempt: Attempt, budget: RetryBudget
    ) -> Outcome:
        replica = attempt.replica
        upstream = self._directory.get(replica)
        if upstream is None:
            return NotRun(Reason.UNREACHABLE, "the replica is not known any more")
        request = context.request
        remaining = context.deadline_at - self._clock.monotonic()
        if remaining <= 0:
            return NotRun(Reason.EXPIRED, "there is no time left")
        context.replica = replica
        dispatch = Dispatch(replica, context.workspace, remaining, context.stream.last_event)
        call = HttpRequest(
            upstream.endpoint,
            request.method,
            request.target,
            self._protocol.request_headers(request, dispatch),
            request.body,
            open_ended=True,
            connect_seconds=min(CONNECT_SECONDS, remaining),
            on_connected=lambda: self._count_call(context, attempt, budget),
            on_head=self._replica_signals.listener(replica, self._protocol.read_signs),
            replica=replica,
            request_id=request.id,
            read_id=self._protocol.answered_id,
        )
        answer = ReplicaAnswer(
            self._protocol,
            request,
            context.route.streaming,
            context.stream,
            upstream.software_version,
            self._buffers,
            lambda: self._answer_started(context, attempt),
            attempt.go_on,
        )
        self._events.emit(
            Kind.SENT,
            request=request.id,
            workspace=context.workspace,
            replica=replica,
            endpoint=upstream.endpoint,
            listed_version=upstream.version,
            software_version=upstream.software_version,
            attempt=context.attempts + 1,
            left_ms=round(remaining * 1000),
            **_continuation_facts(context),
        )
        attempt.answer = answer
        try:
            return await self._exchange(context, attempt, call, answer)
        finally:
            answer.release()

    def _count_call(self, context: RoutingContext, attempt: Attempt, budget: RetryBudget) -> None:
        """Count a call that is sent now; raise ``RetryNotAllowed`` if the budget has no room."""
        now = self._clock.monotonic()
        if context.attempts and not budget.allow(now, self._fleet_size()):
            raise RetryNotAllowed(BUDGET_SPENT)
        context.attempts += 1
        attempt.connected()

    def _answer_started(self, context: RoutingContext, attempt: Attempt) -> None:
        if not context.first_byte_after:
            context.first_byte_after = self._clock.monotonic() - context.received_at
        self._tickets.begun(attempt.booking)

    async def _exchange(
        self,
        context: RoutingContext,
        attempt: Attempt,
        call: HttpRequest,
        answer: ReplicaAnswer,
    ) -> Outcome:
        replica = attempt.replica
        remaining = context.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                await self._calls.run(replica, exchange(call, answer, self._connections))
                attempt.received = True
                answer.keep()
                end = await check_end(answer, replica, self._directory)
                if end is AnswerEnd.CUT_OFF:
                    raise CutOff("the replica crashed, which ended its answer")
                context.uncertain_end = end is AnswerEnd.UNCERTAIN
        except RetryNotAllowed as problem:
            return NotRun(Reason.NO_ROOM, str(problem))
        except NotSent as problem:
            self._connect_failures.record_failure(replica, self._clock.monotonic())
            return NotRun(Reason.UNREACHABLE, str(problem))
        except (InvalidAnswer, BadStream, AnswerRefused) as problem:
            context.may_have_run = True
            return Unknown(str(problem))
        except CutOff as problem:
            context.may_have_run = True
            return Unknown(str(problem), broke_off=True)
        except TimeoutError:
            context.may_have_run = True
            silent = is_silence(attempt.silent_seconds)
            return Unknown("no whole answer in time", timed_out=True, silent=silent)
        return await self._handle_answer(context, attempt, answer)

    async def _handle_answer(
        self, context: RoutingContext, attempt: Attempt, answer: ReplicaAnswer
    ) -> Outcome:
        """Return the outcome of a complete answer, which is sent to the caller if it is final."""
        head = answer.received_head
        replica = attempt.replica
        context.ends_with_connection = answer.ends_with_connection
        self._connect_failures.record_answer(replica)
        if head.misdirected:
            self._directory.sign_leaving(replica, Source.MISDIRECTED, self._clock.wall())
            return NotRun(Reason.REFUSED, "another replica has the address")
        if head.not_run:
            return NotRun(Reason.REFUSED, f"status {head.status}", asked_rest=head.asks_rest)
        context.may_have_run = True
        if answer.is_stream:
            return self._end_stream(context, attempt, answer)
        if context.stream.head is not None:
            return Unknown(f"status {head.status} in the middle of a stream")
        others_left = attempt.has_rival or context.attempts < context.route.max_attempts
        if head.status >= 500 and context.can_retry and others_left:
            return Unknown(f"status {head.status}", asked_rest=head.asks_rest)
        if head.status in (503, 429, 408):
            # The status would tell the caller that nothing ran, which the replica did not say.
            return Unknown(f"status {head.status}", asked_rest=head.asks_rest)
        attempt.go_on()
        if answer.has_body:
            await context.client.send(head.status, head.headers, answer.take_body())
        else:
            await context.client.send_head(head.status, head.headers, answer.named_length)
        return Completed(head.status, 0.0, context.uncertain_end)

    def _end_stream(
        self, context: RoutingContext, attempt: Attempt, answer: ReplicaAnswer
    ) -> Outcome:
        if answer.trailing_bytes().strip():
            return Unknown("the stream ended within an event", broke_off=True)
        if context.stream.head is None:
            return Unknown("the stream ended without an event", broke_off=True)
        attempt.go_on()
        context.client.end()
        return Completed(answer.received_head.status, 0.0, context.uncertain_end)


def _continuation_facts(context: RoutingContext) -> dict[str, Fact]:
    """Return where an attempt continues a stream, nothing if it starts at its beginning."""
    return {"last_event": context.stream.last_event} if context.stream.last_event else {}
