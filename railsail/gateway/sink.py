"""Write the answer of an upstream to the caller, no faster than the caller receives it."""

from typing import Protocol

from tornado.iostream import StreamClosedError

from railsail.core.exceptions import RailsailError
from railsail.dispatch.bookings import Booking
from railsail.dispatch.entry import TicketClient
from railsail.gateway.answers import MAX_ANSWER_BYTES
from railsail.scheduling.estimates import ChargeMeter


class CallerDisconnected(RailsailError):
    """The caller closed its connection."""


class CallerConnection(Protocol):
    """What a sink needs of the HTTP handler."""

    async def start(self, status: int, content_type: str, whole: bool) -> None:
        """Send the status and headers."""

    async def send(self, chunk: bytes) -> None:
        """Send a piece of the body, and wait until the connection has accepted it."""


class CallerSink:
    """Writer of an answer to a caller, which charges the workspace as the cost grows.

    With ``keep`` the sink keeps a copy of the answer, for retries of a claimed request.
    """

    def __init__(self, connection: CallerConnection, keep: bool) -> None:
        self.started = False
        self.content_type = ""
        self.cost = 0.0
        self._connection = connection
        self._keep = keep
        self._chunks: list[bytes] = []
        self._copied_bytes = 0
        self._meter: ChargeMeter | None = None
        self._tickets: TicketClient | None = None
        self._pending_call: Booking | None = None

    def start_charging(
        self, meter: ChargeMeter, tickets: TicketClient, pending_call: Booking
    ) -> None:
        """Charge ``pending_call`` from now on, starting from a cost of 0."""
        self.cost = 0.0
        self._meter = meter
        self._tickets = tickets
        self._pending_call = pending_call

    async def start(self, status: int, content_type: str, whole: bool = False) -> None:
        """Start the answer; ``whole`` is true if all of it is available already."""
        self.started = True
        self.content_type = content_type
        try:
            await self._connection.start(status, content_type, whole)
        except StreamClosedError:
            raise CallerDisconnected from None

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body, and wait until the caller's connection has accepted it."""
        if self._keep and self._copied_bytes <= MAX_ANSWER_BYTES:
            self._chunks.append(chunk)
            self._copied_bytes += len(chunk)
        try:
            await self._connection.send(chunk)
        except StreamClosedError:
            raise CallerDisconnected from None

    def progress(self, cost: float) -> None:
        """Record the cost so far, in cost units, and report it if it exceeds what was charged."""
        self.cost = max(self.cost, cost)
        charged = self._meter.overrun(cost) if self._meter else None
        if charged is not None:
            self._tickets.progress(self._pending_call, charged)

    def copy(self) -> bytes:
        """Return the copy of the body."""
        return b"".join(self._chunks)
