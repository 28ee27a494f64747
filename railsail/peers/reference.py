"""Make the page of the protocol between daemons from the messages' definitions.

python -m railsail.peers.reference > docs/internals/protocol.md
"""

import typing

import msgspec

from railsail.peers.base import PROTOCOL_VERSION, Message
from railsail.peers.handshake import AnyHandshake
from railsail.peers.messages import AnyMessage

_HEAD = f"""# The protocol between daemons, version {PROTOCOL_VERSION}

A link is a websocket over TCP. It opens with a handshake in which both sides prove by HMAC-SHA-256
over both nonces that they know the peer secret; nothing else is read before. After that each binary
message is a frame: a CBOR array of the sender's logical time in milliseconds (modulo 65,536) and
then messages. A message is an array of its number and its fields in order. A frame of over 1 MiB,
depth of over 8, indefinite length, wrong type or wrong count closes the link.

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
    fields = ", ".join(field.name for field in msgspec.structs.fields(kind))
    meaning = " ".join((kind.__doc__ or "").split())
    return f"| {_number(kind)} | {kind.__name__} | {fields} | {meaning} |"


def main() -> None:
    """Print the page."""
    print(page(), end="")


if __name__ == "__main__":
    main()
