"""How late this process's event loop runs, which tells whether it has more work than time.

Processor time alone does not tell: a loop may use little of it and still be late, where its machine
is slowed down or gives its time in slices.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from statistics import median

from railsail.core.pauses import PAUSE_SECONDS, Pauses

# Seconds between samples: short beside the objectives of requests, and 0.1% of a core.
STEP_SECONDS = 0.05
# The median of so many samples counts, so that one long turn of the loop is no overload.
SAMPLES = 3
# A request passes the loop about six times until its answer begins, so that this many seconds of
# lag take most of an objective of a quarter of a second.
LATE_SECONDS = 0.03
# From this lag on a node hands requests on rather than take more itself, before callers feel it:
# with 30 ms in its place half of the answers of a failure domain began after 182 ms, with it after
# 142 (a node of half a core that most callers reached; one pair of plays of 62 nodes).
BUSY_SECONDS = 0.012


class PeriodicCall:
    """Call ``do`` every so many ``seconds`` until it fails; times are in seconds of one clock."""

    def __init__(self, seconds: float, do: Callable[[], None], now: float) -> None:
        self.failed = asyncio.get_running_loop().create_future()
        self._seconds = seconds
        self._do = do
        self._due = now + seconds

    def run_if_due(self, now: float) -> None:
        """Call it if it is due nearer to ``now`` than to the next sample."""
        if self.failed.done() or now < self._due - STEP_SECONDS / 2:
            return
        self._due = now + self._seconds
        try:
            self._do()
        except Exception as problem:
            self.failed.set_exception(problem)


class LoopLag:
    """Follow the lag of the loop; ``clock`` tells seconds, ``pauses`` is told of long ones."""

    def __init__(self, clock: Callable[[], float], pauses: Pauses | None = None) -> None:
        self._clock = clock
        self._pauses = pauses or Pauses()
        self._samples: deque[float] = deque([0.0] * SAMPLES, maxlen=SAMPLES)
        self._late_since = math.inf
        self._listeners: list[Callable[[], None]] = []
        self._parts: list[PeriodicCall] = []

    def on_sample(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each sample."""
        self._listeners.append(listener)

    @property
    def seconds(self) -> float:
        """Return the lag, in seconds."""
        return median(self._samples)

    @property
    def late(self) -> bool:
        """Say whether the loop runs too late to serve all that comes."""
        return self.seconds > LATE_SECONDS

    @property
    def busy(self) -> bool:
        """Say whether the loop has more to do than it should take on."""
        return self.seconds > BUSY_SECONDS

    def late_for(self) -> float:
        """Return for how many seconds the loop has been late without a pause; 0 if it is not."""
        return max(0.0, self._clock() - self._late_since)

    def take(self, seconds: float) -> None:
        """Take in that a timer came ``seconds`` late."""
        if seconds >= PAUSE_SECONDS:
            self._pauses.ended(seconds, self._clock())
        self._samples.append(max(0.0, seconds))
        if not self.late:
            self._late_since = math.inf
        elif self._late_since == math.inf:
            self._late_since = self._clock()
        for listener in self._listeners:
            listener()

    async def every(self, seconds: float, do: Callable[[], None]) -> None:
        """Call ``do`` about every ``seconds`` until cancelled, or until it fails.

        It is called with the nearest sample: to wake up once more would cost an idle daemon more
        than most of what is done then.
        """
        part = PeriodicCall(seconds, do, self._clock())
        self._parts.append(part)
        try:
            await part.failed
        finally:
            self._parts.remove(part)

    async def run(self) -> None:
        """Take samples until cancelled."""
        loop = asyncio.get_running_loop()
        failed = loop.create_future()

        def wait() -> None:
            nonlocal timer
            timer = loop.call_later(STEP_SECONDS, come_due, self._clock() + STEP_SECONDS)

        def come_due(due: float) -> None:
            # What became ready with the timer is part of the lag, and runs before this.
            loop.call_soon(sample, due)

        def sample(due: float) -> None:
            if failed.done():
                return
            try:
                self.take(self._clock() - due)
            except Exception as problem:
                failed.set_exception(problem)
                return
            now = self._clock()
            for part in self._parts:
                part.run_if_due(now)
            wait()

        timer: asyncio.TimerHandle
        wait()
        try:
            await failed
        finally:
            timer.cancel()
