"""Which dispatchers an entry can reach, as observed from its own requests and probes."""

import asyncio
from collections.abc import Callable, Collection

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.dispatch.silence import CHECK_INTERVAL_SECONDS, CheckResult, SilenceDetector
from railsail.peers.hub import PeerHub
from railsail.peers.messages import Probe

# An open connection may have stopped carrying data where a new one would work. The link to an
# unreachable node that does not answer probes for this many seconds is dropped and dialled again. A
# node that is only slow has answered by then, and a new link would delay it further.
LINK_TIMEOUT_SECONDS = 2.0


class DispatcherReachability:
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
        self._unreachable_since: dict[str, float] = {}
        self._redialled: set[str] = set()
        self._silence = SilenceDetector()
        self._checking: set[str] = set()

    @property
    def unreachable(self) -> set[str]:
        """Return the nodes that did not respond, or could not be dialled, when last used."""
        return set(self._unreachable_since)

    def request_sent(self, node: str) -> None:
        """Record that a request was sent to ``node``, and check that it responds."""
        if node == self._hub.own.node or node in self._unreachable_since:
            return
        self._silence.request_sent(node, self._clock.monotonic(), self._hub.last_heard(node))
        if node not in self._checking:
            self._checking.add(node)
            self._check_later(node)

    def link_up(self, node: str) -> None:
        """Handle a new link to ``node``, which makes the node reachable."""
        self._redialled.discard(node)
        if node in self._unreachable_since:
            self._mark_reachable(node)

    def link_down(self, node: str) -> None:
        """Handle the loss of the last link to ``node``, or a failed attempt to dial it."""
        if node in self._unreachable_since or node not in self._in_use():
            return
        # Dial once more. If that fails, this method is called again, and the node is unreachable.
        if node not in self._redialled and self._hub.dial(node):
            self._redialled.add(node)
            return
        self._mark_unreachable(node)

    def tick(self) -> None:
        """Probe or dial unreachable nodes, and detect which respond. Call it twice a second."""
        for node, unreachable_since in list(self._unreachable_since.items()):
            if not self._hub.connected(node):
                self._hub.dial(node)
            elif self._hub.last_heard(node) > unreachable_since:
                self._mark_reachable(node)
            elif self._clock.monotonic() - unreachable_since > LINK_TIMEOUT_SECONDS:
                self._hub.drop(node)
            else:
                self._hub.send(node, Probe())

    def _mark_unreachable(self, node: str) -> None:
        self._unreachable_since[node] = self._clock.monotonic()
        self._changed()

    def _mark_reachable(self, node: str) -> None:
        del self._unreachable_since[node]
        self._silence.forget(node)
        self._changed()

    def _check_later(self, node: str) -> None:
        asyncio.get_running_loop().call_later(CHECK_INTERVAL_SECONDS, self._check, node)

    def _check(self, node: str) -> None:
        last_received = self._hub.last_heard(node)
        result = self._silence.check(node, last_received)
        if result is CheckResult.PROBE:
            self._hub.send(node, Probe())
        if result in (CheckResult.PROBE, CheckResult.WAIT):
            self._check_later(node)
            return
        self._checking.discard(node)
        if result is CheckResult.SILENT and node not in self._unreachable_since:
            self._events.emit(
                Kind.MEMBER,
                "the dispatcher does not respond and is not used",
                member=node,
                heard_ms_ago=round((self._clock.monotonic() - last_received) * 1000),
            )
            self._mark_unreachable(node)
