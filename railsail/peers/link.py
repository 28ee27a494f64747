"""One authenticated link to another daemon: a websocket with a bounded send queue."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec
from websockets.exceptions import ConnectionClosed

from railsail.core.events import EventLog
from railsail.core.exceptions import PeerRefused, ProtocolError
from railsail.core.metrics import Metrics
from railsail.peers import auth
from railsail.peers.base import PROTOCOL_VERSION, Message
from railsail.peers.codec import (
    TIME_MODULUS,
    decode_handshake,
    encode_message,
    join_frame,
    load_frame,
    parse_messages,
)
from railsail.peers.handshake import Accept, Challenge, Join
from railsail.peers.levels import QUARANTINE, inferred_level, negotiated_level
from railsail.peers.messages import AnyMessage

MAX_QUEUED_MESSAGES = 10_000
HANDSHAKE_TIMEOUT_SECONDS = 3.0
# Longest delay of a message that may share a frame with later ones. A shared frame saves the
# headers of a frame and of a packet.
BATCH_SECONDS = 0.1
_MS_SHIFT = 16
_HALF_TIME_MODULUS = 1 << 15


class Socket(Protocol):
    """The interface of a websocket connection that a link uses, on either side."""

    transport: asyncio.Transport
    subprotocol: str | None

    async def send(self, data: bytes) -> None:
        """Send one binary message."""

    async def recv(self) -> bytes:
        """Receive one message."""

    async def close(self) -> None:
        """Close the connection."""


class Identity(msgspec.Struct, frozen=True):
    """The identity of one side of a link: its node, and the start id of its process."""

    node: str
    start_id: int


async def accept_handshake(socket: Socket, own: Identity, secret: str) -> Identity:
    """Run the handshake of the accepting side, and return the identity of the peer.

    Raise ``PeerRefused`` if the peer does not prove that it knows the peer secret.
    """
    nonce = auth.new_nonce()
    await socket.send(encode_message(Challenge(PROTOCOL_VERSION, nonce)))
    join = decode_handshake(await _receive(socket))
    if not isinstance(join, Join) or join.version != PROTOCOL_VERSION:
        raise PeerRefused("unexpected message or protocol version in the handshake")
    expected = auth.handshake_proof(secret, "join", nonce, join.nonce, join.node, join.start_id)
    if not auth.equal_proofs(expected, join.proof):
        raise PeerRefused(f"{join.node} does not know the peer secret")
    proof = auth.handshake_proof(secret, "accept", join.nonce, nonce, own.node, own.start_id)
    await socket.send(encode_message(Accept(own.node, own.start_id, proof)))
    return Identity(join.node, join.start_id)


async def join_handshake(socket: Socket, own: Identity, secret: str) -> Identity:
    """Run the handshake of the dialling side, and return the identity of the peer.

    Raise ``PeerRefused`` if the peer does not prove that it knows the peer secret.
    """
    challenge = decode_handshake(await _receive(socket))
    if not isinstance(challenge, Challenge) or challenge.version != PROTOCOL_VERSION:
        raise PeerRefused("unexpected message or protocol version in the handshake")
    nonce = auth.new_nonce()
    proof = auth.handshake_proof(secret, "join", challenge.nonce, nonce, own.node, own.start_id)
    join = Join(PROTOCOL_VERSION, own.node, own.start_id, nonce, proof)
    await socket.send(encode_message(join))
    accept = decode_handshake(await _receive(socket))
    if not isinstance(accept, Accept):
        raise PeerRefused("the handshake was not accepted")
    expected = auth.handshake_proof(
        secret, "accept", nonce, challenge.nonce, accept.node, accept.start_id
    )
    if not auth.equal_proofs(expected, accept.proof):
        raise PeerRefused(f"{accept.node} does not know the peer secret")
    return Identity(accept.node, accept.start_id)


async def _receive(socket: Socket) -> bytes:
    return await asyncio.wait_for(socket.recv(), HANDSHAKE_TIMEOUT_SECONDS)


class Link:
    """A link to one peer.

    All messages that are queued in one turn of the event loop are sent in one frame.
    """

    def __init__(self, socket: Socket, peer: Identity, events: EventLog, metrics: Metrics) -> None:
        self.peer = peer
        # The protocol level of the peer; see ``railsail.peers.levels``.
        self.level = negotiated_level(socket.subprotocol)
        self._socket = socket
        self._events = events
        self._metrics = metrics
        self._queue: deque[bytes] = deque()
        self._wake = asyncio.Event()
        self._overflowed = False

    def send(self, message: Message) -> None:
        """Queue ``message``; a link whose queue overflows is closed.

        A message that the peer's build does not know is dropped.
        """
        if self.level < message.SINCE_LEVEL:
            return
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._overflowed = True
        encoded = encode_message(message, self.level)
        kind = {"kind": type(message).__name__}
        self._metrics.peer_messages.inc(kind)
        self._metrics.peer_bytes.add(kind, len(encoded))
        self._queue.append(encoded)
        if not message.SHARES_FRAME:
            self._wake.set()
        elif len(self._queue) == 1:
            asyncio.get_running_loop().call_later(BATCH_SECONDS, self._wake.set)

    async def run(self, receive: Callable[[AnyMessage], None]) -> None:
        """Send and receive until the link ends."""
        writer = asyncio.ensure_future(self._write())
        try:
            await self._read(receive)
        finally:
            writer.cancel()
            await self.close()

    async def close(self) -> None:
        """Close the link."""
        with contextlib.suppress(ConnectionClosed, OSError):
            await self._socket.close()

    def abort(self) -> None:
        """End the link without the closing handshake, which a silent peer would not answer."""
        self._socket.transport.abort()

    async def _read(self, receive: Callable[[AnyMessage], None]) -> None:
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                data = await self._socket.recv()
                items = load_frame(data)
                if self.level < QUARANTINE:
                    self.level = inferred_level(items)
                self._observe_time(items[0] % TIME_MODULUS)
                for message in parse_messages(items):
                    receive(message)

    async def _write(self) -> None:
        with contextlib.suppress(ConnectionClosed, OSError):
            while not self._overflowed:
                await self._wake.wait()
                self._wake.clear()
                encoded = list(self._queue)
                self._queue.clear()
                if not encoded:
                    continue
                frame = join_frame(self._events.hybrid.tick() >> _MS_SHIFT, encoded)
                self._metrics.peer_bytes.add(
                    {"kind": "frame"},
                    len(frame) - sum(map(len, encoded)) + _frame_header_bytes(len(frame)),
                )
                await self._socket.send(frame)
        await self.close()

    def _observe_time(self, time_ms: int) -> None:
        # The frame has the peer's time modulo 2**16 ms. The value nearest to our time is assumed.
        own = self._events.hybrid.tick() >> _MS_SHIFT
        ahead = (time_ms - own + _HALF_TIME_MODULUS) % (2 * _HALF_TIME_MODULUS) - _HALF_TIME_MODULUS
        if ahead >= 0:
            self._events.hybrid.observe((own + ahead + 1) << _MS_SHIFT)


def _frame_header_bytes(length: int) -> int:
    """Return the size of a masked websocket header (RFC 6455) for ``length`` bytes of payload."""
    if length < 126:
        return 6
    return 8 if length < 1 << 16 else 14


__all__ = ["Identity", "Link", "ProtocolError", "accept_handshake", "join_handshake"]
