"""What became of the calls that each software version of a service was sent.

Evidence is kept by route, because a version may be bad on one route only, and the replicas of the
target version are also told apart, because one sick replica makes no version bad.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Times are counted in classes whose bounds rise by a factor of the square root of two, from one
# millisecond on; the last class has no upper bound.
CLASSES = 32
CLASSES_PER_OCTAVE = 2


def time_class(seconds: float) -> int:
    """Return the class of a time."""
    milliseconds = max(1.0, seconds * 1000)
    return min(CLASSES - 1, int(CLASSES_PER_OCTAVE * math.log2(milliseconds)))


def median_class(counts: Sequence[float]) -> float:
    """Return the class of the median, and as its fraction where in that class the median lies."""
    half = sum(counts) / 2
    passed = 0.0
    for number, count in enumerate(counts):
        if count and passed + count >= half:
            return number + (half - passed) / count
        passed += count
    return len(counts) - 1


def class_end(number: float) -> float:
    """Return the upper bound in seconds of the class that ``number`` lies in."""
    return 2 ** (math.ceil(number) / CLASSES_PER_OCTAVE) / 1000


def _no_times() -> list[int]:
    return [0] * CLASSES


@dataclass
class Tally:
    """Answers of one route on one version: how many, how many failed, and how long they took.

    ``first`` and ``whole`` count the good ones by their times to the first byte and to the end.
    """

    answers: int = 0
    failed: int = 0
    first: list[int] = field(default_factory=_no_times)
    whole: list[int] = field(default_factory=_no_times)

    def add(self, failed: bool, first_seconds: float, whole_seconds: float) -> None:
        """Count one answer; times of a failed one are not counted."""
        self.answers += 1
        if failed:
            self.failed += 1
            return
        self.first[time_class(first_seconds)] += 1
        self.whole[time_class(whole_seconds)] += 1

    def merged(self, others: Iterable["Tally"]) -> "Tally":
        """Return the sum of this tally and ``others``."""
        total = Tally(self.answers, self.failed, list(self.first), list(self.whole))
        for other in others:
            total.answers += other.answers
            total.failed += other.failed
            total.first = _sum(total.first, other.first)
            total.whole = _sum(total.whole, other.whole)
        return total


def _sum(left: Sequence[int], right: Sequence[int]) -> list[int]:
    return [a + b for a, b in zip(left, right, strict=True)]


@dataclass(frozen=True)
class RouteEvidence:
    """The tallies of one route: of the versions that run already, and of each target replica."""

    route: int
    baseline: Tally
    target: dict[str, Tally]
