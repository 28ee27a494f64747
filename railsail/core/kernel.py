"""The objects that all parts of a daemon share."""

import random

import msgspec

from railsail.core.buffers import Buffers
from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.metrics import Metrics
from railsail.core.pauses import Pauses


class Kernel(msgspec.Struct, frozen=True):
    """The clock, random number generator, time line, metrics, pauses and buffers of one daemon."""

    clock: Clock
    rng: random.Random
    events: EventLog
    metrics: Metrics
    pauses: Pauses = msgspec.field(default_factory=Pauses)
    buffers: Buffers = msgspec.field(default_factory=Buffers)
