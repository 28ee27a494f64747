"""Exchange of proofs between peers, which shows all nodes that some node reads the store.

Proofs are forwarded from neighbour to neighbour on the same links as changes, and after them. A
node that receives a proof has therefore received all changes that its sender had. The exception is
a new link, on which changes that were sent before do not arrive. For the configuration this is
detected by its version, which each message with proofs names.
"""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import ProofNews
from railsail.peers.records import ProofRecord
from railsail.store.freshness import Freshness, Proof

# A neighbour is sent the proofs of this node again once one is newer than its own by this share of
# the maximum wait of a watch.
RESEND_SHARE = 0.3
# Proofs of several kinds, or from several neighbours, arrive together. They are collected for this
# time and sent in one message.
BATCH_SECONDS = 0.02


class ProofExchange:
    """The exchange of the newest proofs with the neighbours of this node.

    ``max_wait`` returns the maximum wait of a watch of a kind, in seconds.
    ``configuration_version`` returns the version of the active configuration, and
    ``configuration_kind`` is the kind of its objects. ``configuration_announced`` is called with a
    node that has a newer one, and that version.
    """

    def __init__(
        self,
        freshness: Freshness,
        max_wait: Callable[[str], float],
        configuration_kind: str,
        configuration_version: Callable[[], int],
        configuration_announced: Callable[[str, int], None],
        neighbours: Callable[[], Iterable[str]],
        hub: PeerHub,
    ) -> None:
        self._freshness = freshness
        self._max_wait = max_wait
        self._configuration_kind = configuration_kind
        self._configuration_version = configuration_version
        self._configuration_announced = configuration_announced
        self._neighbours = neighbours
        self._hub = hub
        # By neighbour and kind: the time of the newest proof that it has, as far as known here.
        self._proved_at: defaultdict[str, dict[str, float]] = defaultdict(dict)
        # By neighbour: the lowest difference in seconds between the time at which one of its
        # messages arrived by our clock and the time at which it was sent by its clock.
        self._min_clock_difference: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        freshness.on_own_proof(lambda proof: self._schedule_sending())
        hub.handle(ProofNews, self._received)
        hub.on_up(self._link_up)
        hub.on_down(self._forget)

    def _link_up(self, peer: Identity) -> None:
        # What was queued on the former link is lost, so that the neighbour may lack our proofs. The
        # first message on the new link arrives without delay, and is the reference for later ones.
        self._forget(peer.node)
        self._schedule_sending()

    def _forget(self, node: str) -> None:
        self._proved_at.pop(node, None)
        self._min_clock_difference.pop(node, None)

    def _received(self, node: str, update: ProofNews) -> None:
        sent_at = self._freshness.now() - self._extra_delay(node, update)
        proofs = [Proof(r.kind, r.version, sent_at - r.age / 1000) for r in update.proofs]
        self._proved_at[node].update({proof.kind: proof.at for proof in proofs})
        if update.configuration > self._configuration_version():
            self._configuration_announced(node, update.configuration)
            proofs = [proof for proof in proofs if proof.kind != self._configuration_kind]
        newer = [proof for proof in proofs if self._freshness.record(proof)]
        if newer:
            self._schedule_sending()

    def _extra_delay(self, node: str, update: ProofNews) -> float:
        """Return how many seconds longer ``update`` took than the fastest message of ``node``.

        A link that was cut delivers late what was sent before the cut.
        """
        difference = self._freshness.now() - update.sent_at / 1000
        minimum = min(difference, self._min_clock_difference.get(node, difference))
        self._min_clock_difference[node] = minimum
        return difference - minimum

    def _schedule_sending(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(BATCH_SECONDS, self._send_proofs)

    def _send_proofs(self) -> None:
        self._timer = None
        proofs = self._freshness.proofs()
        outdated = [node for node in self._neighbours() if self._is_outdated(node, proofs)]
        if not outdated:
            return
        now = self._freshness.now()
        records = [_to_record(proof, now) for proof in proofs]
        update = ProofNews(round(now * 1000), self._configuration_version(), records)
        for node in outdated:
            if self._hub.send(node, update):
                self._proved_at[node] = {proof.kind: proof.at for proof in proofs}

    def _is_outdated(self, node: str, proofs: list[Proof]) -> bool:
        proved_at = self._proved_at[node]
        return any(
            proof.at - proved_at.get(proof.kind, -math.inf)
            >= RESEND_SHARE * self._max_wait(proof.kind)
            for proof in proofs
        )


def _to_record(proof: Proof, now: float) -> ProofRecord:
    return ProofRecord(proof.kind, proof.version, max(0, math.ceil((now - proof.at) * 1000)))
