"""Send a routed request to replicas, in as many attempts as are safe, and return the answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from railsail.core.events import Fact, Kind
from railsail.core.fingerprints import route_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown, truth_of
from railsail.dispatch.acquire import ReplicaAcquirer
from railsail.dispatch.bookings import Booking, PoolRequest
from railsail.dispatch.entry import TicketClient
from railsail.objects.kinds import CostUnit, Pool, Route
from railsail.policy.programs import Verdict
from railsail.routing.answer import AnswerRefused, ReplicaAnswer, StreamState
from railsail.routing.budget import RetryBounds, RetryBudget
from railsail.routing.client import ClientAnswer, ClientDisconnected
from railsail.routing.connect_failures import ConnectFailures
from railsail.routing.endings import AnswerEnd, check_end
from railsail.routing.messages import Dispatch, RoutedRequest
from railsail.routing.protocol import RouteProtocol
from railsail.routing.running import RunningCalls
from railsail.scheduling.health import CallResult
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.heard import HeardSigns
from railsail.upstreams.http import Connections, CutOff, HttpRequest, NotSent, exchange
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
# If a request can be retried, an attempt is cut off after its replica was silent for this many
# objectives of the route or, within a stream, for this many of its longest pauses between two
# events.
SILENCE_TIMEOUT_OBJECTIVES = 3.0
SILENCE_TIMEOUT_PAUSES = 4.0
MIN_SILENCE_TIMEOUT_SECONDS = 1.0
# A generated token costs a replica about twice as much as a token of the prompt.
OUTPUT_TOKEN_COST = 2.0
_RETRYABLE_REASONS = (Reason.UNREACHABLE, Reason.REFUSED)


@dataclass
class RoutingContext:
    """The state of one request while this daemon serves it.

    All times are in seconds; points in time are those of the monotonic clock. ``deadline_at`` is
    when the final answer is due, ``wait_until`` until when the request may wait for a replica.
    ``attempts`` counts the replicas that it was sent to; ``may_have_run`` is true if one of them
    may have run it. ``replica`` is the one that it was sent to last, ``avoid`` the one that failed
    it last. ``waited`` is how long it waited for replicas in total, ``first_byte_after`` the time
    from its arrival to the first byte of an answer, 0 without an answer. ``give_up_reason`` is why
    no further attempt was made. ``ends_with_connection`` is true if only the end of its connection
    marked the end of the last answer, and ``uncertain_end`` if that may have been a crash of the
    replica. The request may run only in ``regions``, or in any region if there are none. Its
    retries have the same ``fingerprint``.
    """

    request: RoutedRequest
    route: Route
    pool: Pool
    workspace: str
    decision: Verdict
    client: ClientAnswer
    deadline_at: float
    wait_until: float
    stream: StreamState
    attempts: int = 0
    may_have_run: bool = False
    avoid: str = ""
    replica: str = ""
    received_at: float = 0.0
    waited: float = 0.0
    first_byte_after: float = 0.0
    give_up_reason: str = ""
    ends_with_connection: bool = False
    uncertain_end: bool = False
    regions: tuple[str, ...] = ()
    fingerprint: int = 0

    @property
    def can_retry(self) -> bool:
        """Return True if the request may be sent again after an attempt of unknown outcome."""
        if self.stream.head is not None and not self.route.resumable:
            return False
        return self.route.may_repeat and not self.decision.never_repeat


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
        self._started_at = kernel.clock.monotonic()
        self._budgets: dict[str, RetryBudget] = {}
        self._connect_failures = ConnectFailures()
        self._calls = RunningCalls()
        directory.on_rebirth(lambda before: self._calls.cancel(before.name))

    async def run(self, context: RoutingContext) -> Outcome:
        """Make attempts until an outcome is final, and return it."""
        budget = self._budget(context.pool.name)
        budget.record_request(self._clock.monotonic())
        while True:
            outcome = await self._attempt(context)
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
        if context.attempts >= context.route.max_attempts:
            context.give_up_reason = f"the route allows {context.route.max_attempts} attempts"
            return False
        # The budget counts calls. As long as no attempt has reached a replica, the next one is the
        # first call and no retry.
        if context.attempts and not budget.allow(now, self._fleet_size()):
            context.give_up_reason = "the retry budget is spent"
            return False
        self._metrics.retries.inc({"cause": cause})
        return True

    async def _attempt(self, context: RoutingContext) -> Outcome:
        requested_at = self._clock.monotonic()
        wait = self._wait_seconds(context)
        pending_call = await self._acquirer.acquire(self._pool_request(context, wait), wait)
        context.waited += self._clock.monotonic() - requested_at
        if isinstance(pending_call, NotRun):
            return pending_call
        return await self._send_granted(context, pending_call, pending_call.replica)

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
            estimate=estimate_cost(context),
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
        self, context: RoutingContext, pending_call: Booking, replica: str
    ) -> Outcome:
        sent_at = self._clock.monotonic()
        result = CallResult.NOTHING
        outcome: Outcome | None = None
        try:
            outcome = await self._send(context, pending_call, replica)
            result = CallResult.of(outcome)
            return outcome
        except (asyncio.CancelledError, ClientDisconnected):
            # The caller left, but only after a time in which the answer should have started: the
            # replica is likely to be at fault.
            if (
                not pending_call.begun
                and self._clock.monotonic() - sent_at > MIN_SILENCE_TIMEOUT_SECONDS
            ):
                result = CallResult.ERROR
            else:
                result = CallResult.CALLER_LEFT
            raise
        finally:
            if outcome is None or not isinstance(outcome, Completed):
                context.avoid = replica
            has_cost = outcome is None or not isinstance(outcome, NotRun)
            self._tickets.release(
                pending_call, pending_call.want.estimate if has_cost else 0.0, result
            )

    async def _send(self, context: RoutingContext, pending_call: Booking, replica: str) -> Outcome:
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
            lambda: self._answer_started(context, pending_call),
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
        return await self._exchange(context, replica, call, answer)

    def _answer_started(self, context: RoutingContext, pending_call: Booking) -> None:
        if not context.first_byte_after:
            context.first_byte_after = self._clock.monotonic() - context.received_at
        self._tickets.begun(pending_call)

    async def _exchange(
        self, context: RoutingContext, replica: str, call: HttpRequest, answer: ReplicaAnswer
    ) -> Outcome:
        context.attempts += 1
        remaining = context.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                await self._calls.run(replica, self._exchange_until_silent(context, call, answer))
                end = await check_end(answer, replica, self._directory)
                if end is AnswerEnd.CUT_OFF:
                    raise CutOff("the replica crashed, which ended its answer")
                context.uncertain_end = end is AnswerEnd.UNCERTAIN
        except NotSent as problem:
            context.attempts -= 1
            self._connect_failures.record_failure(replica, self._clock.monotonic())
            return NotRun(Reason.UNREACHABLE, str(problem))
        except (CutOff, BadStream, AnswerRefused) as problem:
            context.may_have_run = True
            return Unknown(str(problem), broke_off=isinstance(problem, CutOff))
        except TimeoutError:
            context.may_have_run = True
            return Unknown("no whole answer in time", timed_out=True, broke_off=True)
        return await self._handle_answer(context, replica, answer)

    async def _exchange_until_silent(
        self, context: RoutingContext, call: HttpRequest, answer: ReplicaAnswer
    ) -> None:
        if not context.can_retry:
            # Silence is no reason to cut off a request that cannot be retried.
            await exchange(call, answer, self._connections)
            return
        task = asyncio.ensure_future(exchange(call, answer, self._connections))
        loop = asyncio.get_running_loop()
        try:
            while not task.done():
                # While this process was paused, it could not receive anything from the replica.
                progressed_at = max(answer.progressed_at, self._pauses.ended_at)
                timeout_at = progressed_at + _silence_timeout(context)
                if loop.time() >= timeout_at:
                    self._record_silence(context, loop.time() - progressed_at)
                    raise CutOff("the replica fell silent")
                await asyncio.wait([task], timeout=timeout_at - loop.time())
            await task
        finally:
            task.cancel()

    def _record_silence(self, context: RoutingContext, seconds: float) -> None:
        self._metrics.silences.inc({"end": "cut"})
        self._events.emit(
            Kind.SILENT,
            "the attempt is ended",
            context.request.id,
            context.workspace,
            replica=context.replica,
            silent_ms=round(seconds * 1000),
            attempt=context.attempts,
            last_event=context.stream.last_event,
        )

    async def _handle_answer(
        self, context: RoutingContext, replica: str, answer: ReplicaAnswer
    ) -> Outcome:
        """Return the outcome of a complete answer, which is sent to the caller if it is final."""
        head = answer.received_head
        context.ends_with_connection = answer.ends_with_connection
        self._connect_failures.record_answer(replica)
        if head.misdirected:
            self._directory.sign_leaving(replica, Source.MISDIRECTED, self._clock.wall())
            return NotRun(Reason.REFUSED, "another replica has the address")
        if head.not_run:
            return NotRun(Reason.REFUSED, f"status {head.status}", asked_rest=head.asks_rest)
        context.may_have_run = True
        if answer.is_stream:
            return self._end_stream(context, answer)
        if context.stream.head is not None:
            return Unknown(f"status {head.status} in the middle of a stream")
        if (
            head.status >= 500
            and context.can_retry
            and context.attempts < context.route.max_attempts
        ):
            return Unknown(f"status {head.status}", asked_rest=head.asks_rest)
        if head.status in (503, 429, 408):
            # The status would tell the caller that nothing ran, which the replica did not say.
            return Unknown(f"status {head.status}", asked_rest=head.asks_rest)
        await context.client.send(head.status, head.headers, answer.body())
        return Completed(head.status, 0.0, context.uncertain_end)

    def _end_stream(self, context: RoutingContext, answer: ReplicaAnswer) -> Outcome:
        if answer.trailing_bytes().strip():
            return Unknown("the stream ended within an event", broke_off=True)
        if context.stream.head is None:
            return Unknown("the stream ended without an event", broke_off=True)
        context.client.end()
        return Completed(answer.received_head.status, 0.0, context.uncertain_end)


def estimate_cost(context: RoutingContext) -> float:
    """Return the expected cost of a request in the cost unit of its pool."""
    if context.pool.cost_unit is not CostUnit.TOKENS:
        return 1.0
    prompt = context.request.prompt
    output = prompt.expected_output or prompt.max_output
    if prompt.max_output:
        output = min(output, prompt.max_output)
    return max(1.0, prompt.tokens + OUTPUT_TOKEN_COST * output)


def _continuation_facts(context: RoutingContext) -> dict[str, Fact]:
    """Return where an attempt continues a stream, nothing if it starts at its beginning."""
    return {"last_event": context.stream.last_event} if context.stream.last_event else {}


def _silence_timeout(context: RoutingContext) -> float:
    if context.stream.head is not None and context.route.pause:
        return max(MIN_SILENCE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_PAUSES * context.route.pause)
    return max(MIN_SILENCE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_OBJECTIVES * context.route.objective)
