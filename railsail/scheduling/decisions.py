"""The decisions of a cell's dispatcher on tickets, and its record of calls in flight."""

from dataclasses import dataclass

import msgspec

from railsail.core.outcomes import Reason
from railsail.rollouts.stages import Stage
from railsail.scheduling.cells import Cell
from railsail.scheduling.tickets import Ticket

# A prompt that crashes its replica does so when the replica begins to write the answer.
SURVIVAL_SECONDS = 1.0


class Grant(msgspec.Struct, frozen=True):
    """The decision to run the request of ``ticket`` on ``replica``.

    ``counter`` is the fair-queue counter of the workspace after the charge. ``stage`` is the stage
    of the active rollout, ``None`` if there is no rollout.
    """

    ticket: Ticket
    replica: str
    counter: float
    stage: Stage | None = None


class Refusal(msgspec.Struct, frozen=True):
    """The decision that the request of ``ticket`` cannot be served now.

    ``come_back`` is the number of seconds after which the caller should retry, 0 if that is not
    known.
    """

    ticket: Ticket
    reason: Reason
    come_back: float = 0.0


class Hold(msgspec.Struct, frozen=True):
    """The decision that ``ticket``, the retry of a refused request, may wait for longer.

    ``ticket.patience`` is the new maximum wait.
    """

    ticket: Ticket


@dataclass(frozen=True)
class Move:
    """The decision to move a ticket to a cell of another region, where it can start sooner."""

    ticket: Ticket
    cell: Cell


Decision = Grant | Refusal | Hold | Move


@dataclass
class Flight:
    """A granted call that has not been released.

    ``charged`` is in cost units. ``unread`` is the number of prompt tokens that the replica has yet
    to prefill; it is 0 once the answer has started. ``fingerprint`` identifies equal requests, and
    ``route`` is the fingerprint of the route; both are 0 where there is none. ``software_version``
    is what the replica runs. ``begun_at`` is the time when the answer started, 0 before that.
    ``parts`` are the fingerprints of the parts that the prompt shares with others.
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
    parts: tuple[int, ...] = ()

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint, *self.parts)

    def survivors(self, at: float) -> tuple[int, ...]:
        """Return the parts that caused no crash at ``at``, since the answer had begun long before.

        There are none if the time at which it began is not known.
        """
        return self.parts if 0 < self.begun_at <= at - SURVIVAL_SECONDS else ()
