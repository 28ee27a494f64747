"""Send a routed request to replicas, in as many attempts as are safe, and return the answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from railsail.core.events import Kind
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
# A request may wait this long for a replica even if the time in which it may wait has passed, so
# that a retry after a refusal is not refused at once.
MIN_WAIT_SECONDS = 0.02
# A stream that broke off may wait this long for another replica; by then its caller gives up.
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
class Routed:
    """The state of one request while this daemon serves it.

    All times are in seconds, points in time of the monotonic clock. ``deadline_at`` is when the
    final answer is due, ``offer_by`` until when the request may wait for a replica. ``attempts``
    counts the replicas that it was sent to; ``ran`` is true if one of them may have run it.
    ``replica`` is the one that it was sent to last, ``avoid`` the one that failed it last.
    ``waited`` is how long it waited for replicas in total, ``first_after`` the time from its
    arrival to the first byte of an answer, 0 without an answer. ``given_up`` is the reason why no
    further attempt was made. The request may run only in ``regions``, or in any region if there are
    none. Its retries have the same ``fingerprint``.
    """

    request: RoutedRequest
    route: Route
    pool: Pool
    workspace: str
    verdict: Verdict
    client: ClientAnswer
    deadline_at: float
    offer_by: float
    stream: StreamState
    attempts: int = 0
    ran: bool = False
    avoid: str = ""
    replica: str = ""
    received_at: float = 0.0
    waited: float = 0.0
    first_after: float = 0.0
    given_up: str = ""
    regions: tuple[str, ...] = ()
    fingerprint: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return True if the request may be sent again after an attempt of unknown outcome."""
        if self.stream.head is not None and not self.route.resumable:
            return False
        return self.route.may_repeat and not self.verdict.never_repeat


class Relay:
    """Make the attempts of routed requests; ``members`` returns the known size of the fleet."""

    def __init__(
        self,
        protocol: RouteProtocol,
        directory: UpstreamDirectory,
        tickets: TicketClient,
        acquirer: ReplicaAcquirer,
        bounds: RetryBounds,
        members: Callable[[], int],
        heard: HeardSigns,
        connections: Connections,
        kernel: Kernel,
    ) -> None:
        self._protocol = protocol
        self._directory = directory
        self._tickets = tickets
        self._acquirer = acquirer
        self._bounds = bounds
        self._members = members
        self._heard = heard
        self._connections = connections
        self._clock = kernel.clock
        self._events = kernel.events
        self._metrics = kernel.metrics
        self._pauses = kernel.pauses
        self._started_at = kernel.clock.monotonic()
        self._budgets: dict[str, RetryBudget] = {}
        self._connect_failures = ConnectFailures()
        self._calls = RunningCalls()
        directory.on_rebirth(lambda before: self._calls.end(before.name))

    async def run(self, routed: Routed) -> Outcome:
        """Make attempts until an outcome is final, and return it."""
        budget = self._budget(routed.pool.name)
        budget.request(self._clock.monotonic())
        while True:
            outcome = await self._attempt(routed)
            if not self._go_on(routed, outcome, budget):
                return truth_of(outcome, routed.ran)
            self._events.emit(
                Kind.RETRIED,
                outcome.detail,
                routed.request.id,
                routed.workspace,
                outcome=type(outcome).__name__.lower(),
                replica=routed.avoid,
                attempts=routed.attempts,
                budget_left=budget.left,
            )

    def _budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(self._bounds, self._started_at)
        return self._budgets[pool]

    def _go_on(self, routed: Routed, outcome: Outcome, budget: RetryBudget) -> bool:
        now = self._clock.monotonic()
        if isinstance(outcome, Completed) or now >= routed.deadline_at:
            return False
        if isinstance(outcome, NotRun):
            if outcome.reason not in _RETRYABLE_REASONS:
                return False
            cause = "not-run"
        elif routed.may_repeat:
            cause = "unknown"
        else:
            routed.given_up = "it may not be repeated"
            return False
        if routed.attempts >= routed.route.max_attempts:
            routed.given_up = f"the route allows {routed.route.max_attempts} attempts"
            return False
        # The budget counts calls. As long as no attempt has reached a replica, the next one is the
        # first call and no retry.
        if routed.attempts and not budget.allow(now, self._members()):
            routed.given_up = "the retry budget is spent"
            return False
        self._metrics.retries.inc({"cause": cause})
        return True

    async def _attempt(self, routed: Routed) -> Outcome:
        asked_at = self._clock.monotonic()
        wait = self._wait_seconds(routed)
        booking = await self._acquirer.acquire(self._want(routed, wait), wait)
        routed.waited += self._clock.monotonic() - asked_at
        if isinstance(booking, NotRun):
            return booking
        return await self._send_booked(routed, booking, booking.replica)

    def _wait_seconds(self, routed: Routed) -> float:
        now = self._clock.monotonic()
        least = RESUME_WAIT_SECONDS if routed.stream.head is not None else MIN_WAIT_SECONDS
        return max(0.0, min(max(routed.offer_by - now, least), routed.deadline_at - now))

    def _want(self, routed: Routed, patience: float) -> PoolRequest:
        prompt = routed.request.prompt
        now = self._clock.monotonic()
        return PoolRequest(
            request_id=routed.request.id,
            pool=routed.pool.name,
            workspace=routed.workspace,
            rank=routed.verdict.rank,
            estimate=estimate_cost(routed),
            urgent=False,
            prefix=prompt.affinity_key if routed.route.affinity else 0,
            avoid=routed.avoid or self._connect_failures.replica_to_avoid(now),
            prompt_tokens=prompt.tokens if routed.pool.cost_unit is CostUnit.TOKENS else 0,
            shared_tokens=prompt.shared_tokens,
            objective=routed.route.objective,
            patience=patience,
            returns_within=RETRY_AFTER_SHARE * max(0.0, routed.deadline_at - now),
            regions=routed.regions,
            fingerprint=routed.fingerprint,
            route=self._route(routed),
        )

    def _route(self, routed: Routed) -> int:
        if self._directory.rollout(routed.pool.name) is None:
            return 0
        return route_fingerprint(routed.route.name)

    async def _send_booked(self, routed: Routed, booking: Booking, replica: str) -> Outcome:
        sent_at = self._clock.monotonic()
        result = CallResult.NOTHING
        outcome: Outcome | None = None
        try:
            outcome = await self._send(routed, booking, replica)
            result = CallResult.of(outcome)
            return outcome
        except (asyncio.CancelledError, ClientDisconnected):
            # The caller left, but only after a time in which the answer should have started: the
            # replica is likely to be at fault.
            if (
                not booking.begun
                and self._clock.monotonic() - sent_at > MIN_SILENCE_TIMEOUT_SECONDS
            ):
                result = CallResult.ERROR
            else:
                result = CallResult.CALLER_LEFT
            raise
        finally:
            if outcome is None or not isinstance(outcome, Completed):
                routed.avoid = replica
            used = outcome is None or not isinstance(outcome, NotRun)
            self._tickets.release(booking, booking.want.estimate if used else 0.0, result)

    async def _send(self, routed: Routed, booking: Booking, replica: str) -> Outcome:
        upstream = self._directory.get(replica)
        if upstream is None:
            return NotRun(Reason.UNREACHABLE, "the replica is not known any more")
        request = routed.request
        left = routed.deadline_at - self._clock.monotonic()
        if left <= 0:
            return NotRun(Reason.EXPIRED, "there is no time left")
        routed.replica = replica
        dispatch = Dispatch(replica, routed.workspace, left, routed.stream.last_event)
        call = HttpRequest(
            upstream.endpoint,
            request.method,
            request.target,
            self._protocol.request_headers(request, dispatch),
            request.body,
            open_ended=True,
            connect_seconds=min(CONNECT_SECONDS, left),
            on_head=self._heard.listener(replica, self._protocol.read_signs),
            replica=replica,
            request_id=request.id,
            read_id=self._protocol.answered_id,
        )
        answer = ReplicaAnswer(
            self._protocol,
            request,
            routed.route.streaming,
            routed.stream,
            lambda: self._begun(routed, booking),
        )
        self._events.emit(
            Kind.SENT,
            request=request.id,
            workspace=routed.workspace,
            replica=replica,
            endpoint=upstream.endpoint,
            listed_version=upstream.version,
            attempt=routed.attempts + 1,
            left_ms=round(left * 1000),
        )
        return await self._exchange(routed, replica, call, answer)

    def _begun(self, routed: Routed, booking: Booking) -> None:
        if not routed.first_after:
            routed.first_after = self._clock.monotonic() - routed.received_at
        self._tickets.begun(booking)

    async def _exchange(
        self, routed: Routed, replica: str, call: HttpRequest, answer: ReplicaAnswer
    ) -> Outcome:
        routed.attempts += 1
        left = routed.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(left):
                await self._calls.run(replica, self._exchange_watched(routed, call, answer))
        except NotSent as problem:
            routed.attempts -= 1
            self._connect_failures.record_failure(replica, self._clock.monotonic())
            return NotRun(Reason.UNREACHABLE, str(problem))
        except (CutOff, BadStream, AnswerRefused) as problem:
            routed.ran = True
            return Unknown(str(problem), broke_off=isinstance(problem, CutOff))
        except TimeoutError:
            routed.ran = True
            return Unknown("no whole answer in time", timed_out=True, broke_off=True)
        return await self._judge(routed, replica, answer)

    async def _exchange_watched(
        self, routed: Routed, call: HttpRequest, answer: ReplicaAnswer
    ) -> None:
        if not routed.may_repeat:
            # Silence is no reason to cut off a request that cannot be retried.
            await exchange(call, answer, self._connections)
            return
        task = asyncio.ensure_future(exchange(call, answer, self._connections))
        loop = asyncio.get_running_loop()
        try:
            while not task.done():
                # While this process was paused, it could not receive anything from the replica.
                heard_at = max(answer.progressed_at, self._pauses.ended_at)
                quiet_until = heard_at + _patience(routed)
                if loop.time() >= quiet_until:
                    raise CutOff("the replica fell silent")
                await asyncio.wait([task], timeout=quiet_until - loop.time())
            await task
        finally:
            task.cancel()

    async def _judge(self, routed: Routed, replica: str, answer: ReplicaAnswer) -> Outcome:
        head = answer.received_head
        self._connect_failures.record_answer(replica)
        if head.misdirected:
            self._directory.sign_leaving(replica, Source.MISDIRECTED, self._clock.wall())
            return NotRun(Reason.REFUSED, "another replica has the address")
        if head.not_run:
            return NotRun(Reason.REFUSED, f"status {head.status}", asked_rest=head.asks_rest)
        routed.ran = True
        if answer.is_stream:
            return self._end_stream(routed, answer)
        if routed.stream.head is not None:
            return Unknown(f"status {head.status} in the middle of a stream")
        if head.status >= 500 and routed.may_repeat and routed.attempts < routed.route.max_attempts:
            return Unknown(f"status {head.status}", asked_rest=head.asks_rest)
        if head.status in (503, 429, 408):
            # The status would tell the caller that nothing ran, which the replica did not say.
            return Unknown(f"status {head.status}", asked_rest=head.asks_rest)
        await routed.client.send(head.status, head.headers, answer.body())
        return Completed(head.status, 0.0)

    def _end_stream(self, routed: Routed, answer: ReplicaAnswer) -> Outcome:
        if answer.trailing_bytes().strip():
            return Unknown("the stream ended within an event", broke_off=True)
        if routed.stream.head is None:
            return Unknown("the stream ended without an event", broke_off=True)
        routed.client.end()
        return Completed(answer.received_head.status, 0.0)


def estimate_cost(routed: Routed) -> float:
    """Return the expected cost of a request in the cost unit of its pool."""
    if routed.pool.cost_unit is not CostUnit.TOKENS:
        return 1.0
    prompt = routed.request.prompt
    output = prompt.expected_output or prompt.most_output
    if prompt.most_output:
        output = min(output, prompt.most_output)
    return max(1.0, prompt.tokens + OUTPUT_TOKEN_COST * output)


def _patience(routed: Routed) -> float:
    if routed.stream.head is not None and routed.route.pause:
        return max(MIN_SILENCE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_PAUSES * routed.route.pause)
    return max(MIN_SILENCE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_OBJECTIVES * routed.route.objective)
