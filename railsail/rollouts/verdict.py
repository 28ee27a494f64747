"""Whether a new software version is bad: a sequential test against the versions beside it.

Three things are looked at on each route: answers that fail, answers whose first byte is slow, and
answers that are slow as a whole. Each is a yes or no for an answer, and a cumulative sum test
(CUSUM; E. S. Page, 1954) tells soon when the share of yes has risen above that of the baseline,
however many good answers came before. The baseline is what the other versions answered over the
same seconds, so that what is slow or fails everywhere speaks against no version.
"""

import enum
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from railsail.rollouts.evidence import (
    CLASSES,
    CLASSES_PER_OCTAVE,
    RouteEvidence,
    Tally,
    median_class,
)

# What a sum must exceed, in natural units of the likelihood ratio: an alarm is false once in more
# than e ** 10 answers of a version that is just as good as is asked, and more seldom of a better.
ALARM = 10.0
# A version is held for as good as the baseline while its share of bad answers exceeds the
# baseline's by less than this, and is looked for as one that exceeds it by much more. Slow answers
# must be more of all than failed ones: a version that is a little slower has some as well.
GOOD_EXCESS = 0.04
FAILED_EXCESS = 0.25
SLOW_EXCESS = 0.45
# An answer is slow if it takes at least so many times the baseline's median.
SLOW_FACTOR = 2.4
# One replica is left out where the others' share of bad answers is below this part of its own: it
# is sick by itself.
ALONE = 1 / 3
# What was learnt of the baseline before counts for this part at each update, of which there are
# about four a second, and for less where an update has many answers: a sudden load changes what is
# usual at once, for all versions.
BASELINE_MEMORY = 0.92
BASELINE_WINDOW = 100
# A route's baseline with fewer answers tells nothing about times.
LEAST_BASELINE = 20
# So many answers must be known before a version counts as good, and so many of each route that has
# ``COMMON_SHARE`` of the baseline's answers.
LEAST_ANSWERS = 40
LEAST_ROUTE_ANSWERS = 8
COMMON_SHARE = 0.01
# A route that the others went on without for so many updates, about ten seconds, is not common any
# more: its requests may come no longer, and no answers of the version on it either.
QUIET_UPDATES = 40
# A route on which the share of bad answers exceeds the baseline's by more is not held for good.
DOUBTFUL_EXCESS = 0.2


class Verdict(enum.Enum):
    """What is known of a version."""

    UNDECIDED = enum.auto()
    GOOD = enum.auto()
    BAD = enum.auto()


class Aspect(enum.StrEnum):
    """What may be bad about answers."""

    FAILED = "answers fail"
    FIRST = "answers begin late"
    WHOLE = "answers take long"


@dataclass(frozen=True)
class Judgement:
    """A verdict, with its reason for logs; ``route`` is the fingerprint where one decided it."""

    verdict: Verdict
    reason: str
    route: int = 0


@dataclass
class _Counts:
    """How many answers there were, and how many of them were bad."""

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
    """What is kept of one route: its last sums, its recent baseline, and the test of each aspect.

    ``bad`` counts the bad answers of the target version by replica and aspect. The last ``quiet``
    updates brought no answers of the baseline.
    """

    before: RouteEvidence
    baseline: Tally = field(default_factory=Tally)
    quiet: int = 0
    sums: dict[Aspect, float] = field(default_factory=dict)
    bad: dict[Aspect, dict[str, _Counts]] = field(default_factory=dict)


class VersionJudge:
    """Judge one version by evidence that grows."""

    def __init__(self) -> None:
        self._routes: dict[int, _Route] = {}
        # The same test over all routes together: it needs fewer answers of each.
        self._sums: dict[Aspect, float] = {}
        self._alarm: Judgement | None = None

    def judge(self, evidence: Sequence[RouteEvidence]) -> Judgement:
        """Return what is known once the sums of all routes are as in ``evidence``."""
        self._update(evidence)
        # A version that was found bad once stays so.
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
            # All calls go to the target version now: the last ones of the others stay the measure.
            return
        route.quiet = 0
        _fade(route.baseline, new.answers)
        route.baseline = route.baseline.merged([new])

    def _test(self, route: _Route, news: dict[str, Tally], aspect: Aspect) -> float:
        """Return by how much the answers of ``news`` speak for a bad version."""
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
        """Return why the version is not known to be good yet, ``None`` if it is."""
        answers = sum(_target_answers(route) for route in self._routes.values())
        if answers < LEAST_ANSWERS:
            return Judgement(Verdict.UNDECIDED, f"{answers} answers of {LEAST_ANSWERS} are known")
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
        """Return what seems worse than usual on ``route`` though no alarm was given yet."""
        for aspect, total in route.sums.items():
            if total > ALARM / 2:
                return aspect
        failed = sum(tally.failed for tally in route.before.target.values())
        share = failed / max(1, _target_answers(route))
        few = _target_answers(route) < LEAST_ANSWERS
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
    """Return what was added to ``before``; all of ``now`` if its sums were begun anew."""
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
    """Return what counts bad answers, ``None`` where the baseline does not tell what is usual."""
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
    """Return the first class of times that are all slow beside ``usual`` ones."""
    least = median_class(usual) + CLASSES_PER_OCTAVE * math.log2(SLOW_FACTOR)
    return min(CLASSES - 1, math.ceil(least))


def _usual_share(baseline: _Counts) -> float:
    """Return a share of bad answers that a version as good as the baseline hardly exceeds."""
    # A few answers of which none was bad tell little: one standard error is added.
    error = math.sqrt((baseline.bad + 1) / (baseline.answers + 1) ** 2)
    return min(1 - 2 * GOOD_EXCESS, baseline.share + min(error, GOOD_EXCESS) + GOOD_EXCESS)


def _gain(new: _Counts, usual: float, excess: float) -> float:
    """Return by how much ``new`` answers speak for a version that is bad."""
    bad = usual + excess * (1 - usual)
    good = new.answers - new.bad
    return new.bad * math.log(bad / usual) + good * math.log((1 - bad) / (1 - usual))


def _sick_replica(counts: Mapping[str, _Counts]) -> str | None:
    """Return the one replica that is worse than all others, ``None`` if there is none."""
    if sum(1 for item in counts.values() if item.answers) < 2:
        return None
    worst = max(counts, key=lambda name: (counts[name].share, name))
    others = _sum_of({name: item for name, item in counts.items() if name != worst})
    return worst if others.share < ALONE * counts[worst].share else None
