"""When a node that leaves reading the store to others starts to read it itself.

The nodes that are to read the store may be unable to do so, or unable to reach their peers, without
noticing. The decision therefore depends only on what arrives here: a node reads the store when its
newest proof that it has all changes is too old. All nodes would reach that age at the same time, so
that each adds a random delay. Few nodes have a short one, and their proofs reach the others before
these start to read too.
"""

import math
import random
from collections.abc import Callable

from railsail.store.journal import Backoff

# The shares are factors of the maximum wait of a watch. A node that watches gets a new proof after
# a quarter of that wait at the earliest, and after all of it at the latest.

# Age of the newest proof from which a node may start to read, and the maximum of the random delay
# that is added to it.
MIN_READING_AGE_SHARE = 0.7
JITTER_SHARE = 0.2
# How long a node that starts without any random delay continues to read, so that changes reach the
# fleet without another delay. The longer the random delay of a node, the sooner it stops.
MAX_READING_SHARE = 5.0

# Maximum age of the newest proof while this node or one of its peers can read the store: nodes with
# an older proof start to read, and their first call takes a moment.
PROVED_SHARE = 1.1

# Bounds of the backoff after failed calls.
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SHARE = 2.0


class Standby:
    """The decision when one node reads some kinds in place of the nodes that watch.

    ``max_wait`` is the maximum wait of a watch of these kinds in seconds, and ``fleet_size``
    returns the number of members.
    """

    def __init__(self, max_wait: float, fleet_size: Callable[[], int], rng: random.Random) -> None:
        self._max_wait = max_wait
        self._fleet_size = fleet_size
        self._rng = rng
        self._reading_until = 0.0
        # The random delay before the next start to read, as a share of the maximum, 0 to 1.
        self._jitter = self._sample_jitter()

    def should_read(self, age: float, now: float) -> bool:
        """Return True if this node should read at ``now``; start to read if it is due.

        ``age`` is the age of the newest proof in seconds.
        """
        if self.is_reading(now):
            return True
        if age < self._min_reading_age:
            return False
        self._reading_until = now + (1.0 - self._jitter) * MAX_READING_SHARE * self._max_wait
        self._jitter = self._sample_jitter()
        return True

    def is_reading(self, now: float) -> bool:
        """Return True if this node has started to read and continues at ``now``."""
        return now < self._reading_until

    def seconds_until_reading(self, age: float) -> float:
        """Return after how many seconds without a new proof this node starts to read."""
        return max(0.0, self._min_reading_age - age)

    @property
    def _min_reading_age(self) -> float:
        return self._max_wait * (MIN_READING_AGE_SHARE + JITTER_SHARE * self._jitter)

    def _sample_jitter(self) -> float:
        # The density rises exponentially from 0 to 1: few nodes start early, most of them late.
        fleet_size = max(1, self._fleet_size())
        return math.log1p(fleet_size * self._rng.random()) / math.log1p(fleet_size)


class StandbyBackoff:
    """Backoff of one node after failed calls to the store, for all kinds together.

    If the store is down, all nodes of the fleet start to read, and the store pays for calls that
    it refuses too. ``max_wait`` is the maximum wait of a watch. Times are in seconds of one clock.
    """

    def __init__(self, max_wait: float, rng: random.Random) -> None:
        self._backoff = Backoff(rng, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SHARE * max_wait)
        self._until = 0.0

    def record_failure(self, now: float) -> None:
        """Record that a call failed, and start or extend the backoff."""
        self._until = now + self._backoff.pause()

    def record_answer(self) -> None:
        """Record that a call was answered, and end the backoff."""
        self._until = 0.0
        self._backoff.reset()

    def remaining_seconds(self, now: float) -> float:
        """Return how many seconds of the backoff are left, 0 if there is none."""
        return max(0.0, self._until - now)
