"""When a node that leaves reading the store to others reads it itself.

The others may be unable to read it, or to tell what they read, for many reasons, and need not know.
So this rests on what arrives alone: without a new proof that all changes are held, a node reads.
Those that run out of patience together would all read at once, so that each waits a little longer
by chance: few do so at first, and their proofs reach the others before these begin.
"""

import math
import random
from collections.abc import Callable

# Parts of the longest wait of a watch, ``seconds``. Nodes that watch prove what they hold after a
# quarter of it at least and all of it at most.
PATIENCE_SHARE = 0.7
SPREAD_SHARE = 0.2
# A node that began to read goes on for so many times as long, so that changes reach it, and those
# that it tells, without another wait.
READING_SHARE = 5.0


# A node that the store answers, or that hears of others, has a proof that is younger than so many
# times as long: whoever has none for longer begins to read, and a call takes a moment.
PROVED_SHARE = 1.1


class Standby:
    """Decide for one node and some kinds; ``size`` says of how many members."""

    def __init__(self, seconds: float, size: Callable[[], int], rng: random.Random) -> None:
        self._seconds = seconds
        self._size = size
        self._rng = rng
        self._until = 0.0
        self._patience = self._draw_patience()

    def reads(self, age: float, now: float) -> bool:
        """Say whether to read at ``now``, when the newest proof is ``age`` seconds old."""
        if now < self._until:
            return True
        if age < self._patience:
            return False
        self._until = now + self._rng.uniform(0.5, 1.0) * READING_SHARE * self._seconds
        self._patience = self._draw_patience()
        return True

    def seconds_left(self, age: float) -> float:
        """Return after how many seconds without a proof this node begins to read."""
        return max(0.0, self._patience - age)

    def _draw_patience(self) -> float:
        # As many begin to read in each part of the spread as have begun before it.
        size = max(1, self._size())
        late = math.log1p(size * self._rng.random()) / math.log1p(size)
        return self._seconds * (PATIENCE_SHARE + SPREAD_SHARE * late)
