"""What every part of a daemon shares."""

import random
from dataclasses import dataclass

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.metrics import Metrics


@dataclass(frozen=True)
class Kernel:
    """The clock, the seeded generator, the time line and the metrics of one daemon."""

    clock: Clock
    rng: random.Random
    events: EventLog
    metrics: Metrics
