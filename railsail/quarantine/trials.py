"""What dispatchers learn of requests from calls that end, and which may be tried now."""

from railsail.quarantine.observer import EndObserver
from railsail.quarantine.service import Quarantine
from railsail.scheduling.decisions import Flight
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket


class Trials:
    """Tell the ends of calls to those who watch for replicas that end under requests."""

    def __init__(self, quarantine: Quarantine, ends: EndObserver) -> None:
        self._quarantine = quarantine
        self._ends = ends

    def undecided(self, request: int) -> bool:
        """Say whether it will be known in a moment if a replica has ended under ``request``."""
        return self._ends.checks(request)

    def is_second(self, dispatcher: CellDispatcher, ticket: Ticket) -> bool:
        """Say whether ``ticket`` asks to run beside another of a request that may end replicas.

        One at a time shows whether it does, and costs one replica at most.
        """
        if not self._quarantine.suspected(ticket.fingerprint):
            return False
        known = ticket.key in dispatcher.queue or ticket.key in dispatcher.flights
        return not known and dispatcher.holds(ticket.fingerprint)

    def ended(self, flight: Flight | None, result: CallResult) -> None:
        """Take note of what the end of a call tells of its request."""
        if flight is None or not flight.fingerprint or not flight.replica:
            return
        if result is CallResult.GOOD:
            self._quarantine.served(flight.fingerprint)
        elif result is CallResult.BROKE_OFF:
            self._ends.broke_off(flight.replica, flight.fingerprint)
        elif result is CallResult.CALLER_LEFT and flight.unread:
            self._ends.given_up(flight.replica, flight.fingerprint)
