"""The ticket: what a dispatcher knows of a request that waits."""

from dataclasses import dataclass

# One unit of rank is worth this many seconds of waiting, so that low ranks age and finish.
SECONDS_PER_RANK = 30.0
# The part of its objective that a request can wait for a place.
WAIT_SHARE = 0.2

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
    are not known.
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

    @property
    def key(self) -> TicketKey:
        """Return what names the ticket at its dispatcher."""
        return (self.entry, self.number)

    @property
    def order(self) -> float:
        """Return the place inside the workspace; lower is served first.

        Of two requests that came together, the one whose answer is due sooner goes first.
        """
        due = self.enqueued_at + WAIT_SHARE * self.objective
        return due - self.rank * SECONDS_PER_RANK
