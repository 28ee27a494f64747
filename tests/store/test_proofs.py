"""Proofs go from node to node, and are believed only by those that hold what was proved."""

import unittest

from railsail.core.clock import ManualClock
from railsail.peers.messages import ProofNews, StateRequest
from railsail.peers.records import ProofRecord
from railsail.store.freshness import Freshness, Proof
from railsail.store.proofs import PASS_ON_SECONDS, TELL_SECONDS, ProofExchange

CONFIGURATION = "configuration"
UPSTREAM = "upstream"


class RecordingHub:
    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []

    def handle(self, kind: type, handler) -> None:
        self.receive = handler

    def send(self, node: str, message: object) -> None:
        self.sent.append((node, message))


class ProofTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.freshness = Freshness(self.clock.monotonic)
        self.hub = RecordingHub()
        self.version = 5
        self.flooded: list[tuple[ProofNews, str]] = []
        ProofExchange(
            self.freshness,
            CONFIGURATION,
            lambda: self.version,
            lambda news, source: self.flooded.append((news, source)),
            self.hub,
        )

    def read(self, version: int = 40, age: float = 0.0) -> None:
        self.freshness.read(Proof(UPSTREAM, version, self.clock.monotonic() - age))

    def test_what_was_read_is_told_with_its_age(self):
        self.read(age=0.2)
        expected = ProofNews(5, [ProofRecord(UPSTREAM, 40, 200)])
        self.assertEqual(self.flooded, [(expected, "")])

    def test_reads_in_quick_succession_are_told_once(self):
        self.read()
        self.clock.advance(TELL_SECONDS * 0.9)
        self.read()
        self.assertEqual(len(self.flooded), 1)
        self.clock.advance(TELL_SECONDS * 0.1)
        self.read()
        self.assertEqual(len(self.flooded), 2)

    def test_proof_of_a_peer_is_passed_on_to_the_others(self):
        self.hub.receive("a", ProofNews(5, [ProofRecord(UPSTREAM, 40, 300)]))
        self.assertAlmostEqual(self.freshness.age(UPSTREAM), 0.3)
        self.assertEqual([source for _, source in self.flooded], ["a"])

    def test_proof_that_is_hardly_newer_is_not_passed_on(self):
        self.hub.receive("a", ProofNews(5, [ProofRecord(UPSTREAM, 40, 300)]))
        self.hub.receive("b", ProofNews(5, [ProofRecord(UPSTREAM, 40, 200)]))
        self.assertAlmostEqual(self.freshness.age(UPSTREAM), 0.2)
        self.assertEqual(len(self.flooded), 1)
        self.clock.advance(PASS_ON_SECONDS)
        self.hub.receive("b", ProofNews(5, [ProofRecord(UPSTREAM, 40, 200)]))
        self.assertEqual(len(self.flooded), 2)

    def test_node_that_lacks_the_configuration_asks_for_it_and_believes_nothing_of_it(self):
        records = [ProofRecord(CONFIGURATION, 40, 0), ProofRecord(UPSTREAM, 40, 0)]
        self.hub.receive("a", ProofNews(6, records))
        self.assertEqual(self.hub.sent, [("a", StateRequest(5))])
        self.assertEqual(self.freshness.age(CONFIGURATION), float("inf"))
        self.assertEqual(self.freshness.age(UPSTREAM), 0.0)


if __name__ == "__main__":
    unittest.main()
