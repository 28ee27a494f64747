"""Clocks, passed to every part as an argument so that tests can control the time."""

import asyncio
import socket
import time
from datetime import UTC, datetime

_COUNTER_BITS = 16
# ``CLOCK_MONOTONIC`` doesn't advance while the machine is suspended. After a resume, a daemon that
# used it would believe for too long that its peers are alive and that deadlines haven't passed.
# Systems without ``CLOCK_BOOTTIME`` are assumed never to be suspended.
_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return the seconds since an arbitrary start, including suspended time; never decreases."""
    return time.clock_gettime(_STEADY_CLOCK)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include suspended time.

    It resolves host names in a thread, but IP addresses directly.
    """

    def time(self) -> float:
        """Return the time that the loop's timers use, in seconds."""
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
        """Return the addresses of ``host``, in the format of ``socket.getaddrinfo``."""
        try:
            numeric = flags | socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
            return socket.getaddrinfo(host, port, family, type, proto, numeric)
        except socket.gaierror:
            return await super().getaddrinfo(
                host, port, family=family, type=type, proto=proto, flags=flags
            )


class Clock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start, including suspended time."""
        return steady_seconds()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when ``advance`` is called.

    Its monotonic and wall time are the same number, in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the current time, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current time, in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self.now += seconds


class HybridClock:
    """A hybrid logical clock: its stamps sort a cause before its effect.

    A stamp is an integer: the wall time in milliseconds, shifted left by 16 bits, plus a counter.
    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp greater than every stamp returned or observed before."""
        physical = int(self._clock.wall() * 1000) << _COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, stamp: int) -> None:
        """Record the ``stamp`` of another process, so that later stamps are greater."""
        self._last = max(self._last, stamp)


def stamp_moment(stamp: int) -> datetime:
    """Return the wall time of a hybrid ``stamp``, in UTC."""
    return datetime.fromtimestamp(stamp_seconds(stamp), UTC)


def stamp_seconds(stamp: int) -> float:
    """Return the wall time of a hybrid ``stamp`` in seconds since the Unix epoch."""
    return (stamp >> _COUNTER_BITS) / 1000
