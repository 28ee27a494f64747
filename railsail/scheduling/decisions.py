"""What a cell's dispatcher decides of tickets, and what it knows of requests in flight."""

from dataclasses import dataclass

import msgspec

from railsail.core.outcomes import Reason
from railsail.rollouts.stages import Stage
from railsail.scheduling.cells import Cell
from railsail.scheduling.tickets import Ticket


class Grant(msgspec.Struct, frozen=True):
    """Tell the entry to call ``replica``; ``counter`` is the workspace's, after the charge.

    ``stage`` is that of the rollout that runs, ``None`` where none does.
    """

    ticket: Ticket
    replica: str
    counter: float
    stage: Stage | None = None


class Refusal(msgspec.Struct, frozen=True):
    """Tell ``ticket``'s entry that the request cannot be served now.

    ``come_back`` is the time in seconds after which its caller should, 0 where it is not known.
    """

    ticket: Ticket
    reason: Reason
    come_back: float = 0.0


class Hold(msgspec.Struct, frozen=True):
    """Tell ``ticket``'s entry that its caller was refused before, and what it may wait now."""

    ticket: Ticket


@dataclass(frozen=True)
class Move:
    """A ticket goes to a cell of another region, which can begin it sooner."""

    ticket: Ticket
    cell: Cell


Decision = Grant | Refusal | Hold | Move


@dataclass
class Flight:
    """A granted request that has not been released; ``charged`` is in cost units.

    ``unread`` are the tokens of its prompt until its answer begins, and 0 from then on. Repeats of
    the request have the same ``fingerprint``, 0 where there is none. ``route`` is the fingerprint
    of its route, 0 where that is not known, and ``software_version`` what the replica runs. Its
    answer began at ``begun_at``, 0 before.
    """

    attempt: int
    workspace: str
    replica: str
    charged: float
    started_at: float
    unread: int = 0
    fingerprint: int = 0
    route: int = 0
    software_version: str = ""
    begun_at: float = 0.0
