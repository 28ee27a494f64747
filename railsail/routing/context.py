"""The state of one request while a daemon serves it."""

from dataclasses import dataclass

from railsail.objects.kinds import CostUnit, Pool, Route
from railsail.policy.programs import Verdict
from railsail.routing.answer import StreamState
from railsail.routing.client import ClientAnswer
from railsail.routing.messages import RoutedRequest

# A generated token costs a replica about twice as much as a token of the prompt.
OUTPUT_TOKEN_COST = 2.0
# If a request can be retried, its replica counts as silent after this many objectives of the route
# or, within a stream, after this many of its longest pauses between two events.
SILENCE_TIMEOUT_OBJECTIVES = 3.0
SILENCE_TIMEOUT_PAUSES = 4.0
MIN_SILENCE_TIMEOUT_SECONDS = 1.0
# Two model replicas may be at work on one request for at most this long: both read its prompt and
# write the same events.
MODEL_OVERLAP_SECONDS = 0.3


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

    @property
    def silence_timeout(self) -> float:
        """Return after how many seconds without progress a replica counts as silent."""
        if self.stream.head is not None and self.route.pause:
            seconds = SILENCE_TIMEOUT_PAUSES * self.route.pause
        else:
            seconds = SILENCE_TIMEOUT_OBJECTIVES * self.route.objective
        return max(MIN_SILENCE_TIMEOUT_SECONDS, seconds)

    @property
    def max_overlap(self) -> float | None:
        """Return how many seconds two replicas may be at work on the request; any if ``None``."""
        return MODEL_OVERLAP_SECONDS if self.pool.cost_unit is CostUnit.TOKENS else None

    @property
    def estimated_cost(self) -> float:
        """Return the expected cost of the request in the cost unit of its pool."""
        if self.pool.cost_unit is not CostUnit.TOKENS:
            return 1.0
        prompt = self.request.prompt
        output = prompt.expected_output or prompt.max_output
        if prompt.max_output:
            output = min(output, prompt.max_output)
        return max(1.0, prompt.tokens + OUTPUT_TOKEN_COST * output)


def is_silence(seconds: float) -> bool:
    """Return True if a replica that sends nothing for ``seconds`` may be at fault."""
    return seconds > MIN_SILENCE_TIMEOUT_SECONDS
