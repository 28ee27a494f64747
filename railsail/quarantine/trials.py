"""The interface between dispatchers and the quarantine."""

from collections.abc import Collection

from railsail.core.clock import Clock
from railsail.quarantine.observer import EndObserver
from railsail.quarantine.service import Quarantine
from railsail.scheduling.decisions import Flight
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket

# A call on trial shows within about this many seconds whether others like it can run, so that they
# are refused with this retry time.
TRIAL_SECONDS = 1.0


class Trials:
    """Pass results of calls to the quarantine, and check tickets for suspects."""

    def __init__(self, quarantine: Quarantine, detector: EndObserver, clock: Clock) -> None:
        self._quarantine = quarantine
        self._detector = detector
        self._clock = clock

    def undecided(self, fingerprints: Collection[int]) -> bool:
        """Return True if a probe is running that may show a crash under one of ``fingerprints``.

        Parts that were served before hold up no ticket: there may be many requests with them.
        """
        unproved = [fp for fp in fingerprints if not self._quarantine.was_part_served(fp)]
        return self._detector.is_probing(unproved)

    def refusal_seconds(self, dispatcher: CellDispatcher, ticket: Ticket) -> float:
        """Return after how many seconds the caller of ``ticket`` may return, 0 if it may run now.

        What is quarantined may not run. A suspect request, or one with a part of which it is not
        certain whether it is to blame, may not run beside another: run one at a time, it shows
        whether it crashes replicas, and crashes one at most.
        """
        if ticket.key in dispatcher.queue or ticket.key in dispatcher.flights:
            return 0.0
        refusal = self._quarantine.refusal(ticket.fingerprints)
        if refusal is not None:
            return refusal.retry_after
        suspects = self._quarantine.on_trial(ticket.fingerprints)
        now = self._clock.monotonic()
        return TRIAL_SECONDS if suspects and dispatcher.holds(suspects, now) else 0.0

    def ended(self, flight: Flight | None, result: CallResult) -> None:
        """Record the result of a call for the quarantine of its request and its parts."""
        if flight is None or not flight.fingerprint or not flight.replica:
            return
        for fingerprint in _served(flight, result):
            self._quarantine.record_served(fingerprint)
        survivors = flight.survivors(self._clock.monotonic())
        suspects = tuple(fp for fp in flight.fingerprints if fp not in survivors)
        if result is CallResult.BROKE_OFF:
            self._detector.record_broken_call(flight.replica, suspects, survivors)
        elif result is CallResult.SILENT or (
            result is CallResult.CALLER_LEFT and (flight.unread or suspects[1:])
        ):
            self._detector.record_abandoned_call(flight.replica, suspects)


def _served(flight: Flight, result: CallResult) -> tuple[int, ...]:
    """Return what the end of ``flight`` shows to crash no replica.

    A rejection shows nothing of the parts, since their prompt was not answered. Neither does an
    answer that went on for long and broke off: its entry may have stood still, and report late.
    """
    if result is CallResult.GOOD:
        return flight.fingerprints
    return (flight.fingerprint,) if result is CallResult.REJECTED else ()
