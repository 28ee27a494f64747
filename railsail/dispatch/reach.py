"""Which dispatchers an entry can reach, as observed from its own requests and probes."""

import asyncio
from collections.abc import Callable, Collection

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.dispatch.silence import CHECK_SECONDS, SilenceWatch, Verdict
from railsail.peers.hub import PeerHub
from railsail.peers.messages import Probe

# An open connection may have stopped carrying data where a new one would work. The link to an
# unreachable node that does not answer probes for this many seconds is dropped and dialled again. A
# node that is only slow has answered by then, and a new link would delay it further.
LINK_SILENT_SECONDS = 2.0


class DispatcherReach:
    """Tracks which dispatchers are unreachable: silent, or impossible to dial.

    ``in_use`` returns the nodes that hold tickets or calls of this entry. ``changed`` is called
    when a node becomes unreachable or reachable again.
    """

    def __init__(
        self,
        hub: PeerHub,
        kernel: Kernel,
        in_use: Callable[[], Collection[str]],
        changed: Callable[[], None],
    ) -> None:
        self._hub = hub
        self._clock = kernel.clock
        self._events = kernel.events
        self._in_use = in_use
        self._changed = changed
        self._left_at: dict[str, float] = {}
        self._redialled: set[str] = set()
        self._silence = SilenceWatch()
        self._checking: set[str] = set()

    @property
    def unreachable(self) -> set[str]:
        """Return the nodes that did not respond, or could not be dialled, when last used."""
        return set(self._left_at)

    def asked(self, node: str) -> None:
        """Record that a request was sent to ``node``, and check that it responds."""
        if node == self._hub.own.node or node in self._left_at:
            return
        self._silence.asked(node, self._clock.monotonic(), self._hub.last_heard(node))
        if node not in self._checking:
            self._checking.add(node)
            self._check_later(node)

    def link_up(self, node: str) -> None:
        """Handle a new link to ``node``, which makes the node reachable."""
        self._redialled.discard(node)
        if node in self._left_at:
            self._come_back(node)

    def link_down(self, node: str) -> None:
        """Handle the loss of the last link to ``node``, or a failed attempt to dial it."""
        if node in self._left_at or node not in self._in_use():
            return
        # Dial once more. If that fails, this method is called again, and the node is unreachable.
        if node not in self._redialled and self._hub.dial(node):
            self._redialled.add(node)
            return
        self._leave(node)

    def tick(self) -> None:
        """Probe or dial unreachable nodes, and detect which respond. Call it twice a second."""
        for node, left_at in list(self._left_at.items()):
            if not self._hub.connected(node):
                self._hub.dial(node)
            elif self._hub.last_heard(node) > left_at:
                self._come_back(node)
            elif self._clock.monotonic() - left_at > LINK_SILENT_SECONDS:
                self._hub.drop(node)
            else:
                self._hub.send(node, Probe())

    def _leave(self, node: str) -> None:
        self._left_at[node] = self._clock.monotonic()
        self._changed()

    def _come_back(self, node: str) -> None:
        del self._left_at[node]
        self._silence.forget(node)
        self._changed()

    def _check_later(self, node: str) -> None:
        asyncio.get_running_loop().call_later(CHECK_SECONDS, self._check, node)

    def _check(self, node: str) -> None:
        heard = self._hub.last_heard(node)
        verdict = self._silence.check(node, heard)
        if verdict is Verdict.PROBE:
            self._hub.send(node, Probe())
        if verdict in (Verdict.PROBE, Verdict.WAIT):
            self._check_later(node)
            return
        self._checking.discard(node)
        if verdict is Verdict.SILENT and node not in self._left_at:
            self._events.emit(
                Kind.MEMBER,
                "the dispatcher does not respond and is not used",
                member=node,
                heard_ms_ago=round((self._clock.monotonic() - heard) * 1000),
            )
            self._leave(node)
