"""Evidence about the software versions of a service: how the calls that they received ended.

Evidence is kept by route, because a version may be bad on a single route. For the target version it
is also kept by replica, because one faulty replica does not make the version bad.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Times are counted in a histogram. Its bucket bounds start at one millisecond and grow by a factor
# of the square root of two; the last bucket has no upper bound.
BUCKETS = 32
BUCKETS_PER_OCTAVE = 2


def time_bucket(seconds: float) -> int:
    """Return the number of the bucket that a time in seconds falls into."""
    milliseconds = max(1.0, seconds * 1000)
    return min(BUCKETS - 1, int(BUCKETS_PER_OCTAVE * math.log2(milliseconds)))


def median_bucket(counts: Sequence[float]) -> float:
    """Return the bucket of the median; the fraction is the median's position in that bucket."""
    half = sum(counts) / 2
    passed = 0.0
    for number, count in enumerate(counts):
        if count and passed + count >= half:
            return number + (half - passed) / count
        passed += count
    return len(counts) - 1


def bucket_upper_bound(number: float) -> float:
    """Return the upper bound, in seconds, of the bucket that ``number`` lies in."""
    return 2 ** (math.ceil(number) / BUCKETS_PER_OCTAVE) / 1000


def _empty_histogram() -> list[int]:
    return [0] * BUCKETS


@dataclass
class Tally:
    """Answers on one route by one version: how many, how many failed, and how long they took.

    ``first`` and ``whole`` are histograms of the good answers' times to the first byte and to the
    end.
    """

    answers: int = 0
    failed: int = 0
    first: list[int] = field(default_factory=_empty_histogram)
    whole: list[int] = field(default_factory=_empty_histogram)

    def add(self, failed: bool, first_seconds: float, whole_seconds: float) -> None:
        """Count one answer; the times of a failed answer are not counted."""
        self.answers += 1
        if failed:
            self.failed += 1
            return
        self.first[time_bucket(first_seconds)] += 1
        self.whole[time_bucket(whole_seconds)] += 1

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
    """The tallies of one route.

    ``baseline`` is the tally of the versions already in use, and ``target`` has one tally for each
    replica of the target version.
    """

    route: int
    baseline: Tally
    target: dict[str, Tally]
