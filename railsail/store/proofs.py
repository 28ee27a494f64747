"""Tell peers what was proved of the store, so that the few that read it are known to do so.

A proof goes over the neighbours as changes do, on the same links and after them, so that whoever
has it from a peer holds what that peer held. Where a link is new, what came before it is missing:
of the configuration that shows at once, by its version.
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

# A neighbour is told what is newer by this part of the longest wait of a watch than what it has.
TELL_SHARE = 0.3
# Proofs of several kinds, and from several neighbours, come together; they are waited for so long.
MERGE_SECONDS = 0.02


class ProofExchange:
    """Tell and hear proofs; ``configuration`` is the kind that ``version`` is about.

    ``seconds`` gives the longest wait of a watch of a kind.
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
        # When what each neighbour is known to hold was all, by kind.
        self._known: defaultdict[str, dict[str, float]] = defaultdict(dict)
        # By neighbour, the least seconds between its clock and ours that news have shown.
        self._least_difference: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        freshness.on_read(lambda proof: self._tell_soon())
        hub.handle(ProofNews, self._received)
        hub.on_up(self._link_up)
        hub.on_down(self._forget)

    def _link_up(self, peer: Identity) -> None:
        # What was queued on a link that ended is lost. What comes first on a new one comes at once,
        # and shows what comes later than it should.
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
        """Return how much longer ``news`` were on their way than the fastest ones of ``node``.

        A link that is cut for a while delivers what was sent before, which is old by then.
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
