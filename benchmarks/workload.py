"""A seeded workload: who asks what, where and when, made before the run (an open loop)."""

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
    """One request: seconds ``at`` from the start, the index of the daemon, and what is asked.

    ``label`` is draft, tag, status or once; ``key`` is the idempotency key, empty for none.
    """

    number: int
    at: float
    daemon: int
    workspace: str
    label: str
    tokens: int
    key: str

    def http(self, shape: Shape) -> tuple[str, str, bytes]:
        """Return method, path and body."""
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
    """What a workload is made from.

    ``rate`` is in requests a second over the fleet; ``flood`` names a workspace that asks three
    times as much in the middle third. Large workspaces have 8 times the rate of small ones, and
    each workspace sends most of its requests to few daemons.
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
    """Return the requests of ``plan``, in order of time."""
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
        # Bursts: the rate swings by half, each workspace with a phase of its own.
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
