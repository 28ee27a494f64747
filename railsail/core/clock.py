"""Clocks that every part takes as an argument, so that tests and golden files are exact."""

import asyncio
import socket
import time
from datetime import UTC, datetime

_COUNTER_BITS = 16
# The usual steady clock stands still while a machine is suspended, so that whatever is counted by
# it is believed for too long: that peers live, that a deadline has not passed. Where the system has
# no such clock, machines are taken not to be suspended.
_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return seconds from an arbitrary start, those of a suspension included; never goes back."""
    return time.clock_gettime(_STEADY_CLOCK)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time of a suspension too.

    It asks the resolver in a thread only for names, not for IP numbers.
    """

    def time(self) -> float:
        """Return the time of the loop's timers, in seconds."""
        return steady_seconds()

    async def getaddrinfo(
        self,
        host: str | bytes | None,
        port: str | int | None,
        *,
        family: int = 0,
        type: int = 0,
        proto: int = 0,
        flags: int = 0,
    ) -> list[tuple]:
        """Return the addresses of ``host``, as ``socket.getaddrinfo`` has them."""
        try:
            numeric = flags | socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
            return socket.getaddrinfo(host, port, family, type, proto, numeric)
        except socket.gaierror:
            return await super().getaddrinfo(
                host, port, family=family, type=type, proto=proto, flags=flags
            )


class Clock:
    """Tell the time of this machine."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start, those of a suspension included."""
        return steady_seconds()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that stands still until it is moved.

    Monotonic and wall time are the same number, in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the time set by hand, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the time set by hand, in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self.now += seconds


class HybridClock:
    """Stamp events so that a cause never sorts after its effect.

    A stamp is an integer: milliseconds of wall time, shifted left by 16 bits, plus a counter.
    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp greater than every stamp given or observed before."""
        physical = int(self._clock.wall() * 1000) << _COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, stamp: int) -> None:
        """Take note of the ``stamp`` of another process."""
        self._last = max(self._last, stamp)


def stamp_moment(stamp: int) -> datetime:
    """Return the wall time of a hybrid ``stamp``, in UTC."""
    return datetime.fromtimestamp(stamp_seconds(stamp), UTC)


def stamp_seconds(stamp: int) -> float:
    """Return the wall time of a hybrid ``stamp`` in seconds since the Unix epoch."""
    return (stamp >> _COUNTER_BITS) / 1000
