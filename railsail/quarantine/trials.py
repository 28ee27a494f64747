"""The interface between dispatchers and the quarantine."""

from railsail.quarantine.observer import EndObserver
from railsail.quarantine.service import Quarantine
from railsail.scheduling.decisions import Flight
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket


class Trials:
    """Pass results of calls to the quarantine, and check tickets for suspect requests."""

    def __init__(self, quarantine: Quarantine, detector: EndObserver) -> None:
        self._quarantine = quarantine
        self._detector = detector

    def undecided(self, request: int) -> bool:
        """Return True if a probe is running that may show a crash under ``request``."""
        return self._detector.is_probing(request)

    def is_second(self, dispatcher: CellDispatcher, ticket: Ticket) -> bool:
        """Return True if another ticket of the same suspect request waits or runs here.

        Run once at a time, a suspect request shows whether it crashes replicas, and crashes one at
        most.
        """
        if not self._quarantine.is_suspect(ticket.fingerprint):
            return False
        known = ticket.key in dispatcher.queue or ticket.key in dispatcher.flights
        return not known and dispatcher.holds(ticket.fingerprint)

    def ended(self, flight: Flight | None, result: CallResult) -> None:
        """Record the result of a call for the quarantine of its request."""
        if flight is None or not flight.fingerprint or not flight.replica:
            return
        if result is CallResult.GOOD:
            self._quarantine.record_served(flight.fingerprint)
        elif result is CallResult.BROKE_OFF:
            self._detector.record_broken_call(flight.replica, flight.fingerprint)
        elif result is CallResult.CALLER_LEFT and flight.unread:
            self._detector.record_abandoned_call(flight.replica, flight.fingerprint)
