"""Monitor whether this node keeps up with its callers, and report its speed to the other nodes."""

import math
from collections.abc import Callable

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.core.looplag import LoopLag
from railsail.gateway.admission import Admission
from railsail.membership.service import Membership
from railsail.membership.speed import RISE_SECONDS, SAMPLE_SECONDS, UNKNOWN_LEVEL, SpeedMeter

# A node whose event loop has been late for this long asks the balancer to send callers elsewhere.
# The balancer takes two more seconds to act, so that a short burst changes nothing.
LATE_AFTER_SECONDS = 1.0


class OwnPace:
    """Monitor of the speed and lateness of this node.

    While the node is late for its callers it reports no speed, so that it is not chosen to
    dispatch. ``callers_wait`` returns whether callers' connections have been waiting for a while
    without a break.
    """

    def __init__(
        self,
        lag: LoopLag,
        admission: Admission,
        callers_wait: Callable[[], bool],
        membership: Membership,
        kernel: Kernel,
    ) -> None:
        self._lag = lag
        self._admission = admission
        self._callers_wait = callers_wait
        self._membership = membership
        self._clock = kernel.clock
        self._events = kernel.events
        # Until when the node reports no speed, because it was late.
        self._late_until = -math.inf

    @property
    def late(self) -> bool:
        """Return True if this node has more callers than it can serve in time.

        Its event loop has been late for a while, or is in time only because callers wait unread.
        """
        loop_late = self._admission.is_loaded and self._lag.late_for() > LATE_AFTER_SECONDS
        return loop_late or self._callers_wait()

    async def run(self) -> None:
        """Measure and report until cancelled."""
        meter = SpeedMeter(self._clock.monotonic)
        await self._lag.every(SAMPLE_SECONDS, lambda: self._sample(meter))

    def _sample(self, meter: SpeedMeter) -> None:
        meter.sample()
        self._update_lateness()
        # A node that is late for its own callers must not delay those of other nodes as a
        # dispatcher.
        late = self._clock.monotonic() < self._late_until
        level = UNKNOWN_LEVEL if late else meter.level
        if level != self._membership.table.own.speed:
            self._membership.change_own(speed=level)

    def _update_lateness(self) -> None:
        now = self._clock.monotonic()
        was_late = now < self._late_until
        if self.late:
            self._late_until = now + RISE_SECONDS
        if was_late != (now < self._late_until):
            self._events.emit(
                Kind.STATE,
                "the loop is in time again" if was_late else "the loop is late",
                lag_ms=round(self._lag.seconds * 1000),
                requests=self._admission.total,
            )
