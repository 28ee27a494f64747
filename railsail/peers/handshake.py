"""The messages of the handshake, in which both sides prove that they know the peer secret."""

from typing import Annotated

import msgspec

from railsail.peers.base import Digest, Message, Natural, Text


class Challenge(Message, frozen=True, tag=100):
    """Start the handshake of a link, with the nonce of the accepting side."""

    version: Natural
    nonce: Digest


class Join(Message, frozen=True, tag=101):
    """Answer a challenge with the identity of the dialling side and its proof."""

    version: Natural
    node: Text
    start_id: Natural
    nonce: Digest
    proof: Annotated[bytes, msgspec.Meta(max_length=32)]


class Accept(Message, frozen=True, tag=102):
    """End the handshake with the identity of the accepting side and its proof."""

    node: Text
    start_id: Natural
    proof: Annotated[bytes, msgspec.Meta(max_length=32)]


AnyHandshake = Challenge | Join | Accept
