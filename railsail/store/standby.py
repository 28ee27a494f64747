"""When a node that leaves reading the store to others reads it itself.

The others may be unable to read it, or to tell what they read, for many reasons, and need not know.
So this rests on what arrives alone: without a new proof that all changes are held, a node reads.
Those that run out of patience together would all read at once, so that each waits a little longer
by chance: few do so at first, and their proofs reach the others before these begin.
"""

import math
import random
from collections.abc import Callable

from railsail.store.journal import Backoff

# Parts of the longest wait of a watch, ``seconds``. Nodes that watch prove what they hold after a
# quarter of it at least and all of it at most.
PATIENCE_SHARE = 0.7
SPREAD_SHARE = 0.2
# The first that began to read go on for so many times as long, so that changes reach the fleet
# without another wait. The later a node began, the sooner it leaves that to the others.
READING_SHARE = 5.0


# A node that the store answers, or that hears of others, has a proof that is younger than so many
# times as long: whoever has none for longer begins to read, and a call takes a moment.
PROVED_SHARE = 1.1

# Rests after calls that were not answered grow from the one to the other, as a part of a watch.
FIRST_REST_SECONDS = 0.25
REST_SHARE = 2.0


class Standby:
    """Decide for one node and some kinds; ``size`` says of how many members."""

    def __init__(self, seconds: float, size: Callable[[], int], rng: random.Random) -> None:
        self._seconds = seconds
        self._size = size
        self._rng = rng
        self._until = 0.0
        # Which part of the spread this node waits beyond its patience, 0 to 1.
        self._late = self._draw_late()

    def reads(self, age: float, now: float) -> bool:
        """Say whether to read at ``now``, when the newest proof is ``age`` seconds old."""
        if self.reading(now):
            return True
        if age < self._patience:
            return False
        self._until = now + (1.0 - self._late) * READING_SHARE * self._seconds
        self._late = self._draw_late()
        return True

    def reading(self, now: float) -> bool:
        """Say whether this node began to read, and goes on at ``now``."""
        return now < self._until

    def seconds_left(self, age: float) -> float:
        """Return after how many seconds without a proof this node begins to read."""
        return max(0.0, self._patience - age)

    @property
    def _patience(self) -> float:
        return self._seconds * (PATIENCE_SHARE + SPREAD_SHARE * self._late)

    def _draw_late(self) -> float:
        # Few begin in the first parts of the spread, and ever more in the later ones.
        size = max(1, self._size())
        return math.log1p(size * self._rng.random()) / math.log1p(size)


class StandbyRest:
    """Leave a store that turned a node away alone for a while, whatever kind it was asked for.

    All nodes of a fleet run out of patience where the store is down, and calls that are refused
    cost as others do. Times are in seconds of one clock.
    """

    def __init__(self, seconds: float, rng: random.Random) -> None:
        self._backoff = Backoff(rng, FIRST_REST_SECONDS, REST_SHARE * seconds)
        self._until = 0.0

    def failed(self, now: float) -> None:
        """Take note that a call was not answered."""
        self._until = now + self._backoff.pause()

    def answered(self) -> None:
        """Take note that a call was answered."""
        self._until = 0.0
        self._backoff.reset()

    def seconds_left(self, now: float) -> float:
        """Return for how long the store is left alone."""
        return max(0.0, self._until - now)
