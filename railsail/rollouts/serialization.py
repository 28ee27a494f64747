"""The format of rollouts in the store."""

from collections.abc import Mapping
from dataclasses import replace

from railsail.core.exceptions import RailsailError
from railsail.rollouts.orders import Order, Rollout, State
from railsail.store.base import UNREADABLE

# Longer texts are out of the bounds of peer messages, which would be refused as a whole.
MAX_TEXT_LENGTH = 256
# The longest duration, in seconds: some 30 years.
MAX_SECONDS = 1_000_000_000
# Integers from here on have too many digits for a text.
_TOO_LARGE = 10**MAX_TEXT_LENGTH
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
    if len(name) > MAX_TEXT_LENGTH:
        raise BadRollout(f"the object's name has more than {MAX_TEXT_LENGTH} characters")
    if value.get("service") != name:
        raise BadRollout(f"service is {value.get('service')!r:.80}, not the object's name")
    target = _text(value.get("target_version"), "target_version")
    order = Order(name, version, target, _duration(value.get("duration")))
    status = value.get("status")
    state = status.get("state") if isinstance(status, Mapping) else None
    if not isinstance(state, str) or state not in _STATES_BY_NAME:
        return Rollout(order, object_version=version)
    decided = _text(status.get("target_version"), "target_version of the status")
    rollout = Rollout(order, False, _STATES_BY_NAME[state], decided, version)
    return replace(rollout, written_state=rollout.order_state)


def status_value(state: State, target_version: object) -> dict[str, object]:
    """Return the status to store; ``target_version`` is text or a number, as in the order."""
    return {"state": _STATE_NAMES[state], "target_version": target_version}


def _text(value: object, field: str) -> str:
    if isinstance(value, bool) or not isinstance(value, str | int):
        raise BadRollout(f"{field} is neither text nor an integer")
    if isinstance(value, int) and abs(value) >= _TOO_LARGE:
        raise BadRollout(f"{field} is too large")
    text = str(value)
    if not 0 < len(text) <= MAX_TEXT_LENGTH or UNREADABLE in text:
        raise BadRollout(f"{field} is empty, too long or has undecodable characters")
    return text


def _duration(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadRollout("duration is not a number")
    if not 0 < value <= MAX_SECONDS:
        raise BadRollout(f"duration is not a number above 0 and up to {MAX_SECONDS}")
    # Nodes exchange durations in whole milliseconds, and an order must be equal on all of them.
    return max(1, round(value * 1000)) / 1000
