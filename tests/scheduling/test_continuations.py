"""Tickets that continue streams run on replicas of the software version that began them."""

import unittest

from railsail.core.outcomes import Reason
from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage
from railsail.scheduling.decisions import Grant, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.fairqueue import CATCH_UP_CHARGES
from tests.scheduling.test_versions import NEW, OLD, VERSIONS, RolloutTestCase

NOW = 1.0


class ContinuationTestCase(RolloutTestCase):
    """Replicas of two versions that serve side by side, without a rollout."""

    slots = 1

    def cell(self, order: Order | None = None) -> CellDispatcher:
        return super().cell(order)

    def decide(self, *tickets) -> list:
        decisions = [d for ticket in tickets for d in self.dispatcher.put(ticket, NOW)]
        return decisions + self.dispatcher.pump(NOW)

    def fill(self, version: str) -> list[str]:
        """Grant continuations until no replica of ``version`` has room, and return the replicas."""
        granted = []
        while replica := self.offer(NOW, "filling", software_version=version):
            granted.append(replica)
        self.dispatcher.cancel(("e", self.number))
        return granted

    def grants(self, decisions: list) -> list[Grant]:
        return [decision for decision in decisions if isinstance(decision, Grant)]


class VersionTests(ContinuationTestCase):
    def test_continuation_is_granted_a_replica_of_its_version(self):
        self.assertEqual(set(self.fill("v1")), set(OLD))
        # All slots of the version are taken, and those of the other one are free.
        self.assertIn(self.offer(NOW, software_version="v2"), NEW)

    def test_only_replica_of_the_version_is_used_although_it_failed_the_request(self):
        self.dispatcher.set_replicas({OLD[0]: 1} | dict.fromkeys(NEW, 1))
        self.assertEqual(self.offer(NOW, software_version="v1", avoid=OLD[0]), OLD[0])

    def test_waiting_continuation_does_not_block_tickets_for_other_versions(self):
        self.fill("v1")
        self.assertEqual(self.offer(NOW, software_version="v1"), "")
        for _ in NEW:
            self.assertIn(self.offer(NOW), NEW)

    def test_waiting_continuation_does_not_move_to_other_cells(self):
        self.fill("v1")
        self.offer(NOW, software_version="v1")
        self.assertEqual(len(self.dispatcher.queue), 1)
        self.assertEqual(self.dispatcher.queue.movable, 0)

    def test_continuation_goes_before_tickets_that_start_streams(self):
        self.fill("v1")
        self.fill("v2")
        first = self.ticket(NOW, "one")
        continuation = self.ticket(NOW, "two", software_version="v1")
        self.assertEqual(self.decide(first, continuation), [])
        key = next(k for k, f in self.dispatcher.flights.items() if f.replica in OLD)
        self.dispatcher.release(key, 10.0, NOW)
        granted = self.grants(self.dispatcher.pump(NOW))
        self.assertEqual([grant.ticket.key for grant in granted], [continuation.key])

    def test_workspace_far_ahead_gains_nothing_by_resuming(self):
        self.dispatcher.queue.push(self.ticket(NOW, "two", excluded=tuple(VERSIONS)))
        self.dispatcher.queue.charge("one", (CATCH_UP_CHARGES + 1) * 10.0)
        self.assertEqual(self.offer(NOW, "one", software_version="v1"), "")
        self.assertIn(self.offer(NOW, "three", software_version="v1"), OLD)

    def test_continuation_is_charged_to_its_workspace(self):
        before = self.dispatcher.queue.counter("one")
        self.offer(NOW, "one", software_version="v1")
        self.assertEqual(self.dispatcher.queue.counter("one"), before + 10.0)


class RefusalTests(ContinuationTestCase):
    def refusals(self, decisions: list) -> list[Reason]:
        return [decision.reason for decision in decisions if isinstance(decision, Refusal)]

    def test_continuation_is_refused_at_once_if_no_replica_of_its_version_is_left(self):
        decisions = self.decide(self.ticket(NOW, software_version="v9"))
        self.assertEqual(self.refusals(decisions), [Reason.VERSION_GONE])
        self.assertEqual(len(self.dispatcher.queue), 0)

    def test_waiting_continuation_is_refused_when_the_last_replica_leaves(self):
        self.fill("v1")
        self.offer(NOW, software_version="v1")
        self.dispatcher.set_replicas(dict.fromkeys([*OLD, *NEW], 1), leaving=OLD)
        self.assertEqual(self.refusals(self.dispatcher.pump(NOW)), [Reason.VERSION_GONE])

    def test_continuation_is_not_refused_as_excess(self):
        self.dispatcher._expired_at = NOW
        self.dispatcher._usage.over_share = lambda workspace, now: True
        self.fill("v1")
        self.assertEqual(self.refusals(self.decide(self.ticket(NOW, software_version="v1"))), [])

    def test_waiting_continuation_can_be_cancelled_and_expires(self):
        self.fill("v1")
        cancelled = self.ticket(NOW, software_version="v1")
        expired = self.ticket(NOW, software_version="v1", patience=0.5)
        self.decide(cancelled, expired)
        self.dispatcher.cancel(cancelled.key)
        decisions = self.dispatcher.pump(NOW + 1.0)
        self.assertEqual(self.refusals(decisions), [Reason.EXPIRED])
        self.assertEqual(len(self.dispatcher.queue), 0)

    def test_continuation_of_an_entry_that_is_gone_is_dropped(self):
        self.fill("v1")
        self.offer(NOW, software_version="v1")
        self.dispatcher.drop_entry("e", NOW)
        self.assertEqual(len(self.dispatcher.queue), 0)


class RolloutTests(RolloutTestCase):
    """A rollout moves other tickets to another version, and streams stay where they began."""

    def test_stream_of_the_replaced_version_is_continued_there(self):
        self.allow(Stage.DRAIN)
        self.assertIn(self.offer(NOW), NEW)
        self.assertIn(self.offer(NOW, software_version="v1"), OLD)

    def test_stream_of_the_target_version_is_continued_there(self):
        self.allow(Stage.CANARY)
        for _ in range(10):
            self.assertIn(self.offer(NOW, software_version="v2", avoid=NEW[0]), NEW)

    def test_calls_to_the_target_version_need_an_allowance(self):
        self.assertEqual(self.offer(NOW, software_version="v2"), "")
        self.allow(Stage.CANARY, calls=1)
        self.dispatcher.pump(NOW)
        self.assertEqual(self.dispatcher.versions.exposure.unspent, 0)
        self.assertEqual(self.offer(NOW, software_version="v2"), "")


if __name__ == "__main__":
    unittest.main()
