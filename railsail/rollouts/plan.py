"""Which stage a rollout enters next, and when it ends.

Traffic is shifted as late as possible. The calls that the target version may receive before the
deadline are bounded, so that all calls can go to it only for the short time that the rest of the
bound lasts. After the deadline they are not bounded. Calls in flight on other versions are then
waited for, because the replicas of those versions are stopped as soon as the rollout succeeds.
"""

from dataclasses import dataclass

from railsail.rollouts.bounds import ExposureBounds
from railsail.rollouts.orders import State
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Verdict

# Calls stay bounded for this long after the deadline, because the clocks of nodes differ a little.
# It can be short, because the deadline counts from when a node first read the order, which is after
# the store accepted it.
DEADLINE_MARGIN_SECONDS = 0.1
# Allows for the arrival rate to rise above that of the last seconds. If it rises further, the
# bounds still hold: other versions receive the rest.
RATE_MARGIN_FACTOR = 1.05
# A version may be bad only under load. The target version must have been under full load for
# ``MIN_SHIFT_LOAD_SECONDS`` before the other versions stop receiving calls, and for
# ``MIN_LOAD_SECONDS`` before the rollout succeeds.
MIN_SHIFT_LOAD_SECONDS = 0.2
MIN_LOAD_SECONDS = 0.45
# The shift starts at most this long before the deadline. In a longer shift more calls on other
# versions end by themselves, but a version that turns bad receives more calls.
MAX_SHIFT_SECONDS = 15.0
# Calls on other versions that may be cut off when the rollout succeeds. None are: a rollout ends
# late rather than fail the calls of callers.
MAX_CUT_CALLS = 0
# Streams may never end, so calls in flight are not waited for longer than this after the deadline.
MAX_DRAIN_SECONDS = 30.0


@dataclass(frozen=True)
class PlanInputs:
    """What the coordinator knows of a rollout; times are in seconds of one clock.

    The service has received ``arrivals`` calls so far, recently at ``rate`` per second. At most
    ``spent`` calls have gone to the target version. ``ready_replicas`` of its replicas are warm;
    ``has_capacity`` is True if these have capacity for all calls. ``other_replicas`` is the number
    of replicas of other versions that may receive calls.

    ``all_reporting`` is True if all dispatchers have recently reported their calls in flight on
    other versions, ``running`` in total. The target version has been under full load since
    ``loaded_since``, 0 before that.
    """

    now: float
    deadline: float
    stage: Stage
    arrivals: int
    rate: float
    spent: int
    verdict: Verdict
    ready_replicas: int
    has_capacity: bool
    all_reporting: bool
    running: int
    loaded_since: float = 0.0
    other_replicas: int = 1


@dataclass(frozen=True)
class Plan:
    """The next stage, and the state in which the rollout ends (``NONE`` while it runs)."""

    stage: Stage
    reason: str
    state: State = State.NONE


def plan(inputs: PlanInputs, bounds: ExposureBounds) -> Plan:
    """Return the next stage of the rollout, with the reason for it."""
    if inputs.verdict is Verdict.BAD:
        return Plan(Stage.HOLD, "the target version is bad", State.ROLLED_BACK)
    if inputs.ready_replicas == 0:
        return Plan(Stage.HOLD, "the target version has no replica ready")
    if inputs.stage < Stage.SHIFT:
        return _before_shift(inputs, bounds)
    if inputs.stage is Stage.SHIFT:
        return _in_shift(inputs, bounds)
    return _in_drain(inputs, bounds)


def full_traffic_seconds(inputs: PlanInputs, bounds: ExposureBounds) -> float:
    """Return for how many seconds all calls can go to the target version within the bounds."""
    if inputs.now >= _unbounded_from(inputs):
        return float("inf")
    left = bounds.shift_calls(inputs.arrivals) - inputs.spent
    if inputs.rate <= 0:
        return MAX_SHIFT_SECONDS if left > 0 else 0.0
    return max(0.0, left / (RATE_MARGIN_FACTOR * inputs.rate))


def _unbounded_from(inputs: PlanInputs) -> float:
    return inputs.deadline + DEADLINE_MARGIN_SECONDS


def _bounds_last(inputs: PlanInputs, bounds: ExposureBounds) -> bool:
    """Return True if all calls can go to the target version until they are no longer bounded."""
    return full_traffic_seconds(inputs, bounds) >= _unbounded_from(inputs) - inputs.now


def _before_shift(inputs: PlanInputs, bounds: ExposureBounds) -> Plan:
    if inputs.other_replicas == 0 and inputs.now >= _unbounded_from(inputs):
        # Callers would find no replica, and there will be no baseline to compare with.
        return Plan(Stage.SHIFT, "no other version has a replica ready")
    if inputs.verdict is not Verdict.GOOD:
        return Plan(Stage.CANARY, "the evidence decides nothing yet")
    if inputs.now < inputs.deadline - MAX_SHIFT_SECONDS:
        return Plan(Stage.CANARY, "the deadline is far")
    if not _bounds_last(inputs, bounds):
        return Plan(Stage.CANARY, "the bounds do not last until the deadline")
    if not inputs.has_capacity:
        return Plan(Stage.CANARY, "the target version lacks room")
    if not inputs.all_reporting:
        return Plan(Stage.CANARY, "not all dispatchers are heard")
    return Plan(Stage.SHIFT, "the target version is good")


def _in_shift(inputs: PlanInputs, bounds: ExposureBounds) -> Plan:
    if _loaded_seconds(inputs) < MIN_SHIFT_LOAD_SECONDS:
        return Plan(Stage.SHIFT, "the target version gets its first load")
    if inputs.verdict is not Verdict.GOOD:
        return Plan(Stage.SHIFT, "the evidence decides nothing under load")
    if not _bounds_last(inputs, bounds):
        return Plan(Stage.SHIFT, "the bounds do not last until the deadline")
    if not inputs.has_capacity:
        return Plan(Stage.SHIFT, "the target version lacks room")
    if not inputs.all_reporting:
        return Plan(Stage.SHIFT, "not all dispatchers are heard")
    return Plan(Stage.DRAIN, "the target version bears the load")


def _in_drain(inputs: PlanInputs, bounds: ExposureBounds) -> Plan:
    if full_traffic_seconds(inputs, bounds) <= 0:
        return Plan(Stage.SHIFT, "the bounds are used up")
    if not inputs.has_capacity:
        # A failure domain with replicas of the target may have been evacuated or lost since.
        return Plan(Stage.SHIFT, "the target version lacks room")
    if inputs.verdict is not Verdict.GOOD:
        return Plan(Stage.DRAIN, "the evidence decides nothing under load")
    if _loaded_seconds(inputs) < MIN_LOAD_SECONDS:
        return Plan(Stage.DRAIN, "the target version has had the load for a moment")
    if inputs.now >= inputs.deadline + MAX_DRAIN_SECONDS:
        return Plan(Stage.DRAIN, "nothing more is waited for", State.SUCCEEDED)
    if not inputs.all_reporting:
        return Plan(Stage.DRAIN, "not all dispatchers are heard")
    if inputs.running > MAX_CUT_CALLS:
        return Plan(Stage.DRAIN, "calls run on other versions")
    return Plan(Stage.DRAIN, "nothing runs on other versions", State.SUCCEEDED)


def _loaded_seconds(inputs: PlanInputs) -> float:
    return inputs.now - inputs.loaded_since if inputs.loaded_since else 0.0
