"""Which nodes can be asked to dispatch, as one entry has found out by asking them."""

import asyncio
from collections.abc import Callable, Collection

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.dispatch.silence import CHECK_SECONDS, SilenceWatch, Verdict
from railsail.peers.hub import PeerHub
from railsail.peers.messages import Probe

# An open connection may carry nothing any more while a new one would. A node that was left and does
# not answer probes for so many seconds gets a new link; a node that is only slow has answered by
# then, and a link made anew would cost it more time.
LINK_SILENT_SECONDS = 2.0


class DispatcherReach:
    """Leave nodes that cannot be dialled or are silent, and come back to them.

    ``in_use`` gives the nodes that hold something of this entry; ``changed`` is called when a node
    is left or can be asked again.
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
        """Return the nodes that were silent or could not be dialled when last asked."""
        return set(self._left_at)

    def asked(self, node: str) -> None:
        """Take note that ``node`` was asked for something, and see whether a word of it comes."""
        if node == self._hub.own.node or node in self._left_at:
            return
        self._silence.asked(node, self._clock.monotonic(), self._hub.last_heard(node))
        if node not in self._checking:
            self._checking.add(node)
            self._check_later(node)

    def link_up(self, node: str) -> None:
        """Take note of a new link."""
        self._redialled.discard(node)
        if node in self._left_at:
            self._come_back(node)

    def link_down(self, node: str) -> None:
        """Take note that the last link to ``node`` has ended, or could not be made."""
        if node in self._left_at or node not in self._in_use():
            return
        # One attempt to link again; if it fails, this is called once more and the node is left.
        if node not in self._redialled and self._hub.dial(node):
            self._redialled.add(node)
            return
        self._leave(node)

    def tick(self) -> None:
        """Come back to nodes that were heard again; to be called about twice a second."""
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
                "left as a dispatcher, since it is silent",
                member=node,
                heard_ms_ago=round((self._clock.monotonic() - heard) * 1000),
            )
            self._leave(node)
