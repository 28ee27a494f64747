"""The ticket: what a dispatcher knows of a request that waits."""

from dataclasses import dataclass

# One unit of rank is worth this many seconds of waiting, so that low ranks age and finish.
SECONDS_PER_RANK = 30.0
# The part of its objective that a request can wait for a place.
WAIT_SHARE = 0.2
# A request whose caller was refused before goes ahead of others of its workspace, as if it had come
# so many seconds earlier: longer than any of them waits.
RETURNED_SECONDS = 60.0
# After this part of its objective such a request will hardly be in time. It is then served after
# all others, where a replica would be idle: a late answer is better than another refusal.
RETURNED_SHARE = WAIT_SHARE

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
    than refused again. It may wait ``patience`` seconds for its place, 0 for as long as its
    entry lets it; its caller would come back within ``returns_within`` seconds, 0 for not at all.
    A ``late`` ticket is served after all others. The request runs in one of ``regions``, in any
    where none are named. A repeat of it has the same ``fingerprint``, 0 where there is none.
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
    late: bool = False
    regions: tuple[str, ...] = ()
    fingerprint: int = 0

    @property
    def key(self) -> TicketKey:
        """Return what names the ticket at its dispatcher."""
        return (self.entry, self.number)

    def may_run_in(self, region: str) -> bool:
        """Say whether the request may run in ``region``."""
        return not self.regions or region in self.regions

    def has_expired(self, now: float) -> bool:
        """Say whether the ticket has waited for longer than it may."""
        return 0 < self.patience < now - self.enqueued_at

    def becomes_late(self, now: float) -> bool:
        """Say whether the ticket, which was not to be refused again, will hardly be in time."""
        waited = now - self.enqueued_at
        return self.returned and not self.late and waited > RETURNED_SHARE * self.objective

    @property
    def order(self) -> float:
        """Return the place inside the workspace; lower is served first.

        Of two requests that came together, the one whose answer is due sooner goes first.
        """
        due = self.enqueued_at + WAIT_SHARE * self.objective
        if self.late:
            due += RETURNED_SECONDS
        elif self.returned:
            due -= RETURNED_SECONDS
        return due - self.rank * SECONDS_PER_RANK
