"""The lag of this process's event loop, which shows whether the process is overloaded.

Processor time alone doesn't show it: on a machine that is throttled, or that schedules the process
in time slices, the loop may use little processor time and still be late.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from statistics import median

from railsail.core.pauses import PAUSE_SECONDS, Pauses

# Time between samples. It is short compared with the objectives of requests, and sampling takes
# 0.1% of a core.
SAMPLE_INTERVAL_SECONDS = 0.05
# The lag is the median of this many samples, so that a single long turn of the loop doesn't count
# as overload.
MEDIAN_SAMPLES = 3
# A request takes about six turns of the loop before its answer starts. With this lag they use up
# most of an objective of 250 ms.
LATE_SECONDS = 0.03
# Above this lag a node forwards new requests instead of accepting more itself, before callers
# notice. With 30 ms instead, the median time to the first byte in a failure domain was 182 ms
# rather than 142 ms (most callers at one node with half a core, in a fleet of 62 nodes).
BUSY_SECONDS = 0.012


class PeriodicCall:
    """A call of ``callback`` every ``seconds``, until it raises an exception.

    ``failed`` is a future that then has the exception.
    """

    def __init__(self, seconds: float, callback: Callable[[], None], now: float) -> None:
        self.failed = asyncio.get_running_loop().create_future()
        self._seconds = seconds
        self._callback = callback
        self._due = now + seconds

    def run_if_due(self, now: float) -> None:
        """Make the call if its due time is closer to ``now`` than to the next sample."""
        if self.failed.done() or now < self._due - SAMPLE_INTERVAL_SECONDS / 2:
            return
        self._due = now + self._seconds
        try:
            self._callback()
        except Exception as problem:
            self.failed.set_exception(problem)


class LoopLag:
    """The lag of the event loop, from periodic samples.

    ``clock`` returns the time in seconds. Samples that are long enough to be a pause of the process
    are also reported to ``pauses``.
    """

    def __init__(self, clock: Callable[[], float], pauses: Pauses | None = None) -> None:
        self._clock = clock
        self._pauses = pauses or Pauses()
        self._samples: deque[float] = deque([0.0] * MEDIAN_SAMPLES, maxlen=MEDIAN_SAMPLES)
        self._late_since = math.inf
        self._listeners: list[Callable[[], None]] = []
        self._periodic_calls: list[PeriodicCall] = []

    def on_sample(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each sample."""
        self._listeners.append(listener)

    @property
    def seconds(self) -> float:
        """Return the current lag, in seconds."""
        return median(self._samples)

    @property
    def late(self) -> bool:
        """Return True if the loop is too late to serve all requests that arrive."""
        return self.seconds > LATE_SECONDS

    @property
    def busy(self) -> bool:
        """Return True if the loop should accept no more work."""
        return self.seconds > BUSY_SECONDS

    def late_for(self) -> float:
        """Return for how many seconds in a row the loop has been late, 0 if it isn't."""
        return max(0.0, self._clock() - self._late_since)

    def record(self, seconds: float) -> None:
        """Record a sample: a timer that fired ``seconds`` late."""
        if seconds >= PAUSE_SECONDS:
            self._pauses.record(seconds, self._clock())
        self._samples.append(max(0.0, seconds))
        if not self.late:
            self._late_since = math.inf
        elif self._late_since == math.inf:
            self._late_since = self._clock()
        for listener in self._listeners:
            listener()

    async def every(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` about every ``seconds`` until cancelled, or until it raises.

        The call is made together with the nearest sample. In an idle daemon, another wake-up of the
        loop would cost more than most of these calls do.
        """
        call = PeriodicCall(seconds, callback, self._clock())
        self._periodic_calls.append(call)
        try:
            await call.failed
        finally:
            self._periodic_calls.remove(call)

    async def run(self) -> None:
        """Take samples and make the periodic calls until cancelled."""
        loop = asyncio.get_running_loop()
        failed = loop.create_future()

        def schedule_timer() -> None:
            nonlocal timer
            timer = loop.call_later(
                SAMPLE_INTERVAL_SECONDS, on_timer, self._clock() + SAMPLE_INTERVAL_SECONDS
            )

        def on_timer(due: float) -> None:
            # Callbacks that became ready together with the timer run before ``sample``, which makes
            # them part of the lag.
            loop.call_soon(sample, due)

        def sample(due: float) -> None:
            if failed.done():
                return
            try:
                self.record(self._clock() - due)
            except Exception as problem:
                failed.set_exception(problem)
                return
            now = self._clock()
            for call in self._periodic_calls:
                call.run_if_due(now)
            schedule_timer()

        timer: asyncio.TimerHandle
        schedule_timer()
        try:
            await failed
        finally:
            timer.cancel()
