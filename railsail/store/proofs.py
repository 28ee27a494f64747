"""Tell peers what was proved of the store, so that the few that read it are known to do so.

A proof goes over the neighbours as changes do, on the same links and after them, so that whoever
has it from a peer holds what that peer held. Where a link is new, what came before it is missing:
of the configuration that shows at once, by its version.
"""

import math
from collections.abc import Callable

from railsail.peers.hub import PeerHub
from railsail.peers.messages import ProofNews, StateRequest
from railsail.peers.records import ProofRecord
from railsail.store.freshness import Freshness, Proof

# A node that has read the store tells so if the newest proof that its peers have from it is older
# by so many seconds, and passes those of others on if they are newer by so many: less, so that what
# one node tells reaches all.
TELL_SECONDS = 0.5
PASS_ON_SECONDS = 0.25


class ProofExchange:
    """Tell and hear proofs; ``configuration`` is the kind that ``version`` is about."""

    def __init__(
        self,
        freshness: Freshness,
        configuration: str,
        version: Callable[[], int],
        flood: Callable[[ProofNews, str], None],
        hub: PeerHub,
    ) -> None:
        self._freshness = freshness
        self._configuration = configuration
        self._version = version
        self._flood = flood
        self._hub = hub
        # When what the neighbours were told last was true, by kind.
        self._told: dict[str, float] = {}
        freshness.on_read(self._read)
        hub.handle(ProofNews, self._received)

    def _read(self, proof: Proof) -> None:
        self._tell([proof], TELL_SECONDS, "")

    def _received(self, node: str, news: ProofNews) -> None:
        now = self._freshness.now()
        proofs = [Proof(r.kind, r.version, now - r.age / 1000) for r in news.proofs]
        if news.configuration > self._version():
            self._hub.send(node, StateRequest(self._version()))
            proofs = [proof for proof in proofs if proof.kind != self._configuration]
        self._tell([p for p in proofs if self._freshness.take(p)], PASS_ON_SECONDS, node)

    def _tell(self, proofs: list[Proof], least: float, source: str) -> None:
        """Tell all that is proved if one of ``proofs`` is newer by ``least`` seconds."""
        if not any(proof.at - self._told.get(proof.kind, -math.inf) >= least for proof in proofs):
            return
        known = self._freshness.all()
        self._told.update({proof.kind: proof.at for proof in known})
        now = self._freshness.now()
        self._flood(ProofNews(self._version(), [_to_record(p, now) for p in known]), source)


def _to_record(proof: Proof, now: float) -> ProofRecord:
    return ProofRecord(proof.kind, proof.version, max(0, math.ceil((now - proof.at) * 1000)))
