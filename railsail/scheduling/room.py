"""How many more calls a replica can take now.

Room is the reported limit less this dispatcher's own calls in flight and less the load of others.
Where a replica reports nothing, the limit is learnt by additive increase and multiplicative
decrease. A replica that does badly is closed for a while (see ``railsail.scheduling.health``).
"""

import math
from collections import OrderedDict, deque

import msgspec

from railsail.scheduling.health import CallResult, Peers, ReplicaHealth
from railsail.scheduling.tickets import Ticket, TicketKey
from railsail.scheduling.warmup import Warmup

LEAST_LIMIT = 1.0
OVERLAP_SHARE = 24
# In an overload one slot of so many is left to workspaces below their share, whose requests come
# seldom and can wait for a moment only. Without, a workspace that asked for a third of a cell was
# served an eighth of its requests beside a flood, with it over 95% (simulated cell of 48 slots).
SLOTS_A_RESERVED_ONE = 12
FIRST_LIMIT = 4.0
MOST_LIMIT = 4096.0
DECREASE = 0.7
# A call that takes this many times the usual time says that the replica is too full.
SLOW_FACTOR = 3.0
# Own calls are remembered this long, to tell them from foreign ones in a report that lags.
REPORT_LAG_SECONDS = 2.0
USUAL_TIME_GAIN = 0.1
# Prompt tokens that a replica reads in a second, until it was seen to read some; never less.
FIRST_READ_RATE = 120_000.0
LEAST_READ_RATE = 10_000.0
# How much of what was seen of reading is kept at each new answer.
READ_MEMORY = 0.98
# The shortest wait for an answer seen is taken to grow by this share with each one.
BASE_GROWTH = 1.002
# The prompts that a replica has yet to read may take this part of a request's objective, and all
# that passes before the answer begins this part of it.
READ_SHARE = 0.4
# A workspace that has no other prompt unread may use this part instead, and in an overload one that
# is below its share: what others have brought before it must not be why it is refused. A prompt
# whose long beginning is in memory may as well: it adds little to what is unread, and read
# elsewhere it would add all. The shortest answers still begin within four fifths of their
# objective.
MORE_READ_SHARE = 0.6
ANSWER_SHARE = 0.8
# In an overload a workspace that had its share may use only this part, which leaves the rest to
# others and keeps a replica reading: 40 ms of the shortest objectives, where a round trip takes 10.
LESS_READ_SHARE = 0.15
# A prompt that takes longer to read than this part of the objective would never find a replica
# that reads it in time; it is let in as if it took no longer, and is late, but served.
LARGEST_SHARE = 0.25
# A beginning of so many tokens is worth waiting for the replica that has it in memory.
LONG_PREFIX_TOKENS = 1000
# Prompt beginnings remembered as kept in a replica's memory.
MOST_PREFIXES = 4096
# A replica that owes first answers, and gave none for so long, gets nothing more.
SILENT_SECONDS = 0.8


class Unread(msgspec.Struct, frozen=True):
    """A call whose answer has not begun: its prompt tokens, and those read before it and with it.

    ``since`` is in seconds of the dispatcher's clock.
    """

    tokens: int
    ahead: int
    since: float


class LoadReport(msgspec.Struct, frozen=True):
    """What a replica says of itself.

    ``slots`` is how many calls it works on at once, ``running`` and ``waiting`` are the calls it
    has; ``age`` is how old the figures are, in seconds.
    """

    slots: int
    running: int
    waiting: int
    leaving: bool = False
    age: float = 0.0


class ReplicaRoom:
    """The room of one replica, as one dispatcher sees it; ``slots`` of 0 means to learn it."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.in_flight = 0
        self.leaving = False
        # Until when it is given nothing, because its software version is new in its pool.
        self.held_until = -math.inf
        self.region = ""
        self.foreign = 0
        self._slots = slots
        self._limit = FIRST_LIMIT
        self.health = ReplicaHealth()
        self.warmup = Warmup()
        self._usual_time = 0.0
        self._recent: deque[tuple[float, int]] = deque()
        self._unread: dict[TicketKey, Unread] = {}
        self._unread_tokens = 0
        self._base_seconds = 0.0
        self._read_tokens = FIRST_READ_RATE
        self._read_seconds = 1.0
        self._answered_at = 0.0
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    @property
    def limit(self) -> float:
        """Return how many calls the replica works on at once."""
        return float(self._slots) if self._slots else self._limit

    def overlap(self) -> int:
        """Return the calls queued at the replica, so that a round trip leaves no slot idle."""
        return max(1, int(self.limit) // OVERLAP_SHARE)

    def reserve(self) -> int:
        """Return the slots left to workspaces below their share while not all can be served."""
        return int(self.limit) // SLOTS_A_RESERVED_ONE

    def serves(self, now: float) -> bool:
        """Say whether the replica may be given calls at all."""
        if self.leaving or now < self.held_until:
            return False
        return not (self.health.closed(now) or self._silent(now))

    @property
    def unread_seconds(self) -> float:
        """Return how long the replica will read the prompts that it has."""
        return self._unread_tokens / self.read_rate

    def room(self, now: float, extra: int = 0) -> int:
        """Return how many more calls fit at ``now``, with ``extra`` beyond the limit."""
        if not self.serves(now):
            return 0
        if self.health.tripped:
            # The replica was closed and is tried again, with one call at a time.
            return int(self.health.wants_trial)
        if not self.warmup.allows(now):
            return 0
        return max(0, int(self.limit) + extra - self.in_flight - self.foreign)

    def can_begin(self, now: float) -> int:
        """Return how many calls can begin at ``now``: a cold replica is given one after another."""
        free = self.room(now)
        return min(free, 1) if self.warmup.cold(now) else free

    @property
    def read_rate(self) -> float:
        """Return the prompt tokens that the replica reads in a second."""
        return max(LEAST_READ_RATE, self._read_tokens / self._read_seconds)

    def to_read(self, ticket: Ticket) -> int:
        """Return the tokens of a prompt that the replica probably does not have in memory."""
        if ticket.prefix and ticket.prefix in self._prefixes:
            return max(1, ticket.prompt_tokens - ticket.shared_tokens)
        return ticket.prompt_tokens

    def reads_in_time(
        self, ticket: Ticket, now: float, share: float = 0.0, after: float = 0.0
    ) -> bool:
        """Say whether the answer to ``ticket`` would begin well within its objective.

        What is unread may take ``share`` of the objective, 0 for the usual part. The replica would
        be given it ``after`` so many seconds, in which it reads on. A replica with nothing to read
        takes any prompt.
        """
        if not ticket.prompt_tokens or not ticket.objective or not self._unread_tokens:
            return True
        share = share or self._usual_share(ticket)
        own = min(self.to_read(ticket) / self.read_rate, LARGEST_SHARE * ticket.objective)
        seconds = max(0.0, self.unread_seconds - after) + own
        waited = now + after - ticket.enqueued_at
        left = ANSWER_SHARE * ticket.objective - waited - self._base_seconds
        return seconds <= min(share * ticket.objective, left)

    def _usual_share(self, ticket: Ticket) -> float:
        keeps = ticket.shared_tokens >= LONG_PREFIX_TOKENS and self.has_prefix(ticket.prefix)
        return MORE_READ_SHARE if keeps else READ_SHARE

    def keep_prefix(self, ticket: Ticket) -> None:
        """Take note that the replica will have the beginning of a prompt in memory."""
        if not ticket.prefix:
            return
        self._prefixes[ticket.prefix] = None
        self._prefixes.move_to_end(ticket.prefix)
        if len(self._prefixes) > MOST_PREFIXES:
            self._prefixes.popitem(last=False)

    def has_prefix(self, prefix: int) -> bool:
        """Say whether the replica probably has the beginning of a prompt in memory."""
        return prefix in self._prefixes

    def expect(self, key: TicketKey, tokens: int, now: float) -> None:
        """Take note that the answer to a call with a prompt of ``tokens`` has yet to begin."""
        self.forget(key)
        self._unread_tokens += tokens
        self._unread[key] = Unread(tokens, self._unread_tokens, now)

    def answered(self, key: TicketKey, now: float) -> None:
        """Take note that a good answer has begun, so that its prompt was read."""
        if self.health.lost:
            # It may be a new process under the old name, of which the platform has not told yet.
            self.warmup.cold_for(self.warmup.bound.seconds, now)
        self.health.begun()
        unread = self._unread.get(key)
        self.forget(key)
        self._answered_at = now
        if unread is None or unread.tokens <= 1:
            return
        seconds = now - unread.since
        base = self._base_seconds * BASE_GROWTH
        self._base_seconds = min(seconds, base) if base else seconds
        self._read_tokens = self._read_tokens * READ_MEMORY + unread.ahead
        self._read_seconds *= READ_MEMORY
        self._read_seconds += max(0.0, seconds - self._base_seconds)

    def forget(self, key: TicketKey) -> None:
        """Take note that the answer to a call is not expected any more."""
        unread = self._unread.pop(key, None)
        if unread is not None:
            self._unread_tokens -= unread.tokens

    def _silent(self, now: float) -> bool:
        if not self._unread:
            return False
        oldest = next(iter(self._unread.values())).since
        return now - max(oldest, self._answered_at) > SILENT_SECONDS

    def fullness(self) -> float:
        """Return calls per slot, own and foreign; 1.0 is full."""
        return (self.in_flight + self.foreign) / max(self.limit, LEAST_LIMIT)

    def started(self, now: float) -> None:
        """Take note of a call granted."""
        self.in_flight += 1
        self.health.started()
        self.warmup.started(now)
        self._remember(now)

    def ended(self, now: float) -> None:
        """Take note of the end of a call, however it ended."""
        self._remember(now)
        self.health.ended()
        self.in_flight = max(0, self.in_flight - 1)

    def succeeded(self, now: float, seconds: float) -> None:
        """Take note that a call was answered whole after ``seconds``."""
        self.health.succeeded()
        if self._usual_time == 0.0:
            self._usual_time = seconds
        if seconds > SLOW_FACTOR * self._usual_time:
            self._limit = max(LEAST_LIMIT, self._limit * DECREASE)
        elif self.in_flight + 1 >= int(self._limit):
            self._limit = min(MOST_LIMIT, self._limit + 1 / self._limit)
        self._usual_time += USUAL_TIME_GAIN * (seconds - self._usual_time)

    def failed(self, now: float, result: CallResult, peers: Peers) -> None:
        """Take note that a call failed or was refused; enough of them close the replica."""
        self._limit = max(LEAST_LIMIT, self._limit * DECREASE)
        self.health.failed(now, result, peers)

    def reported(self, now: float, report: LoadReport) -> None:
        """Take in a load report, which lags by its age.

        Whether the replica leaves is decided from all signs, not here: see ``leaving``.
        """
        if report.slots:
            self._slots = report.slots
        self._remember(now)
        since = now - report.age - REPORT_LAG_SECONDS
        while len(self._recent) > 1 and self._recent[1][0] <= since:
            self._recent.popleft()
        most_own = max(own for _, own in self._recent)
        self.foreign = max(0, report.running + report.waiting - most_own)

    def _remember(self, now: float) -> None:
        self._recent.append((now, self.in_flight))
