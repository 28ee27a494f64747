"""Requests to pools, the entry's records of pending calls, and their conversion to messages."""

import asyncio
from dataclasses import dataclass, field

from railsail.core.exceptions import RailsailError
from railsail.core.outcomes import Reason
from railsail.peers.messages import Place
from railsail.scheduling.cells import Cell
from railsail.scheduling.tickets import Ticket

URGENT_FLAG = 1
RETRY_FLAG = 2
CONTINUATION_FLAG = 4
RANK_SCALE = 1000


@dataclass(frozen=True)
class PoolRequest:
    """What a request requires of a replica of its pool, and how it is scheduled.

    ``rank`` and ``urgent`` come from the policy, and ``estimate`` is in cost units. ``prefix`` is a
    hash of the prompt prefix, 0 for none. ``avoid`` names a replica that has just failed the
    request.

    The prompt has ``prompt_tokens`` to prefill, the first ``shared_tokens`` of which it shares with
    other prompts. ``objective`` is the time in seconds within which the answer should start. These
    are 0 where they are unknown.

    ``returned`` is true if the caller was refused before. The request can wait up to ``patience``
    seconds for a replica, and its caller would retry within ``returns_within`` seconds.

    The request runs in one of ``regions``, or in any region if none is named. It cannot be sent to
    the replicas ``excluded``, which are in backoff at this entry or cannot replace a silent one.
    Repeats of the request have the same ``fingerprint``, 0 if there is none. ``route`` is the
    fingerprint of its route, 0 while no rollout of the pool runs. ``parts`` are the fingerprints of
    the parts that its prompt shares with others.

    A request that continues a stream can be sent only to replicas of ``software_version``, the one
    that began the stream; the version is ``None`` for all other requests.
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
    software_version: str | None = None
    parts: tuple[int, ...] = ()

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint, *self.parts)


class TicketRefused(RailsailError):
    """A dispatcher refused the ticket, for ``reason``.

    The caller should retry after ``retry_after`` seconds, 0 where the dispatcher planned no time.
    """

    def __init__(self, reason: Reason, retry_after: float = 0.0) -> None:
        super().__init__(str(reason))
        self.reason = reason
        self.retry_after = retry_after


@dataclass
class Booking:
    """A pending call: this entry's record of one ticket and its grant.

    It exists from placing the ticket until the ticket is withdrawn or refused, or the granted call
    is released. ``cell`` is the cell where the ticket is placed, and ``node`` its dispatcher.
    ``attempt`` counts the placements. ``charged`` is in cost units. ``tried_other_cell`` is set
    when a cell had no capacity, and the ticket is placed with another one. Waiting counts from
    ``requested_at``, in seconds of the monotonic clock.
    """

    number: int
    want: PoolRequest
    requested_at: float
    cell: Cell
    node: str
    attempt: int = 1
    replica: str = ""
    charged: float = 0.0
    granted_at: float = 0.0
    tried_other_cell: bool = False
    begun: bool = False
    granted: asyncio.Future = field(default_factory=asyncio.Future)
    # The timeout of the wait for a grant, once the wait has started.
    timeout: asyncio.Timeout | None = None

    @property
    def waiting(self) -> bool:
        """Return True if no grant has arrived yet."""
        return not self.replica


def ticket_name(entry: str, number: int) -> str:
    """Return the name of ticket ``number`` of the node ``entry`` in the logs of all daemons."""
    return f"{entry}#{number}"


def to_place(
    request: PoolRequest | Ticket, number: int, attempt: int, cell: Cell, waited: float
) -> Place:
    """Return the message that places a ticket with ``cell`` after it ``waited`` that many seconds.

    Cost units are rounded, and times are converted to milliseconds.
    """
    return Place(
        number,
        attempt,
        cell.number,
        cell.pool,
        request.workspace,
        round(request.rank * RANK_SCALE),
        round(request.estimate),
        max(0, round(waited * 1000)),
        _flags(request),
        request.prefix,
        request.avoid,
        request.prompt_tokens,
        request.shared_tokens,
        round(request.objective * 1000),
        round(request.patience * 1000),
        max(0, round(request.returns_within * 1000)),
        list(request.regions),
        request.fingerprint,
        list(request.excluded),
        request.route,
        request.software_version or "",
        list(request.parts),
    )


def _flags(request: PoolRequest | Ticket) -> int:
    flags = URGENT_FLAG if request.urgent else 0
    if request.returned:
        flags |= RETRY_FLAG
    if request.software_version is not None:
        flags |= CONTINUATION_FLAG
    return flags


def to_ticket(entry: str, message: Place, now: float) -> Ticket:
    """Return the ticket that ``message`` from ``entry`` places.

    ``now`` is the current time of this node's clock. Waiting times are sent as durations, because
    the clocks of nodes differ.
    """
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
        returned=bool(message.flags & RETRY_FLAG),
        patience=message.patience / 1000,
        returns_within=message.returns_within / 1000,
        regions=tuple(message.regions),
        fingerprint=message.fingerprint,
        excluded=tuple(message.excluded),
        route=message.route,
        software_version=(message.software_version if message.flags & CONTINUATION_FLAG else None),
        parts=tuple(message.parts),
    )
