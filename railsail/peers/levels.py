"""What peers of older builds understand, and messages as they do.

While nodes are replaced one after the other, builds run side by side and must be one fleet. A build
reads messages with just the fields that it knows, so that a peer is sent those, and no message that
it does not know. Each change of the messages makes a new level. On a new link the dialling side
offers the levels that it speaks as websocket subprotocols, and the accepting side takes the highest
that both do. Builds before level 2 offer and take none; which of two they are shows in what they
send, and until then the older is assumed.
"""

from collections.abc import Sequence

import msgspec

from railsail.peers.base import Message

# Without requests that end replicas.
OLDEST = 0
# With these, in heartbeats, flights and news of their own.
QUARANTINE = 1
# With the replicas that a ticket excludes, and versions that tell the store's eras.
ERAS = 2
# With proofs of what is held of the store.
PROOFS = 3
# With rollouts, the version of a replica's software, and the route of a ticket.
ROLLOUTS = 4
NEWEST = ROLLOUTS

# Numbers of messages that tell levels below 2 apart, and how long a heartbeat of the oldest is: its
# number, configuration, members, upstreams, wants_reply.
_HEARTBEAT = 1
_QUARANTINE_NEWS = 6
_OLDEST_HEARTBEAT = 5
_NAME = "railsail."
# By name, the highest first; levels below are not negotiated.
SUBPROTOCOLS = [f"{_NAME}{level}" for level in range(NEWEST, QUARANTINE, -1)]


def choose(socket: object, offered: Sequence[str]) -> str | None:
    """Return the highest level that the dialling side offered, ``None`` if there is none.

    The library would refuse a peer that offers none, as older builds do.
    """
    return next((name for name in SUBPROTOCOLS if name in offered), None)


def negotiated(subprotocol: str | None) -> int:
    """Return the level of a link, as far as its opening tells it."""
    if subprotocol is None:
        return OLDEST
    return int(subprotocol.removeprefix(_NAME))


def shown(items: Sequence[object]) -> int:
    """Return the level that the raw messages of a frame show their sender to have at least."""
    return QUARANTINE if any(_shows_quarantine(item) for item in items) else OLDEST


def _shows_quarantine(item: object) -> bool:
    if not isinstance(item, list) or not item:
        return False
    # A build sends all fields of a heartbeat that it knows.
    return item[0] == _QUARANTINE_NEWS or (item[0] == _HEARTBEAT and len(item) > _OLDEST_HEARTBEAT)


def to_array(message: Message, level: int) -> list[object]:
    """Return ``message`` as an array that peers of ``level`` read."""
    fitted = message.for_level(level)
    names = fitted.__struct_fields__[: fitted.count_at(level)]
    values = [_to_builtin(getattr(fitted, name), level) for name in names]
    tag = fitted.__struct_config__.tag
    return values if tag is None else [tag, *values]


def _to_builtin(value: object, level: int) -> object:
    if isinstance(value, Message):
        return to_array(value, level)
    if isinstance(value, list):
        return [_to_builtin(item, level) for item in value]
    return msgspec.to_builtins(value, builtin_types=(bytes,))
