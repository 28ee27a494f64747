"""Rollouts as the store holds them."""

import math
from collections.abc import Mapping
from dataclasses import replace

from railsail.core.exceptions import RailsailError
from railsail.rollouts.orders import Order, Rollout, State
from railsail.store.base import UNREADABLE

MOST_TEXT = 256
_WORDS = {State.RUNNING: "running", State.SUCCEEDED: "succeeded", State.ROLLED_BACK: "rolled_back"}
_STATES = {word: state for state, word in _WORDS.items()}


class BadRollout(RailsailError):
    """A stored rollout cannot be read."""


def parse_rollout(name: str, version: int, value: Mapping[str, object]) -> Rollout:
    """Return the rollout of the object ``name``; raise ``BadRollout`` if there is none in it."""
    if value.get("service") != name:
        raise BadRollout(f"it names the service {value.get('service')!r:.80}")
    target = _text(value.get("target_version"), "target_version")
    order = Order(name, version, target, _duration(value.get("duration")))
    status = value.get("status")
    if not isinstance(status, Mapping) or status.get("state") not in _STATES:
        return Rollout(order, stored=version)
    decided = _text(status.get("target_version"), "the status' target_version")
    rollout = Rollout(order, False, _STATES[status["state"]], decided, version)
    return replace(rollout, written=rollout.current)


def status_value(state: State, target_version: object) -> dict[str, object]:
    """Return the status to be stored; the version has the form in which the order names it."""
    return {"state": _WORDS[state], "target_version": target_version}


def _text(value: object, field: str) -> str:
    if isinstance(value, bool) or not isinstance(value, str | int):
        raise BadRollout(f"{field} is neither text nor a whole number")
    text = str(value)
    if not 0 < len(text) <= MOST_TEXT or UNREADABLE in text:
        raise BadRollout(f"{field} is empty, too long or holds what cannot be read")
    return text


def _duration(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadRollout("the duration is not a number")
    if not math.isfinite(value) or value <= 0:
        raise BadRollout("the duration is not above 0")
    # Nodes tell each other whole milliseconds, and an order must be the same at all of them.
    return max(1, round(value * 1000)) / 1000
