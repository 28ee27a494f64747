"""Exchange of proofs between peers, which shows all nodes that some node reads the store.

Proofs are forwarded from neighbour to neighbour on the same links as changes, and after them. A
node that receives a proof has therefore received all changes that its sender had. A new link is the
exception, since what was sent before is missing there. For the configuration this is detected by
its version, which each message names.
"""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import ProofNews, StateRequest
from railsail.peers.records import ProofRecord
from railsail.store.freshness import Freshness, Proof

# A neighbour is sent the proofs of this node again once one is newer than its own by this share of
# the maximum wait of a watch.
TELL_SHARE = 0.3
# Proofs of several kinds, or from several neighbours, arrive together. They are collected for this
# time and sent in one message.
MERGE_SECONDS = 0.02


class ProofExchange:
    """Send the newest proofs to neighbours, and record those that they send.

    ``seconds`` returns the maximum wait of a watch of a kind, in seconds. ``version`` returns the
    version of the active configuration, whose kind is ``configuration``.
    """

    def __init__(
        self,
        freshness: Freshness,
        seconds: Callable[[str], float],
        configuration: str,
        version: Callable[[], int],
        neighbours: Callable[[], Iterable[str]],
        hub: PeerHub,
    ) -> None:
        self._freshness = freshness
        self._seconds = seconds
        self._configuration = configuration
        self._version = version
        self._neighbours = neighbours
        self._hub = hub
        # By neighbour and kind: the time of the newest proof that it has, as far as known here.
        self._known: defaultdict[str, dict[str, float]] = defaultdict(dict)
        # By neighbour: the lowest difference in seconds between the time at which one of its
        # messages arrived by our clock and the time at which it was sent by its clock.
        self._least_difference: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        freshness.on_read(lambda proof: self._tell_soon())
        hub.handle(ProofNews, self._received)
        hub.on_up(self._link_up)
        hub.on_down(self._forget)

    def _link_up(self, peer: Identity) -> None:
        # What was queued on the former link is lost, so that the neighbour may lack our proofs. The
        # first message on the new link arrives without delay, and is the reference for later ones.
        self._forget(peer.node)
        self._tell_soon()

    def _forget(self, node: str) -> None:
        self._known.pop(node, None)
        self._least_difference.pop(node, None)

    def _received(self, node: str, news: ProofNews) -> None:
        sent_at = self._freshness.now() - self._seconds_held_up(node, news)
        proofs = [Proof(r.kind, r.version, sent_at - r.age / 1000) for r in news.proofs]
        self._known[node].update({proof.kind: proof.at for proof in proofs})
        if news.configuration > self._version():
            self._hub.send(node, StateRequest(self._version()))
            proofs = [proof for proof in proofs if proof.kind != self._configuration]
        newer = [proof for proof in proofs if self._freshness.take(proof)]
        if newer:
            self._tell_soon()

    def _seconds_held_up(self, node: str, news: ProofNews) -> float:
        """Return how many seconds longer ``news`` took than the fastest message of ``node``.

        A link that was cut delivers late what was sent before the cut.
        """
        difference = self._freshness.now() - news.sent / 1000
        least = min(difference, self._least_difference.get(node, difference))
        self._least_difference[node] = least
        return difference - least

    def _tell_soon(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(MERGE_SECONDS, self._tell)

    def _tell(self) -> None:
        self._timer = None
        proofs = self._freshness.all()
        lacking = [node for node in self._neighbours() if self._lacks(node, proofs)]
        if not lacking:
            return
        now = self._freshness.now()
        records = [_to_record(proof, now) for proof in proofs]
        news = ProofNews(round(now * 1000), self._version(), records)
        for node in lacking:
            if self._hub.send(node, news):
                self._known[node] = {proof.kind: proof.at for proof in proofs}

    def _lacks(self, node: str, proofs: list[Proof]) -> bool:
        known = self._known[node]
        return any(
            proof.at - known.get(proof.kind, -math.inf) >= TELL_SHARE * self._seconds(proof.kind)
            for proof in proofs
        )


def _to_record(proof: Proof, now: float) -> ProofRecord:
    return ProofRecord(proof.kind, proof.version, max(0, math.ceil((now - proof.at) * 1000)))
