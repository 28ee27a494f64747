"""The ticket: what a dispatcher knows of a request that waits."""

from dataclasses import dataclass

# One unit of rank is worth this many seconds of waiting, so that low ranks age and finish.
SECONDS_PER_RANK = 30.0
# The part of its objective that a request can wait for a place.
WAIT_SHARE = 0.2
# A request whose caller was refused before is served after all others of its workspace, as if it
# had come so many seconds later: longer than any of them waits. It is late from its first try on,
# while theirs can still be in time; and a late answer is better than another refusal. Served before
# them, of 7,729 requests of a flooded route 2,913 were in time, after them 4,516 (one play of 62
# nodes each, the same seed).
RETURNED_SECONDS = 60.0

TicketKey = tuple[str, int]


@dataclass(frozen=True)
class Ticket:
    """A request that waits for room on a replica of one cell.

    ``entry`` is the id of the node that holds the caller's connection; with ``number`` it makes the
    key. ``attempt`` rises each time the entry places the ticket anew, so that a grant of an earlier
    placing is told apart. ``estimate`` is in cost units, ``enqueued_at`` in seconds of the
    dispatcher's clock. ``urgent`` work is answered at once or refused. ``prefix`` is a hash of the
    prompt's beginning, 0 for none. ``avoid`` names a replica that just failed the request.
    ``prompt_tokens`` must be read before the answer begins, of which other prompts share the first
    ``shared_tokens``; it is due ``objective`` seconds after the request came. All are 0 where they
    are not known. ``returned`` says that the caller was refused before; it is served late rather
    than refused again, after all others. It may wait ``patience`` seconds for its place, 0 for as
    long as its entry lets it; its caller would come back within ``returns_within`` seconds, 0 for
    not at all. The request runs in one of ``regions``, in any where none are named. A repeat of it
    has the same ``fingerprint``, 0 where there is none. Its entry may not send it to the replicas
    ``excluded``. ``route`` is the fingerprint of its route, 0 where there is none.
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

    @property
    def key(self) -> TicketKey:
        """Return what names the ticket at its dispatcher."""
        return (self.entry, self.number)

    def may_run_in(self, region: str) -> bool:
        """Say whether the request may run in ``region``."""
        return not self.regions or region in self.regions

    def may_run_on(self, replica: str, region: str) -> bool:
        """Say whether the request may run on ``replica``, which is in ``region``."""
        return replica not in self.excluded and self.may_run_in(region)

    def has_expired(self, now: float) -> bool:
        """Say whether the ticket has waited for longer than it may."""
        return 0 < self.patience < now - self.enqueued_at

    @property
    def order(self) -> float:
        """Return the place inside the workspace; lower is served first.

        Of two requests that came together, the one whose answer is due sooner goes first.
        """
        due = self.enqueued_at + WAIT_SHARE * self.objective
        if self.returned:
            due += RETURNED_SECONDS
        return due - self.rank * SECONDS_PER_RANK
