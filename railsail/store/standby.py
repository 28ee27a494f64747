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
# between a quarter and all of that wait.

# Age of the newest proof from which a node reads, and the maximum of the random delay beyond it.
PATIENCE_SHARE = 0.7
SPREAD_SHARE = 0.2
# How long the node that starts first continues to read, so that changes reach the fleet without
# another delay. A node that starts later stops sooner.
READING_SHARE = 5.0


# Maximum age of the newest proof while this node or one of its peers can read the store: nodes with
# an older proof start to read, and a call takes a moment.
PROVED_SHARE = 1.1

# Backoff after failed calls; its maximum is a share like those above.
FIRST_REST_SECONDS = 0.25
REST_SHARE = 2.0


class Standby:
    """Decide when one node reads some kinds.

    ``seconds`` is the maximum wait of a watch of these kinds, and ``size`` returns the number of
    members of the fleet.
    """

    def __init__(self, seconds: float, size: Callable[[], int], rng: random.Random) -> None:
        self._seconds = seconds
        self._size = size
        self._rng = rng
        self._until = 0.0
        # The share of the maximum random delay that applies to the next start, 0 to 1.
        self._late = self._draw_late()

    def reads(self, age: float, now: float) -> bool:
        """Return True if this node should read at ``now``; start to read if it is due.

        ``age`` is the age of the newest proof in seconds.
        """
        if self.reading(now):
            return True
        if age < self._patience:
            return False
        self._until = now + (1.0 - self._late) * READING_SHARE * self._seconds
        self._late = self._draw_late()
        return True

    def reading(self, now: float) -> bool:
        """Return True if this node has started to read and continues at ``now``."""
        return now < self._until

    def seconds_left(self, age: float) -> float:
        """Return after how many seconds without a new proof this node starts to read."""
        return max(0.0, self._patience - age)

    @property
    def _patience(self) -> float:
        return self._seconds * (PATIENCE_SHARE + SPREAD_SHARE * self._late)

    def _draw_late(self) -> float:
        # The density rises exponentially from 0 to 1: few nodes start early, most of them late.
        size = max(1, self._size())
        return math.log1p(size * self._rng.random()) / math.log1p(size)


class StandbyRest:
    """Backoff of one node after failed calls to the store, for all kinds together.

    If the store is down, all nodes of the fleet start to read, and the store pays for calls that
    it refuses too. Times are in seconds of one clock. ``seconds`` is the maximum wait of a watch.
    """

    def __init__(self, seconds: float, rng: random.Random) -> None:
        self._backoff = Backoff(rng, FIRST_REST_SECONDS, REST_SHARE * seconds)
        self._until = 0.0

    def failed(self, now: float) -> None:
        """Record that a call failed, and start or extend the backoff."""
        self._until = now + self._backoff.pause()

    def answered(self) -> None:
        """Record that a call was answered, and end the backoff."""
        self._until = 0.0
        self._backoff.reset()

    def seconds_left(self, now: float) -> float:
        """Return how many seconds of the backoff are left, 0 if there is none."""
        return max(0.0, self._until - now)
