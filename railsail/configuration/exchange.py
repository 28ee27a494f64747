"""Exchange of configuration updates with peers.

A node that learns of a newer version, by an announcement, a heartbeat or a proof, requests the
update from one peer at a time, piece by piece. The next piece is requested when the last one has
arrived, so that a large configuration does not hold up the other messages of a link. If a peer
stops answering, the update is requested from another one that has the version. Small updates are
sent without a request. Peers of builds that do not know pieces exchange ``ConfigurationNews``.
"""

import asyncio
from dataclasses import dataclass, field

from railsail.configuration.access import check_access
from railsail.configuration.carrier import ConfigurationCarrier
from railsail.configuration.updates import Update, announcement, apply_steps, whole_steps
from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.core.slices import Steps, run_slice, run_sliced
from railsail.core.tasks import TaskSet
from railsail.objects.catalog import Catalog
from railsail.peers.hub import PeerHub
from railsail.peers.levels import KEYS, PIECES
from railsail.peers.messages import (
    ConfigurationNews,
    ConfigurationPiece,
    ConfigurationRequest,
    StateRequest,
)

PIECE_BYTES = 128 << 10
# Updates up to this size are sent to all neighbours at once. A node gets larger ones on request,
# and so only once.
MAX_PUSHED_BYTES = 16 << 10
# The update is requested from another peer if no piece has arrived for this time.
PIECE_TIMEOUT_SECONDS = 0.5
# Bounds the memory that a peer can occupy here.
MAX_UPDATE_BYTES = 64 << 20


@dataclass
class _Transfer:
    """An update from version ``wanted_since`` that is requested from ``node``.

    ``since``, ``version`` and ``size`` are those of its pieces; ``version`` is 0 until one arrived.
    """

    node: str
    wanted_since: int
    since: int = 0
    version: int = 0
    size: int = 0
    body: bytearray = field(default_factory=bytearray)
    timer: asyncio.TimerHandle | None = None

    def add(self, piece: ConfigurationPiece) -> bool:
        """Add a piece, the first one of another update too; return False if it does not follow."""
        if piece.offset == 0:
            self.since, self.version, self.size = piece.since, piece.version, piece.size
            self.body.clear()
        elif (piece.since, piece.version) != (self.since, self.version):
            return False
        if piece.offset != len(self.body) or not piece.body:
            return False
        self.body += piece.body
        return True


class ConfigurationExchange:
    """Requests newer configurations from peers, and sends them the active one."""

    def __init__(self, carrier: ConfigurationCarrier, hub: PeerHub, kernel: Kernel) -> None:
        self._carrier = carrier
        self._hub = hub
        self._events = kernel.events
        self._tasks = TaskSet()
        # By node: the newest version that it has, if that is newer than the active one here. The
        # next request goes to the first node.
        self._sources: dict[str, int] = {}
        self._transfer: _Transfer | None = None
        # Whether a received update is being applied.
        self._applying = False
        # Nodes whose whole update of a newer version was rejected. They are not asked again, unless
        # they come back, perhaps with another build.
        self._rejected: dict[str, int] = {}
        self._whole: Update | None = None
        self._whole_lock = asyncio.Lock()
        hub.handle(ConfigurationNews, self._handle_news)
        hub.handle(ConfigurationRequest, self._handle_request)
        hub.handle(ConfigurationPiece, self._handle_piece)
        hub.on_down(self._peer_lost)
        carrier.on_change(lambda catalog: self._activated())

    def announced(self, node: str, version: int) -> None:
        """Request the configuration from ``node``, which has ``version``, if that is newer."""
        if version <= self._carrier.catalog.version:
            return
        self._carrier.announced(version)
        if not self._hub.speaks(node, PIECES):
            self._hub.send(node, StateRequest(self._carrier.catalog.version))
            return
        if version > self._rejected.get(node, 0):
            self._sources[node] = max(version, self._sources.get(node, 0))
            self._request_next()

    def send_newer(self, node: str, version: int) -> None:
        """Send ``node``, which is at ``version``, the active configuration if it is newer."""
        if self._carrier.catalog.version > version:
            self.send(node, self._update_since(version))

    def send(self, node: str, update: Update) -> None:
        """Send ``node`` an update if it is small and not empty, or else announce its version."""
        if self._hub.connected(node) and not self._hub.speaks(node, PIECES):
            news = self._carrier.news_since(update.since if update.body else 0)
            if news is not None:
                self._hub.send(node, news)
        elif 0 < len(update.body) <= MAX_PUSHED_BYTES:
            self._hub.send(node, _piece(update, 0))
        else:
            self.announce(node, update.version)

    def announce(self, node: str, version: int) -> None:
        """Send ``node`` only the ``version`` that this node has, which it requests if it is behind.

        Builds that do not know pieces do so too.
        """
        self._hub.send(node, ConfigurationNews(version, version, b""))

    def _update_since(self, version: int) -> Update:
        """Return the update from ``version``, or an announcement if it is not kept."""
        newest = self._carrier.catalog.version
        update = self._carrier.history.since(version)
        if update is None or update.version != newest:
            return announcement(newest)
        return update

    def _handle_news(self, node: str, news: ConfigurationNews) -> None:
        if news.since == news.version:
            self.announced(node, news.version)
        else:
            self._carrier.received(node, news)

    def _handle_request(self, node: str, request: ConfigurationRequest) -> None:
        if self._carrier.catalog.version > request.since:
            self._tasks.start(self._send_piece(node, request))

    async def _send_piece(self, node: str, request: ConfigurationRequest) -> None:
        update = self._update_since(request.since)
        if not update.body:
            update = await self._whole_update()
        offset = request.offset if request.version == update.version else 0
        if offset < len(update.body):
            self._hub.send(node, _piece(update, offset))

    async def _whole_update(self) -> Update:
        """Return the update with all objects of the active configuration."""
        async with self._whole_lock:
            if self._whole is None or self._whole.version != self._carrier.catalog.version:
                self._whole = await run_sliced(whole_steps(self._carrier.catalog))
            return self._whole

    def _handle_piece(self, node: str, piece: ConfigurationPiece) -> None:
        if piece.version <= self._carrier.catalog.version or piece.size > MAX_UPDATE_BYTES:
            return
        if piece.offset == 0 and len(piece.body) == piece.size:
            self._received(node, Update(piece.since, piece.version, piece.body))
            return
        transfer = self._transfer
        if transfer is None or transfer.node != node:
            return
        if not transfer.add(piece):
            self._stop_transfer()
            self._request_next()
        elif len(transfer.body) < transfer.size:
            self._request_piece(transfer)
        else:
            update = Update(transfer.since, transfer.version, bytes(transfer.body))
            self._received(node, update)

    def _received(self, node: str, update: Update) -> None:
        """Apply a complete update, or request another if it does not follow this node's version."""
        if update.since not in (0, self._carrier.catalog.version) or self._applying:
            self.announced(node, update.version)
            return
        self._stop_transfer()
        steps = self._read_steps(node, update)
        try:
            finished = run_slice(steps)
        except ValueError as problem:
            self._reject(node, update, problem)
            return
        if finished is not None:
            self._carrier.activate(finished.value, node)
            return
        self._applying = True
        self._tasks.start(self._apply(node, update, steps))

    def _read_steps(self, node: str, update: Update) -> Steps[Catalog]:
        """Return the configuration after ``update``; raise ``ValueError`` if it cannot be used."""
        before = self._carrier.catalog
        # The link may end before the update is read.
        says_who_needs_keys = self._hub.speaks(node, KEYS)
        after = yield from apply_steps(before, update.body)
        if not says_who_needs_keys:
            check_access(before if update.since else Catalog(), after)
        return after

    async def _apply(self, node: str, update: Update, steps: Steps[Catalog]) -> None:
        try:
            self._carrier.activate(await run_sliced(steps), node)
        except ValueError as problem:
            self._reject(node, update, problem)
        finally:
            self._applying = False
            self._request_next()

    def _reject(self, node: str, update: Update, problem: Exception) -> None:
        self._carrier.report_rejected(update.version, node, problem)
        if update.since:
            # The changes do not fit what this build has read of the version before.
            self._start_transfer(node, 0)
        else:
            self._rejected[node] = update.version
            self._forget_source(node)

    def _request_next(self) -> None:
        """Request the configuration from the next peer that has a newer one, if none is asked."""
        if self._transfer is not None or self._applying:
            return
        own_version = self._carrier.catalog.version
        node = next((n for n, version in self._sources.items() if version > own_version), None)
        if node is not None:
            self._start_transfer(node, own_version)

    def _start_transfer(self, node: str, since: int) -> None:
        self._transfer = _Transfer(node, since)
        self._request_piece(self._transfer)

    def _request_piece(self, transfer: _Transfer) -> None:
        if transfer.timer is not None:
            transfer.timer.cancel()
        loop = asyncio.get_running_loop()
        transfer.timer = loop.call_later(PIECE_TIMEOUT_SECONDS, self._timed_out, transfer)
        request = ConfigurationRequest(transfer.wanted_since, transfer.version, len(transfer.body))
        self._hub.send(transfer.node, request)

    def _timed_out(self, transfer: _Transfer) -> None:
        if transfer is not self._transfer:
            return
        self._events.emit(
            Kind.CONFIGURATION,
            "a peer does not send the configuration that it has",
            state="stalled",
            source=transfer.node,
            version=transfer.version,
            received_bytes=len(transfer.body),
            total_bytes=transfer.size,
        )
        self._stop_transfer()
        # The next request goes to another peer, if there is one.
        version = self._sources.pop(transfer.node, None)
        if version is not None and self._hub.connected(transfer.node):
            self._sources[transfer.node] = version
        self._request_next()

    def _stop_transfer(self) -> None:
        if self._transfer is not None and self._transfer.timer is not None:
            self._transfer.timer.cancel()
        self._transfer = None

    def _activated(self) -> None:
        """Drop what is about versions up to the active one."""
        own_version = self._carrier.catalog.version
        self._whole = None
        self._sources = {n: v for n, v in self._sources.items() if v > own_version}
        self._rejected = {n: v for n, v in self._rejected.items() if v > own_version}
        self._stop_transfer()
        self._request_next()

    def _peer_lost(self, node: str) -> None:
        self._rejected.pop(node, None)
        self._forget_source(node)

    def _forget_source(self, node: str) -> None:
        self._sources.pop(node, None)
        if self._transfer is not None and self._transfer.node == node:
            self._stop_transfer()
            self._request_next()


def _piece(update: Update, offset: int) -> ConfigurationPiece:
    body = update.body[offset : offset + PIECE_BYTES]
    return ConfigurationPiece(update.since, update.version, len(update.body), offset, body)
