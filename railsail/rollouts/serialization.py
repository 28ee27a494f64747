"""The format of rollouts in the store."""

import math
from collections.abc import Mapping
from dataclasses import replace

from railsail.core.exceptions import RailsailError
from railsail.rollouts.orders import Order, Rollout, State
from railsail.store.base import UNREADABLE

MAX_TEXT_LENGTH = 256
_STATE_NAMES = {
    State.RUNNING: "running",
    State.SUCCEEDED: "succeeded",
    State.ROLLED_BACK: "rolled_back",
}
_STATES_BY_NAME = {state_name: state for state, state_name in _STATE_NAMES.items()}


class BadRollout(RailsailError):
    """The value of a stored rollout is invalid."""


def parse_rollout(name: str, version: int, value: Mapping[str, object]) -> Rollout:
    """Parse the value of the object ``name``; raise ``BadRollout`` if it is invalid."""
    if value.get("service") != name:
        raise BadRollout(f"service is {value.get('service')!r:.80}, not the object's name")
    target = _text(value.get("target_version"), "target_version")
    order = Order(name, version, target, _duration(value.get("duration")))
    status = value.get("status")
    if not isinstance(status, Mapping) or status.get("state") not in _STATES_BY_NAME:
        return Rollout(order, object_version=version)
    decided = _text(status.get("target_version"), "target_version of the status")
    rollout = Rollout(order, False, _STATES_BY_NAME[status["state"]], decided, version)
    return replace(rollout, written_state=rollout.order_state)


def status_value(state: State, target_version: object) -> dict[str, object]:
    """Return the status to store; ``target_version`` is text or a number, as in the order."""
    return {"state": _STATE_NAMES[state], "target_version": target_version}


def _text(value: object, field: str) -> str:
    if isinstance(value, bool) or not isinstance(value, str | int):
        raise BadRollout(f"{field} is neither text nor an integer")
    text = str(value)
    if not 0 < len(text) <= MAX_TEXT_LENGTH or UNREADABLE in text:
        raise BadRollout(f"{field} is empty, too long or has undecodable characters")
    return text


def _duration(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadRollout("duration is not a number")
    if not math.isfinite(value) or value <= 0:
        raise BadRollout("duration is not a finite number above 0")
    # Nodes exchange durations in whole milliseconds, and an order must be equal on all of them.
    return max(1, round(value * 1000)) / 1000
