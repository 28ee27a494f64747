"""Acquire a replica for a request: wait for a grant, and check whether it can be used.

Requests that cannot succeed are refused before a ticket is placed. These are requests in
quarantine, because replicas crashed while running them or parts of their prompts, and requests
whose replicas are all in backoff at this node.
"""

import asyncio
from dataclasses import replace

from railsail.core.events import Fact, Kind
from railsail.core.kernel import Kernel
from railsail.core.outcomes import NotRun, Reason
from railsail.dispatch.bookings import Booking, PoolRequest, TicketRefused
from railsail.dispatch.entry import DECISION_SECONDS, TicketClient
from railsail.dispatch.gate import SendGate
from railsail.peers.messages import MOST_EXCLUDED
from railsail.quarantine.service import Quarantine

# A request is refused after this many grants of replicas that it cannot be sent to. Each new ticket
# tells the dispatcher which replicas to avoid, so the second grant is usable unless something
# changed in the meantime or the dispatcher runs an older build.
MAX_GRANTS = 8
# A message from another node that has arrived is handled within this many turns of the event loop.
MESSAGE_TURNS = 4
_REFUSALS = {
    Reason.EXPIRED: "no replica had room in time",
    Reason.OVER_SHARE: "its workspace had its share of the replicas while others waited",
    Reason.VERSION_GONE: "no replica of the software version that began the stream takes work",
    Reason.QUARANTINED: "replicas ended while they ran this request or a part of its prompt",
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
        quarantine.on_verdict(self._refuse_quarantined)

    def _refuse_quarantined(self) -> None:
        """Refuse the waiting requests that are quarantined now, before they are granted."""
        for call in self._tickets.waiting():
            refusal = self._quarantine.refusal(call.want.fingerprints)
            if refusal is not None:
                self._tickets.refuse(call, refusal.reason, refusal.retry_after)

    async def acquire(self, request: PoolRequest, max_wait: float) -> Booking | NotRun:
        """Wait up to ``max_wait`` seconds for a replica.

        Return the pending call with the grant, whose replica can be sent the request immediately,
        or ``NotRun`` if there is none. Replicas in backoff are excluded, too.
        """
        requested_at = self._clock.monotonic()
        unwanted = request.excluded
        rejection = ""
        for _ in range(MAX_GRANTS):
            excluded = (*unwanted, *self._gate.excluded(request.pool))[:MOST_EXCLUDED]
            if excluded != request.excluded:
                request = replace(request, excluded=excluded)
            call = await self._wait_for_any(request, requested_at, max_wait)
            if isinstance(call, NotRun):
                return call
            rejection = self._gate.admit(call.replica, request.software_version)
            if not rejection:
                return call
            self._gate.send_if_leaving(call.node, call.replica)
            self._tickets.return_grant(call, rejection)
            request = replace(request, avoid=call.replica)
        return NotRun(
            Reason.NO_ROOM, f"the replica that was granted last is not sent to: {rejection}"
        )

    async def _wait_for_any(
        self, request: PoolRequest, requested_at: float, max_wait: float
    ) -> Booking | NotRun:
        """Wait for a grant of any replica until ``max_wait`` seconds after ``requested_at``."""
        refusal = self._quarantined(request) or self._gate.refusal(request)
        if refusal is not None:
            return refusal
        call = self._tickets.place(request, requested_at)
        remaining = requested_at + max_wait - self._clock.monotonic()
        try:
            if not await _is_granted(call, remaining + DECISION_SECONDS):
                return self._expire(call)
        except TicketRefused as refusal:
            return self._quarantined(request) or self._refused_by_dispatcher(call, refusal)
        except BaseException:
            # A ticket that stays behind would be granted, and take a slot that nobody uses.
            self._tickets.withdraw(call)
            if call.granted.done() and not call.granted.cancelled():
                # Otherwise asyncio logs a refusal that nobody has read as an error.
                call.granted.exception()
            raise
        refusal = self._quarantined(request)
        if refusal is not None:
            # During this wait, another replica has crashed while running the same request or part.
            self._tickets.withdraw(call)
            return refusal
        return call

    def _expire(self, call: Booking) -> NotRun:
        """Withdraw a call whose dispatcher has not decided in time."""
        self._log_expired(
            call,
            cell=str(call.cell),
            dispatcher_heard_ms_ago=self._tickets.silent_ms(call),
        )
        self._tickets.withdraw(call)
        return NotRun(Reason.EXPIRED, _REFUSALS[Reason.EXPIRED])

    def _quarantined(self, request: PoolRequest) -> NotRun | None:
        refusal = self._quarantine.refusal(request.fingerprints)
        if refusal is not None:
            self._quarantine.tell_refused(
                request.request_id, request.workspace, request.fingerprints
            )
        return refusal

    def _refused_by_dispatcher(self, call: Booking, refusal: TicketRefused) -> NotRun:
        self._log_expired(
            call,
            "refused by the dispatcher",
            reason=refusal.reason,
            returned=int(call.want.returned),
            come_back_ms=round(refusal.retry_after * 1000),
        )
        detail = _REFUSALS.get(refusal.reason, "decided by the dispatcher")
        return NotRun(refusal.reason, detail, come_back=refusal.retry_after)

    def _log_expired(self, call: Booking, detail: str = "", **facts: Fact) -> None:
        waited = self._clock.monotonic() - call.requested_at
        self._events.emit(
            Kind.EXPIRED,
            detail,
            call.want.request_id,
            call.want.workspace,
            ticket=self._tickets.ticket_name(call),
            dispatcher=call.node,
            waited_ms=round(waited * 1000),
            **facts,
        )


async def _is_granted(call: Booking, seconds: float) -> bool:
    """Return whether the dispatcher grants ``call`` within ``seconds``.

    Raise ``TicketRefused`` if it refuses. It normally decides in time, and says when to retry. The
    timeout only covers a dispatcher whose decision does not arrive.
    """
    try:
        async with asyncio.timeout(seconds) as call.timeout:
            # Unlike an await of the future itself, this does not cancel it at the timeout.
            await asyncio.wait([call.granted])
    except TimeoutError:
        # During a long turn of the event loop the decision may have arrived, but not been handled.
        for _ in range(MESSAGE_TURNS):
            if call.granted.done():
                break
            await asyncio.sleep(0)
    if not call.granted.done():
        return False
    call.granted.result()
    return True
