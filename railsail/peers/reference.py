"""Make the page of the protocol between daemons from the messages' definitions.

python -m railsail.peers.reference > docs/internals/protocol.md
"""

import typing

from railsail.peers.base import PROTOCOL_VERSION, Message
from railsail.peers.handshake import AnyHandshake
from railsail.peers.levels import OLDEST, QUARANTINE
from railsail.peers.messages import AnyMessage

_HEAD = f"""# The protocol between daemons, version {PROTOCOL_VERSION}

A link is a websocket over TCP. It opens with a handshake in which both sides prove by HMAC-SHA-256
over both nonces that they know the peer secret; nothing else is read before. After that each binary
message is a frame: a CBOR array of the sender's logical time in milliseconds (modulo 65,536) and
then messages. A message is an array of its number and its fields in order. A frame of over 1 MiB,
depth of over 8, indefinite length, wrong type or wrong count closes the link.

Builds of several levels may run side by side. Their links agree on the highest level that both
sides speak, by the websocket's subprotocol (`railsail.N`); without one, the peer is of level
{QUARANTINE} or {OLDEST}, by what it sends. A peer is sent no message and no field that is newer
than its level: those are marked with the level that they came with.

A link whose queue overflows is closed, and both sides tell their state anew on the next one.

This page is made by `python -m railsail.peers.reference` and checked in CI.

| number | message | fields | meaning |
|---|---|---|---|"""


def page() -> str:
    """Return the page as Markdown."""
    kinds = (*typing.get_args(AnyHandshake), *typing.get_args(AnyMessage))
    rows = [_row(kind) for kind in sorted(kinds, key=_number)]
    return "\n".join([_HEAD, *rows, ""])


def _number(kind: type[Message]) -> int:
    return kind.__struct_config__.tag


def _row(kind: type[Message]) -> str:
    fields = ", ".join(_field(kind, number) for number in range(len(kind.__struct_fields__)))
    meaning = " ".join((kind.__doc__ or "").split())
    name = f"{kind.__name__} ({kind.SINCE})" if kind.SINCE else kind.__name__
    return f"| {_number(kind)} | {name} | {fields} | {meaning} |"


def _field(kind: type[Message], number: int) -> str:
    name = kind.__struct_fields__[number]
    unknown = [last for last, count in kind.COUNTS.items() if number >= count]
    return f"{name} ({max(unknown) + 1})" if unknown else name


def main() -> None:
    """Print the page."""
    print(page(), end="")


if __name__ == "__main__":
    main()
