"""What every part of a daemon shares."""

import random

import msgspec

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.metrics import Metrics
from railsail.core.pauses import Pauses


class Kernel(msgspec.Struct, frozen=True):
    """The clock, the seeded generator, the time line, the metrics and the pauses of one daemon."""

    clock: Clock
    rng: random.Random
    events: EventLog
    metrics: Metrics
    pauses: Pauses = msgspec.field(default_factory=Pauses)
