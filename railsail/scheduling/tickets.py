"""The ticket: a waiting request, as the dispatcher of its cell sees it."""

from dataclasses import dataclass

# One unit of rank counts as this many seconds of waiting, so that tickets of a low rank age and are
# served in the end.
SECONDS_PER_RANK = 30.0
# The part of its objective that a request can spend waiting for a slot.
WAIT_SHARE = 0.2
# A retry of a refused request is ordered as if it had arrived this many seconds later. That is
# longer than any ticket waits, so that a retry is served after all other tickets of its workspace.
# It has missed its objective already, while the others can still meet theirs, and a late answer is
# better than another refusal. In a load test with 62 nodes, of 7,729 requests to an overloaded
# route 2,913 were answered in time where retries were served first, and 4,516 where they were
# served last.
RETRY_DEFERRAL_SECONDS = 60.0

TicketKey = tuple[str, int]


@dataclass(frozen=True)
class Ticket:
    """A request that waits for a free slot on a replica of one cell.

    ``entry`` is the id of the node that holds the caller's connection; ``entry`` and ``number``
    together are the key. ``attempt`` rises each time the entry places the ticket again, so that a
    grant of an earlier placement can be recognized. ``rank`` orders the tickets of a workspace: a
    higher one is served earlier. ``estimate`` is in cost units, ``enqueued_at`` in seconds of the
    dispatcher's clock. An ``urgent`` request is granted at once or refused. ``avoid`` names a
    replica that has just failed the request.

    ``prompt_tokens`` is the length of the prompt and ``objective`` the time in seconds, from the
    arrival of the request, within which its answer has to start. ``prefix`` is a hash of the prompt
    prefix, and ``shared_tokens`` how many tokens of it other prompts share. All four are 0 where
    they are not known.

    ``patience`` is the maximum wait in seconds; 0 leaves the limit to the entry. ``returns_within``
    is the time in seconds within which the caller would retry after a refusal, 0 if it would not.
    ``returned`` marks the retry of a refused request: it is served after all others, but may wait
    longer before it is refused again. ``fingerprint`` identifies equal requests, so that a retry
    has the fingerprint of the first attempt, and ``route`` is the fingerprint of the route; both
    are 0 where there is none. ``parts`` are the fingerprints of the parts that the prompt shares
    with others.

    The request may run only in ``regions``, or in any region if the tuple is empty, and not on the
    replicas in ``excluded``. One that continues a stream may run only on replicas of
    ``software_version``, which is ``None`` for all others.
    """

    entry: str
    number: int
    attempt: int
    workspace: str
    rank: float
    estimate: float
    enqueued_at: float
    urgent: bool = False
    prefix: int = 0
    avoid: str = ""
    prompt_tokens: int = 0
    shared_tokens: int = 0
    objective: float = 0.0
    returned: bool = False
    patience: float = 0.0
    returns_within: float = 0.0
    regions: tuple[str, ...] = ()
    fingerprint: int = 0
    excluded: tuple[str, ...] = ()
    route: int = 0
    software_version: str | None = None
    parts: tuple[int, ...] = ()

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint, *self.parts)

    @property
    def key(self) -> TicketKey:
        """Return the key that identifies the ticket at its dispatcher."""
        return (self.entry, self.number)

    @property
    def is_continuation(self) -> bool:
        """Return True if the request continues a stream, at one software version only."""
        return self.software_version is not None

    def can_run_in(self, region: str) -> bool:
        """Return True if the request may run in ``region``."""
        return not self.regions or region in self.regions

    def can_run_on(self, replica: str, region: str) -> bool:
        """Return True if the request may run on ``replica``, which is in ``region``."""
        return replica not in self.excluded and self.can_run_in(region)

    def has_expired(self, now: float) -> bool:
        """Return True if the ticket has waited longer than its maximum wait."""
        return 0 < self.patience < now - self.enqueued_at

    @property
    def sort_key(self) -> float:
        """Return the sort key within the workspace; the lowest is served first.

        Of two requests that arrived together, the one with the earlier deadline for its answer goes
        first.
        """
        due = self.enqueued_at + WAIT_SHARE * self.objective
        if self.returned:
            due += RETRY_DEFERRAL_SECONDS
        return due - self.rank * SECONDS_PER_RANK
