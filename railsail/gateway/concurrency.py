"""How many requests this node can hold at once and still be in time.

An answer in many events costs a node most of its time after it was admitted, so that whoever
admits until the event loop is late has admitted seconds of work too much. The limit is learnt by
multiplicative increase and decrease: it falls while the loop is late, and rises while the loop is
in time and the limit is what holds callers back.
Source: adaptive concurrency limits, as in TCP's congestion control (Jacobson, 1988).
"""

from railsail.gateway.admission import LEAST_CROWD

# Requests held at once by a node that has learnt nothing yet: 64 streams of 14 events a second, at
# 0.23 ms an event of a whole core, take 40% of a node with half a core.
FIRST_LIMIT = 64.0
# Requests handed on to other nodes at once by a node that has learnt nothing yet. An answer of 40
# events takes 2.3 ms of a whole core to pass on, about a fifth of what it takes to serve it.
FIRST_FORWARDED = 320.0
# A node may be late only because of what it refuses: each refusal mostly comes back for another
# one, so that handing on less would not make it less late. Without this floor a node of half a core
# that was brought 1,000 requests a second handed on 41 of them at most, with it 377 to 706.
LEAST_FORWARDED = 160.0
# The limit never falls below what can keep a node busy.
LEAST_LIMIT = float(LEAST_CROWD)
# Changes of the limit with each sample of the loop's lag. Halved within a third of a second, and
# doubled within three quarters, so that a stronger node has found its limit in a few seconds.
DECREASE = 0.9
INCREASE = 1.05
# The limit holds callers back while more than this part of it is in use.
NEAR = 0.9


class ConcurrencyLimit:
    """Learn the limit from how the event loop does, from ``first`` on and never below ``floor``."""

    def __init__(self, first: float = FIRST_LIMIT, floor: float = LEAST_LIMIT) -> None:
        self.limit = first
        self._floor = floor

    @property
    def least(self) -> bool:
        """Say whether the limit cannot fall further."""
        return self.limit <= self._floor

    def full(self, held: int) -> bool:
        """Say whether a node that holds so many requests should hold no more."""
        return held >= self.limit

    def adjust(self, late: bool, held: int) -> None:
        """Take in whether the loop was late while the node held so many requests."""
        if late:
            self.limit = max(self._floor, min(self.limit, held) * DECREASE)
        elif held > NEAR * self.limit:
            self.limit *= INCREASE


class NodeLimits:
    """What a node may hold of requests that it serves, and of those that it handed on."""

    def __init__(self) -> None:
        self.served = ConcurrencyLimit()
        self.forwarded = ConcurrencyLimit(FIRST_FORWARDED, LEAST_FORWARDED)

    def adjust(self, late: bool, served: int, forwarded: int) -> None:
        """Take in whether the loop was late while the node held so many of each."""
        self.served.adjust(late, served)
        # What is handed on costs least, and is given up last; while the node is late it is no more.
        if not late or self.served.least:
            self.forwarded.adjust(late, forwarded)
