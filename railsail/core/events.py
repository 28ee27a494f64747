"""The time line of one process: a bounded ring of typed events."""

import enum
from collections import deque
from collections.abc import Callable, Iterator, Mapping

import msgspec

from railsail.core.clock import Clock, HybridClock

DEFAULT_CAPACITY = 4096


class Kind(enum.StrEnum):
    """The kinds of events."""

    STATE = "state"
    RECEIVED = "received"
    CLAIMED = "claimed"
    CLAIM_HELD = "claim-held"
    QUEUED = "queued"
    PLACED = "placed"
    GRANTED = "granted"
    GRANT_RETURNED = "grant-returned"
    EXPIRED = "expired"
    SENT = "sent"
    FIRST_BYTE = "first-byte"
    SILENT = "silent"
    RETRIED = "retried"
    RESUMED = "resumed"
    ENDED = "ended"
    MEMBER = "member"
    UPSTREAM = "upstream"
    EVACUATION = "evacuation"
    CONFIGURATION = "configuration"
    STORE = "store"
    TOOK_OVER = "took-over"
    SHARES = "shares"
    REPLICA_ENDED = "replica-ended"
    QUARANTINE = "quarantine"
    QUARANTINED = "quarantined"
    ROLLOUT = "rollout"


Fact = str | int | float
_ALWAYS_NOTABLE = frozenset(
    {
        Kind.EXPIRED,
        Kind.GRANT_RETURNED,
        Kind.SILENT,
        Kind.RETRIED,
        Kind.CLAIM_HELD,
        Kind.QUARANTINED,
    }
)


class Event(msgspec.Struct, frozen=True):
    """One event.

    ``stamp`` is a hybrid stamp (see ``HybridClock``). ``request`` and ``workspace`` are empty if
    the event belongs to none. ``facts`` are the inputs of a decision with their ages or versions;
    their names contain the units. ``notable`` marks events that must be logged, such as the end of
    a request that failed.
    """

    stamp: int
    node: str
    kind: Kind
    request: str = ""
    workspace: str = ""
    detail: str = ""
    facts: dict[str, Fact] = {}
    notable: bool = False

    @property
    def description(self) -> str:
        """Return the detail and the facts in one line."""
        return f"{self.detail} {describe_facts(self.facts)}".strip()


def describe_facts(facts: Mapping[str, object]) -> str:
    """Return the names and values of ``facts`` in one line."""
    return " ".join(f"{name}={value}" for name, value in facts.items())


class EventLog:
    """The last events of this process, at most ``capacity`` of them."""

    def __init__(self, node: str, clock: Clock, capacity: int = DEFAULT_CAPACITY) -> None:
        self.node = node
        self.hybrid = HybridClock(clock)
        self._ring: deque[Event] = deque(maxlen=capacity)
        self._listeners: list[Callable[[Event], None]] = []

    def on_emit(self, listener: Callable[[Event], None]) -> None:
        """Call ``listener`` with each event."""
        self._listeners.append(listener)

    def emit(
        self,
        kind: Kind,
        detail: str = "",
        request: str = "",
        workspace: str = "",
        notable: bool = False,
        **facts: Fact,
    ) -> Event:
        """Add an event with a new stamp, call the listeners, and return the event."""
        notable = notable or kind in _ALWAYS_NOTABLE
        stamp = self.hybrid.tick()
        event = Event(stamp, self.node, kind, request, workspace, detail, facts, notable)
        self._ring.append(event)
        for listener in self._listeners:
            listener(event)
        return event

    def select(self, request: str = "", since: int = 0, limit: int = 1000) -> list[Event]:
        """Return the newest ``limit`` events with a stamp after ``since``, oldest first.

        If ``request`` is given, return only the events of that request.
        """
        selected = [event for event in self._ring if _matches(event, request, since)]
        return selected[-limit:]

    def __iter__(self) -> Iterator[Event]:
        return iter(self._ring)


def _matches(event: Event, request: str, since: int) -> bool:
    if event.stamp <= since:
        return False
    return not request or event.request == request


def merge_logs(logs: list[list[Event]]) -> list[Event]:
    """Merge the events of several processes into one time line, ordered by stamp."""
    merged = [event for log in logs for event in log]
    return sorted(merged, key=lambda event: (event.stamp, event.node))
