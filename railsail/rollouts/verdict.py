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
ALARM_THRESHOLD = 10.0
# The two hypotheses of the test. A good version's share of bad answers exceeds the baseline's by at
# most ``TOLERATED_EXCESS`` and one standard error. In a bad version, the fraction ``FAILED_EXCESS``
# or ``SLOW_EXCESS`` of the answers that would otherwise be good is bad, too. It is larger for slow
# answers, because a version that is only a little slower also has some.
TOLERATED_EXCESS = 0.04
FAILED_EXCESS = 0.25
SLOW_EXCESS = 0.45
# An answer is slow if it takes at least this many times the baseline's median.
SLOW_FACTOR = 2.4
# A replica is left out as an outlier if the share of bad answers on all others is below this
# fraction of its own: then the replica is faulty, not the version.
OUTLIER_RATIO = 1 / 3
# Exponential decay of the baseline: at each update, about four a second, earlier answers are
# multiplied by ``BASELINE_DECAY``. An update of many answers, measured against
# ``BASELINE_WINDOW_ANSWERS``, reduces them further: a sudden load changes at once what is usual
# for all versions.
BASELINE_DECAY = 0.92
BASELINE_WINDOW_ANSWERS = 100
# The times of a route are not tested if its baseline has fewer answers.
MIN_BASELINE_ANSWERS = 20
# The answers that a version must have given before it counts as good: in total, and on each route
# that has at least ``COMMON_ROUTE_SHARE`` of the baseline's answers.
MIN_ANSWERS = 40
MIN_ROUTE_ANSWERS = 8
COMMON_ROUTE_SHARE = 0.01
# A route without answers of the baseline in this many updates, about ten seconds, no longer counts
# as common: its requests may have ended, so that no answers of the version would come either.
MAX_QUIET_UPDATES = 40
# While the version has few answers on a route, it does not count as good if its share of failed
# answers there exceeds the baseline's by more than this.
SUSPECT_EXCESS = 0.2


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
class _RouteState:
    """The state of the test on one route.

    ``baseline`` holds the answers of the other versions with exponential decay. It got none in the
    last ``quiet_updates`` updates. ``cusums`` holds the cumulative sum of each aspect, and
    ``counts`` the answers of the target version by aspect and replica.
    """

    last_evidence: RouteEvidence
    baseline: Tally = field(default_factory=Tally)
    quiet_updates: int = 0
    cusums: dict[Aspect, float] = field(default_factory=dict)
    counts: dict[Aspect, dict[str, _Counts]] = field(default_factory=dict)


class VersionJudge:
    """The sequential test of one version."""

    def __init__(self) -> None:
        self._routes: dict[int, _RouteState] = {}
        # The cumulative sums over all routes together, which need fewer answers on each route.
        self._cusums: dict[Aspect, float] = {}
        self._alarm: Judgement | None = None

    def judge(self, evidence: Sequence[RouteEvidence]) -> Judgement:
        """Update the test with the cumulative ``evidence`` of all routes; return the judgement."""
        self._update(evidence)
        # A version that was once found bad stays bad.
        return (
            self._alarm
            or self._undecided_judgement()
            or Judgement(Verdict.GOOD, "as good as the baseline")
        )

    def _update(self, evidence: Sequence[RouteEvidence]) -> None:
        ratios = dict.fromkeys(Aspect, 0.0)
        for route in self._routes.values():
            route.quiet_updates += 1
        for item in evidence:
            route = self._routes.setdefault(item.route, _RouteState(_no_evidence(item.route)))
            self._update_baseline(route, item)
            new_tallies = {
                name: _new_answers(route.last_evidence, name, tally)
                for name, tally in item.target.items()
            }
            route.last_evidence = _copy(item)
            for aspect in Aspect:
                ratios[aspect] += self._test(route, new_tallies, aspect)
        for aspect, ratio in ratios.items():
            self._cusums[aspect] = max(0.0, self._cusums.get(aspect, 0.0) + ratio)
            if self._cusums[aspect] > ALARM_THRESHOLD:
                self._raise_alarm(
                    Judgement(Verdict.BAD, f"{aspect}: {self._describe_counts(aspect)}")
                )

    def _update_baseline(self, route: _RouteState, item: RouteEvidence) -> None:
        new = _difference(item.baseline, route.last_evidence.baseline)
        if not new.answers:
            # All calls may go to the target version by now: the last baseline stays in use.
            return
        route.quiet_updates = 0
        _decay(route.baseline, new.answers)
        route.baseline = route.baseline.merged([new])

    def _test(self, route: _RouteState, new_tallies: dict[str, Tally], aspect: Aspect) -> float:
        """Test ``aspect`` with the new answers, and return their log-likelihood ratio."""
        count = _bad_answer_counter(aspect, route.baseline)
        if count is None:
            return 0.0
        counted = {name: count(tally) for name, tally in new_tallies.items()}
        counts_by_replica = route.counts.setdefault(aspect, {})
        for name, counts in counted.items():
            counts_by_replica.setdefault(name, _Counts()).add(counts)
        outlier = _outlier_replica(counts_by_replica)
        tolerated_share = _tolerated_share(count(route.baseline))
        excess = FAILED_EXCESS if aspect is Aspect.FAILED else SLOW_EXCESS
        ratio = sum(
            _log_likelihood_ratio(c, tolerated_share, excess)
            for name, c in counted.items()
            if name != outlier
        )
        route.cusums[aspect] = max(0.0, route.cusums.get(aspect, 0.0) + ratio)
        if route.cusums[aspect] > ALARM_THRESHOLD:
            reason = (
                f"{aspect}: {_sum_of(counts_by_replica)}, {tolerated_share:.2f} is usual at most"
            )
            self._raise_alarm(Judgement(Verdict.BAD, reason, route.last_evidence.route))
        return ratio

    def _raise_alarm(self, alarm: Judgement) -> None:
        if self._alarm is None:
            self._alarm = alarm

    def _describe_counts(self, aspect: Aspect) -> str:
        total = _Counts()
        for route in self._routes.values():
            total.add(_sum_of(route.counts.get(aspect, {})))
        return str(total)

    def _undecided_judgement(self) -> Judgement | None:
        """Return an undecided judgement if the version cannot be called good yet, else ``None``."""
        answers = sum(_target_answers(route) for route in self._routes.values())
        if answers < MIN_ANSWERS:
            return Judgement(Verdict.UNDECIDED, f"{answers} answers of {MIN_ANSWERS} are known")
        baseline = sum(route.last_evidence.baseline.answers for route in self._routes.values())
        for number, route in self._routes.items():
            often = route.last_evidence.baseline.answers >= COMMON_ROUTE_SHARE * baseline
            common = often and route.quiet_updates < MAX_QUIET_UPDATES
            known = _target_answers(route)
            if common and known < MIN_ROUTE_ANSWERS:
                reason = f"{known} answers of a common route are known"
                return Judgement(Verdict.UNDECIDED, reason, number)
            suspect = self._suspect_aspect(route)
            if suspect is not None:
                return Judgement(Verdict.UNDECIDED, f"{suspect} more often", number)
        return None

    def _suspect_aspect(self, route: _RouteState) -> Aspect | None:
        """Return the aspect that looks bad on ``route`` but has raised no alarm yet, if any."""
        for aspect, total in route.cusums.items():
            if total > ALARM_THRESHOLD / 2:
                return aspect
        failed = sum(tally.failed for tally in route.last_evidence.target.values())
        share = failed / max(1, _target_answers(route))
        few = _target_answers(route) < MIN_ANSWERS
        usual = route.baseline.failed / max(1, route.baseline.answers)
        return Aspect.FAILED if few and share > usual + SUSPECT_EXCESS else None


def _no_evidence(route: int) -> RouteEvidence:
    return RouteEvidence(route, Tally(), {})


def _copy(item: RouteEvidence) -> RouteEvidence:
    target = {name: tally.merged([]) for name, tally in item.target.items()}
    return RouteEvidence(item.route, item.baseline.merged([]), target)


def _new_answers(before: RouteEvidence, replica: str, tally: Tally) -> Tally:
    return _difference(tally, before.target.get(replica, Tally()))


def _sum_of(counts: Mapping[str, _Counts]) -> _Counts:
    total = _Counts()
    for item in counts.values():
        total.add(item)
    return total


def _target_answers(route: _RouteState) -> int:
    return sum(tally.answers for tally in route.last_evidence.target.values())


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


def _decay(tally: Tally, new_answers: float) -> None:
    factor = max(0.0, min(BASELINE_DECAY, 1 - new_answers / BASELINE_WINDOW_ANSWERS))
    tally.answers *= factor
    tally.failed *= factor
    tally.first = [count * factor for count in tally.first]
    tally.whole = [count * factor for count in tally.whole]


def _bad_answer_counter(aspect: Aspect, baseline: Tally) -> Callable[[Tally], _Counts] | None:
    """Return a function that counts bad answers, ``None`` if the baseline has too few times."""
    if aspect is Aspect.FAILED:
        return lambda tally: _Counts(tally.answers, tally.failed)
    usual = baseline.first if aspect is Aspect.FIRST else baseline.whole
    if sum(usual) < MIN_BASELINE_ANSWERS:
        return None
    lowest_slow = _slow_bucket(usual)
    if aspect is Aspect.FIRST:
        return lambda tally: _Counts(sum(tally.first), sum(tally.first[lowest_slow:]))
    return lambda tally: _Counts(sum(tally.whole), sum(tally.whole[lowest_slow:]))


def _slow_bucket(usual: Sequence[float]) -> int:
    """Return the lowest bucket in which all times are slow compared with the ``usual`` ones."""
    lowest_slow = median_bucket(usual) + BUCKETS_PER_OCTAVE * math.log2(SLOW_FACTOR)
    return min(BUCKETS - 1, math.ceil(lowest_slow))


def _tolerated_share(baseline: _Counts) -> float:
    """Return the highest tolerated share of bad answers: that of the baseline plus a margin."""
    # A few answers without a bad one say little about the share, so one standard error is added.
    error = math.sqrt((baseline.bad + 1) / (baseline.answers + 1) ** 2)
    return min(
        1 - 2 * TOLERATED_EXCESS, baseline.share + min(error, TOLERATED_EXCESS) + TOLERATED_EXCESS
    )


def _log_likelihood_ratio(new: _Counts, tolerated_share: float, excess: float) -> float:
    """Return the log-likelihood ratio of ``new`` answers: a bad version against a good one."""
    bad_share = tolerated_share + excess * (1 - tolerated_share)
    good = new.answers - new.bad
    return new.bad * math.log(bad_share / tolerated_share) + good * math.log(
        (1 - bad_share) / (1 - tolerated_share)
    )


def _outlier_replica(counts: Mapping[str, _Counts]) -> str | None:
    """Return the one replica that is much worse than all others, ``None`` if there is none."""
    if sum(1 for item in counts.values() if item.answers) < 2:
        return None
    worst = max(counts, key=lambda name: (counts[name].share, name))
    others = _sum_of({name: item for name, item in counts.items() if name != worst})
    return worst if others.share < OUTLIER_RATIO * counts[worst].share else None
