"""Whether a new software version is bad: a sequential test against the versions already in use.

Three aspects are tested on each route: failed answers, answers with a slow first byte, and answers
that are slow in total. For each aspect an answer is a Bernoulli trial, bad or not. A cumulative sum
test (CUSUM; E. S. Page, 1954) of the log-likelihood ratio soon detects that the share of bad
answers has risen above that of the baseline, however many good answers came before. The baseline
is the answers of the other versions in the same seconds, so that a failure or slowdown of all
versions counts against none.
"""

import enum
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from railsail.rollouts.evidence import (
    BUCKETS,
    BUCKETS_PER_OCTAVE,
    RouteEvidence,
    Tally,
    median_bucket,
)

# The alarm threshold of the cumulative sum, a log-likelihood ratio to the base e. A version whose
# share of bad answers is exactly the highest tolerated one raises a false alarm less than once in
# e ** 10 answers on average, and a better version still more rarely.
ALARM = 10.0
# The two hypotheses of the test. A good version's share of bad answers exceeds the baseline's by at
# most ``GOOD_EXCESS`` and one standard error. In a bad version the part ``FAILED_EXCESS`` or
# ``SLOW_EXCESS`` of the answers that would otherwise be good is bad. The part is larger for slow
# answers, because a version that is only a little slower has some, too.
GOOD_EXCESS = 0.04
FAILED_EXCESS = 0.25
SLOW_EXCESS = 0.45
# An answer is slow if it takes at least this many times the baseline's median.
SLOW_FACTOR = 2.4
# A replica is left out as an outlier if the share of bad answers on all others is below this part
# of its own: then the replica is faulty, not the version.
ALONE = 1 / 3
# Exponential decay of the baseline: at each update, about four a second, earlier answers are
# multiplied by ``BASELINE_MEMORY``. An update of many answers, measured against
# ``BASELINE_WINDOW``, reduces them further: a sudden load changes at once what is usual for all
# versions.
BASELINE_MEMORY = 0.92
BASELINE_WINDOW = 100
# The times of a route are not tested if its baseline has fewer answers.
LEAST_BASELINE = 20
# The answers that a version must have given before it counts as good: in total, and on each route
# that has at least ``COMMON_SHARE`` of the baseline's answers.
MIN_ANSWERS = 40
LEAST_ROUTE_ANSWERS = 8
COMMON_SHARE = 0.01
# A route without answers of the baseline in this many updates, about ten seconds, no longer counts
# as common: its requests may have ended, so that no answers of the version would come either.
QUIET_UPDATES = 40
# While the version has few answers on a route, it does not count as good if its share of failed
# answers there exceeds the baseline's by more than this.
DOUBTFUL_EXCESS = 0.2


class Verdict(enum.Enum):
    """The result of the test of a version."""

    UNDECIDED = enum.auto()
    GOOD = enum.auto()
    BAD = enum.auto()


class Aspect(enum.StrEnum):
    """The ways in which answers may be bad."""

    FAILED = "answers fail"
    FIRST = "answers begin late"
    WHOLE = "answers take long"


@dataclass(frozen=True)
class Judgement:
    """A verdict and its reason; ``route`` is the fingerprint of the route that decided it, or 0."""

    verdict: Verdict
    reason: str
    route: int = 0


@dataclass
class _Counts:
    """The number of answers, and how many of them were bad."""

    answers: float = 0.0
    bad: float = 0.0

    @property
    def share(self) -> float:
        return self.bad / self.answers if self.answers else 0.0

    def add(self, other: "_Counts") -> None:
        self.answers += other.answers
        self.bad += other.bad

    def __str__(self) -> str:
        return f"{self.bad:.0f} of {self.answers:.0f}"


@dataclass
class _Route:
    """The state of the test on one route.

    ``before`` is the evidence at the last update, and ``baseline`` the answers of the other
    versions with exponential decay. The baseline got no answers in the last ``quiet`` updates.
    ``sums`` holds the cumulative sum of each aspect, and ``bad`` the counts of the target version
    by aspect and replica.
    """

    before: RouteEvidence
    baseline: Tally = field(default_factory=Tally)
    quiet: int = 0
    sums: dict[Aspect, float] = field(default_factory=dict)
    bad: dict[Aspect, dict[str, _Counts]] = field(default_factory=dict)


class VersionJudge:
    """The sequential test of one version, which is fed with growing evidence."""

    def __init__(self) -> None:
        self._routes: dict[int, _Route] = {}
        # The cumulative sums over all routes together, which need fewer answers on each route.
        self._sums: dict[Aspect, float] = {}
        self._alarm: Judgement | None = None

    def judge(self, evidence: Sequence[RouteEvidence]) -> Judgement:
        """Update the test to the ``evidence`` of all routes, and return the judgement.

        The tallies in ``evidence`` are cumulative.
        """
        self._update(evidence)
        # A version that was once found bad stays bad.
        return self._alarm or self._doubt() or Judgement(Verdict.GOOD, "as good as the baseline")

    def _update(self, evidence: Sequence[RouteEvidence]) -> None:
        gains = dict.fromkeys(Aspect, 0.0)
        for route in self._routes.values():
            route.quiet += 1
        for item in evidence:
            route = self._routes.setdefault(item.route, _Route(_nothing(item.route)))
            self._learn_baseline(route, item)
            news = {name: _added(route.before, name, tally) for name, tally in item.target.items()}
            route.before = _copy(item)
            for aspect in Aspect:
                gains[aspect] += self._test(route, news, aspect)
        for aspect, gain in gains.items():
            self._sums[aspect] = max(0.0, self._sums.get(aspect, 0.0) + gain)
            if self._sums[aspect] > ALARM:
                self._raise(Judgement(Verdict.BAD, f"{aspect}: {self._counted(aspect)}"))

    def _learn_baseline(self, route: _Route, item: RouteEvidence) -> None:
        new = _difference(item.baseline, route.before.baseline)
        if not new.answers:
            # All calls may go to the target version by now: the last baseline stays in use.
            return
        route.quiet = 0
        _fade(route.baseline, new.answers)
        route.baseline = route.baseline.merged([new])

    def _test(self, route: _Route, news: dict[str, Tally], aspect: Aspect) -> float:
        """Test ``aspect`` with the answers in ``news``; return their log-likelihood ratio."""
        count = _counter(aspect, route.baseline)
        if count is None:
            return 0.0
        counted = {name: count(tally) for name, tally in news.items()}
        kept = route.bad.setdefault(aspect, {})
        for name, counts in counted.items():
            kept.setdefault(name, _Counts()).add(counts)
        sick = _sick_replica(kept)
        usual = _usual_share(count(route.baseline))
        excess = FAILED_EXCESS if aspect is Aspect.FAILED else SLOW_EXCESS
        gain = sum(_gain(c, usual, excess) for name, c in counted.items() if name != sick)
        route.sums[aspect] = max(0.0, route.sums.get(aspect, 0.0) + gain)
        if route.sums[aspect] > ALARM:
            reason = f"{aspect}: {_sum_of(kept)}, {usual:.2f} is usual at most"
            self._raise(Judgement(Verdict.BAD, reason, route.before.route))
        return gain

    def _raise(self, alarm: Judgement) -> None:
        if self._alarm is None:
            self._alarm = alarm

    def _counted(self, aspect: Aspect) -> str:
        total = _Counts()
        for route in self._routes.values():
            total.add(_sum_of(route.bad.get(aspect, {})))
        return str(total)

    def _doubt(self) -> Judgement | None:
        """Return an undecided judgement if the version cannot be called good yet, else ``None``."""
        answers = sum(_target_answers(route) for route in self._routes.values())
        if answers < MIN_ANSWERS:
            return Judgement(Verdict.UNDECIDED, f"{answers} answers of {MIN_ANSWERS} are known")
        baseline = sum(route.before.baseline.answers for route in self._routes.values())
        for number, route in self._routes.items():
            often = route.before.baseline.answers >= COMMON_SHARE * baseline
            common = often and route.quiet < QUIET_UPDATES
            known = _target_answers(route)
            if common and known < LEAST_ROUTE_ANSWERS:
                reason = f"{known} answers of a common route are known"
                return Judgement(Verdict.UNDECIDED, reason, number)
            doubtful = self._doubtful_aspect(route)
            if doubtful is not None:
                return Judgement(Verdict.UNDECIDED, f"{doubtful} more often", number)
        return None

    def _doubtful_aspect(self, route: _Route) -> Aspect | None:
        """Return the aspect that looks bad on ``route`` but has raised no alarm yet, if any."""
        for aspect, total in route.sums.items():
            if total > ALARM / 2:
                return aspect
        failed = sum(tally.failed for tally in route.before.target.values())
        share = failed / max(1, _target_answers(route))
        few = _target_answers(route) < MIN_ANSWERS
        usual = route.baseline.failed / max(1, route.baseline.answers)
        return Aspect.FAILED if few and share > usual + DOUBTFUL_EXCESS else None


def _nothing(route: int) -> RouteEvidence:
    return RouteEvidence(route, Tally(), {})


def _copy(item: RouteEvidence) -> RouteEvidence:
    target = {name: tally.merged([]) for name, tally in item.target.items()}
    return RouteEvidence(item.route, item.baseline.merged([]), target)


def _added(before: RouteEvidence, replica: str, tally: Tally) -> Tally:
    return _difference(tally, before.target.get(replica, Tally()))


def _sum_of(counts: Mapping[str, _Counts]) -> _Counts:
    total = _Counts()
    for item in counts.values():
        total.add(item)
    return total


def _target_answers(route: _Route) -> int:
    return sum(tally.answers for tally in route.before.target.values())


def _difference(now: Tally, before: Tally) -> Tally:
    """Return what was added since ``before``; all of ``now`` if counting has restarted from 0."""
    if now.answers < before.answers:
        return now
    return Tally(
        now.answers - before.answers,
        now.failed - before.failed,
        [a - b for a, b in zip(now.first, before.first, strict=True)],
        [a - b for a, b in zip(now.whole, before.whole, strict=True)],
    )


def _fade(tally: Tally, new_answers: float) -> None:
    memory = max(0.0, min(BASELINE_MEMORY, 1 - new_answers / BASELINE_WINDOW))
    tally.answers *= memory
    tally.failed *= memory
    tally.first = [count * memory for count in tally.first]
    tally.whole = [count * memory for count in tally.whole]


def _counter(aspect: Aspect, baseline: Tally) -> Callable[[Tally], _Counts] | None:
    """Return a function that counts bad answers, ``None`` if the baseline has too few times."""
    if aspect is Aspect.FAILED:
        return lambda tally: _Counts(tally.answers, tally.failed)
    usual = baseline.first if aspect is Aspect.FIRST else baseline.whole
    if sum(usual) < LEAST_BASELINE:
        return None
    least = _slow_class(usual)
    if aspect is Aspect.FIRST:
        return lambda tally: _Counts(sum(tally.first), sum(tally.first[least:]))
    return lambda tally: _Counts(sum(tally.whole), sum(tally.whole[least:]))


def _slow_class(usual: Sequence[float]) -> int:
    """Return the lowest bucket in which all times are slow compared with the ``usual`` ones."""
    least = median_bucket(usual) + BUCKETS_PER_OCTAVE * math.log2(SLOW_FACTOR)
    return min(BUCKETS - 1, math.ceil(least))


def _usual_share(baseline: _Counts) -> float:
    """Return the highest tolerated share of bad answers: that of the baseline plus a margin."""
    # A few answers without a bad one say little about the share, so one standard error is added.
    error = math.sqrt((baseline.bad + 1) / (baseline.answers + 1) ** 2)
    return min(1 - 2 * GOOD_EXCESS, baseline.share + min(error, GOOD_EXCESS) + GOOD_EXCESS)


def _gain(new: _Counts, usual: float, excess: float) -> float:
    """Return the log-likelihood ratio of ``new`` answers: a bad version against a good one."""
    bad = usual + excess * (1 - usual)
    good = new.answers - new.bad
    return new.bad * math.log(bad / usual) + good * math.log((1 - bad) / (1 - usual))


def _sick_replica(counts: Mapping[str, _Counts]) -> str | None:
    """Return the one replica that is much worse than all others, ``None`` if there is none."""
    if sum(1 for item in counts.values() if item.answers) < 2:
        return None
    worst = max(counts, key=lambda name: (counts[name].share, name))
    others = _sum_of({name: item for name, item in counts.items() if name != worst})
    return worst if others.share < ALONE * counts[worst].share else None
