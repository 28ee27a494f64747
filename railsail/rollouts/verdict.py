"""Whether the evidence shows a version to be good or bad."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from railsail.rollouts.evidence import RouteEvidence


class Verdict(enum.Enum):
    """What the evidence shows."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True)
class Judgement:
    """A verdict, and the figures that decided it."""

    verdict: Verdict
    reason: str


def judge(evidence: Sequence[RouteEvidence]) -> Judgement:
    """Return what ``evidence`` shows."""
    return Judgement(Verdict.UNDECIDED, "nothing is judged yet")
