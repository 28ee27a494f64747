"""A seeded workload, whose requests and their times are fixed before the run (an open loop)."""

import json
import math
import random
from dataclasses import dataclass

from benchmarks.deployment import Shape

MAX_OUTPUT_TOKENS = 2000
MEDIAN_OUTPUT_TOKENS = 90
OUTPUT_SIGMA = 1.0
PROMPT_CHARACTERS = 120


@dataclass(frozen=True)
class PlannedRequest:
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
            action = "status" if self.label == "status" else "classify"
            path = f"/services/{shape.service_pool}/{action}/{self.number}?key={self.key}"
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

    ``rate`` is in requests a second over the whole fleet. The ``large_workspaces`` have 8 times the
    rate of the others, and the ``flooding_workspace``, if any, sends three times as many requests
    in the middle third of the run. Each workspace sends most of its requests to two of the daemons.
    """

    seed: int
    seconds: float
    rate: float
    daemons: int
    workspaces: tuple[str, ...]
    large_workspaces: tuple[str, ...]
    flooding_workspace: str = ""
    service_share: float = 0.15
    tag_share: float = 0.1


def make_requests(plan: Plan) -> list[PlannedRequest]:
    """Return the requests of ``plan``, ordered by time."""
    rng = random.Random(plan.seed)
    weights = {name: 8.0 if name in plan.large_workspaces else 1.0 for name in plan.workspaces}
    daemon_shares = {name: _sample_daemon_shares(rng, plan.daemons) for name in plan.workspaces}
    unit = plan.rate / sum(weights.values())
    requests = []
    for name in plan.workspaces:
        for at in _sample_times(rng, plan, name, weights[name] * unit):
            requests.append((at, name))
    requests.sort()
    return [
        _make_request(rng, plan, number, at, name, daemon_shares)
        for number, (at, name) in enumerate(requests)
    ]


def _sample_daemon_shares(rng: random.Random, daemons: int) -> list[float]:
    # Two of the daemons get most of a workspace's requests.
    shares = [0.04] * daemons
    for favourite in rng.sample(range(daemons), min(2, daemons)):
        shares[favourite] += 0.4
    return shares


def _sample_times(rng: random.Random, plan: Plan, name: str, rate: float) -> list[float]:
    times = []
    at = 0.0
    while at < plan.seconds:
        middle = plan.seconds / 3 <= at < 2 * plan.seconds / 3
        factor = 3.0 if name == plan.flooding_workspace and middle else 1.0
        # The rate varies by half in bursts, each workspace in a phase of its own.
        phase = sum(name.encode()) % 17
        factor *= 1.0 + 0.5 * math.sin(at / 2.0 + phase)
        at += rng.expovariate(rate * factor)
        times.append(at)
    return times[:-1]


def _make_request(
    rng: random.Random,
    plan: Plan,
    number: int,
    at: float,
    name: str,
    daemon_shares: dict[str, list[float]],
) -> PlannedRequest:
    daemon = rng.choices(range(plan.daemons), daemon_shares[name])[0]
    fraction = rng.random()
    tokens = min(
        MAX_OUTPUT_TOKENS,
        max(1, int(rng.lognormvariate(math.log(MEDIAN_OUTPUT_TOKENS), OUTPUT_SIGMA))),
    )
    key = ""
    if fraction < plan.service_share:
        label = "once" if rng.random() < 0.2 else "status"
        key = f"k{plan.seed}-{number}"
    elif fraction < plan.service_share + plan.tag_share:
        label, tokens = "tag", rng.randint(4, 24)
    else:
        label = "draft"
    return PlannedRequest(number, at, daemon, name, label, tokens, key)
