"""How many more calls a replica can take now.

The free slots of a replica are its reported limit less the calls of this dispatcher in flight and
less the calls of others. If a replica reports nothing, its limit is learnt by additive increase and
multiplicative decrease. A replica that fails calls is ejected for a while (see
``railsail.scheduling.health``).
"""

import math
from collections import OrderedDict, deque

import msgspec
from msgspec import structs

from railsail.scheduling.health import CallResult, GroupHealth, ReplicaHealth
from railsail.scheduling.tickets import Ticket, TicketKey
from railsail.scheduling.warmup import Warmup

MIN_LIMIT = 1.0
# A replica is given one call beyond its slots for each of this many slots, and at least one. These
# calls wait in its queue, so that no slot is idle for a round trip.
SLOTS_PER_QUEUED_CALL = 24
# In an overload, one of this many slots is reserved for workspaces below their share, whose
# requests are rare and can wait only for a moment. Without the reserve, a workspace that requested
# a third of a simulated cell of 48 slots was served an eighth of its requests beside one that
# overloaded the cell; with the reserve it was served over 95%.
SLOTS_PER_RESERVED_SLOT = 12
# The limit on calls of a replica that does not report its slots: its initial value, its maximum,
# and its factor after a slow or failed call.
INITIAL_LIMIT = 4.0
MAX_LIMIT = 4096.0
DECREASE_FACTOR = 0.7
# A call that takes this many times the mean duration shows that the replica is overloaded.
SLOW_FACTOR = 3.0
# The numbers of own calls in flight are remembered for this many seconds, to distinguish them from
# the calls of others in a report that lags.
REPORT_LAG_SECONDS = 2.0
# Smoothing factor of the mean duration of a call.
MEAN_DURATION_GAIN = 0.1
# Prompt tokens that a replica prefills per second: the assumed rate before any answer, and the
# lowest rate that is assumed later.
INITIAL_PREFILL_RATE = 120_000.0
MIN_PREFILL_RATE = 10_000.0
# The part of the earlier prefill observations that is kept at each new answer.
PREFILL_DECAY = 0.98
# The base latency is the shortest time to the start of an answer. It grows by this factor with each
# answer, so that it follows a replica that becomes slower.
BASE_LATENCY_GROWTH = 1.002
# The pending prefill of a replica, together with the prompt of a new request, may take this part of
# the request's objective.
PREFILL_SHARE = 0.4
# A workspace without other prompts pending prefill may use this part instead, and so may one that
# is below its share in an overload: it must not be refused because of what others sent before it. A
# prompt whose long prefix is cached may as well, because it adds little to the pending prefill
# here, and would add all of its tokens elsewhere.
RAISED_PREFILL_SHARE = 0.6
# All the time before the answer starts, waiting included, may take this part of the objective.
ANSWER_SHARE = 0.8
# In an overload, a workspace that has had its share may use only this part. That leaves the rest to
# others, and still keeps a replica busy: with the shortest objectives it is 40 ms, four times a
# round trip of 10 ms.
REDUCED_PREFILL_SHARE = 0.15
# A prompt whose own prefill takes longer than this part of the objective would never find a replica
# that can start its answer in time. It counts as this part only, so that it is answered, although
# late.
MAX_OWN_PREFILL_SHARE = 0.25
# A prompt prefix of this many tokens is worth waiting for the replica that has it cached.
LONG_PREFIX_TOKENS = 1000
# Prompt prefixes that are remembered as cached on a replica; the oldest are dropped.
MAX_PREFIXES = 4096
# Calls that were granted within this many seconds of each other may reach the replica in the other
# order, since they are sent by different nodes.
REORDER_SECONDS = 0.03
# A call is overdue if nothing was heard of its answer for this many seconds. A node that is late
# reports sooner.
OVERDUE_SECONDS = 1.5
# A replica with pending answers that has started none for this many seconds is given no calls.
SILENT_SECONDS = 0.8


class PendingPrefill(msgspec.Struct, frozen=True):
    """A call whose answer has not started, with its prompt tokens.

    ``total_tokens`` is the whole pending prefill of the replica when the call was recorded, this
    prompt included. ``since`` is in seconds of the dispatcher's clock. ``acknowledged`` is True if
    the answer to a later call has started, which shows that this prompt was prefilled.
    """

    tokens: int
    total_tokens: int
    since: float
    acknowledged: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """What a replica reports about itself.

    ``slots`` is how many calls it can run at once; ``running`` and ``waiting`` count the calls that
    it has. ``age`` is the age of these numbers in seconds. ``leaving`` means that it is draining
    before it stops.
    """

    slots: int
    running: int
    waiting: int
    leaving: bool = False
    age: float = 0.0


class ReplicaState:
    """The load, limit and health of one replica, as one dispatcher sees them.

    The limit is learnt if ``slots`` is 0.
    """

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.in_flight = 0
        self.leaving = False
        # Until when it is given no calls because its software version is new in its pool.
        self.held_until = -math.inf
        self.region = ""
        self.calls_of_others = 0
        self._slots = slots
        self._limit = INITIAL_LIMIT
        self.health = ReplicaHealth()
        self.warmup = Warmup()
        self._mean_duration = 0.0
        # Numbers of own calls in flight, each with the time when it was recorded.
        self._recent_in_flight: deque[tuple[float, int]] = deque()
        self._pending: dict[TicketKey, PendingPrefill] = {}
        self._pending_tokens = 0
        self._base_latency = 0.0
        # Decaying sums of the tokens that were prefilled and of the time that this took.
        self._observed_tokens = INITIAL_PREFILL_RATE
        self._observed_seconds = 1.0
        self._last_answer_at = 0.0
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    @property
    def limit(self) -> float:
        """Return how many calls the replica can run at once."""
        return float(self._slots) if self._slots else self._limit

    def queue_depth(self) -> int:
        """Return how many calls may be queued at the replica to keep its slots busy."""
        return max(1, int(self.limit) // SLOTS_PER_QUEUED_CALL)

    def reserved_slots(self) -> int:
        """Return the slots reserved in an overload for workspaces below their share."""
        return int(self.limit) // SLOTS_PER_RESERVED_SLOT

    def serves(self, now: float) -> bool:
        """Return True if the replica may be given calls at all."""
        if self.leaving or now < self.held_until:
            return False
        return not (self.health.is_ejected(now) or self._is_silent(now))

    @property
    def unread_seconds(self) -> float:
        """Return how long the replica needs for its pending prefill."""
        return self._pending_tokens / self.prefill_rate

    @property
    def base_latency(self) -> float:
        """Return the shortest recent time to the start of an answer in seconds, 0 if unknown."""
        return self._base_latency

    def room(self, now: float, extra: int = 0) -> int:
        """Return how many more calls fit at ``now``, with ``extra`` beyond the limit."""
        if not self.serves(now):
            return 0
        if self.health.tripped:
            # An ejected replica is probed with a single call.
            return int(self.health.can_probe)
        if not self.warmup.allows_call(now):
            return 0
        return max(0, int(self.limit) + extra - self.in_flight - self.calls_of_others)

    def startable_calls(self, now: float) -> int:
        """Return how many calls can start at ``now``; a cold replica is given one at a time."""
        free = self.room(now)
        return min(free, 1) if self.warmup.is_cold(now) else free

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens that the replica prefills per second."""
        return max(MIN_PREFILL_RATE, self._observed_tokens / self._observed_seconds)

    def uncached_tokens(self, ticket: Ticket) -> int:
        """Return the tokens of a prompt that the replica probably does not have cached."""
        if ticket.prefix and ticket.prefix in self._prefixes:
            return max(1, ticket.prompt_tokens - ticket.shared_tokens)
        return ticket.prompt_tokens

    def can_answer_in_time(
        self, ticket: Ticket, now: float, share: float = 0.0, after: float = 0.0
    ) -> bool:
        """Return True if the answer to ``ticket`` would start well within its objective.

        ``share`` is the part of the objective that pending prefill may take, 0 for the usual part.
        ``after`` is a delay in seconds before the replica is given the call, in which it continues
        its prefill. A replica without pending prefill takes any prompt.
        """
        if not ticket.prompt_tokens or not ticket.objective or not self._pending_tokens:
            return True
        share = share or self._default_share(ticket)
        own_seconds = min(
            self.uncached_tokens(ticket) / self.prefill_rate,
            MAX_OWN_PREFILL_SHARE * ticket.objective,
        )
        total_seconds = max(0.0, self.unread_seconds - after) + own_seconds
        waited = now + after - ticket.enqueued_at
        remaining = ANSWER_SHARE * ticket.objective - waited - self._base_latency
        return total_seconds <= min(share * ticket.objective, remaining)

    def _default_share(self, ticket: Ticket) -> float:
        is_cached = ticket.shared_tokens >= LONG_PREFIX_TOKENS and self.has_prefix(ticket.prefix)
        return RAISED_PREFILL_SHARE if is_cached else PREFILL_SHARE

    def record_prefix(self, ticket: Ticket) -> None:
        """Record that the replica will have the prefix of a prompt cached."""
        if not ticket.prefix:
            return
        self._prefixes[ticket.prefix] = None
        self._prefixes.move_to_end(ticket.prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def has_prefix(self, prefix: int) -> bool:
        """Return True if the replica probably has a prompt prefix cached."""
        return prefix in self._prefixes

    def record_pending(self, key: TicketKey, tokens: int, now: float) -> None:
        """Record a call with a prompt of ``tokens`` whose answer has yet to start."""
        self.drop_pending(key)
        self._count_overdue(now)
        self._pending_tokens += tokens
        self._pending[key] = PendingPrefill(tokens, self._pending_tokens, now)

    def answer_started(self, key: TicketKey, now: float) -> None:
        """Record the start of a good answer, which shows that its prompt was prefilled."""
        if self.health.was_unreachable:
            # It may be a new process under the old name that the platform has not reported yet.
            self.warmup.mark_cold(self.warmup.bound.seconds, now)
        self.health.answer_started()
        pending = self._pending.get(key)
        self.drop_pending(key)
        self._last_answer_at = now
        if pending is not None:
            self._acknowledge(pending.since - REORDER_SECONDS, now)
        if pending is None or pending.tokens <= 1 or pending.acknowledged:
            return
        seconds = now - pending.since
        base_latency = self._base_latency * BASE_LATENCY_GROWTH
        self._base_latency = min(seconds, base_latency) if base_latency else seconds
        self._observed_tokens = self._observed_tokens * PREFILL_DECAY + pending.total_tokens
        self._observed_seconds *= PREFILL_DECAY
        self._observed_seconds += max(0.0, seconds - self._base_latency)

    def _acknowledge(self, until: float, now: float) -> None:
        """Stop counting the prompts of calls up to ``until``, once a later answer has started.

        A replica prefills prompts in the order of their arrival. A node that is late reports the
        start of an answer long after it, and its prompts would count as pending until then.
        """
        for key, pending in self._pending.items():
            if pending.since > until or pending.acknowledged or _is_overdue(pending, now):
                continue
            self._pending[key] = structs.replace(pending, acknowledged=True)
            self._pending_tokens -= pending.tokens

    def _count_overdue(self, now: float) -> None:
        """Count the prompts of acknowledged calls again that nothing is heard of.

        The replica has probably not answered them, and may leave the next ones without an answer
        too.
        """
        for key, pending in self._pending.items():
            if pending.acknowledged and _is_overdue(pending, now):
                self._pending[key] = structs.replace(pending, acknowledged=False)
                self._pending_tokens += pending.tokens

    def drop_pending(self, key: TicketKey) -> None:
        """Record that no answer to a call is expected any more."""
        pending = self._pending.pop(key, None)
        if pending is not None and not pending.acknowledged:
            self._pending_tokens -= pending.tokens

    def _is_silent(self, now: float) -> bool:
        if not self._pending:
            return False
        oldest = next(iter(self._pending.values())).since
        return now - max(oldest, self._last_answer_at) > SILENT_SECONDS

    def utilization(self) -> float:
        """Return the calls per slot, own and those of others; 1.0 is full."""
        return (self.in_flight + self.calls_of_others) / max(self.limit, MIN_LIMIT)

    def call_started(self, now: float) -> None:
        """Record a granted call."""
        self.in_flight += 1
        self.health.call_started()
        self.warmup.call_started(now)
        self._record_in_flight(now)

    def call_ended(self, now: float) -> None:
        """Record the end of a call, whatever its result."""
        self._record_in_flight(now)
        self.health.call_ended()
        self.in_flight = max(0, self.in_flight - 1)

    def call_succeeded(self, now: float, seconds: float) -> None:
        """Record a call that was answered completely after ``seconds``."""
        self.health.call_succeeded()
        if self._mean_duration == 0.0:
            self._mean_duration = seconds
        if seconds > SLOW_FACTOR * self._mean_duration:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        elif self.in_flight + 1 >= int(self._limit):
            self._limit = min(MAX_LIMIT, self._limit + 1 / self._limit)
        self._mean_duration += MEAN_DURATION_GAIN * (seconds - self._mean_duration)

    def call_failed(
        self, now: float, result: CallResult, others: GroupHealth, started_at: float = math.inf
    ) -> None:
        """Record a call that failed or was refused; enough of them eject the replica.

        ``started_at`` is when it was given the call, if that is known.
        """
        if self.health.was_ejected_for(result, started_at):
            return
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        self.health.call_failed(now, result, others)

    def apply_report(self, now: float, report: LoadReport) -> None:
        """Apply a load report, which lags by its age.

        Whether the replica is draining is decided from all signals, not here: see ``leaving``.
        """
        if report.slots:
            self._slots = report.slots
        self._record_in_flight(now)
        since = now - report.age - REPORT_LAG_SECONDS
        while len(self._recent_in_flight) > 1 and self._recent_in_flight[1][0] <= since:
            self._recent_in_flight.popleft()
        max_own = max(own for _, own in self._recent_in_flight)
        self.calls_of_others = max(0, report.running + report.waiting - max_own)

    def _record_in_flight(self, now: float) -> None:
        self._recent_in_flight.append((now, self.in_flight))


def _is_overdue(pending: PendingPrefill, now: float) -> bool:
    return now - pending.since > OVERDUE_SECONDS
