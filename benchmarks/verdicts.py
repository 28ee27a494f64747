"""Simulate how often versions are judged wrongly, and how soon bad ones are found.

    python -m benchmarks.verdicts --seeds 2000

Answers on five routes are generated at random: those of the baseline, which is the versions already
in use, and those of a target version, which gets a share of the requests on three replicas. The
target version is judged four times a second. For each kind of version and request rate, one line
shows the share of versions judged bad, the share judged good, and the number of bad answers until
the verdict (median and 99th percentile).
"""

import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import fire

from railsail.rollouts.evidence import RouteEvidence, Tally
from railsail.rollouts.verdict import Verdict, VersionJudge

# By route: its share of the requests, the median times to the first byte and to the end of an
# answer in seconds, and the sigma of their log-normal distribution.
ROUTES = (
    (0.17, 0.15, 1.8, 0.5),
    (0.31, 0.06, 1.2, 0.7),
    (0.36, 0.08, 0.12, 0.9),
    (0.13, 0.07, 0.07, 0.5),
    (0.03, 0.07, 0.07, 0.5),
)
UPDATES_PER_SECOND = 4
RATES = (50, 240, 1000, 2000)
# The target version gets this share of all requests, and this many more in total.
SHARE = 0.04
SLACK = 20
# The target version gets at most this share of the requests on a rare route.
MAX_ROUTE_SHARE = 0.5
REPLICAS = ("i-1", "i-2", "i-3")


@dataclass(frozen=True)
class Answer:
    """The time, the route and the replica of an answer, and whether the replica was busy."""

    at: float
    route: int
    replica: str
    busy: bool


@dataclass
class Version:
    """How a version differs from the baseline.

    ``failure_probability`` returns the probability that an answer fails because of the version, and
    ``slowdown`` the factor by which it takes longer.
    """

    failure_probability: Callable[[Answer], float] = lambda answer: 0.0
    slowdown: Callable[[Answer, random.Random], float] = lambda answer, rng: 1.0
    bad: bool = True


def _half(answer: Answer, rng: random.Random, factor: float) -> float:
    return factor if rng.random() < 0.5 else 1.0


KINDS = {
    "good": Version(bad=False),
    "good, one replica fails": Version(lambda answer: 0.8 * (answer.replica == "i-2"), bad=False),
    "good, a little slower": Version(slowdown=lambda answer, rng: 1.4, bad=False),
    "half fails": Version(lambda answer: 0.5),
    "half fails from 4 s on": Version(lambda answer: 0.5 * (answer.at > 4)),
    "half fails on a route": Version(lambda answer: 0.5 * (answer.route == 3)),
    "half fails on a rare route": Version(lambda answer: 0.5 * (answer.route == 4)),
    "half fails when busy": Version(lambda answer: 0.5 * answer.busy),
    "three times slower": Version(slowdown=lambda answer, rng: 3.0),
    "half is four times slower": Version(slowdown=lambda answer, rng: _half(answer, rng, 4.0)),
    "ten times slower on a route": Version(
        slowdown=lambda answer, rng: 10.0 if answer.route == 1 else 1.0
    ),
}


@dataclass
class Outcome:
    """The verdict of one rollout, and the number of bad answers until then."""

    verdict: Verdict
    bad_answers: int


@dataclass
class _Tallies:
    baseline: Tally = field(default_factory=Tally)
    target: dict[str, Tally] = field(
        default_factory=lambda: {replica: Tally() for replica in REPLICAS}
    )


def simulate(kind: Version, rate: float, share: float, seconds: float, seed: int) -> Outcome:
    """Simulate the rollout of one version, and return its outcome.

    There are ``rate`` requests a second in total, of which the version gets ``share``.
    """
    rng = random.Random(seed)
    tallies = {number: _Tallies() for number in range(len(ROUTES))}
    judge = VersionJudge()
    bad_answers = 0
    # For a random part of the run all versions are slower, as when a flood of requests arrives.
    slow_since, slow_until = sorted(rng.uniform(0, seconds) for _ in range(2))
    for step in range(int(seconds * UPDATES_PER_SECOND)):
        at = step / UPDATES_PER_SECOND
        load = 2.5 if slow_since < at < slow_until else 1.0
        for _ in range(_sample_count(rate / UPDATES_PER_SECOND, rng)):
            bad_answers += _add_answer(kind, tallies, at, load, share, rng)
        evidence = [RouteEvidence(n, s.baseline, s.target) for n, s in tallies.items()]
        verdict = judge.judge(evidence).verdict
        if verdict is Verdict.BAD:
            break
    return Outcome(verdict, bad_answers)


def _sample_count(mean: float, rng: random.Random) -> int:
    return max(0, round(rng.gauss(mean, mean**0.5)))


def _route_share(route: int, share: float) -> float:
    """Return the target version's share of the requests on a route.

    Half of the requests for the target version are spread evenly over the routes, the other half in
    proportion to the requests of each route.
    """
    even = share / (len(ROUTES) * ROUTES[route][0])
    return (share + min(MAX_ROUTE_SHARE, even)) / 2


def _add_answer(
    kind: Version,
    tallies: dict[int, _Tallies],
    at: float,
    load: float,
    share: float,
    rng: random.Random,
) -> int:
    """Add a random answer to ``tallies``; return 1 if it is bad because of the version, else 0."""
    route = rng.choices(range(len(ROUTES)), [r[0] for r in ROUTES])[0]
    _, first_byte, total, sigma = ROUTES[route]
    is_target = rng.random() < _route_share(route, share)
    answer = Answer(at, route, rng.choice(REPLICAS), rng.random() < 0.6)
    failed = rng.random() < 0.01
    factor = load * rng.lognormvariate(0, sigma)
    if not is_target:
        tallies[route].baseline.add(failed, first_byte * factor, total * factor)
        return 0
    version_failed = rng.random() < kind.failure_probability(answer)
    slowdown = kind.slowdown(answer, rng)
    tally = tallies[route].target[answer.replica]
    tally.add(failed or version_failed, first_byte * factor * slowdown, total * factor * slowdown)
    return int(version_failed or slowdown > 2)


def _simulate(name: str, rate: float, seconds: float, seed: int) -> Outcome:
    # The slack adds to the share, which matters where there are few requests.
    share = SHARE + SLACK / (rate * seconds)
    return simulate(KINDS[name], rate, share, seconds, seed)


def compare(seeds: int = 200, seconds: float = 12.0, workers: int = 3) -> None:
    """Print one line for each kind of version and request rate."""
    with ProcessPoolExecutor(workers) as pool:
        _compare(seeds, seconds, pool)


def _compare(seeds: int, seconds: float, pool: ProcessPoolExecutor) -> None:
    for rate in RATES:
        for name in KINDS:
            arguments = ([name] * seeds, [rate] * seeds, [seconds] * seeds, range(seeds))
            outcomes = list(pool.map(_simulate, *arguments, chunksize=10))
            judged_bad = [o.bad_answers for o in outcomes if o.verdict is Verdict.BAD]
            good = sum(o.verdict is Verdict.GOOD for o in outcomes)
            ranked = sorted(judged_bad) or [0]
            print(
                f"{rate:5d}/s {name:28s} bad {len(judged_bad) / seeds:.3f}"
                f" good {good / seeds:.3f}"
                f" bad answers {ranked[len(ranked) // 2]}, {ranked[int(len(ranked) * 0.99)]}",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(compare)
