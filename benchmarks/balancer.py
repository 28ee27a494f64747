"""A stand-in of the platform's load balancer, which polls the readiness of each daemon."""

import asyncio

from benchmarks.deployment import Daemon
from railsail.upstreams.collector import fetch
from railsail.upstreams.http import HttpRequest

POLL_SECONDS = 0.3
TIMEOUT_SECONDS = 1.0


class Balancer:
    """A balancer that chooses among the daemons that were ready at the last poll."""

    def __init__(self, daemons: list[Daemon]) -> None:
        self._daemons = daemons
        self._ready = {daemon.ip: True for daemon in daemons}

    async def run(self) -> None:
        """Poll all daemons until cancelled."""
        while True:
            await asyncio.gather(*(self._poll(daemon) for daemon in list(self._daemons)))
            await asyncio.sleep(POLL_SECONDS)

    async def _poll(self, daemon: Daemon) -> None:
        endpoint = f"{daemon.ip}:{daemon.ports[1]}"
        answer = await fetch(HttpRequest(endpoint, "GET", "/ready", {}), TIMEOUT_SECONDS)
        self._ready[daemon.ip] = answer is not None and answer.status == 200

    def choose(self, index: int) -> str:
        """Return the caller endpoint of daemon ``index``, or of the next one that is ready.

        If no daemon is ready, return that of daemon ``index``.
        """
        count = len(self._daemons)
        for step in range(count):
            daemon = self._daemons[(index + step) % count]
            if self._ready[daemon.ip]:
                return daemon.caller_endpoint
        return self._daemons[index % count].caller_endpoint
