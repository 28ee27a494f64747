"""Probes that tell whether a process still listens at the address of a replica."""

from railsail.conf.values import parse_endpoint
from railsail.core.sockets import CannotConnect, open_stream


async def refuses_connections(endpoint: str, seconds: float) -> bool:
    """Return True if ``endpoint`` refuses a connection within ``seconds``."""
    target = parse_endpoint(endpoint)
    try:
        stream = await open_stream(target.ip, target.port, seconds)
    except CannotConnect as problem:
        return problem.refused
    stream.close()
    return False
