"""Acquire a replica for a request: wait for a grant, and check whether it can be used.

Requests that cannot succeed are refused before a ticket is placed: those that are quarantined
because replicas crashed while running them, and those whose replicas are all in backoff here.
"""

import asyncio
from dataclasses import replace

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason
from railsail.dispatch.bookings import Booking, PoolRequest, TicketRefused
from railsail.dispatch.entry import DECISION_SECONDS, TicketClient
from railsail.dispatch.gate import SendGate
from railsail.quarantine.service import Quarantine

# A request is refused after this many grants of replicas that it cannot be sent to. The next ticket
# names these replicas as excluded, so the second grant is usable unless the state changed in the
# meantime or the dispatcher runs an older build.
MOST_GRANTS = 8
_REFUSALS = {
    Reason.EXPIRED: "no replica had room in time",
    Reason.OVER_SHARE: "its workspace had its share of the replicas while others waited",
    Reason.QUARANTINED: "a replica ended while it ran this request, which is being tried again",
}


class ReplicaAcquirer:
    """Acquires replicas for requests, through tickets that it places with dispatchers."""

    def __init__(
        self, tickets: TicketClient, gate: SendGate, quarantine: Quarantine, kernel: Kernel
    ) -> None:
        self._tickets = tickets
        self._gate = gate
        self._quarantine = quarantine
        self._clock = kernel.clock
        self._events = kernel.events

    async def acquire(self, want: PoolRequest, seconds: float) -> Booking | NotRun:
        """Wait up to ``seconds`` for a replica, and return the pending call that holds its grant.

        The request can be sent to that replica immediately. Return ``NotRun`` if there is none.
        """
        asked_at = self._clock.monotonic()
        closed = ""
        for _ in range(MOST_GRANTS):
            excluded = self._gate.excluded(want.pool)
            if excluded != want.excluded:
                want = replace(want, excluded=excluded)
            booking = await self._wait_for_any(want, asked_at, seconds)
            if isinstance(booking, NotRun):
                return booking
            closed = self._gate.admit(booking.replica)
            if not closed:
                return booking
            self._gate.tell(booking.node, booking.replica)
            self._tickets.give_back(booking, closed)
            want = replace(want, avoid=booking.replica)
        return NotRun(Reason.NO_ROOM, f"the replica that was granted last is not sent to: {closed}")

    async def _wait_for_any(
        self, want: PoolRequest, asked_at: float, seconds: float
    ) -> Booking | NotRun:
        """Wait for a grant of any replica until ``seconds`` after ``asked_at``."""
        refusal = self._quarantined(want) or self._gate.refusal(want)
        if refusal is not None:
            return refusal
        booking = self._tickets.place(want, asked_at)
        left = asked_at + seconds - self._clock.monotonic()
        try:
            # The dispatcher normally decides, and says when to retry. This timeout only covers a
            # dispatcher whose decision does not arrive in time.
            async with asyncio.timeout(left + DECISION_SECONDS) as booking.limit:
                await booking.granted
        except TicketRefused as refusal:
            return self._refused_by_dispatcher(booking, refusal)
        except TimeoutError:
            self._tell_expired(
                booking,
                cell=str(booking.cell),
                dispatcher_heard_ms_ago=self._tickets.quiet_ms(booking),
            )
            self._tickets.withdraw(booking)
            return NotRun(Reason.EXPIRED, _REFUSALS[Reason.EXPIRED])
        except asyncio.CancelledError:
            self._tickets.withdraw(booking)
            raise
        refusal = self._quarantined(want)
        if refusal is not None:
            # Another replica has crashed while running the same request during this wait.
            self._tickets.withdraw(booking)
            return refusal
        return booking

    def _quarantined(self, want: PoolRequest) -> NotRun | None:
        refusal = self._quarantine.refusal(want.fingerprint)
        if refusal is not None:
            self._quarantine.tell_refused(want.request_id, want.workspace, want.fingerprint)
        return refusal

    def _refused_by_dispatcher(self, booking: Booking, refusal: TicketRefused) -> NotRun:
        self._tell_expired(
            booking,
            "refused by the dispatcher",
            reason=refusal.reason,
            returned=int(booking.want.returned),
            come_back_ms=round(refusal.come_back * 1000),
        )
        detail = _REFUSALS.get(refusal.reason, "decided by the dispatcher")
        return NotRun(refusal.reason, detail, come_back=refusal.come_back)

    def _tell_expired(self, booking: Booking, detail: str = "", **facts: Fact) -> None:
        waited = self._clock.monotonic() - booking.placed_at
        self._events.emit(
            Kind.EXPIRED,
            detail,
            booking.want.request_id,
            booking.want.workspace,
            ticket=self._tickets.ticket_name(booking),
            dispatcher=booking.node,
            waited_ms=round(waited * 1000),
            **facts,
        )
