"""What is to be done next about a rollout.

The traffic is moved as late as possible: what a bad version receives between order and deadline is
bounded, so that all calls can go to the target only for the short time that is left of the bound.
After the deadline nothing bounds them, and what still runs on other versions is waited for, since
their replicas are stopped at once when the rollout succeeds.
"""

from dataclasses import dataclass

from railsail.rollouts.bounds import ExposureBounds
from railsail.rollouts.orders import State
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Verdict

# An order is known here a little after the store took it, so that its deadline as counted here is
# late already; clocks of nodes differ a little. So long after it calls are bounded still.
FREE_AFTER_SECONDS = 0.1
# Calls of a moment may be more than those of the last seconds. Where they are, the bounds still
# hold: other versions get the rest again.
RATE_MARGIN = 1.05
# A version may be bad under load only. Before other versions get no calls any more, the target has
# had the load for so long; and for so long before the rollout succeeds.
SHIFT_SECONDS = 0.2
LOADED_SECONDS = 0.45
# The shift begins at most so long before the deadline: the longer it lasts, the more calls end on
# other versions by themselves, and the more a version that turns bad receives.
MOST_SHIFT_SECONDS = 15.0
# So many calls may be cut when the rollout succeeds at its deadline; callers go before the deadline
# of a rollout, so that none are.
MOST_CUT_CALLS = 0
# A stream may be without end; so long after the deadline it is not waited for any more.
MOST_DRAIN_SECONDS = 30.0


@dataclass(frozen=True)
class Situation:
    """What is known of a rollout; times are in seconds of one clock.

    The deadline is at ``ends``. Calls of the service, ``arrivals`` of them so far, came at ``rate``
    a second lately, and ``spent`` calls have gone to the target or may have. It has ``ready``
    replicas, and ``room`` for all calls; ``others`` replicas of other versions may be given calls.
    ``heard`` says that all dispatchers told lately what runs at them, which is ``running`` calls on
    other versions. The target has had the load since ``loaded_at``, 0 where it has not.
    """

    now: float
    ends: float
    stage: Stage
    arrivals: int
    rate: float
    spent: int
    verdict: Verdict
    ready: int
    room: bool
    heard: bool
    running: int
    loaded_at: float = 0.0
    others: int = 1


@dataclass(frozen=True)
class Plan:
    """The stage that is next, and the state in which the rollout ends, ``NONE`` while it runs."""

    stage: Stage
    reason: str
    state: State = State.NONE


def plan(situation: Situation, bounds: ExposureBounds) -> Plan:
    """Return what to do next."""
    if situation.verdict is Verdict.BAD:
        return Plan(Stage.HOLD, "the target version is bad", State.ROLLED_BACK)
    if situation.ready == 0:
        return Plan(Stage.HOLD, "the target version has no replica ready")
    if situation.stage < Stage.SHIFT:
        return _before_shift(situation, bounds)
    if situation.stage is Stage.SHIFT:
        return _in_shift(situation, bounds)
    return _in_drain(situation, bounds)


def full_seconds(situation: Situation, bounds: ExposureBounds) -> float:
    """Return for how long all calls can go to the target within the bounds."""
    if situation.now >= _free_at(situation):
        return float("inf")
    left = bounds.shift_calls(situation.arrivals) - situation.spent
    if situation.rate <= 0:
        return MOST_SHIFT_SECONDS if left > 0 else 0.0
    return max(0.0, left / (RATE_MARGIN * situation.rate))


def _free_at(situation: Situation) -> float:
    return situation.ends + FREE_AFTER_SECONDS


def _lasts(situation: Situation, bounds: ExposureBounds) -> bool:
    """Say whether the bounds last until nothing is bounded any more."""
    return full_seconds(situation, bounds) >= _free_at(situation) - situation.now


def _before_shift(situation: Situation, bounds: ExposureBounds) -> Plan:
    if situation.others == 0 and situation.now >= _free_at(situation):
        # Callers would find no replica at all, and nothing to compare with will come.
        return Plan(Stage.SHIFT, "no other version has a replica ready")
    if situation.verdict is not Verdict.GOOD:
        return Plan(Stage.CANARY, "the evidence decides nothing yet")
    if situation.now < situation.ends - MOST_SHIFT_SECONDS:
        return Plan(Stage.CANARY, "the deadline is far")
    if not _lasts(situation, bounds):
        return Plan(Stage.CANARY, "the bounds do not last until the deadline")
    if not situation.room:
        return Plan(Stage.CANARY, "the target version lacks room")
    if not situation.heard:
        return Plan(Stage.CANARY, "not all dispatchers are heard")
    return Plan(Stage.SHIFT, "the target version is good")


def _in_shift(situation: Situation, bounds: ExposureBounds) -> Plan:
    if _loaded_seconds(situation) < SHIFT_SECONDS:
        return Plan(Stage.SHIFT, "the target version gets its first load")
    if situation.verdict is not Verdict.GOOD:
        return Plan(Stage.SHIFT, "the evidence decides nothing under load")
    if not _lasts(situation, bounds):
        return Plan(Stage.SHIFT, "the bounds do not last until the deadline")
    if not situation.room:
        return Plan(Stage.SHIFT, "the target version lacks room")
    if not situation.heard:
        return Plan(Stage.SHIFT, "not all dispatchers are heard")
    return Plan(Stage.DRAIN, "the target version bears the load")


def _in_drain(situation: Situation, bounds: ExposureBounds) -> Plan:
    if full_seconds(situation, bounds) <= 0:
        return Plan(Stage.SHIFT, "the bounds are used up")
    if not situation.room:
        # A failure domain with replicas of the target may be evacuated or lost by now.
        return Plan(Stage.SHIFT, "the target version lacks room")
    if situation.verdict is not Verdict.GOOD:
        return Plan(Stage.DRAIN, "the evidence decides nothing under load")
    if _loaded_seconds(situation) < LOADED_SECONDS:
        return Plan(Stage.DRAIN, "the target version has had the load for a moment")
    if situation.now >= situation.ends + MOST_DRAIN_SECONDS:
        return Plan(Stage.DRAIN, "nothing more is waited for", State.SUCCEEDED)
    if not situation.heard:
        return Plan(Stage.DRAIN, "not all dispatchers are heard")
    if situation.running > MOST_CUT_CALLS:
        return Plan(Stage.DRAIN, "calls run on other versions")
    return Plan(Stage.DRAIN, "nothing runs on other versions", State.SUCCEEDED)


def _loaded_seconds(situation: Situation) -> float:
    return situation.now - situation.loaded_at if situation.loaded_at else 0.0
