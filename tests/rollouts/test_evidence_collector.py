"""How the coordinator of a rollout adds up the evidence of several dispatchers."""

import unittest
from dataclasses import dataclass

import msgspec

from railsail.peers.messages import RolloutEvidence
from railsail.rollouts.evidence_collector import EVIDENCE_TIMEOUT_SECONDS, EvidenceCollector
from tests.rollouts.base import evidence, tally


@dataclass
class Dispatcher:
    """A dispatcher whose evidence is cumulative."""

    start: int = 1
    arrivals: int = 0

    def next(self, arrivals: int, *tallies) -> RolloutEvidence:
        self.arrivals += arrivals
        update = evidence(self.arrivals, start=self.start)
        return msgspec.structs.replace(update, tallies=list(tallies))


class EvidenceCollectorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.collector = EvidenceCollector()
        self.dispatcher = Dispatcher()

    def receive(
        self, now: float, arrivals: int = 0, *tallies, node: str = "d", process_start_id: int = 1
    ):
        self.collector.record(node, process_start_id, self.dispatcher.next(arrivals, *tallies), now)

    def test_arrivals_are_counted_from_the_first_evidence(self):
        self.receive(0.0, 500)
        self.receive(1.0, 40)
        self.assertEqual(self.collector.arrivals, 40)

    def test_arrivals_of_a_replaced_dispatcher_stay_counted(self):
        self.receive(0.0)
        self.receive(1.0, 40)
        self.dispatcher = Dispatcher(start=2)
        self.receive(1.5, node="e")
        self.receive(2.5, 10, node="e")
        self.assertEqual(self.collector.arrivals, 50)
        self.assertEqual([s.node for s in self.collector.recent_sources(2.5)], ["e"])

    def test_evidence_overtaken_by_newer_evidence_is_ignored(self):
        early = self.dispatcher.next(5)
        self.receive(0.0, 5)
        self.receive(1.0, 5)
        self.collector.record("d", 1, early, 1.1)
        self.assertEqual(self.collector.arrivals, 5)

    def test_silent_dispatcher_is_no_recent_source(self):
        self.receive(0.0)
        self.assertEqual(len(self.collector.recent_sources(EVIDENCE_TIMEOUT_SECONDS / 2)), 1)
        self.assertEqual(self.collector.recent_sources(EVIDENCE_TIMEOUT_SECONDS), [])

    def test_rate_is_measured_over_the_last_seconds(self):
        for step in range(41):
            self.receive(step / 4, 25 if step < 20 else 50)
        self.assertAlmostEqual(self.collector.rate(10.0), 200.0, delta=1.0)

    def test_evidence_is_added_up_by_route_version_and_replica(self):
        self.receive(
            0.0, 9, tally(5, "v1", "", 7, 1), tally(5, "v0", "", 2), tally(5, "v2", "a", 3)
        )
        self.dispatcher = Dispatcher(start=2)
        self.receive(
            0.1, 9, tally(5, "v1", "", 4), tally(5, "v2", "a", 2, 1), tally(6, "v2", "b", 1)
        )
        five, six = self.collector.routes("v2")
        self.assertEqual((five.baseline.answers, five.baseline.failed), (13, 1))
        self.assertEqual((five.target["a"].answers, five.target["a"].failed), (5, 1))
        self.assertEqual((six.route, six.baseline.answers, list(six.target)), (6, 0, ["b"]))

    def test_calls_granted_before_the_order_count_only_if_the_target_has_such_calls(self):
        self.receive(0.0, 9, tally(0, "v1", "", 8), tally(5, "v1", "", 2), tally(5, "v2", "a", 2))
        self.assertEqual([route.route for route in self.collector.routes("v2")], [5])
        # If entries send no routes, the target has calls of the unknown route, too.
        self.receive(0.1, 9, tally(0, "v1", "", 8), tally(0, "v2", "a", 2))
        self.assertEqual([route.route for route in self.collector.routes("v2")], [0])


if __name__ == "__main__":
    unittest.main()
