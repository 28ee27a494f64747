"""Simulate how many requests find an idle connection to their replica, by the idle timeout.

    python -m benchmarks.connections [--seconds=120] [--seed=1]

The simulation starts no processes. It has 77 nodes, 45 replicas of a model pool with 271 streams a
second, and 4 replicas of a service with 133 requests a second. Requests arrive at random; nodes get
uneven shares of them, and replicas even shares. A stream takes 1.5 s on average, a request to the
service 0.06 s. A node keeps at most one, two or four idle connections to a replica. No connection
is open at the start.
"""

import heapq
import random
from collections import defaultdict
from itertools import count

import fire

NODES = 77
# By pool: the replicas, the requests a second, and the mean duration of a request in seconds.
POOLS = {"model": (45, 271.0, 1.5), "service": (4, 133.0, 0.06)}
IDLE_SECONDS = (1.0, 2.0, 5.0, 10.0, 20.0, 30.0)
MAX_IDLE_CONNECTIONS = (1, 2, 4)
# Callers, each bound to one node at random, as a balancer that hashes callers does. This is why
# the shares of the nodes are uneven.
CALLERS = 311


def _assign_callers(rng: random.Random) -> list[int]:
    """Return the node of each caller."""
    return [rng.randrange(NODES) for _ in range(CALLERS)]


class _PoolConnections:
    """The connections to one pool.

    A connection may be idle for ``idle_seconds``. At most ``max_idle`` idle connections are kept
    between a node and a replica. ``opened`` counts the connections that were opened.
    """

    def __init__(self, idle_seconds: float, max_idle: int) -> None:
        self._idle_seconds = idle_seconds
        self._max_idle = max_idle
        self._idle: defaultdict[tuple[int, int], list[float]] = defaultdict(list)
        self._running: list[tuple[float, int, tuple[int, int]]] = []
        self._sequence = count()
        self.opened = 0

    def request(self, now: float, endpoints: tuple[int, int], duration: float) -> None:
        self._release_ended(now)
        idle = self._idle[endpoints]
        while idle and idle[0] < now - self._idle_seconds:
            idle.pop(0)
        if idle:
            idle.pop()
        else:
            self.opened += 1
        heapq.heappush(self._running, (now + duration, next(self._sequence), endpoints))

    def _release_ended(self, now: float) -> None:
        while self._running and self._running[0][0] <= now:
            ended_at, _, endpoints = heapq.heappop(self._running)
            self._idle[endpoints].append(ended_at)
            if len(self._idle[endpoints]) > self._max_idle:
                self._idle[endpoints].pop(0)


def _simulate(idle_seconds: float, max_idle: int, seconds: float, seed: int) -> dict[str, float]:
    """Return the share of requests that open a new connection, by pool and over all pools."""
    rng = random.Random(seed)
    callers = _assign_callers(rng)
    shares = {}
    opened = requests = 0
    for pool, (replicas, rate, mean) in POOLS.items():
        connections = _PoolConnections(idle_seconds, max_idle)
        now = 0.0
        sent = 0
        while now < seconds:
            now += rng.expovariate(rate)
            endpoints = (rng.choice(callers), rng.randrange(replicas))
            connections.request(now, endpoints, rng.expovariate(1 / mean))
            sent += 1
        shares[pool] = connections.opened / sent
        opened += connections.opened
        requests += sent
    shares["all"] = opened / requests
    return shares


def run(seconds: float = 120.0, seed: int = 1) -> None:
    """Print the share of new connections for each idle timeout and limit of idle connections."""
    for max_idle in MAX_IDLE_CONNECTIONS:
        for idle_seconds in IDLE_SECONDS:
            shares = _simulate(idle_seconds, max_idle, seconds, seed)
            shown = " ".join(f"{pool} {share:.2f}" for pool, share in shares.items())
            print(f"idle timeout {idle_seconds:.0f} s, at most {max_idle} idle: opened {shown}")


if __name__ == "__main__":
    fire.Fire(run)
