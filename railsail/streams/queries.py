"""Queries to peers about where a stream began."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from railsail.peers.hub import PeerHub
from railsail.peers.levels import READS, STREAMS
from railsail.peers.link import Identity
from railsail.peers.messages import StreamQuery, StreamReply


@dataclass
class Query:
    """A query, the nodes that are asked, and their replies; ``done`` ends the wait for more."""

    message: StreamQuery
    asked: set[str] = field(default_factory=set)
    replies: dict[str, StreamReply] = field(default_factory=dict)
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def known(self) -> tuple[str, StreamReply] | None:
        """Return a peer that knows the stream and its reply, ``None`` if none does yet."""
        return next(((node, reply) for node, reply in self.replies.items() if reply.known), None)

    @property
    def complete(self) -> str | None:
        """Return a peer that has read the store and lacks no place, ``None`` if none does yet."""
        if not self.message.reads:
            return None
        return next((node for node, reply in self.replies.items() if reply.complete), None)

    @property
    def is_answered(self) -> bool:
        """Return True if no reply that is missing is needed."""
        if self.known is not None or self.complete is not None:
            return True
        return self.asked <= self.replies.keys()


class StreamQueries:
    """The queries of this node that wait for replies."""

    def __init__(self, hub: PeerHub) -> None:
        self._hub = hub
        self._waiting: dict[int, Query] = {}
        self._next_number = 1
        hub.handle(StreamReply, self._handle_reply)
        hub.on_up(self._link_up)

    async def ask(
        self, nodes: Iterable[str], key: int, host: str, seconds: float, reads: bool = False
    ) -> Query:
        """Ask ``nodes`` for stream ``key``, 0 for none, and where streams of ``host`` may begin.

        Wait at most ``seconds``. With ``reads``, the nodes read the store before they reply.
        """
        query = Query(StreamQuery(self._next_number, key, host, reads))
        self._next_number += 1
        self._waiting[query.message.number] = query
        try:
            for node in nodes:
                self._send(query, node)
            if query.asked:
                async with asyncio.timeout(seconds):
                    await query.done.wait()
        except TimeoutError:
            pass
        finally:
            del self._waiting[query.message.number]
        return query

    def _send(self, query: Query, node: str) -> None:
        """Send a query to ``node``, or as soon as there is a link, unless its build is too old."""
        level = READS if query.message.reads else STREAMS
        if self._hub.connected(node) and not self._hub.speaks(node, level):
            query.asked.discard(node)
            return
        query.asked.add(node)
        self._hub.send(node, query.message)

    def _link_up(self, peer: Identity) -> None:
        for query in self._waiting.values():
            if peer.node in query.asked and peer.node not in query.replies:
                self._send(query, peer.node)

    def _handle_reply(self, node: str, message: StreamReply) -> None:
        query = self._waiting.get(message.number)
        if query is None:
            return
        query.replies[node] = message
        if query.is_answered:
            query.done.set()
