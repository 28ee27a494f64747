"""A seeded workload, whose requests and their times are fixed before the run (an open loop)."""

import json
import math
import random
from dataclasses import dataclass

from benchmarks.deployment import Shape

LARGEST_OUTPUT = 2000
MEDIAN_OUTPUT = 90
SPREAD = 1.0
PROMPT_CHARACTERS = 120


@dataclass(frozen=True)
class Ask:
    """A request that is sent ``at`` seconds after the start to the daemon with index ``daemon``.

    ``label`` is draft or tag, for requests to the model pool, or status or once, for requests to
    the service pool. ``tokens`` is the length of the output, and ``key`` the idempotency key or
    empty.
    """

    number: int
    at: float
    daemon: int
    workspace: str
    label: str
    tokens: int
    key: str

    def http(self, shape: Shape) -> tuple[str, str, bytes]:
        """Return the method, the path and the body of the request."""
        if self.label in ("status", "once"):
            method = "GET" if self.label == "status" else "POST"
            word = "status" if self.label == "status" else "classify"
            path = f"/services/{shape.service_pool}/{word}/{self.number}?key={self.key}"
            return method, path, b""
        body = {
            "model": shape.model_pool,
            "stream": True,
            "messages": [{"role": "user", "content": f"{self.number} ".ljust(PROMPT_CHARACTERS)}],
            "metadata": {"output_tokens": str(self.tokens)},
        }
        if self.label == "tag":
            body["max_tokens"] = 32
        return "POST", "/v1/chat/completions", json.dumps(body).encode()


@dataclass(frozen=True)
class Plan:
    """The parameters of a workload.

    ``rate`` is in requests a second over the whole fleet. ``flood`` names a workspace that sends
    three times as many requests in the middle third of the run. The ``large`` workspaces have 8
    times the rate of the others. Each workspace sends most of its requests to two of the daemons.
    """

    seed: int
    seconds: float
    rate: float
    daemons: int
    workspaces: tuple[str, ...]
    large: tuple[str, ...]
    flood: str = ""
    service_share: float = 0.15
    tag_share: float = 0.1


def make(plan: Plan) -> list[Ask]:
    """Return the requests of ``plan``, ordered by time."""
    rng = random.Random(plan.seed)
    weights = {name: 8.0 if name in plan.large else 1.0 for name in plan.workspaces}
    homes = {name: _spread(rng, plan.daemons) for name in plan.workspaces}
    unit = plan.rate / sum(weights.values())
    asks = []
    for name in plan.workspaces:
        for at in _times(rng, plan, name, weights[name] * unit):
            asks.append((at, name))
    asks.sort()
    return [_ask(rng, plan, number, at, name, homes) for number, (at, name) in enumerate(asks)]


def _spread(rng: random.Random, daemons: int) -> list[float]:
    # Two of the daemons get most of a workspace's requests.
    shares = [0.04] * daemons
    for favourite in rng.sample(range(daemons), min(2, daemons)):
        shares[favourite] += 0.4
    return shares


def _times(rng: random.Random, plan: Plan, name: str, rate: float) -> list[float]:
    times = []
    at = 0.0
    while at < plan.seconds:
        middle = plan.seconds / 3 <= at < 2 * plan.seconds / 3
        factor = 3.0 if name == plan.flood and middle else 1.0
        # The rate varies by half in bursts, each workspace in a phase of its own.
        phase = sum(name.encode()) % 17
        factor *= 1.0 + 0.5 * math.sin(at / 2.0 + phase)
        at += rng.expovariate(rate * factor)
        times.append(at)
    return times[:-1]


def _ask(
    rng: random.Random,
    plan: Plan,
    number: int,
    at: float,
    name: str,
    homes: dict[str, list[float]],
) -> Ask:
    daemon = rng.choices(range(plan.daemons), homes[name])[0]
    draw = rng.random()
    tokens = min(LARGEST_OUTPUT, max(1, int(rng.lognormvariate(math.log(MEDIAN_OUTPUT), SPREAD))))
    key = ""
    if draw < plan.service_share:
        label = "once" if rng.random() < 0.2 else "status"
        key = f"k{plan.seed}-{number}"
    elif draw < plan.service_share + plan.tag_share:
        label, tokens = "tag", rng.randint(4, 24)
    else:
        label = "draft"
    return Ask(number, at, daemon, name, label, tokens, key)
