"""One authenticated link to another daemon: a websocket with a bounded send queue."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Protocol

import cbor2
import msgspec
from websockets.exceptions import ConnectionClosed

from railsail.core.events import EventLog
from railsail.core.exceptions import PeerRefused, ProtocolError
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.peers import auth
from railsail.peers.base import PROTOCOL_VERSION, Message
from railsail.peers.codec import (
    MAX_FRAME_BYTES,
    TIME_MODULUS,
    InvalidMessage,
    decode_handshake,
    encode_message,
    join_frame,
    load_frame,
    parse_each,
    parse_messages,
)
from railsail.peers.handshake import Accept, Challenge, Join
from railsail.peers.levels import PIECES, QUARANTINE, inferred_level, negotiated_level
from railsail.peers.messages import AnyMessage

MAX_QUEUED_MESSAGES = 10_000
HANDSHAKE_TIMEOUT_SECONDS = 3.0
# Longest delay of a message that may share a frame with later ones. A shared frame saves the
# headers of a frame and of a packet.
BATCH_SECONDS = 0.1
# Messages of one frame, whose head takes some bytes as well.
MAX_BATCH_BYTES = MAX_FRAME_BYTES - 64
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

        A message that the peer's build does not know is dropped, and so is one that is out of the
        peer's bounds, since that would end the link with all that is queued on it.
        """
        if self.level < message.SINCE_LEVEL:
            return
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._overflowed = True
        encoded = encode_message(message, self.level)
        problem = self._out_of_bounds(encoded)
        if problem:
            self._report_refused(type(message).__name__, "sent", problem)
            return
        kind = {"kind": type(message).__name__}
        self._metrics.peer_messages.inc(kind)
        self._metrics.peer_bytes.add(kind, len(encoded))
        self._queue.append(encoded)
        if not message.SHARES_FRAME:
            self._wake.set()
        elif len(self._queue) == 1:
            asyncio.get_running_loop().call_later(BATCH_SECONDS, self._wake.set)

    def _out_of_bounds(self, encoded: bytes) -> str:
        """Return why the peer cannot take a message, empty if it can."""
        if len(encoded) > MAX_BATCH_BYTES:
            return f"{len(encoded)} bytes are too long for a frame"
        if self.level >= PIECES:
            # Such peers refuse a single message without ending the link.
            return ""
        (message,) = parse_each([0, cbor2.loads(encoded)])
        return message.problem if isinstance(message, InvalidMessage) else ""

    def _report_refused(self, kind: str, side: str, problem: str) -> None:
        self._metrics.peer_messages_refused.inc({"kind": kind, "side": side})
        get_logger().warning(
            "message refused", peer=self.peer.node, kind=kind, side=side, reason=problem
        )

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
                for message in self._parse(items):
                    receive(message)

    def _parse(self, items: list) -> list[AnyMessage]:
        """Return the valid messages of a frame; the others are reported and left out."""
        try:
            return parse_messages(items)
        except ProtocolError:
            parsed = parse_each(items)
        for message in parsed:
            if isinstance(message, InvalidMessage):
                self._report_refused(message.kind, "received", message.problem)
        return [message for message in parsed if not isinstance(message, InvalidMessage)]

    async def _write(self) -> None:
        with contextlib.suppress(ConnectionClosed, OSError):
            while not self._overflowed:
                await self._wake.wait()
                self._wake.clear()
                while self._queue and not self._overflowed:
                    await self._send_frame(self._next_batch())
        await self.close()

    def _next_batch(self) -> list[bytes]:
        """Return the queued messages that fit into one frame, and remove them from the queue."""
        batch = [self._queue.popleft()]
        size = len(batch[0])
        while self._queue and size + len(self._queue[0]) <= MAX_BATCH_BYTES:
            batch.append(self._queue.popleft())
            size += len(batch[-1])
        return batch

    async def _send_frame(self, encoded: list[bytes]) -> None:
        frame = join_frame(self._events.hybrid.tick() >> _MS_SHIFT, encoded)
        self._metrics.peer_bytes.add(
            {"kind": "frame"},
            len(frame) - sum(map(len, encoded)) + _frame_header_bytes(len(frame)),
        )
        await self._socket.send(frame)

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
