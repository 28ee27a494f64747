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
POOLS = {"model": (45, 271.0, 1.5), "service": (4, 133.0, 0.06)}
IDLE_SECONDS = (1.0, 2.0, 5.0, 10.0, 20.0, 30.0)
MOST_AT_PLACE = (1, 2, 4)
# Callers, each bound to one node at random, as a balancer that hashes callers does. This is why
# the shares of the nodes are uneven.
CALLERS = 311


def _shares(rng: random.Random) -> list[int]:
    """Return the node of each caller."""
    return [rng.randrange(NODES) for _ in range(CALLERS)]


class _Model:
    """The connections to one pool.

    A connection may be idle for ``idle`` seconds, and at most ``most`` are kept idle between a node
    and a replica.
    """

    def __init__(self, idle: float, most: int) -> None:
        self._idle_seconds = idle
        self._most = most
        self._idle: defaultdict[tuple[int, int], list[float]] = defaultdict(list)
        self._running: list[tuple[float, int, tuple[int, int]]] = []
        self._numbers = count()
        self.new = 0

    def request(self, now: float, place: tuple[int, int], lasts: float) -> None:
        self._end(now)
        idle = self._idle[place]
        while idle and idle[0] < now - self._idle_seconds:
            idle.pop(0)
        if idle:
            idle.pop()
        else:
            self.new += 1
        heapq.heappush(self._running, (now + lasts, next(self._numbers), place))

    def _end(self, now: float) -> None:
        while self._running and self._running[0][0] <= now:
            ended_at, _, place = heapq.heappop(self._running)
            self._idle[place].append(ended_at)
            if len(self._idle[place]) > self._most:
                self._idle[place].pop(0)


def _play(idle: float, most: int, seconds: float, seed: int) -> dict[str, float]:
    """Return the share of requests that open a new connection, by pool and over all pools."""
    rng = random.Random(seed)
    callers = _shares(rng)
    shares = {}
    new = requests = 0
    for pool, (replicas, rate, mean) in POOLS.items():
        model = _Model(idle, most)
        now = 0.0
        asked = 0
        while now < seconds:
            now += rng.expovariate(rate)
            place = (rng.choice(callers), rng.randrange(replicas))
            model.request(now, place, rng.expovariate(1 / mean))
            asked += 1
        shares[pool] = model.new / asked
        new += model.new
        requests += asked
    shares["all"] = new / requests
    return shares


def run(seconds: float = 120.0, seed: int = 1) -> None:
    """Print the share of new connections for each idle timeout and limit of idle connections."""
    for most in MOST_AT_PLACE:
        for idle in IDLE_SECONDS:
            shares = _play(idle, most, seconds, seed)
            told = " ".join(f"{pool} {share:.2f}" for pool, share in shares.items())
            print(f"idle timeout {idle:.0f} s, at most {most} idle: new connections {told}")


if __name__ == "__main__":
    fire.Fire(run)
