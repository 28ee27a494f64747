"""The links of one daemon to its peers, accepted or dialled, and the handlers of their messages."""

import asyncio
import contextlib
from collections.abc import Callable, Collection
from typing import TypeVar

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException

from railsail.conf.values import parse_endpoint
from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.exceptions import PeerRefused, ProtocolError
from railsail.core.logs import get_logger
from railsail.core.metrics import Metrics
from railsail.core.tasks import TaskSet
from railsail.peers.base import Message
from railsail.peers.codec import MAX_FRAME_BYTES
from railsail.peers.levels import SUBPROTOCOLS, select_subprotocol
from railsail.peers.link import Identity, Link, accept_handshake, join_handshake
from railsail.peers.messages import AnyMessage

DIAL_TIMEOUT_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
# A link to a node that is not a neighbour is closed after it was not used for this time.
MAX_UNUSED_SECONDS = 60.0

M = TypeVar("M", bound=Message)
Handler = Callable[[str, M], None]
_DIAL_ERRORS = (OSError, TimeoutError, WebSocketException, PeerRefused, ProtocolError)


class PeerHub:
    """The links to all peers. Messages to this node itself are delivered directly.

    ``send`` never blocks: it returns True if the message could be queued on a link. Messages that
    were queued on a link that ends are lost. A component whose state peers keep therefore registers
    a listener with ``on_up`` and sends the state again on each new link.
    """

    def __init__(
        self,
        own: Identity,
        listen: tuple[str, int],
        secret: str,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self.own = own
        self._listen = listen
        self._secret = secret
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._handlers: dict[type, Handler] = {}
        self._up_listeners: list[Callable[[Identity], None]] = []
        self._down_listeners: list[Callable[[str], None]] = []
        self._links: dict[str, list[Link]] = {}
        # By node: when its last message arrived, and when a link to it was last used, in seconds of
        # the monotonic clock.
        self._received_at: dict[str, float] = {}
        self._used_at: dict[str, float] = {}
        self._dialling: dict[str, asyncio.Task] = {}
        # By node, after a failed attempt to dial it: the backoff in seconds, and when it may be
        # dialled again.
        self._dial_backoff: dict[str, float] = {}
        self._next_dial_at: dict[str, float] = {}
        self._tasks = TaskSet()
        self._server = None
        self._stopped = False

    def handle(self, kind: type[M], handler: Handler) -> None:
        """Call ``handler`` with the sender's node and the message, for each message of ``kind``."""
        self._handlers[kind] = handler

    def on_up(self, listener: Callable[[Identity], None]) -> None:
        """Call ``listener`` with the peer's identity for each new link.

        It is also called when one of several links to a peer ended, whose queue is lost.
        """
        self._up_listeners.append(listener)

    def on_down(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with a node when its last link ended, or when dialling it failed."""
        self._down_listeners.append(listener)

    async def start(self) -> None:
        """Listen for peers."""
        ip, port = self._listen
        self._server = await serve(
            self._accept,
            ip,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            subprotocols=SUBPROTOCOLS,
            select_subprotocol=select_subprotocol,
        )

    async def stop(self) -> None:
        """Close all links."""
        self._stopped = True
        if self._server is not None:
            self._server.close(close_connections=False)
        links = [link for links in self._links.values() for link in links]
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*(link.close() for link in links)), 1.0)
        self._tasks.cancel()

    def send(self, node: str, message: Message) -> bool:
        """Queue ``message`` for ``node`` and return True; without a link, dial and return False."""
        if node == self.own.node:
            asyncio.get_running_loop().call_soon(self._deliver, node, message)
            return True
        links = self._links.get(node)
        if not links:
            self.dial(node)
            return False
        self._used_at[node] = self._clock.monotonic()
        for part in message.split():
            links[-1].send(part)
        return True

    def connected(self, node: str) -> bool:
        """Return True if there is a link to ``node``."""
        return node == self.own.node or bool(self._links.get(node))

    def speaks(self, node: str, level: int) -> bool:
        """Return True if there is a link to ``node`` of protocol level ``level`` or higher."""
        links = self._links.get(node)
        return bool(links) and links[-1].level >= level

    def peers(self) -> list[str]:
        """Return the nodes to which there is a link."""
        return [node for node, links in self._links.items() if links]

    def has_peers_below(self, level: int) -> bool:
        """Return True if any peer with a link has a protocol level lower than ``level``."""
        return any(link.level < level for links in self._links.values() for link in links)

    def start_id(self, node: str) -> int:
        """Return the start id that ``node`` proved on its newest link, 0 if there is no link."""
        if node == self.own.node:
            return self.own.start_id
        links = self._links.get(node)
        return links[-1].peer.start_id if links else 0

    def last_heard(self, node: str) -> float:
        """Return when the last message of ``node`` was received, 0.0 if none was.

        The time is in seconds of the monotonic clock. A new link counts as a message.
        """
        return self._received_at.get(node, 0.0)

    def dial(self, node: str) -> bool:
        """Start to dial ``node`` if there is no link; return True if there is a link or an attempt.

        No attempt is made during the backoff after a failed one.
        """
        if node in self._dialling or self.connected(node):
            return True
        if self._stopped or self._clock.monotonic() < self._next_dial_at.get(node, 0.0):
            return False
        self._dialling[node] = self._tasks.start(self._dial(node))
        return True

    def drop(self, node: str) -> None:
        """End the links to ``node``, which no longer sends anything."""
        for link in list(self._links.get(node, [])):
            link.abort()

    def close_unused(self, kept: Collection[str]) -> None:
        """Close the links that were not used for a while, except for those to the nodes ``kept``.

        Nodes that join dial several others. Without this their links would add up.
        """
        now = self._clock.monotonic()
        for node in self.peers():
            if node not in kept and now - self._used_at.get(node, now) > MAX_UNUSED_SECONDS:
                for link in self._links[node]:
                    self._tasks.start(link.close())

    def forget(self, node: str) -> None:
        """End the links to ``node``, which has left the fleet, and drop its state."""
        self.drop(node)
        for times in (self._received_at, self._used_at, self._dial_backoff, self._next_dial_at):
            times.pop(node, None)

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            peer = await accept_handshake(socket, self.own, self._secret)
        except (PeerRefused, ProtocolError) as problem:
            get_logger().warning("peer refused", reason=str(problem))
            return
        except (OSError, TimeoutError, WebSocketException):
            return
        await self._serve(socket, peer)

    async def _dial(self, node: str) -> None:
        endpoint = parse_endpoint(node)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                socket = await connect(
                    f"ws://{endpoint}/",
                    compression=None,
                    ping_interval=None,
                    close_timeout=1,
                    max_size=MAX_FRAME_BYTES,
                    subprotocols=SUBPROTOCOLS,
                    proxy=None,
                    local_addr=(parse_endpoint(self.own.node).ip, 0),
                )
                peer = await join_handshake(socket, self.own, self._secret)
        except _DIAL_ERRORS as problem:
            self._dial_failed(node, problem)
            return
        finally:
            self._dialling.pop(node, None)
        self._dial_backoff.pop(node, None)
        if peer.node != node:
            get_logger().warning("peer has another id", dialled=node, found=peer.node)
            await socket.close()
            return
        await self._serve(socket, peer)

    def _dial_failed(self, node: str, problem: Exception) -> None:
        if isinstance(problem, PeerRefused):
            get_logger().warning("peer refused", dialled=node, reason=str(problem))
        backoff = min(
            self._dial_backoff.get(node, INITIAL_BACKOFF_SECONDS / 2) * 2, MAX_BACKOFF_SECONDS
        )
        self._dial_backoff[node] = backoff
        self._next_dial_at[node] = self._clock.monotonic() + backoff
        self._notify_down(node)

    async def _serve(self, socket, peer: Identity) -> None:
        link = Link(socket, peer, self._events, self._metrics)
        links = self._links.setdefault(peer.node, [])
        links.append(link)
        self._received_at[peer.node] = self._used_at[peer.node] = self._clock.monotonic()
        for listener in self._up_listeners:
            listener(peer)
        try:
            await link.run(lambda message: self._received(peer.node, message))
        except ProtocolError as problem:
            get_logger().warning("link closed", peer=peer.node, reason=str(problem))
        finally:
            links.remove(link)
            self._link_ended(peer, links)

    def _link_ended(self, peer: Identity, remaining: list[Link]) -> None:
        if not remaining:
            self._links.pop(peer.node, None)
            self._notify_down(peer.node)
        elif not self._stopped:
            # What was queued on this link is lost; the listeners send their state again on another
            # link to the same peer.
            for listener in self._up_listeners:
                listener(peer)

    def _notify_down(self, node: str) -> None:
        if self._stopped:
            return
        for listener in self._down_listeners:
            listener(node)

    def _received(self, node: str, message: AnyMessage) -> None:
        self._received_at[node] = self._used_at[node] = self._clock.monotonic()
        self._deliver(node, message)

    def _deliver(self, node: str, message: AnyMessage) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(node, message)
        except Exception:
            # One bad message must not end the link, which other messages need too.
            get_logger().exception("handler failed", peer=node, kind=type(message).__name__)
