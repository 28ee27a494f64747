"""Adaptive limits on the number of requests in flight at this node.

An answer of many events costs a node most of its time after the request was admitted. A node that
admits requests until its event loop is late has therefore admitted seconds of work too much. The
limit is adapted by multiplicative increase and decrease: it falls while the loop is late, and rises
while the loop is in time and the limit is what keeps requests out.

Source: adaptive concurrency limits, as in TCP's congestion control (Jacobson, 1988).
"""

from railsail.gateway.admission import MIN_OVERLOAD_REQUESTS

# Initial limit of requests served at once: 64 streams of 14 events a second, at 0.23 ms of a whole
# core per event, take 40% of a node with half a core.
INITIAL_LIMIT = 64.0
# Initial limit of requests forwarded to other nodes at once. Forwarding an answer of 40 events
# takes 2.3 ms of a whole core, about a fifth of what serving it takes.
INITIAL_FORWARDED_LIMIT = 320.0
# Lower bound of the limit of forwarded requests. A node may be late only because of the requests
# that it refuses: most of their callers retry, so forwarding less would not make it less late.
# Without this bound a node of half a core that received 1,000 requests a second forwarded at most
# 41 of them, with it 377 to 706.
MIN_FORWARDED_LIMIT = 160.0
# The limit never falls below the number of requests that can keep a node busy.
MIN_LIMIT = float(MIN_OVERLOAD_REQUESTS)
# Factors by which the limit changes with each sample of the loop's lag. It halves within a third of
# a second and doubles within three quarters, so that a faster node finds its limit in a few
# seconds.
DECREASE_FACTOR = 0.9
INCREASE_FACTOR = 1.05
# The limit rises only while more than this share of it is in use.
NEAR_LIMIT_SHARE = 0.9


class ConcurrencyLimit:
    """A limit that adapts to the lag of the event loop.

    It starts at ``initial``, and never falls below ``minimum``.
    """

    def __init__(self, initial: float = INITIAL_LIMIT, minimum: float = MIN_LIMIT) -> None:
        self.limit = initial
        self._minimum = minimum

    @property
    def at_minimum(self) -> bool:
        """Return True if the limit cannot fall further."""
        return self.limit <= self._minimum

    def full(self, in_flight: int) -> bool:
        """Return True if a node with ``in_flight`` requests should accept no more."""
        return in_flight >= self.limit

    def adjust(self, late: bool, in_flight: int) -> None:
        """Adjust the limit to whether the loop was late with ``in_flight`` requests."""
        if late:
            self.limit = max(self._minimum, min(self.limit, in_flight) * DECREASE_FACTOR)
        elif in_flight > NEAR_LIMIT_SHARE * self.limit:
            self.limit *= INCREASE_FACTOR


class NodeLimits:
    """The limits of one node on the requests that it serves, and on those that it forwards."""

    def __init__(self) -> None:
        self.served = ConcurrencyLimit()
        self.forwarded = ConcurrencyLimit(INITIAL_FORWARDED_LIMIT, MIN_FORWARDED_LIMIT)

    def adjust(self, late: bool, served: int, forwarded: int) -> None:
        """Adjust both limits to whether the loop was late with this many requests of each kind."""
        self.served.adjust(late, served)
        # Forwarding costs the least, so its limit falls only after the other one has reached its
        # lower bound. While the node is late, neither limit rises.
        if not late or self.served.at_minimum:
            self.forwarded.adjust(late, forwarded)
