"""What an entry asks of a pool, and the ticket that it holds for it."""

import asyncio
from dataclasses import dataclass, field

from railsail.core.exceptions import RailsailError
from railsail.core.outcomes import Reason
from railsail.peers.messages import Place
from railsail.scheduling.cells import Cell
from railsail.scheduling.tickets import Ticket

URGENT_FLAG = 1
RETURNED_FLAG = 2
RANK_SCALE = 1000


@dataclass(frozen=True)
class PoolRequest:
    """What a request asks of a pool.

    ``rank`` and ``urgent`` come from the policy, ``estimate`` is in cost units, ``prefix`` is a
    hash of the prompt's beginning or 0, ``avoid`` names a replica that just failed the request.
    ``prompt_tokens`` are to be read, of which other prompts have the first ``shared_tokens`` as
    well, and ``objective`` is the time in seconds within which the answer should begin; 0 where
    they are not known. ``returned`` says that its caller was refused before. It may wait
    ``patience`` seconds for its place, and would come back within ``returns_within`` seconds. It
    runs in one of ``regions``, in any where none are named. A repeat of the request has the same
    ``fingerprint``, 0 where there is none. The replicas ``excluded`` asked the entry for rest.
    ``route`` is the fingerprint of its route, 0 where no rollout of the pool runs.
    """

    request_id: str
    pool: str
    workspace: str
    rank: float
    estimate: float
    urgent: bool
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


class TicketRefused(RailsailError):
    """A dispatcher refused the ticket, for ``reason``; its caller should ``come_back`` so late.

    The time is in seconds, 0 where the dispatcher does not know.
    """

    def __init__(self, reason: Reason, come_back: float = 0.0) -> None:
        super().__init__(str(reason))
        self.reason = reason
        self.come_back = come_back


@dataclass
class Booking:
    """One ticket of this entry, from its placing to its release."""

    number: int
    want: PoolRequest
    placed_at: float
    cell: Cell
    node: str
    attempt: int = 1
    replica: str = ""
    charged: float = 0.0
    granted_at: float = 0.0
    refused: bool = False
    begun: bool = False
    granted: asyncio.Future = field(default_factory=asyncio.Future)
    # The limit of its wait, while it waits.
    limit: asyncio.Timeout | None = None

    @property
    def waiting(self) -> bool:
        """Say whether no grant has come yet."""
        return not self.replica


def ticket_name(entry: str, number: int) -> str:
    """Return how logs name ticket ``number`` of the node ``entry``, on whichever daemon."""
    return f"{entry}#{number}"


def to_place(
    asked: PoolRequest | Ticket, number: int, attempt: int, cell: Cell, waited: float
) -> Place:
    """Return the message that places with ``cell`` what has ``waited`` for so many seconds."""
    return Place(
        number,
        attempt,
        cell.number,
        cell.pool,
        asked.workspace,
        round(asked.rank * RANK_SCALE),
        round(asked.estimate),
        max(0, round(waited * 1000)),
        (URGENT_FLAG if asked.urgent else 0) | (RETURNED_FLAG if asked.returned else 0),
        asked.prefix,
        asked.avoid,
        asked.prompt_tokens,
        asked.shared_tokens,
        round(asked.objective * 1000),
        round(asked.patience * 1000),
        max(0, round(asked.returns_within * 1000)),
        list(asked.regions),
        asked.fingerprint,
        list(asked.excluded),
        asked.route,
    )


def to_ticket(entry: str, message: Place, now: float) -> Ticket:
    """Return the ticket that ``message`` of ``entry`` places, at ``now`` of this node's clock."""
    return Ticket(
        entry=entry,
        number=message.number,
        attempt=message.attempt,
        workspace=message.workspace,
        rank=message.rank / RANK_SCALE,
        estimate=float(max(message.estimate, 1)),
        enqueued_at=now - message.waited / 1000,
        urgent=bool(message.flags & URGENT_FLAG),
        prefix=message.prefix,
        avoid=message.avoid,
        prompt_tokens=message.prompt_tokens,
        shared_tokens=message.shared_tokens,
        objective=message.objective / 1000,
        returned=bool(message.flags & RETURNED_FLAG),
        patience=message.patience / 1000,
        returns_within=message.returns_within / 1000,
        regions=tuple(message.regions),
        fingerprint=message.fingerprint,
        excluded=tuple(message.excluded),
        route=message.route,
    )
