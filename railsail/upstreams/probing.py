"""Probes that tell whether a process still listens at the address of a replica."""

import enum

from railsail.conf.values import parse_endpoint
from railsail.core.sockets import CannotConnect, open_stream


class Probe(enum.Enum):
    """What a probe shows: only a host whose process does not listen refuses a connection."""

    LISTENS = enum.auto()
    REFUSED = enum.auto()
    UNKNOWN = enum.auto()


async def probe(endpoint: str, seconds: float) -> Probe:
    """Return whether a process listens at ``endpoint``, as far as is known after ``seconds``."""
    target = parse_endpoint(endpoint)
    try:
        stream = await open_stream(target.ip, target.port, seconds)
    except CannotConnect as problem:
        return Probe.REFUSED if problem.refused else Probe.UNKNOWN
    stream.close()
    return Probe.LISTENS


async def refuses_connections(endpoint: str, seconds: float) -> bool:
    """Return True if ``endpoint`` refuses a connection within ``seconds``."""
    return await probe(endpoint, seconds) is Probe.REFUSED
