"""What was served lately: evidence that a request or a part of prompts crashes no replica."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from railsail.quarantine.blame import SIMULTANEOUS_SECONDS

# A request that was served this recently is not blamed for a crash.
RECENTLY_SERVED_SECONDS = 30.0
# Served requests that are remembered: those of ten seconds at 400 requests a second, in less than a
# megabyte. A request that many callers send is served again within that time.
MAX_SERVED = 4096
# Served parts that are remembered, those that were served last.
MAX_SERVED_PARTS = 16384


class ServedRequests:
    """The requests that were served last; times are in seconds of the node's clock."""

    def __init__(self) -> None:
        self._served_at: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._served_at)

    def record(self, request: int, now: float) -> None:
        """Record that ``request`` was served to its end."""
        self._served_at.pop(request, None)
        self._served_at[request] = now
        if len(self._served_at) > MAX_SERVED:
            self._served_at.popitem(last=False)

    def last(self, request: int) -> float:
        """Return when ``request`` was served last, minus infinity if that is not known."""
        return self._served_at.get(request, -math.inf)

    def is_blamed(self, request: int, now: float) -> bool:
        """Return True if ``request`` may be blamed for a crash that was found out at ``now``."""
        return now - self.last(request) > RECENTLY_SERVED_SECONDS


@dataclass
class _ServedPart:
    served_at: float
    # The first crash since, which is not counted.
    excused_at: float = math.inf


class ServedParts:
    """The parts that were served last; times are in seconds of the node's clock.

    A part may begin to crash replicas although it was served before, so that only the first crash
    after it was served is excused. A frequent part is served again before the next one.
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[int, _ServedPart] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts)

    def record(self, part: int, now: float) -> None:
        """Record that the answer to a prompt with ``part`` was complete."""
        self._parts.pop(part, None)
        self._parts[part] = _ServedPart(now)
        if len(self._parts) > MAX_SERVED_PARTS:
            self._parts.popitem(last=False)

    def last(self, part: int) -> float:
        """Return when ``part`` was served last, minus infinity if that is not known."""
        served = self._parts.get(part)
        return served.served_at if served is not None else -math.inf

    def is_blamed(self, part: int, at: float) -> bool:
        """Return True if ``part`` may be blamed for a crash at ``at``; it may be excused once.

        Simultaneous crashes are excused together.
        """
        served = self._parts.get(part)
        if served is None:
            return True
        if at <= served.served_at:
            return False
        served.excused_at = min(served.excused_at, at)
        return at - served.excused_at > SIMULTANEOUS_SECONDS
